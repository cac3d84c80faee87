"""An entry VM: serves callers by what the control VMs tell it."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
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
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.gateway.app import create_gateway_app
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.nodes.directory import ControlDirectory
from dotterelbridge.nodes.probes import ProbeApp
from dotterelbridge.nodes.probes import ProbeListener
from dotterelbridge.nodes.probes import create_metrics_listeners
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.force import RoutesInForce
from dotterelbridge.serving.listener import create_caller_listener

_log = structlog.get_logger(__name__)

_FLUSH_LIMIT = timedelta(milliseconds=500)
_MS = 1000


class EntryNode:
    """The parts of an entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        path: str,
        names: HeaderNames,
        routes_format: RoutesFormat,
        clock: Clock,
    ) -> None:
        rng = random.SystemRandom()
        self._settings = settings
        self._path = path
        self._clock = clock
        self._registry = DumpRegistry()
        own = settings.own_vm()
        self._network = create_peer_network(
            settings.peers,
            own,
            [],
            clock,
            settings.discovery.secret.encode(),
            dial=(),
            random=rng,
            accept_unknown=True,
        )
        self._board = FleetBoard(clock)
        self._routes = RoutesInForce(routes_format)
        self._directory = ControlDirectory(
            self._network,
            own,
            settings.seeds(),
            lambda: self._follower.roster,
            clock,
        )
        self._follower = FleetFollower(
            self._network,
            self._board,
            self._routes,
            settings.fleet,
            clock,
            rng,
            self._directory.rank,
            lambda: 1,
        )
        self._follower.subscribe_roster(self._directory.update)
        self._router = create_gateway_router(
            self._board,
            clock,
            settings.gateway,
            settings.targets,
            rng,
            own.failure_domain,
            settings.regions,
            lambda: self._follower.entry_vms,
        )
        self._app = create_gateway_app(
            self._routes,
            self._router,
            names,
            settings.gateway,
            settings.serving,
            clock,
            rng,
        )
        self._app.require(lambda: self._routes.routes is not None)
        self._listener = create_caller_listener(
            self._app, settings.listen_at(settings.node.caller_address), clock
        )
        self._probes = ProbeListener(
            ProbeApp(lambda: self._app.ready),
            settings.listen_at(settings.node.ready_address),
            clock,
        )
        self._metrics_listeners = create_metrics_listeners(settings, clock)
        self._observe()
        self._registry.add("gateway", self._app)
        self._registry.add("routing", self._router)
        self._registry.add("peers", self._network)

    async def run_parts(self) -> None:
        """Run all parts until cancelled."""
        parts: list[Callable[[], Awaitable[None]]] = [
            self._network.run,
            self._directory.run,
            self._follower.run,
            self._router.run,
            self._report_demand,
            self._probes.run,
            self._listener.run,
            *(listener.run for listener in self._metrics_listeners),
        ]
        async with anyio.create_task_group() as group:
            for run in parts:
                group.start_soon(run)
            events.log(
                _log,
                CoreEvent.DAEMON_STARTED,
                vm=self._settings.node.name,
                role="entry",
                caller_port=self._listener.port,
            )

    def _observe(self) -> None:
        metrics.observe(
            "dotterelbridge.gateway.waiting",
            self._router.count_waiting,
            "Requests that wait for a place",
        )
        metrics.observe(
            "dotterelbridge.gateway.in_flight",
            lambda: self._app.in_flight,
            "Requests that are being answered",
        )
        metrics.observe(
            "dotterelbridge.fleet.view_age",
            lambda: self._follower.contact.detached_ms() / _MS,
            "Age of what this VM knows of targets and routes",
            unit="s",
        )
        metrics.observe(
            "dotterelbridge.routes.version",
            lambda: self._routes.version,
            "Version of the routes in force",
        )

    async def drain(self) -> None:
        """Take no new work; return when all requests are answered."""
        await self._listener.drain()
        await self._network.flush(_FLUSH_LIMIT)

    def reload(self) -> None:
        """Take the seeds of changed settings."""
        settings = load_node_settings(self._path)
        self._directory.set_seeds(settings.seeds())

    def describe_open_work(self) -> dict[str, int]:
        """Return the number of requests in flight."""
        return {"requests": self._app.in_flight}

    def write_dump(self) -> str | None:
        """Log the state: an entry VM has no disk."""
        state: dict[str, Any] = self._registry.dump_all()
        events.log(_log, CoreEvent.STATE_DUMPED, path=None, state=state)

    async def _report_demand(self) -> None:
        """Tell the source what callers want; at once what is absent."""
        fleet = self._settings.fleet
        period_s = fleet.demand_interval_ms / 1000
        urgent = timedelta(milliseconds=fleet.demand_urgent_ms)
        sent_at = self._clock.monotonic()
        while True:
            with anyio.move_on_after(period_s):
                await self._router.absent.wait()
            self._router.absent = anyio.Event()
            now = self._clock.monotonic()
            items = self._router.read_demand()
            source = self._follower.source
            if source is not None and items:
                self._network.send(
                    source,
                    DemandReport(
                        entry_vm=self._network.own_id,
                        items=items,
                        period_ms=int((now - sent_at) * 1000),
                    ),
                )
            sent_at = now
            await self._clock.sleep(urgent)


def create_entry_node(
    settings: NodeSettings,
    path: str,
    names: HeaderNames,
    routes_format: RoutesFormat,
    clock: Clock,
) -> EntryNode:
    """Return the parts of an entry VM.

    :param path: the settings file, read again on SIGHUP.
    """
    return EntryNode(settings, path, names, routes_format, clock)
