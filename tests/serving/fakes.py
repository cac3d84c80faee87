"""Fakes for tests of serving: targets, membership, sheet and claims.

A fake target speaks real HTTP over a socket; a handler coroutine from the
test serves each request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import random

import anyio

from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.clock import SystemClock
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import MembershipView
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import TargetView
from dotterelbridge.permits.limiter import create_lone_rate_limiter
from dotterelbridge.quarantine.guard import create_lone_crash_guard
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.callers import create_caller_app
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.teams import CallerTeams
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.settings import TargetsSettings

DOMAIN = FailureDomain("dublin-1")
REGION = Region("dublin")
BUSINESS = Business("liffeyside")
LISTEN_BACKLOG = 1024
"""Above the connections of any test, so that the kernel completes all of them
while the test's event loop gets no processor time."""


@dataclasses.dataclass
class ReceivedRequest:
    """One request as received by a fake target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    head: bytes = b""
    """As received, with repeated headers."""

    @property
    def offset(self) -> int:
        """Number of tokens to skip in a resumed stream."""
        return int(self.headers.get("x-resume-offset", "0"))

    async def answer(
        self,
        body: bytes,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete response."""
        fields = {"content-type": "application/json"} | (headers or {})
        fields["content-length"] = str(len(body))
        await self.send_head(status, fields)
        await self.send(body)

    async def start_stream(self, headers: dict[str, str] | None = None):
        """Send the head of an event stream."""
        fields = {
            "content-type": "text/event-stream",
            "transfer-encoding": "chunked",
        }
        await self.send_head(200, fields | (headers or {}))

    async def send_head(self, status: int, fields: dict[str, str]) -> None:
        echo = {
            name: value
            for name, value in self.headers.items()
            if name == "x-request-id"
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{k}: {v}" for k, v in (echo | fields).items()]
        await self.send("\r\n".join([*lines, "", ""]).encode())

    async def send_chunk(self, data: bytes) -> None:
        """Send one HTTP chunk; an empty one ends the body."""
        await self.send(b"%x\r\n%b\r\n" % (len(data), data))

    async def send_tokens(self, first: int, end: int) -> None:
        """Send the events of tokens ``first`` to ``end``, exclusive."""
        for number in range(first, end):
            await self.send_chunk(token_event(number))

    async def finish_stream(self) -> None:
        """Send the closing event and the end of the body."""
        await self.send_chunk(b"data: [DONE]\n\n")
        await self.send_chunk(b"")

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the other side closes the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65536):
                pass


def token_event(number: int) -> bytes:
    """Return the event that carries one token."""
    return b'data: {"choices":[{"delta":{"content":"t%d "}}]}\n\n' % number


def stream_body(tokens: int) -> bytes:
    """Return the complete stream that a caller should receive."""
    events = b"".join(token_event(number) for number in range(tokens))
    return events + b"data: [DONE]\n\n"


RequestHandler = Callable[[ReceivedRequest], Awaitable[None]]


def stream_tokens(count: int) -> RequestHandler:
    """Return a handler that streams ``count`` tokens."""

    async def handle(received: ReceivedRequest) -> None:
        await received.start_stream()
        await received.send_tokens(received.offset, count)
        await received.finish_stream()

    return handle


def stream_then_break(delivered: int, count: int) -> RequestHandler:
    """Return a handler that closes the connection in mid-stream."""

    async def handle(received: ReceivedRequest) -> None:
        await received.start_stream()
        end = min(count, received.offset + delivered)
        await received.send_tokens(received.offset, end)
        received.writer.close()

    return handle


