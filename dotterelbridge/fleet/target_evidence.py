"""What the entry VMs have measured at targets, on the active controller."""

from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.engine_speeds import EngineSpeeds
from dotterelbridge.fleet.error_shares import ErrorShares
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import TargetLoad

_log = structlog.get_logger(__name__)

_INTERVAL = timedelta(milliseconds=250)
"""Time between two updates of targets that have no reports of their own."""


class TargetEvidence:
    """Adds to the loads of targets what entry VMs have measured there."""

    def __init__(
        self,
        fleet_state: FleetState,
        clock: Clock,
        is_controller: Callable[[], bool],
    ) -> None:
        """Create the evidence of a VM.

        :param is_controller: whether this VM publishes the fleet state.
        """
        self._fleet_state = fleet_state
        self._clock = clock
        self._is_controller = is_controller
        self._error_shares = ErrorShares(clock)
        self.speeds = EngineSpeeds(clock)

    def add_report(self, report: DemandReport) -> None:
        """Add the measurements of one entry VM."""
        for answers in report.answers:
            self._error_shares.add(answers)
        for gap in report.stream_gaps:
            target = self._fleet_state.targets.get(gap.target)
            if target is not None and target.born == gap.born:
                self.speeds.add(target.service, gap)

    def complete_load(
        self, target: FleetTarget, load: TargetLoad
    ) -> TargetLoad:
        """Return a load with what has been measured at its target."""
        incarnation = (target.target, target.born)
        return msgspec.structs.replace(
            load,
            speed_percent=self.speeds.find_percent(incarnation),
            error_percent=self._error_shares.find_percent(incarnation),
        )

    async def run(self) -> None:
        """Publish changes while this VM is the controller, until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            if self._is_controller():
                for _ in self.speeds.update_in_steps():
                    await self._clock.sleep(timedelta(0))
                self.publish()

    def publish(self) -> None:
        """Publish what has changed."""
        changed = []
        for target in self._fleet_state.targets.values():
            load = self.complete_load(target, target.load)
            if load != target.load:
                changed.append(msgspec.structs.replace(target, load=load))
                if load.error_percent != target.load.error_percent:
                    events.log(
                        _log,
                        FleetEvent.ERROR_SHARE_CHANGED,
                        target=target.target,
                        born=target.born,
                        error_percent=load.error_percent,
                        before=target.load.error_percent,
                    )
        if changed:
            self._fleet_state.update(changed)
