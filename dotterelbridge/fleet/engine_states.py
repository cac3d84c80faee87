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

_REPORT_SOON = timedelta(milliseconds=50)
"""Pause before a report is read for the sake of an order."""


class EngineStates:
    """One account for each life of each engine, while orders are given."""

    def __init__(
        self,
        board: FleetState,
        routes: ActiveRoutes,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self.changed = anyio.Event()
        """Set when a report was read, or by others who want a new plan."""
        self._board = board
        self._routes = routes
        self._control = control
        self._settings = settings
        self._clock = clock
        self._accounts: dict[TargetId, EngineState] = {}
        self._reporting: set[TargetId] = set()

    def __getitem__(self, target: TargetId) -> EngineState:
        return self._accounts[target]

    def __iter__(self) -> Iterator[EngineState]:
        return iter(self._accounts.values())

    def list_service(self, service: ItemName) -> list[EngineState]:
        """Return the accounts of a service's engines."""
        return [a for a in self if a.target.service == service]

    def is_current(self, account: EngineState) -> bool:
        """Whether an account stands for an engine that still lives."""
        return self._accounts.get(account.target.target) is account

    def clear(self) -> None:
        """Forget all: another VM gives orders from now on."""
        self._accounts.clear()
        self._reporting.clear()

    def match(self) -> None:
        """Keep one account for each life of each engine."""
        for name, account in list(self._accounts.items()):
            target = self._board.targets.get(name)
            if target is None or target.born != account.target.born:
                del self._accounts[name]
        for name, target in self._board.targets.items():
            service = self._routes.find_service(target.service)
            if service is None or service.engine is None:
                continue
            account = self._accounts.get(name)
            if account is None:
                account = EngineState(target, service.engine)
                self._accounts[name] = account
            account.target = target
            account.engine = service.engine

    def start_reports(self, group: TaskGroup) -> None:
        """Read the reports that are due."""
        now = self._clock.monotonic()
        interval_s = self._settings.report_interval_ms / 1000
        for name, account in self._accounts.items():
            due = now - account.reported_at >= interval_s
            if due and name not in self._reporting:
                self._reporting.add(name)
                group.start_soon(self._fetch_report, account)

    async def _fetch_report(self, account: EngineState) -> None:
        name = account.target.target
        timeout = timedelta(milliseconds=self._settings.report_timeout_ms)
        try:
            report = await self._control.fetch_report(account.target, timeout)
        except EngineCallFailed as error:
            account.note_failed_report(self._clock.monotonic())
            if account.is_silent and self.is_current(account):
                # Each entry VM would lose requests to find out by itself.
                account.target = msgspec.structs.replace(
                    account.target, is_silent=True
                )
                self.show(account)
            events.log(
                _log,
                FleetEvent.REPORT_FAILED,
                target=name,
                error=str(error),
            )
            return
        finally:
            self._reporting.discard(name)
        if report.born is not None and report.born != account.target.born:
            return
        if not account.is_known:
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
        account.apply_report(report, self._clock.monotonic())
        target = msgspec.structs.replace(
            account.target,
            held=account.list_served(),
            load=report.load,
            is_silent=False,
        )
        if report.is_leaving:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        account.target = target
        self._board.update([target])
        self.changed.set()

    async def refresh(self, account: EngineState) -> None:
        """Read a report now, or a little later where one is under way."""
        await self._clock.sleep(_REPORT_SOON)
        name = account.target.target
        if name not in self._reporting:
            self._reporting.add(name)
            await self._fetch_report(account)

    def show(self, account: EngineState) -> None:
        """Let the entry VMs know what the engine serves now."""
        account.target = msgspec.structs.replace(
            account.target, held=account.list_served()
        )
        if account.target.target in self._board.targets:
            self._board.update([account.target])

    def take_leave(self, account: EngineState) -> None:
        """Count an engine no more: another one answers at its address.

        The platform's list shows that only seconds later.
        """
        account.target = msgspec.structs.replace(
            account.target, phase=TargetPhase.LEAVING
        )
        self.show(account)