class FakeTarget:
    """A target that listens on its own port."""

    def __init__(self, name: str, handler: RequestHandler) -> None:
        self.name = TargetId(name)
        self.handler = handler
        self.received: list[ReceivedRequest] = []
        self.polls: list[str] = []
        self.cache_events = lambda received: b"[]"
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._idle_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening; requests that are being served continue."""
        self._server.close()
        for writer in self._idle_writers:
            writer.close()
        # The transports close their sockets in the next cycle of the loop. A
        # cancellation here would replace the error of a failed test.
        with anyio.CancelScope(shield=True):
            await asyncio.sleep(0)

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._idle_writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self._idle_writers.discard(writer)
        writer.close()

    async def _serve_requests(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                received = await _read_request(reader, writer)
                if received is None:
                    break
                if received.path.startswith("/cache-events"):
                    self.polls.append(received.path)
                    await received.answer(self.cache_events(received))
                    continue
                self.received.append(received)
                self._idle_writers.discard(writer)
                await self.handler(received)
                self._idle_writers.add(writer)


async def _read_request(reader, writer) -> ReceivedRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *fields = head.decode("latin-1").rstrip().split("\r\n")
    method, path, _ = line.split(" ")
    headers = dict(field.split(": ", 1) for field in fields)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length)
    return ReceivedRequest(method, path, headers, body, reader, writer, head)


class FakeMembership(MembershipView):
    """Membership view whose targets are set by the test."""

    def __init__(self) -> None:
        self._views: dict[TargetId, TargetView] = {}
        self._callbacks: list[Callable[[], None]] = []

    def get_targets(self) -> dict[TargetId, TargetView]:
        return self._views

    def get_vm_state(self, vm) -> MemberState:
        return MemberState.LIVE

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def set(self, view: TargetView) -> None:
        """Replace one target's view."""
        self._views = self._views | {view.info.target: view}
        for callback in self._callbacks:
            callback()


class FakeSheet(SheetSource):
    """Source of one fixed sheet."""

    def __init__(self, rows: tuple[SheetRow, ...]) -> None:
        self._revision = SheetRevision(
            revision=Revision(1),
            number=SheetNumber(1),
            digest="",
            rows=rows,
        )

    def get_active_sheet(self) -> SheetRevision:
        return self._revision

    def subscribe(self, callback) -> None:
        pass


class FakeClaims(ClaimService):
    """Claim service that keeps its claims in a dict."""

    def __init__(self) -> None:
        self.claims: dict = {}
        self.begin_error: Exception | None = None
        self.begins = 0

    async def begin(self, business, key, digest, attempt) -> ClaimReply:
        self.begins += 1
        if self.begin_error is not None:
            raise self.begin_error
        existing = self.claims.get((business, key))
        if existing is None:
            self.claims[(business, key)] = (
                digest,
                ClaimReply(state=ClaimState.IN_PROGRESS),
            )
            return ClaimReply(state=ClaimState.GRANTED)
        if existing[0] != digest:
            return ClaimReply(state=ClaimState.MISMATCH)
        return existing[1]

    async def record(self, business, key, attempt, answer) -> None:
        self._set_reply(
            business,
            key,
            ClaimReply(state=ClaimState.RECORDED, answer=answer),
        )

    async def release(self, business, key, attempt) -> None:
        self.claims.pop((business, key), None)

    async def abandon(self, business, key, attempt) -> None:
        self._set_reply(business, key, ClaimReply(state=ClaimState.UNKNOWN))

    def _set_reply(self, business, key, reply: ClaimReply) -> None:
        digest, _ = self.claims[(business, key)]
        self.claims[(business, key)] = (digest, reply)


def model_row(name: str = "quote", **fields) -> SheetRow:
    """Return a row of a model."""
    defaults = {
        "kind": ItemKind.MODEL,
        "business": BUSINESS,
        "name": ItemName(name),
        "version": "1",
        "memory_mb": 1000,
        "deadline_ms": 5000,
    }
    return SheetRow(**(defaults | fields))


def service_row(name: str = "booking", **fields) -> SheetRow:
    """Return a row of a plain service."""
    defaults = {"kind": ItemKind.SERVICE, "memory_mb": 0}
    return model_row(name, **(defaults | fields))


