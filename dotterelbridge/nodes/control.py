"""A control VM: the replicated log and what rests on it."""

from datetime import timedelta
from pathlib import Path
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.events import CoreEvent
from dotterelbridge.fleet.board import FleetBoard
from dotterelbridge.fleet.demand import DemandBoard
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.feed import FleetFeed
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.holder import MACHINE_NAME as HOLDER_MACHINE
from dotterelbridge.fleet.holder import HolderTable
from dotterelbridge.fleet.listing import ListingReader
from dotterelbridge.fleet.listing import TargetListing
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.ordering import create_ordering
from dotterelbridge.ids import VmId
from dotterelbridge.nodes.directory import ControlDirectory
from dotterelbridge.nodes.probes import ProbeListener
from dotterelbridge.nodes.probes import create_metrics_listeners
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.recovering import create_recovering_log
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.door import RoutesDoor
from dotterelbridge.routes.force import RoutesInForce
from dotterelbridge.routes.submission import create_routes_submitter
from dotterelbridge.routes.table import MACHINE_NAME as ROUTES_MACHINE
from dotterelbridge.routes.table import RouteTable

_log = structlog.get_logger(__name__)

_HAND_OVER_LIMIT = timedelta(seconds=2)
_FLUSH_LIMIT = timedelta(milliseconds=500)
_LOG_FOLDER = "log"
_MS = 1000


class ControlNode:
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
        self._rng = random.SystemRandom()
        self._settings = settings
        self._path = path
        self._clock = clock
        self._registry = DumpRegistry()
        self._own = settings.own_vm()
        self._network = create_peer_network(
            settings.peers,
            self._own,
            [],
            clock,
            settings.discovery.secret.encode(),
            dial=(),
            random=self._rng,
            accept_unknown=True,
        )
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
        self._metrics_listeners = create_metrics_listeners(settings, clock)
        self._observe()
        self._registry.add("replication", self._log)
        self._registry.add("peers", self._network)

    def list_roster(self) -> tuple[VmId, ...]:
        """Return the VMs that hold the log, as far as is known here."""
        members = self._log.configuration.members
        return tuple(sorted({member.vm for member in members}))

    async def run_parts(self) -> None:
        """Run all parts until cancelled."""
        async with anyio.create_task_group() as group:
            for run in (
                self._network.run,
                self._log.run,
                self._directory.run,
                self._follower.run,
                self._reader.run,
                self._ordering.run,
                self._door.run,
                *(listener.run for listener in self._metrics_listeners),
            ):
                group.start_soon(run)
            events.log(
                _log,
                CoreEvent.DAEMON_STARTED,
                vm=self._settings.node.name,
                role="control",
                operator_port=self._door.port,
            )

    def _observe(self) -> None:
        metrics.observe(
            "dotterelbridge.replication.leads",
            lambda: int(self._log.leads()),
            "1 while this VM leads the replicated log",
        )
        metrics.observe(
            "dotterelbridge.fleet.view_age",
            lambda: self._detached_ms() / _MS,
            "Age of what this VM knows of targets and routes",
            unit="s",
        )
        metrics.observe(
            "dotterelbridge.routes.version",
            lambda: self._routes.version,
            "Version of the routes in force",
        )

    async def drain(self) -> None:
        """Let another VM lead, and answer what is asked already."""
        await self._log.hand_over(_HAND_OVER_LIMIT)
        await self._network.flush(_FLUSH_LIMIT)

    def reload(self) -> None:
        """Take the seeds of changed settings."""
        settings = load_node_settings(self._path)
        self._directory.set_seeds(settings.seeds())

    def describe_open_work(self) -> dict[str, int]:
        """Return nothing: requests of operators are short."""
        return {}

    def write_dump(self) -> str | None:
        """Log the state of all parts."""
        state: dict[str, Any] = self._registry.dump_all()
        events.log(_log, CoreEvent.STATE_DUMPED, path=None, state=state)

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
        self._routes = RoutesInForce(routes_format)
        table = RouteTable()
        table.subscribe(self._routes.adopt)
        self._log.add_machine(ROUTES_MACHINE, table)
        submitter = create_routes_submitter(self._log, table, routes_format)
        self._door = ProbeListener(
            RoutesDoor(submitter, routes_path),
            self._settings.listen_at(self._settings.node.operator_address),
            self._clock,
        )

    def _create_fleet(
        self, listing: TargetListing, engines: EngineControl
    ) -> None:
        settings = self._settings.fleet
        clock = self._clock
        self._board = FleetBoard(clock)
        self._demand = DemandBoard(clock)
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
            listing, self._board, settings, clock, self._log.leads
        )
        self._log.add_machine(HOLDER_MACHINE, HolderTable())
        self._ordering = create_ordering(
            self._own.vm,
            self._log,
            self._board,
            self._routes,
            self._demand,
            engines,
            settings,
            clock,
        )
        self._network.handle(DemandReport, self._take_demand)

    def _list_sources(self) -> list[VmId]:
        """Return the leader, unless this VM leads or knows none."""
        leader = self._log.leader()
        if leader is None or leader == self._own.vm:
            return []
        return [leader]

    def _detached_ms(self) -> int:
        """Return how long ago this VM was certainly up to date."""
        self._feed.deployment_entry_vms = self._follower.entry_vms
        if self._log.leads():
            return 0
        return self._follower.contact.detached_ms()

    async def _take_demand(self, sender: VmId, report: DemandReport) -> None:
        if self._log.leads():
            if self._demand.take(report):
                self._ordering.wake()
            return
        leader = self._log.leader()
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
