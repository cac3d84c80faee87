"""The daemon of an entry VM: serves callers, follows the control VMs."""

from datetime import timedelta

import anyio

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.fleet.credit_channel import SourceCreditChannel
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import StreamGap
from dotterelbridge.fleet.messages import TargetAnswers
from dotterelbridge.fleet.permit_channel import SourceChannel
from dotterelbridge.gateway.app import create_gateway_app
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.gateway.settings import BalanceMode
from dotterelbridge.gateway.stream_gaps import StreamGaps
from dotterelbridge.nodes.directory import ControlVmDirectory
from dotterelbridge.nodes.node import FLUSH_TIMEOUT
from dotterelbridge.nodes.node import Node
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.nodes.probes import ReadinessApp
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.permits.limiter import create_rate_limiter
from dotterelbridge.quarantine.crash_watch import Crash
from dotterelbridge.quarantine.messages import CrashRecorded
from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.peer_recorder import create_stream_recorder
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.teams.permission import KeyPermission

_CRASH_REPORT_TIMEOUT = timedelta(seconds=1)
"""Time for a control VM to answer, which may have to ask the leader."""
_CRASH_REPORT_RETRY_DELAY = timedelta(milliseconds=200)
_MS_PER_S = 1000
_CRASH_REPORT_LIFETIME_S = 10.0
"""Time after which a report that no leader took is dropped."""