def engine_view(
    name: str,
    port: int,
    items: tuple[str, ...] = ("quote@1",),
    state: MemberState = MemberState.LIVE,
    domain: str = DOMAIN,
    region: str = REGION,
    **fields,
) -> TargetView:
    """Return the view of an engine on the loopback address."""
    info = TargetInfo(
        target=TargetId(name),
        kind=TargetKind.ENGINE,
        business=BUSINESS,
        failure_domain=FailureDomain(domain),
        region=Region(region),
        host="127.0.0.1",
        port=port,
    )
    return TargetView(
        info=info,
        state=state,
        ready_items=frozenset(ItemName(item) for item in items),
        **fields,
    )


def service_view(name: str, port: int, service: str = "booking") -> TargetView:
    """Return the view of a plain service on the loopback address."""
    info = TargetInfo(
        target=TargetId(name),
        kind=TargetKind.SERVICE,
        business=BUSINESS,
        failure_domain=DOMAIN,
        region=REGION,
        host="127.0.0.1",
        port=port,
        service=ItemName(service),
    )
    return TargetView(info=info, state=MemberState.LIVE)


@dataclasses.dataclass
class ServingHarness:
    """Router, listener and app of one VM, connected to fakes."""

    membership: FakeMembership
    router: object
    app: object
    listener: object
    claims: FakeClaims
    clock: object
    targets: dict[str, FakeTarget]

    @property
    def port(self) -> int:
        """Port of the listener for callers."""
        return self.listener.port

    async def add_engine(self, name: str, handler: RequestHandler, **fields):
        """Start a fake engine and add it to the membership view."""
        target = await self._start(name, handler)
        self.membership.set(engine_view(name, target.port, **fields))
        return target

    async def add_service(self, name: str, handler: RequestHandler):
        """Start a fake service and add it to the membership view."""
        target = await self._start(name, handler)
        self.membership.set(service_view(name, target.port))
        return target

    async def _start(self, name: str, handler: RequestHandler) -> FakeTarget:
        target = FakeTarget(name, handler)
        await target.start()
        self.targets[name] = target
        return target


@contextlib.asynccontextmanager
async def run_serving(
    rows: tuple[SheetRow, ...] = (),
    routing: RoutingSettings | None = None,
    serving: ServingSettings | None = None,
    targets: TargetsSettings | None = None,
    seed: int = 1,
    teams: CallerTeams | None = None,
):
    """Run router and listener over sockets, on the system clock."""
    clock = SystemClock()
    rng = random.Random(seed)
    routing = routing or RoutingSettings()
    serving = serving or ServingSettings(port=0, balancer_lead_s=0)
    membership = FakeMembership()
    sheet = FakeSheet(rows or (model_row(), service_row()))
    router = create_router(
        membership,
        sheet,
        clock,
        routing,
        rng,
        targets or TargetsSettings(),
        DOMAIN,
        REGION,
        create_lone_rate_limiter(clock, rng),
        create_lone_crash_guard(clock),
    )
    claims = FakeClaims()
    app = create_caller_app(
        router, claims, clock, serving, routing, rng, teams
    )
    listener = create_caller_listener(app, serving, clock)
    harness = ServingHarness(
        membership, router, app, listener, claims, clock, {}
    )
    async with anyio.create_task_group() as group:
        group.start_soon(router.run)
        group.start_soon(listener.run)
        try:
            yield harness
        finally:
            with anyio.move_on_after(5, shield=True):
                await listener.drain()
            group.cancel_scope.cancel()
            for target in harness.targets.values():
                await target.stop()


async def wait_until(condition: Callable[[], bool], limit_s: float = 20):
    """Poll until the condition holds; fail after ``limit_s``."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


def run_async(test):
    """Run a coroutine test on asyncio."""

    def run(*args, **kwargs):
        async def call():
            with anyio.fail_after(60):
                await test(*args, **kwargs)

        anyio.run(call)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def wait_refused(port: int) -> None:
    """Wait until connections to a port are refused.

    A connection made while the listener closes may be reset, which does not
    count as refused yet.
    """
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            continue
        writer.close()
        await asyncio.sleep(0.01)
