"""A gateway on a real socket before fake targets."""

import contextlib
from datetime import timedelta
import random

import anyio
import httpx

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.gateway.app import create_gateway_app
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import TrafficShare
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.settings import TargetsSettings
from tests.fleet.support import DOMAIN
from tests.fleet.support import create_target
from tests.routes.support import JOBS
from tests.routes.support import activate_route_set
from tests.routes.support import create_route
from tests.routes.support import create_route_set
from tests.serving.fakes import FakeTarget

NAMES = HeaderNames(
    signature=b"x-signature", internal_headers=frozenset((b"x-hold",))
)
SIGNED = {"x-signature": "s"}
NOT_RUN = {"dotterelbridge-not-run": "1"}
HOST = "quotes.example"


def list_routes(**fields):
    """Return one route of each kind."""
    jobs = (TrafficShare(JOBS, 1),)
    return [
        create_route("quotes", **fields),
        create_route(
            "drafts", is_resumable=True, attempts=2, rank=2, **fields
        ),
        create_route(
            "book", repeatability=Repeatability.UNSAFE, shares=jobs, **fields
        ),
        create_route(
            "look",
            repeatability=Repeatability.SAFE,
            shares=jobs,
            attempts=2,
            **fields,
        ),
    ]


class Gateway:
    """The app, its board, and the targets."""

    def __init__(
        self, routes, settings: GatewaySettings, health_path: str
    ) -> None:
        self.clock = SystemClock()
        self.board = FleetState(self.clock)
        rng = random.Random(1)
        self.active_routes = activate_route_set(
            create_route_set(1, routes, health_path=health_path)
        )
        self.targets: dict[str, FakeTarget] = {}
        self.router = create_gateway_router(
            self.board,
            self.clock,
            settings,
            TargetsSettings(connect_timeout_ms=300, skip_foreign_answers=True),
            rng,
            DOMAIN,
            {DOMAIN: "r"},
            lambda: 2,
        )
        serving = ServingSettings(port=0, balancer_lead_s=0)
        self.app = create_gateway_app(
            self.active_routes,
            self.router,
            NAMES,
            settings,
            serving,
            self.clock,
            rng,
        )
        self.listener = create_caller_listener(self.app, serving, self.clock)

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.listener.port}"

    async def add(self, name, behaviour, **fields) -> FakeTarget:
        """Start a target and list it."""
        target = FakeTarget(name, behaviour)
        await target.start()
        self.targets[name] = target
        self.show(name, **fields)
        return target

    def show(self, name, **fields) -> None:
        """Put a target on the board, as changed."""
        defaults = {"port": self.targets[name].port, "service": JOBS}
        target = create_target(name, **(defaults | fields))
        self.board.update([target])

    def remove(self, name) -> None:
        self.board.update((), [TargetId(name)])

    async def call(self, path, method="POST", **fields) -> httpx.Response:
        """Send a request on a connection of its own."""
        headers = {
            "host": HOST,
            "x-request-id": fields.pop("request", "r1"),
            "dotterelbridge-deadline": "2000",
        }
        headers |= fields.pop("headers", {})
        async with httpx.AsyncClient(timeout=20) as client:
            return await client.request(
                method, self.url + path, headers=headers, **fields
            )


@contextlib.asynccontextmanager
async def run_gateway(routes=None, health_path="", **settings):
    """Run a gateway; it ends with the context."""
    gateway = Gateway(
        routes or list_routes(),
        GatewaySettings(**({"absent_grace_ms": 200} | settings)),
        health_path,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(gateway.router.run)
        group.start_soon(gateway.listener.run)
        yield gateway
        group.cancel_scope.cancel()
    for target in gateway.targets.values():
        await target.stop()


async def wait_until(condition, limit=timedelta(seconds=10)) -> None:
    with anyio.fail_after(limit.total_seconds()):
        while not condition():
            await anyio.sleep(0.005)


def event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)
