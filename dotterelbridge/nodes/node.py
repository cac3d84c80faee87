"""What entry and control VMs have in common."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
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
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.loop_lag import LoopMonitor
from dotterelbridge.nodes.directory import ControlDirectory
from dotterelbridge.nodes.probes import create_metrics_listeners
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.document import RoutesFormat

_log = structlog.get_logger(__name__)

FLUSH_LIMIT = timedelta(milliseconds=500)
"""Time for messages that wait when a node ends."""
_MS = 1000


class Node(abc.ABC):
    """A VM that finds the others by seeds."""

    _directory: ControlDirectory

    def __init__(
        self,
        settings: NodeSettings,
        path: str,
        routes_format: RoutesFormat,
        clock: Clock,
    ) -> None:
        self._rng = random.SystemRandom()
        self._settings = settings
        self._path = path
        self._clock = clock
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
        self._board = FleetState(clock)
        self._routes = ActiveRoutes(routes_format)
        self._registry = DumpRegistry()
        self._registry.add("peers", self._network)
        self._metrics_listeners = create_metrics_listeners(settings, clock)
        metrics.register_gauge(
            "dotterelbridge.fleet.view_age",
            lambda: self._detached_ms() / _MS,
            "Age of what this VM knows of targets and routes",
            unit="s",
        )
        metrics.register_gauge(
            "dotterelbridge.routes.version",
            lambda: self._routes.version,
            "Version of the routes in force",
        )

    def reload(self) -> None:
        """Take the seeds of changed settings."""
        settings = load_node_settings(self._path)
        self._directory.set_seeds(settings.seeds())

    def write_dump(self) -> str | None:
        """Log the state of all parts; no file is written."""
        state: dict[str, Any] = self._registry.dump_all()
        events.log(_log, CoreEvent.STATE_DUMPED, path=None, state=state)

    async def _run(
        self,
        parts: Iterable[Callable[[], Awaitable[None]]],
        **started: object,
    ) -> None:
        """Run the parts, with those of every node, until cancelled.

        :param started: what the log line of the start tells.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._network.run)
            group.start_soon(LoopMonitor(self._clock).run)
            for run in parts:
                group.start_soon(run)
            for listener in self._metrics_listeners:
                group.start_soon(listener.run)
            events.log(
                _log,
                CoreEvent.DAEMON_STARTED,
                vm=self._settings.node.name,
                role=self._settings.node.role.value,
                **started,
            )

    @abc.abstractmethod
    def _detached_ms(self) -> int:
        """Return how long ago this VM was certainly up to date."""
