"""The daemon of a control VM: replicated log, routes and fleet control."""

from datetime import timedelta
from pathlib import Path

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.fleet.authority_table import (
    STATE_MACHINE_NAME as AUTHORITY_STATE_MACHINE,
)
from dotterelbridge.fleet.authority_table import AuthorityTable
from dotterelbridge.fleet.controller import create_fleet_controller
from dotterelbridge.fleet.demand import DemandTracker
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.feed import FleetFeed
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.listing import ListingReader
from dotterelbridge.fleet.listing import TargetListing
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.rate_limit_recorder import RateLimitRecorder
from dotterelbridge.fleet.target_evidence import TargetEvidence
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.nodes.directory import ControlVmDirectory
from dotterelbridge.nodes.node import FLUSH_TIMEOUT
from dotterelbridge.nodes.node import Node
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.permits.service import PermitService
from dotterelbridge.quarantine.keeper import QuarantineKeeper
from dotterelbridge.quarantine.messages import CrashEvidence
from dotterelbridge.quarantine.messages import CrashRecorded
from dotterelbridge.quarantine.messages import CrashReport
from dotterelbridge.quarantine.quarantine import (
    STATE_MACHINE_NAME as QUARANTINE_STATE_MACHINE,
)
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quotas.service import CreditService
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.recovering_log import create_recovering_log
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.keeper import create_stream_keeper
from dotterelbridge.routes.app import RoutesApp
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.submission import create_routes_submitter
from dotterelbridge.routes.table import (
    STATE_MACHINE_NAME as ROUTES_STATE_MACHINE,
)
from dotterelbridge.routes.table import RouteTable
from dotterelbridge.teams.confirmation import KeyConfirmation
from dotterelbridge.teams.permission import KeyPermission
from dotterelbridge.teams.settings import TeamsSettings

_LEADERSHIP_TRANSFER_TIMEOUT = timedelta(seconds=2)
_CRASH_REPORT_TIMEOUT = timedelta(milliseconds=500)
"""Time for the leader to answer a report that this VM passes on."""
_LOG_FOLDER_NAME = "log"


