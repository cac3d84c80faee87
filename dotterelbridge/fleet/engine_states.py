"""Tracks the states of all engines on the active controller."""

from collections.abc import Iterator
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.errors import EngineCallFailed
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.target_evidence import TargetEvidence
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.active_routes import ActiveRoutes

_log = structlog.get_logger(__name__)

_REFRESH_DELAY = timedelta(milliseconds=50)
"""Delay before a report is fetched because an order depends on it."""


class EngineStates:
    """One EngineState for each incarnation of each engine.

    Filled only while this VM is the active controller.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
        evidence: TargetEvidence | None = None,
    ) -> None:
        """Create an empty table.

        :param evidence: adds what entry VMs have measured to reported loads.
        """
        self.changed = anyio.Event()
        """Set when a report was read or a new plan is requested."""
        self._fleet_state = fleet_state
        self._routes = routes
        self._control = control
        self._settings = settings
        self._clock = clock
        self._evidence = evidence
        self._states: dict[TargetId, EngineState] = {}
        self._fetching: set[TargetId] = set()

    def __getitem__(self, target: TargetId) -> EngineState:
        return self._states[target]

    def __iter__(self) -> Iterator[EngineState]:
        return iter(self._states.values())

    def list_by_service(self, service: ItemName) -> list[EngineState]:
        """Return the states of a service's engines."""
        return [s for s in self if s.target.service == service]

    def is_current(self, state: EngineState) -> bool:
        """Whether a state belongs to the engine's current incarnation."""
        return self._states.get(state.target.target) is state

    def clear(self) -> None:
        """Discard all states: this VM is no longer the active controller."""
        self._states.clear()
        self._fetching.clear()

    def sync_targets(self) -> None:
        """Add and remove states so that they match the listed targets."""
        for name, state in list(self._states.items()):
            target = self._fleet_state.targets.get(name)
            if target is None or target.born != state.target.born:
                del self._states[name]
        for name, target in self._fleet_state.targets.items():
            service = self._routes.find_service(target.service)
            if service is None or service.engine is None:
                continue
            state = self._states.get(name)
            if state is None:
                state = EngineState(target, service.engine)
                self._states[name] = state
            state.target = target
            state.engine = service.engine

    def start_due_reports(self, group: TaskGroup) -> None:
        """Start fetching the reports that are due."""
        now = self._clock.monotonic()
        interval_s = self._settings.report_interval_ms / 1000
        for name, state in self._states.items():
            due = now - state.reported_at >= interval_s
            if due and name not in self._fetching:
                self._fetching.add(name)
                group.start_soon(self._fetch_report, state)

    async def _fetch_report(self, state: EngineState) -> None:
        name = state.target.target
        timeout = timedelta(milliseconds=self._settings.report_timeout_ms)
        try:
            report = await self._control.fetch_report(state.target, timeout)
        except EngineCallFailed as error:
            state.record_failed_report(self._clock.monotonic())
            if state.is_silent and self.is_current(state):
                # Tell the entry VMs; each would otherwise lose requests
                # before it detects the failure by itself.
                state.target = msgspec.structs.replace(
                    state.target, is_silent=True
                )
                self.publish_state(state)
            events.log(
                _log,
                FleetEvent.REPORT_FAILED,
                target=name,
                error=str(error),
            )
            return
        finally:
            self._fetching.discard(name)
        if report.born is not None and report.born != state.target.born:
            return
        if not state.has_report:
            events.log(
                _log,
                FleetEvent.ENGINE_KNOWN,
                target=name,
                held=[held.model for held in report.held],
                in_memory=sorted(report.in_memory),
                on_disk=sorted(report.on_disk),
                orders=report.orders_accepted,
                is_busy=report.is_busy,
            )
        now = self._clock.monotonic()
        state.apply_report(report, now)
        load = state.describe_load(report, now)
        if self._evidence is not None:
            load = self._evidence.complete_load(state.target, load)
        target = msgspec.structs.replace(
            state.target,
            held=state.list_served_models(),
            load=load,
            is_silent=False,
        )
        if report.is_leaving:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        state.target = target
        self._fleet_state.update([target])
        self.changed.set()

    async def refresh_report(self, state: EngineState) -> None:
        """Fetch a report after a short delay, unless one is in transit."""
        await self._clock.sleep(_REFRESH_DELAY)
        name = state.target.target
        if name not in self._fetching:
            self._fetching.add(name)
            await self._fetch_report(state)

    def publish_state(self, state: EngineState) -> None:
        """Publish to the entry VMs what the engine serves now."""
        state.target = msgspec.structs.replace(
            state.target, held=state.list_served_models()
        )
        if state.target.target in self._fleet_state.targets:
            self._fleet_state.update([state.target])

    def mark_leaving(self, state: EngineState) -> None:
        """Mark an engine as leaving: another one answers at its address.

        The platform's list shows this only seconds later.
        """
        state.target = msgspec.structs.replace(
            state.target, phase=TargetPhase.LEAVING
        )
        self.publish_state(state)
