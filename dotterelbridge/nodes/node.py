"""Base class of the daemons of entry and control VMs."""

import abc
from collections.abc import Iterable
import contextlib
from datetime import timedelta
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.errors import SettingsError
from dotterelbridge.events import CoreEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.loop_lag import LoopMonitor
from dotterelbridge.nodes.directory import ControlVmDirectory
from dotterelbridge.nodes.probes import create_metrics_listeners
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.model import CallerLimits
from dotterelbridge.serving.listener import Listener
from dotterelbridge.supervision import Part
from dotterelbridge.supervision import run_supervised
from dotterelbridge.targets.memory_account import create_memory_account

_log = structlog.get_logger(__name__)

FLUSH_TIMEOUT = timedelta(milliseconds=500)
"""Time to send queued messages to peers before a node stops."""
_MS_PER_S = 1000
_ISOLATED_RELOAD_INTERVAL = timedelta(seconds=2)
"""Time between two readings of the settings while no control VM is linked."""


class Node(abc.ABC):
    """A daemon on a VM that discovers the others through seeds."""

    _directory: ControlVmDirectory

    def __init__(
        self,
        settings: NodeSettings,
        settings_path: str,
        routes_format: RoutesFormat,
        clock: Clock,
    ) -> None:
        self._rng = random.SystemRandom()
        self._settings = settings
        self._settings_path = settings_path
        self._seeds = settings.list_seeds()
        self._clock = clock
        self._own_vm = settings.describe_own_vm()
        self._network = create_peer_network(
            settings.peers,
            self._own_vm,
            [],
            clock,
            settings.discovery.secret.encode(),
            dial=(),
            random=self._rng,
            accept_unknown=True,
        )
        self._fleet_state = FleetState(clock)
        self._routes = ActiveRoutes(routes_format)
        self._quarantine = Quarantine(self._own_vm.vm, settings.fleet, clock)
        self._registry = DumpRegistry()
        self._registry.add("peers", self._network)
        self._memory_account = create_memory_account(
            settings.serving.memory_limit_mb
        )
        self._metrics_listeners = create_metrics_listeners(
            settings, clock, self._memory_account
        )
        metrics.register_gauge(
            "dotterelbridge.fleet.view_age",
            lambda: self._get_detached_ms() / _MS_PER_S,
            "Age of what this VM knows of targets and routes",
            unit="s",
        )
        metrics.register_gauge(
            "dotterelbridge.fleet.quarantined_parts",
            self._quarantine.count_traits,
            "Prompt parts with which requests are refused",
        )
        metrics.register_gauge(
            "dotterelbridge.routes.version",
            lambda: self._routes.version,
            "Version of the routes in force",
        )

    def _read_caller_limits(self) -> CallerLimits | None:
        route_set = self._routes.route_set
        return None if route_set is None else route_set.limits

    def reload(self) -> None:
        """Read the settings file again; only changed seeds take effect."""
        settings = load_node_settings(self._settings_path)
        self._seeds = settings.list_seeds()
        self._directory.set_seeds(self._seeds)

    async def _reload_while_isolated(self) -> None:
        """Read the settings again while all seeds may be gone.

        They may be replaced without a signal, and nobody knows of a new VM
        none of whose seeds exists.
        """
        while True:
            await self._clock.sleep(_ISOLATED_RELOAD_INTERVAL)
            if self._directory.is_isolated:
                with contextlib.suppress(SettingsError):
                    self.reload()

    def write_dump(self) -> str | None:
        """Log the state of all parts; no file is written."""
        state: dict[str, Any] = self._registry.dump_all()
        events.log(_log, CoreEvent.STATE_DUMPED, path=None, state=state)

    async def _run_with_common_parts(
        self,
        parts: Iterable[Part],
        listeners: Iterable[Listener],
        **start_fields: object,
    ) -> None:
        """Run these parts and those that every node has, until cancelled.

        Parts that fail are started again; a failed listener ends the node.

        :param start_fields: extra fields for the log line of the start.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._network.run)
            common_parts = (
                LoopMonitor(self._clock).run,
                self._reload_while_isolated,
            )
            for run in (*common_parts, *parts):
                group.start_soon(run_supervised, run, self._clock)
            for listener in (*listeners, *self._metrics_listeners):
                group.start_soon(listener.run)
            events.log(
                _log,
                CoreEvent.DAEMON_STARTED,
                vm=self._settings.node.name,
                role=self._settings.node.role.value,
                **start_fields,
            )

    def _is_detached(self) -> bool:
        """Whether what this VM knows of targets and routes is outdated."""
        limit_ms = self._settings.fleet.detached_limit_ms
        return self._get_detached_ms() > limit_ms

    @abc.abstractmethod
    def _get_detached_ms(self) -> int:
        """Return the time since this VM's view was known to be current."""