class ControlNode(Node):
    """Assembles and runs the parts of a control VM."""

    def __init__(
        self,
        settings: NodeSettings,
        settings_path: str,
        routes_format: RoutesFormat,
        routes_path: str,
        listing: TargetListing,
        engines: EngineControl,
        clock: Clock,
    ) -> None:
        super().__init__(settings, settings_path, routes_format, clock)
        self._replicated_log = create_recovering_log(self._open_log, clock)
        self._directory = ControlVmDirectory(
            self._network,
            self._own_vm,
            settings.list_seeds(),
            self.list_control_vms,
            clock,
        )
        self._create_route_parts(routes_format, routes_path)
        self._create_fleet_parts(listing, engines)
        metrics.register_gauge(
            "dotterelbridge.replication.leads",
            lambda: int(self._replicated_log.has_leader_lease()),
            "1 while this VM leads the replicated log",
        )
        metrics.register_gauge(
            "dotterelbridge.fleet.following_entry_vms",
            self._fleet_feed.count_entry_vms,
            "Entry VMs that follow through this VM",
        )
        self._register_speed_gauges()
        self._registry.add("replication", self._replicated_log)

    def _register_speed_gauges(self) -> None:
        speeds = self._target_evidence.speeds
        metrics.register_gauge(
            "dotterelbridge.fleet.engines_with_speed",
            lambda: len(speeds.list_speeds()),
            "Engines whose speed is known on this VM",
        )
        metrics.register_gauge(
            "dotterelbridge.fleet.fastest_step",
            lambda: min(speeds.list_speeds(), default=1.0),
            "Time of a step on the fastest engine, relative to the usual one",
        )
        metrics.register_gauge(
            "dotterelbridge.fleet.slowest_step",
            lambda: max(speeds.list_speeds(), default=1.0),
            "Time of a step on the slowest engine, relative to the usual one",
        )

    def list_control_vms(self) -> tuple[VmId, ...]:
        """Return the VMs that hold the replicated log, as known locally."""
        members = self._replicated_log.configuration.members
        return tuple(sorted({member.vm for member in members}))

    async def run_components(self) -> None:
        """Run all parts until cancelled."""
        await self._run_with_common_parts(
            (
                self._replicated_log.run,
                self._directory.run,
                self._fleet_follower.run,
                self._listing_reader.run,
                self._fleet_controller.run,
                self._target_evidence.run,
                self._quarantine_keeper.run,
                self._permit_service.run,
                self._credit_service.run,
                self._stream_keeper.run,
            ),
            (self._operator_listener,),
            operator_port=self._operator_listener.port,
        )

    async def drain(self) -> None:
        """Transfer leadership, then send the messages that are queued."""
        await self._replicated_log.transfer_leadership(
            _LEADERSHIP_TRANSFER_TIMEOUT
        )
        await self._network.wait_until_idle(FLUSH_TIMEOUT)

    def describe_open_work(self) -> dict[str, int]:
        """Return nothing, as operators' requests finish quickly."""
        return {}

    def _open_log(self) -> LogMember:
        settings = self._settings
        folder = Path(settings.node.data_folder) / _LOG_FOLDER_NAME
        bootstrap_vms = (
            settings.list_seeds() if settings.discovery.bootstrap else ()
        )
        return create_log_member(
            settings.replication,
            self._network,
            create_file_storage(folder),
            self._clock,
            bootstrap_vms,
            self._rng,
            list_seeds=lambda: self._seeds,
        )

    def _create_route_parts(
        self, routes_format: RoutesFormat, routes_path: str
    ) -> None:
        table = RouteTable()
        table.subscribe(self._routes.activate)
        self._replicated_log.add_state_machine(ROUTES_STATE_MACHINE, table)
        submitter = create_routes_submitter(
            self._replicated_log, table, routes_format
        )
        self._operator_listener = AuxiliaryListener(
            RoutesApp(submitter, routes_path),
            self._settings.create_listener_settings(
                self._settings.node.operator_address
            ),
            self._clock,
            self._memory_account,
            self._read_caller_limits,
        )

    def _create_fleet_parts(
        self, listing: TargetListing, engines: EngineControl
    ) -> None:
        settings = self._settings.fleet
        clock = self._clock
        self._demand_tracker = DemandTracker(clock)
        # Control VMs serve no requests, so here the permission never expires.
        key_permission = KeyPermission(clock, TeamsSettings())
        confirmation = KeyConfirmation(
            self._replicated_log, key_permission, clock
        )
        self._fleet_feed = FleetFeed(
            self._network,
            self._fleet_state,
            self._routes,
            self._quarantine,
            settings,
            clock,
            self._get_detached_ms,
            self.list_control_vms,
            confirmation.read_age_ms,
        )
        self._fleet_follower = FleetFollower(
            self._network,
            self._fleet_state,
            self._routes,
            self._quarantine,
            settings,
            clock,
            self._rng,
            self._list_follower_sources,
            self._fleet_feed.count_entry_vms,
            key_permission,
        )
        self._listing_reader = ListingReader(
            listing,
            self._fleet_state,
            settings,
            clock,
            self._replicated_log.has_leader_lease,
        )
        self._replicated_log.add_state_machine(
            AUTHORITY_STATE_MACHINE, AuthorityTable()
        )
        self._target_evidence = TargetEvidence(
            self._fleet_state, clock, self._replicated_log.has_leader_lease
        )
        self._fleet_controller = create_fleet_controller(
            self._own_vm.vm,
            self._replicated_log,
            self._fleet_state,
            self._routes,
            self._demand_tracker,
            engines,
            settings,
            clock,
            self._target_evidence,
        )
        self._network.register_handler(
            DemandReport, self._handle_demand_report
        )
        self._create_quarantine_parts()
        self._create_permit_parts()
        self._create_resumption_parts()

    def _create_permit_parts(self) -> None:
        self._rate_limit_recorder = RateLimitRecorder(
            self._network,
            self._fleet_state,
            self._clock,
            self._get_led_term,
            self._replicated_log.get_leader,
            self._is_detached,
        )
        self._permit_service = PermitService(
            self._network,
            self._clock,
            self._rng,
            self._get_led_term,
            self._replicated_log.get_leader,
            self._fleet_feed.find_attached_share,
        )
        self._credit_service = CreditService(
            self._network,
            self._clock,
            self._rng,
            self._settings.quotas,
            self._routes,
            self._get_led_term,
            self._replicated_log.get_leader,
            lambda: self._fleet_feed.find_attached_share(0),
        )
        self._registry.add("quotas", self._credit_service)

    def _create_resumption_parts(self) -> None:
        self._stream_keeper = create_stream_keeper(
            self._network,
            self._settings.resumption,
            VersionHistory(
                self._fleet_state,
                self._routes,
                self._clock,
                lambda: not self._is_detached(),
                lambda: self._listing_reader.is_reading,
            ),
            self.list_control_vms,
            self._clock,
            Path(self._settings.node.data_folder),
        )
        self._registry.add("resumption", self._stream_keeper)

    def _get_led_term(self) -> Term | None:
        """Return the term that this VM leads, or None."""
        if not self._replicated_log.has_leader_lease():
            return None
        return self._replicated_log.term

    def _create_quarantine_parts(self) -> None:
        table = QuarantineTable()
        table.subscribe(self._quarantine.activate)
        self._replicated_log.add_state_machine(QUARANTINE_STATE_MACHINE, table)
        self._quarantine_keeper = QuarantineKeeper(
            self._replicated_log,
            table,
            self._settings.fleet,
            self._clock,
            self._rng,
            self._replicated_log.has_leader_lease,
            self._demand_tracker.list_entry_vms,
            lambda traits: self._fleet_state.update(watched_traits=traits),
            self._share_evidence,
        )
        self._network.register_handler(CrashReport, self._handle_crash_report)
        self._network.register_handler(
            CrashEvidence, self._handle_crash_evidence
        )

    def _list_follower_sources(self) -> list[VmId]:
        """Return the leader; empty if unknown or this VM itself."""
        leader = self._replicated_log.get_leader()
        if leader is None or leader == self._own_vm.vm:
            return []
        return [leader]

    def _get_detached_ms(self) -> int:
        self._fleet_feed.deployment_entry_vm_count = (
            self._fleet_follower.entry_vm_count
        )
        if self._replicated_log.has_leader_lease():
            return 0
        return self._fleet_follower.contact.detached_ms()

    async def _handle_demand_report(
        self, sender: VmId, report: DemandReport
    ) -> None:
        if any(demand.waiting for demand in report.items):
            self._fleet_feed.record_waiting(sender)
        if self._replicated_log.has_leader_lease():
            self._quarantine_keeper.record_answered(report.answered_traits)
            self._target_evidence.add_report(report)
            if self._demand_tracker.add_report(report):
                self._fleet_controller.request_plan()
            return
        leader = self._replicated_log.get_leader()
        if leader is not None and sender != leader:
            self._network.send(leader, report)

    def _share_evidence(self, evidence: CrashEvidence) -> None:
        for vm in self.list_control_vms():
            if vm != self._own_vm.vm:
                self._network.send(vm, evidence)

    async def _handle_crash_evidence(
        self, sender: VmId, evidence: CrashEvidence
    ) -> None:
        if not self._replicated_log.has_leader_lease():
            self._quarantine_keeper.apply_evidence(evidence)

    async def _handle_crash_report(
        self, sender: VmId, report: CrashReport
    ) -> CrashRecorded:
        """Record a report on the leader, or pass it on to the leader."""
        if self._replicated_log.has_leader_lease():
            self._quarantine_keeper.record_crash(report)
            return CrashRecorded(is_recorded=True)
        leader = self._replicated_log.get_leader()
        if leader is None or leader in (sender, self._own_vm.vm):
            return CrashRecorded(is_recorded=False)
        try:
            reply = await self._network.request(
                leader, report, _CRASH_REPORT_TIMEOUT
            )
        except PeerError:
            return CrashRecorded(is_recorded=False)
        return reply


def create_control_node(
    settings: NodeSettings,
    settings_path: str,
    routes_format: RoutesFormat,
    routes_path: str,
    listing: TargetListing,
    engines: EngineControl,
    clock: Clock,
) -> ControlNode:
    """Create the daemon of a control VM.

    :param settings_path: the settings file, read again on SIGHUP.
    :param routes_path: URL path where operators submit and read routes.
    :raises StorageError: the data folder is damaged or in use.
    """
    return ControlNode(
        settings,
        settings_path,
        routes_format,
        routes_path,
        listing,
        engines,
        clock,
    )