class EntryNode(Node):
    """Assembles and runs the parts of an entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        settings_path: str,
        header_names: HeaderNames,
        routes_format: RoutesFormat,
        clock: Clock,
    ) -> None:
        super().__init__(settings, settings_path, routes_format, clock)
        own_vm = self._own_vm
        rng = self._rng
        self._directory = ControlVmDirectory(
            self._network,
            own_vm,
            settings.list_seeds(),
            lambda: self._fleet_follower.control_vms,
            clock,
            settings.discovery.links_kept,
            self._is_detached,
        )
        self._key_permission = KeyPermission(clock, settings.teams)
        self._fleet_follower = FleetFollower(
            self._network,
            self._fleet_state,
            self._routes,
            self._quarantine,
            settings.fleet,
            clock,
            rng,
            self._directory.rank_control_vms,
            lambda: 1,
            self._key_permission,
        )
        self._fleet_follower.subscribe_control_vms(
            self._directory.update_links
        )
        self._limiter = create_rate_limiter(
            SourceChannel(self._network, self._fleet_follower, settings.fleet),
            lambda: self._fleet_follower.entry_vm_count,
            clock,
            rng,
        )
        self._quota_accounts = QuotaAccounts(
            SourceCreditChannel(self._network, self._fleet_follower),
            lambda: self._fleet_follower.entry_vm_count,
            clock,
            rng,
        )
        self.stream_recorder = create_stream_recorder(
            self._network,
            settings.resumption,
            VersionHistory(
                self._fleet_state,
                self._routes,
                clock,
                lambda: not self._is_detached(),
            ),
            self._directory.list_linked_vms,
            clock,
        )
        self._router = create_gateway_router(
            self._fleet_state,
            clock,
            settings.gateway,
            settings.targets,
            rng,
            own_vm.failure_domain,
            settings.regions,
            lambda: self._fleet_follower.entry_vm_count,
            self._quarantine,
            self._limiter,
        )
        self._stream_gaps = _create_stream_gaps(settings)
        self._router.buffer_budget.attach(self._memory_account)
        self._app = create_gateway_app(
            self._routes,
            self._router,
            header_names,
            settings.gateway,
            settings.serving,
            clock,
            rng,
            self._key_permission,
            self._quota_accounts,
            self.stream_recorder,
            self._stream_gaps,
        )
        self._app.add_readiness_condition(
            lambda: self._routes.route_set is not None
        )
        self._caller_listener = create_caller_listener(
            self._app,
            settings.create_listener_settings(settings.node.caller_address),
            clock,
            self._memory_account,
            self._read_caller_limits,
        )
        self._readiness_listener = AuxiliaryListener(
            ReadinessApp(lambda: self._app.is_ready),
            settings.create_listener_settings(settings.node.ready_address),
            clock,
            self._memory_account,
        )
        self._register_metrics()
        self._registry.add("gateway", self._app)
        self._registry.add("routing", self._router)
        self._registry.add("rate_limits", self._limiter)
        self._registry.add("quotas", self._quota_accounts)
        self._registry.add("resumption", self.stream_recorder)

    async def run_components(self) -> None:
        """Run all parts until cancelled."""
        await self._run_with_common_parts(
            (
                self._directory.run,
                self._fleet_follower.run,
                self._router.run,
                self._quota_accounts.run,
                self.stream_recorder.run,
                self._report_demand,
                self._report_crashes,
            ),
            (self._readiness_listener, self._caller_listener),
            caller_port=self._caller_listener.port,
        )

    def _register_metrics(self) -> None:
        metrics.register_gauge(
            "dotterelbridge.gateway.waiting",
            self._router.count_waiting_requests,
            "Requests that wait for a place",
        )
        metrics.register_gauge(
            "dotterelbridge.gateway.held_targets",
            self._router.count_held_targets,
            "Targets that said that they leave, or asked to wait",
        )
        metrics.register_gauge(
            "dotterelbridge.gateway.limited_targets",
            self._limiter.count_limited,
            "Targets that have named a rate limit",
        )
        metrics.register_gauge(
            "dotterelbridge.gateway.in_flight",
            lambda: self._app.in_flight,
            "Requests that are being answered",
        )
        metrics.register_gauge(
            "dotterelbridge.teams.permission_age",
            lambda: self._key_permission.age_ms() / _MS_PER_S,
            "Time since the keys of teams were known to be current",
            unit="s",
        )

    def _get_detached_ms(self) -> int:
        return self._fleet_follower.contact.detached_ms()

    async def drain(self) -> None:
        """Accept no new work; return when all requests are finished."""
        await self._caller_listener.drain()
        await self._network.wait_until_idle(FLUSH_TIMEOUT)

    def describe_open_work(self) -> dict[str, int]:
        """Return the number of requests in flight."""
        return {"requests": self._app.in_flight}

    async def _report_demand(self) -> None:
        """Send demand reports to the source.

        A request for an item that no target holds triggers a report
        without waiting for the end of the interval.
        """
        fleet_settings = self._settings.fleet
        report_interval_s = fleet_settings.demand_interval_ms / 1000
        min_interval = timedelta(milliseconds=fleet_settings.demand_urgent_ms)
        while True:
            with anyio.move_on_after(report_interval_s):
                await self._router.missing_item_event.wait()
            self._router.missing_item_event = anyio.Event()
            items = self._router.read_demand()
            source = self._fleet_follower.source
            answered_traits = self._router.crash_watch.read_answered_traits()
            answers = self._read_answers()
            stream_gaps = self._read_stream_gaps()
            if source is not None and (
                items or answered_traits or answers or stream_gaps
            ):
                self._network.send(
                    source,
                    DemandReport(
                        entry_vm=self._network.own_id,
                        items=items,
                        answered_traits=answered_traits,
                        answers=answers,
                        stream_gaps=stream_gaps,
                    ),
                )
            await self._clock.sleep(min_interval)

    def _read_answers(self) -> tuple[TargetAnswers, ...]:
        """Return how targets answered since the previous report."""
        error_watch = self._router.error_watch
        return () if error_watch is None else error_watch.read_counts()

    def _read_stream_gaps(self) -> tuple[StreamGap, ...]:
        """Return what streams measured since the previous report."""
        return () if self._stream_gaps is None else self._stream_gaps.read()

    async def _report_crashes(self) -> None:
        """Send reports of crashed targets, each until the leader has it."""
        while True:
            crash = await self._router.crash_watch.wait_for_crash()
            with anyio.move_on_after(_CRASH_REPORT_LIFETIME_S):
                while not await self._send_crash_report(crash):
                    await self._clock.sleep(_CRASH_REPORT_RETRY_DELAY)

    async def _send_crash_report(self, crash: Crash) -> bool:
        """Return whether the leader of the log has recorded the crash."""
        report = crash.create_report(self._clock.monotonic())
        source = self._fleet_follower.source
        if source is None:
            return False
        try:
            reply = await self._network.request(
                source, report, _CRASH_REPORT_TIMEOUT
            )
        except PeerError:
            return False
        return isinstance(reply, CrashRecorded) and reply.is_recorded


def _create_stream_gaps(settings: NodeSettings) -> StreamGaps | None:
    """Return the measurement of streams, if a setting uses it."""
    is_used = (
        settings.fleet.place_by_speed
        or settings.gateway.balance is not BalanceMode.REQUESTS
    )
    return StreamGaps() if is_used else None


def create_entry_node(
    settings: NodeSettings,
    settings_path: str,
    header_names: HeaderNames,
    routes_format: RoutesFormat,
    clock: Clock,
) -> EntryNode:
    """Create the daemon of an entry VM.

    :param settings_path: the settings file, read again on SIGHUP.
    """
    return EntryNode(
        settings, settings_path, header_names, routes_format, clock
    )
