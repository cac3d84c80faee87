"""An entry VM: serves callers by what the control VMs tell it."""

from datetime import timedelta

import anyio

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.gateway.app import create_gateway_app
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.nodes.directory import ControlDirectory
from dotterelbridge.nodes.node import FLUSH_LIMIT
from dotterelbridge.nodes.node import Node
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.nodes.probes import ProbeApp
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.serving.listener import create_caller_listener


class EntryNode(Node):
    """The parts of an entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        path: str,
        names: HeaderNames,
        routes_format: RoutesFormat,
        clock: Clock,
    ) -> None:
        super().__init__(settings, path, routes_format, clock)
        own = self._own
        rng = self._rng
        self._directory = ControlDirectory(
            self._network,
            own,
            settings.seeds(),
            lambda: self._follower.control_vms,
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
        self._follower.subscribe_control_vms(self._directory.update)
        self._router = create_gateway_router(
            self._board,
            clock,
            settings.gateway,
            settings.targets,
            rng,
            own.failure_domain,
            settings.regions,
            lambda: self._follower.entry_vm_count,
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
        self._app.add_readiness_condition(
            lambda: self._routes.route_set is not None
        )
        self._listener = create_caller_listener(
            self._app, settings.listen_at(settings.node.caller_address), clock
        )
        self._probes = AuxiliaryListener(
            ProbeApp(lambda: self._app.is_ready),
            settings.listen_at(settings.node.ready_address),
            clock,
        )
        self._observe()
        self._registry.add("gateway", self._app)
        self._registry.add("routing", self._router)

    async def run_components(self) -> None:
        """Run all parts until cancelled."""
        await self._run(
            (
                self._directory.run,
                self._follower.run,
                self._router.run,
                self._report_demand,
                self._probes.run,
                self._listener.run,
            ),
            caller_port=self._listener.port,
        )

    def _observe(self) -> None:
        metrics.register_gauge(
            "dotterelbridge.gateway.waiting",
            self._router.count_waiting_requests,
            "Requests that wait for a place",
        )
        metrics.register_gauge(
            "dotterelbridge.gateway.in_flight",
            lambda: self._app.in_flight,
            "Requests that are being answered",
        )

    def _detached_ms(self) -> int:
        return self._follower.contact.detached_ms()

    async def drain(self) -> None:
        """Take no new work; return when all requests are answered."""
        await self._listener.drain()
        await self._network.wait_until_idle(FLUSH_LIMIT)

    def describe_open_work(self) -> dict[str, int]:
        """Return the number of requests in flight."""
        return {"requests": self._app.in_flight}

    async def _report_demand(self) -> None:
        """Tell the source what callers want; at once what is absent."""
        fleet = self._settings.fleet
        period_s = fleet.demand_interval_ms / 1000
        urgent = timedelta(milliseconds=fleet.demand_urgent_ms)
        while True:
            with anyio.move_on_after(period_s):
                await self._router.missing_item_event.wait()
            self._router.missing_item_event = anyio.Event()
            items = self._router.read_demand()
            source = self._follower.source
            if source is not None and items:
                self._network.send(
                    source,
                    DemandReport(
                        entry_vm=self._network.own_id,
                        items=items,
                    ),
                )
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
