"""A control VM: the replicated log and what rests on it."""

from datetime import timedelta
from pathlib import Path

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.authority_table import MACHINE_NAME as HOLDER_MACHINE
from dotterelbridge.fleet.authority_table import AuthorityTable
from dotterelbridge.fleet.controller import create_fleet_controller
from dotterelbridge.fleet.demand import DemandTracker
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.feed import FleetFeed
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.listing import ListingReader
from dotterelbridge.fleet.listing import TargetListing
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.ids import VmId
from dotterelbridge.nodes.directory import ControlDirectory
from dotterelbridge.nodes.node import FLUSH_LIMIT
from dotterelbridge.nodes.node import Node
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.recovering_log import create_recovering_log
from dotterelbridge.routes.app import RoutesApp
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.submission import create_routes_submitter
from dotterelbridge.routes.table import MACHINE_NAME as ROUTES_MACHINE
from dotterelbridge.routes.table import RouteTable

_HAND_OVER_LIMIT = timedelta(seconds=2)
_LOG_FOLDER = "log"


class ControlNode(Node):
    """The parts of a control VM."""

    def __init__(
        self,
        settings: NodeSettings,
        path: str,
        routes_format: RoutesFormat,
        routes_path: str,
        listing: TargetListing,
        engines: EngineControl,
        clock: Clock,
    ) -> None:
        super().__init__(settings, path, routes_format, clock)
        self._log = create_recovering_log(self._open_log, clock)
        self._directory = ControlDirectory(
            self._network,
            self._own,
            settings.seeds(),
            self.list_roster,
            clock,
        )
        self._create_routes(routes_format, routes_path)
        self._create_fleet(listing, engines)
        metrics.register_gauge(
            "dotterelbridge.replication.leads",
            lambda: int(self._log.has_leader_lease()),
            "1 while this VM leads the replicated log",
        )
        self._registry.add("replication", self._log)

    def list_roster(self) -> tuple[VmId, ...]:
        """Return the VMs that hold the log, as far as is known here."""
        members = self._log.configuration.members
        return tuple(sorted({member.vm for member in members}))

    async def run_components(self) -> None:
        """Run all parts until cancelled."""
        await self._run(
            (
                self._log.run,
                self._directory.run,
                self._follower.run,
                self._reader.run,
                self._ordering.run,
                self._door.run,
            ),
            operator_port=self._door.port,
        )

    async def drain(self) -> None:
        """Let another VM lead, and answer what is asked already."""
        await self._log.transfer_leadership(_HAND_OVER_LIMIT)
        await self._network.wait_until_idle(FLUSH_LIMIT)

    def describe_open_work(self) -> dict[str, int]:
        """Return nothing: requests of operators are short."""
        return {}

    def _open_log(self) -> LogMember:
        settings = self._settings
        folder = Path(settings.node.data_folder) / _LOG_FOLDER
        founders = settings.seeds() if settings.discovery.bootstrap else ()
        return create_log_member(
            settings.replication,
            self._network,
            create_file_storage(folder),
            self._clock,
            founders,
            self._rng,
            list_seeds=settings.seeds,
        )

    def _create_routes(
        self, routes_format: RoutesFormat, routes_path: str
    ) -> None:
        table = RouteTable()
        table.subscribe(self._routes.activate)
        self._log.add_state_machine(ROUTES_MACHINE, table)
        submitter = create_routes_submitter(self._log, table, routes_format)
        self._door = AuxiliaryListener(
            RoutesApp(submitter, routes_path),
            self._settings.listen_at(self._settings.node.operator_address),
            self._clock,
        )

    def _create_fleet(
        self, listing: TargetListing, engines: EngineControl
    ) -> None:
        settings = self._settings.fleet
        clock = self._clock
        self._demand = DemandTracker(clock)
        self._feed = FleetFeed(
            self._network,
            self._board,
            self._routes,
            settings,
            clock,
            self._detached_ms,
            self.list_roster,
        )
        self._follower = FleetFollower(
            self._network,
            self._board,
            self._routes,
            settings,
            clock,
            self._rng,
            self._list_sources,
            self._feed.count_entry_vms,
        )
        self._reader = ListingReader(
            listing, self._board, settings, clock, self._log.has_leader_lease
        )
        self._log.add_state_machine(HOLDER_MACHINE, AuthorityTable())
        self._ordering = create_fleet_controller(
            self._own.vm,
            self._log,
            self._board,
            self._routes,
            self._demand,
            engines,
            settings,
            clock,
        )
        self._network.register_handler(DemandReport, self._take_demand)

    def _list_sources(self) -> list[VmId]:
        """Return the leader, unless this VM leads or knows none."""
        leader = self._log.get_leader()
        if leader is None or leader == self._own.vm:
            return []
        return [leader]

    def _detached_ms(self) -> int:
        self._feed.deployment_entry_vm_count = self._follower.entry_vm_count
        if self._log.has_leader_lease():
            return 0
        return self._follower.contact.detached_ms()

    async def _take_demand(self, sender: VmId, report: DemandReport) -> None:
        if self._log.has_leader_lease():
            if self._demand.add_report(report):
                self._ordering.request_plan()
            return
        leader = self._log.get_leader()
        if leader is not None and sender != leader:
            self._network.send(leader, report)


def create_control_node(
    settings: NodeSettings,
    path: str,
    routes_format: RoutesFormat,
    routes_path: str,
    listing: TargetListing,
    engines: EngineControl,
    clock: Clock,
) -> ControlNode:
    """Return the parts of a control VM.

    :param path: the settings file, read again on SIGHUP.
    :param routes_path: where operators submit and read routes.
    :raises StorageError: the data folder is damaged or in use.
    """
    return ControlNode(
        settings, path, routes_format, routes_path, listing, engines, clock
    )
