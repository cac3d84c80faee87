"""HTTP server shared by the stand-ins: faults, and a log of the truth."""

import abc
import asyncio
import json
import signal
import socket
from typing import Any

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
import msgspec

LISTEN_BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_S = 75.0
CLOSE_POLL_S = 0.01
CLOSE_TIMEOUT_S = 2.0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; POST /standin/faults changes the fields it names."""

    slow_factor: float = 1.0
    """Times by which work takes longer."""
    silence: str = ""
    """``open``: connections open now stay silent; ``all``: new ones too."""
    crossed: bool = False
    """Each answer carries the id and content of another request."""
    refuse: bool = False
    """New work is refused; it does not run."""
    leaving: bool = False
    reset: str = ""
    """Place of resets: before_headers, during_headers or mid_stream."""
    resets: int = 0
    """Number of connections still to be reset."""
    lose_orders: int = 0
    """Number of orders still to be lost; the sender sees a broken link."""
    delay_order_ms: int = 0
    """Orders arrive this much later; the sender sees a broken link."""
    duplicate_order_ms: int = 0
    """Orders arrive a second time after this delay."""


class Connection:
    """One open connection from a client."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.silent = False

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


class Exchange:
    """One request and its answer, over ASGI."""

    def __init__(self, connection: Connection, scope, receive, send) -> None:
        self.connection = connection
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query = scope["query_string"].decode()
        self.headers = {
            name.decode().lower(): value.decode()
            for name, value in scope["headers"]
        }
        self.body = b""
        self._receive = receive
        self._send = send

    async def read_body(self) -> None:
        """Read the whole request body."""
        parts = []
        more = True
        while more:
            message = await self._receive()
            parts.append(message.get("body", b""))
            more = message.get("more_body", False)
        self.body = b"".join(parts)

    def json(self) -> Any:
        """Return the request body as JSON."""
        return json.loads(self.body or b"{}")

    async def wait_disconnect(self) -> None:
        """Return when the client has closed the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(
        self, status: int, content_type: str, headers: dict[str, str]
    ) -> None:
        """Send the head of the answer."""
        await self._stay_silent()
        fields = {"content-type": content_type, **headers}
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.lower().encode(), value.encode())
                    for name, value in fields.items()
                ],
            }
        )

    async def send(self, body: bytes, more: bool = True) -> None:
        """Send a part of the answer's body."""
        if self.connection.silent:
            await self._stay_silent()
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def answer(
        self,
        value: Any,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole JSON answer, or an empty one for None."""
        body = b"" if value is None else msgspec.json.encode(value)
        fields = {"content-length": str(len(body)), **(headers or {})}
        await self.start(status, "application/json", fields)
        await self.send(body, more=False)

    async def _stay_silent(self) -> None:
        if self.connection.silent:
            await asyncio.Event().wait()


class StandIn(abc.ABC):
    """A target that does what its faults say and records what it did."""

    def __init__(self, truth_file: str | None) -> None:
        self.faults = Faults()
        self.connections: set[Connection] = set()
        self._truth_file = truth_file

    def record(self, **fact: Any) -> None:
        """Append a fact to the truth file; it outlives the process."""
        if self._truth_file is None:
            return
        with open(self._truth_file, "ab") as file:
            file.write(msgspec.json.encode(fact) + b"\n")

    @abc.abstractmethod
    def describe_truth(self) -> dict[str, Any]:
        """Return the facts that GET /standin/truth reports."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request that is not for the judge."""

    async def run(self) -> None:
        """Do the background work until cancelled."""
        await asyncio.Event().wait()

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Apply the fields named in ``changes``."""
        current = msgspec.structs.asdict(self.faults)
        self.faults = msgspec.convert({**current, **changes}, Faults)
        if self.faults.silence:
            for connection in self.connections:
                connection.silent = True

    def take_reset(self, place: str) -> bool:
        """Return whether this connection is to be reset at the place."""
        if self.faults.reset != place or self.faults.resets <= 0:
            return False
        self.faults.resets -= 1
        return True

    async def serve_exchange(self, exchange: Exchange) -> None:
        """Handle one request until it is answered or its client is gone."""
        await exchange.read_body()
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await exchange.wait_disconnect()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._dispatch(exchange)
            tasks.cancel_scope.cancel()

    async def close_connections(self) -> None:
        """Reset all connections and wait until their tasks have ended."""
        for connection in list(self.connections):
            connection.abort()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.connections:
                await asyncio.sleep(CLOSE_POLL_S)

    async def _dispatch(self, exchange: Exchange) -> None:
        if exchange.path == "/standin/truth":
            await exchange.answer(self.describe_truth())
        elif exchange.path == "/standin/faults":
            self.change_faults(exchange.json())
            exchange.connection.silent = False
            await exchange.answer(self.faults)
        else:
            await self.handle(exchange)


async def serve(standin: StandIn, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT; prints ``ready PORT``."""
    loop = asyncio.get_running_loop()
    config = Config()
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    context = WorkerContext(None)

    async def on_connect(reader, writer) -> None:
        connection = Connection(writer)
        connection.silent = standin.faults.silence == "all"
        standin.connections.add(connection)

        async def app(scope, receive, send) -> None:
            await standin.serve_exchange(
                Exchange(connection, scope, receive, send)
            )

        try:
            await TCPServer(
                ASGIWrapper(app), loop, config, context, {}, reader, writer
            )
        finally:
            standin.connections.discard(connection)

    listener = socket.create_server(
        ("127.0.0.1", port), backlog=LISTEN_BACKLOG
    )
    server = await asyncio.start_server(
        on_connect, sock=listener, backlog=LISTEN_BACKLOG
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    work = asyncio.create_task(standin.run())
    print(f"ready {listener.getsockname()[1]}", flush=True)
    await stop.wait()
    work.cancel()
    server.close()
    await context.terminated.set()
    await standin.close_connections()
