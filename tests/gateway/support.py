"""Runs a gateway on a real socket in front of fake targets."""

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
from dotterelbridge.gateway.stream_gaps import StreamGaps
from dotterelbridge.ids import TargetId
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.recorder import StreamRecorder
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import TrafficShare
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.teams.permission import KeyPermission
from tests.fleet.support import DOMAIN
from tests.fleet.support import create_quarantine
from tests.fleet.support import create_target
from tests.permits.support import create_limiter
from tests.routes.support import JOBS
from tests.routes.support import activate_route_set
from tests.routes.support import create_route
from tests.routes.support import create_route_set
from tests.serving.fakes import FakeTarget

HEADER_NAMES = HeaderNames(
    signature=b"x-signature", internal_headers=frozenset((b"x-hold",))
)
SIGNED_HEADERS = {"x-signature": "s"}
NOT_RUN_HEADERS = {"dotterelbridge-not-run": "1"}
HOST = "quotes.example"
TARGETS = TargetsSettings(connect_timeout_ms=300, skip_foreign_answers=True)


def create_routes(**fields):
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


class GatewayHarness:
    """A gateway with its fleet state and fake targets."""

    def __init__(
        self,
        routes,
        settings: GatewaySettings,
        health_path: str,
        targets: TargetsSettings,
        stop_grace_s: float,
        key_permission: KeyPermission | None,
        stream_recorder: StreamRecorder | None,
    ) -> None:
        self.clock = SystemClock()
        self.fleet_state = FleetState(self.clock)
        rng = random.Random(1)
        self.active_routes = activate_route_set(
            create_route_set(1, routes, health_path=health_path)
        )
        self.targets: dict[str, FakeTarget] = {}
        self.quarantine = create_quarantine()
        self.stream_gaps = StreamGaps()
        self.router = create_gateway_router(
            self.fleet_state,
            self.clock,
            settings,
            targets,
            rng,
            DOMAIN,
            {DOMAIN: "r"},
            lambda: 2,
            self.quarantine,
            create_limiter(self.clock),
        )
        serving = ServingSettings(
            port=0, balancer_lead_s=0, stop_grace_s=stop_grace_s
        )
        self.app = create_gateway_app(
            self.active_routes,
            self.router,
            HEADER_NAMES,
            settings,
            serving,
            self.clock,
            rng,
            key_permission,
            stream_recorder=stream_recorder,
            stream_gaps=self.stream_gaps,
        )
        self.listener = create_caller_listener(self.app, serving, self.clock)

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.listener.port}"

    async def add_target(self, name, handler, **fields) -> FakeTarget:
        """Start a fake target and add it to the fleet state."""
        target = FakeTarget(name, handler)
        await target.start()
        self.targets[name] = target
        self.update_target(name, **fields)
        return target

    def update_target(self, name, **fields) -> None:
        """Add a target to the fleet state, or replace it there."""
        defaults = {"port": self.targets[name].port, "service": JOBS}
        target = create_target(name, **(defaults | fields))
        self.fleet_state.update([target])

    def remove_target(self, name) -> None:
        self.fleet_state.update((), [TargetId(name)])

    async def call(self, path, method="POST", **fields) -> httpx.Response:
        """Send a request on a new connection."""
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
async def run_gateway(
    routes=None,
    health_path="",
    targets: TargetsSettings = TARGETS,
    stop_grace_s: float = 0,
    key_permission: KeyPermission | None = None,
    stream_recorder: StreamRecorder | None = None,
    **settings,
):
    """Run a gateway until the context exits."""
    gateway = GatewayHarness(
        routes or create_routes(),
        GatewaySettings(**({"absent_grace_ms": 200} | settings)),
        health_path,
        targets,
        stop_grace_s,
        key_permission,
        stream_recorder,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(gateway.router.run)
        group.start_soon(gateway.listener.run)
        yield gateway
        group.cancel_scope.cancel()
    for target in gateway.targets.values():
        await target.stop()


async def wait_until(condition, timeout=timedelta(seconds=10)) -> None:
    with anyio.fail_after(timeout.total_seconds()):
        while not condition():
            await anyio.sleep(0.005)


def create_event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


class SoleVersionRecorder(StreamRecorder):
    """Has no record; vouches for one origin."""

    def __init__(self, origin) -> None:
        self.queries = []
        self._origin = origin

    def record_begun(self, *_) -> None:
        """Record nothing."""

    async def find_origin(self, request_id, *query) -> StreamOrigin:
        self.queries.append((request_id, *query))
        return self._origin
