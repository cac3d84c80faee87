"""The accounts of all engines, kept by the board and by reports."""

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
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.active_routes import ActiveRoutes

_log = structlog.get_logger(__name__)

_REFRESH_DELAY = timedelta(milliseconds=50)
"""Pause before a report is read for the sake of an order."""


class EngineStates:
    """One account for each life of each engine, while orders are given."""

    def __init__(
        self,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self.changed = anyio.Event()
        """Set when a report was read, or by others who want a new plan."""
        self._fleet_state = fleet_state
        self._routes = routes
        self._control = control
        self._settings = settings
        self._clock = clock
        self._states: dict[TargetId, EngineState] = {}
        self._fetching: set[TargetId] = set()

    def __getitem__(self, target: TargetId) -> EngineState:
        return self._states[target]

    def __iter__(self) -> Iterator[EngineState]:
        return iter(self._states.values())

    def list_by_service(self, service: ItemName) -> list[EngineState]:
        """Return the accounts of a service's engines."""
        return [a for a in self if a.target.service == service]

    def is_current(self, state: EngineState) -> bool:
        """Whether an account stands for an engine that still lives."""
        return self._states.get(state.target.target) is state

    def clear(self) -> None:
        """Forget all: another VM gives orders from now on."""
        self._states.clear()
        self._fetching.clear()

    def sync_targets(self) -> None:
        """Keep one account for each life of each engine."""
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
        """Read the reports that are due."""
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
                # Each entry VM would lose requests to find out by itself.
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
        state.apply_report(report, self._clock.monotonic())
        target = msgspec.structs.replace(
            state.target,
            held=state.list_served_models(),
            load=report.load,
            is_silent=False,
        )
        if report.is_leaving:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        state.target = target
        self._fleet_state.update([target])
        self.changed.set()

    async def refresh_report(self, state: EngineState) -> None:
        """Read a report now, or a little later where one is under way."""
        await self._clock.sleep(_REFRESH_DELAY)
        name = state.target.target
        if name not in self._fetching:
            self._fetching.add(name)
            await self._fetch_report(state)

    def publish_state(self, state: EngineState) -> None:
        """Let the entry VMs know what the engine serves now."""
        state.target = msgspec.structs.replace(
            state.target, held=state.list_served_models()
        )
        if state.target.target in self._fleet_state.targets:
            self._fleet_state.update([state.target])

    def mark_leaving(self, state: EngineState) -> None:
        """Count an engine no more: another one answers at its address.

        The platform's list shows that only seconds later.
        """
        state.target = msgspec.structs.replace(
            state.target, phase=TargetPhase.LEAVING
        )
        self.publish_state(state)
