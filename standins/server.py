"""HTTP server of the stand-ins: fault injection and an activity record."""

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
CLOSE_POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 2.0


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Injected faults; POST /standin/faults changes the fields it names."""

    slow_factor: float = 1.0
    """Factor by which work takes longer."""
    silence: str = ""
    """Connections that send nothing: ``open``, those open now; ``all``, also
    new ones."""
    crossed: bool = False
    """Each response carries the id and content of another request."""
    refuse: bool = False
    """New work is rejected and does not run."""
    leaving: bool = False
    reset: str = ""
    """When to reset: before_headers, during_headers or mid_stream."""
    resets: int = 0
    """Number of connections left to reset."""
    lose_orders: int = 0
    """Number of orders left to drop; the sender sees a connection reset."""
    delay_order_ms: int = 0
    """Delay of an order's effect; the sender sees a connection reset."""
    duplicate_order_ms: int = 0
    """Delay after which an order is applied a second time."""


class Connection:
    """One open connection from a client."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.is_silent = False

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


class Exchange:
    """One HTTP request and its response, over ASGI."""

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

    def parse_json(self) -> Any:
        """Return the request body as JSON."""
        return json.loads(self.body or b"{}")

    async def wait_for_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start_response(
        self, status: int, content_type: str, headers: dict[str, str]
    ) -> None:
        """Send the status and headers of the response."""
        await self._block_while_silent()
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

    async def send_body(self, body: bytes, more: bool = True) -> None:
        """Send a part of the response body."""
        if self.connection.is_silent:
            await self._block_while_silent()
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def send_json(
        self,
        value: Any,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete JSON response, or an empty one for None."""
        body = b"" if value is None else msgspec.json.encode(value)
        fields = {"content-length": str(len(body)), **(headers or {})}
        await self.start_response(status, "application/json", fields)
        await self.send_body(body, more=False)

    async def _block_while_silent(self) -> None:
        if self.connection.is_silent:
            await asyncio.Event().wait()


class StandIn(abc.ABC):
    """A target with injectable faults that records its activity."""

    def __init__(self, activity_file: str | None) -> None:
        self.faults = Faults()
        self.connections: set[Connection] = set()
        self._activity_file = activity_file

    def append_activity(self, **fields: Any) -> None:
        """Append an entry to the activity file, which outlives the process."""
        if self._activity_file is None:
            return
        with open(self._activity_file, "ab") as file:
            file.write(msgspec.json.encode(fields) + b"\n")

    @abc.abstractmethod
    def describe_activity(self) -> dict[str, Any]:
        """Return the activity record that GET /standin/truth reports."""

    @abc.abstractmethod
    async def handle_request(self, exchange: Exchange) -> None:
        """Handle a request outside the stand-in's own /standin paths."""

    async def run_background(self) -> None:
        """Run background tasks until cancelled."""
        await asyncio.Event().wait()

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Apply the fields named in ``changes``."""
        current = msgspec.structs.asdict(self.faults)
        self.faults = msgspec.convert({**current, **changes}, Faults)
        if self.faults.silence:
            for connection in self.connections:
                connection.is_silent = True

    def consume_reset(self, phase: str) -> bool:
        """Return whether to reset now, and count the reset if so."""
        if self.faults.reset != phase or self.faults.resets <= 0:
            return False
        self.faults.resets -= 1
        return True

    async def serve_exchange(self, exchange: Exchange) -> None:
        """Handle one request; cancel it when the client disconnects."""
        await exchange.read_body()
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                await exchange.wait_for_disconnect()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            await self._dispatch(exchange)
            tasks.cancel_scope.cancel()

    async def close_connections(self) -> None:
        """Reset all connections and wait briefly for their tasks to end."""
        for connection in list(self.connections):
            connection.abort()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.connections:
                await asyncio.sleep(CLOSE_POLL_INTERVAL_S)

    async def _dispatch(self, exchange: Exchange) -> None:
        if exchange.path == "/standin/truth":
            await exchange.send_json(self.describe_activity())
        elif exchange.path == "/standin/faults":
            self.change_faults(exchange.parse_json())
            exchange.connection.is_silent = False
            await exchange.send_json(self.faults)
        else:
            await self.handle_request(exchange)


async def serve_standin(standin: StandIn, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT; prints ``ready PORT``."""
    loop = asyncio.get_running_loop()
    config = Config()
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    context = WorkerContext(None)

    async def handle_connection(reader, writer) -> None:
        connection = Connection(writer)
        connection.is_silent = standin.faults.silence == "all"
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
        handle_connection, sock=listener, backlog=LISTEN_BACKLOG
    )
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    background_task = asyncio.create_task(standin.run_background())
    print(f"ready {listener.getsockname()[1]}", flush=True)
    await stop_requested.wait()
    background_task.cancel()
    server.close()
    await context.terminated.set()
    await standin.close_connections()
