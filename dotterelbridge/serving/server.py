"""An HTTP/1.1 server for ASGI applications, made for streams.

httptools parses. Hypercorn, the server of the house style, spends more
than twice the processor time on a relayed chunk: an event object, a lock
and a drain on each layer. The figures are in docs/design/serving.md.
"""

import asyncio
from collections import deque
from http import HTTPStatus
import urllib.parse

import httptools
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import RunStatus
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.settings import ServingSettings

_BYTES_PER_KB = 1024
_BODY_BUFFER_LIMIT = 65536
_PENDING_LIMIT = 16
"""Requests that a caller may send ahead of their answers."""
_EMPTY_STATUSES = (204, 304)
_log = structlog.get_logger(__name__)


class _Request:
    """One request while it is parsed and answered."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.method = b""
        self.http_version = "1.1"
        self.keep_alive = True
        self.body = deque()
        self.buffered = 0
        self.whole = False
        self.end_told = False
        self.expects_continue = False
        self.dropped = False


class ServerConnection(asyncio.Protocol, ResponseSink):
    """One caller's connection: one request at a time."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._parsed: _Request | None = None
        self._active: _Request | None = None
        self._pending: deque[_Request] = deque()
        self._head_size = 0
        self._receiver: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._head = b""
        self._started = False
        self._chunked = False
        self._empty = False
        self._closing = False
        self.since = server.clock.monotonic()
        """When the connection became idle, a request began to arrive, or
        the caller last took a byte."""
        self._unsent = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being answered."""
        return self._active is None

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has arrived."""
        return self._head_size > 0 or self._parsed is not None

    @property
    def is_stalled(self) -> bool:
        """Whether the caller doesn't take what was written."""
        return self._drained is not None

    def note_progress(self, now: float) -> None:
        """Start the stall limit anew if the caller took some bytes."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        if unsent < self._unsent:
            self.since = now
        self._unsent = unsent

    def announce_close(self) -> None:
        """Tell the caller with its next answer that this is the last."""
        self._closing = True

    def close_when_idle(self) -> None:
        """Close after the request that is under way, if any."""
        self._closing = True
        if self.is_idle and not self._pending and not self.is_receiving:
            self.close()

    def close(self) -> None:
        """Close once what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=self._server.write_limit)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.discard(self)
        self._pending.clear()
        self._wake_receiver()
        self.resume_writing()

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        if self._parsed is None:
            if not self._head_size and self.is_idle:
                self.since = self._server.clock.monotonic()
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._refuse(400, "malformed", f"the request breaks HTTP: {error}")
            return
        if self._head_size > self._server.head_limit:
            self._refuse(431, "head_too_large", "the headers are too large")

    def pause_writing(self) -> None:
        if self._drained is None:
            self.since = self._server.clock.monotonic()
            self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._parsed = None
        self._next = _Request()

    def on_url(self, url: bytes) -> None:
        self._next.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._next.expects_continue = True
        self._next.headers.append((name, value))

    def on_headers_complete(self) -> None:
        request = self._parsed = self._next
        self._head_size = 0
        request.method = self._parser.get_method()
        request.http_version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        if len(self._pending) >= _PENDING_LIMIT:
            self.abort()
            return
        self._pending.append(request)
        self._start_next()

    def on_body(self, body: bytes) -> None:
        request = self._parsed
        if request.dropped:
            return
        request.body.append(body)
        request.buffered += len(body)
        if request.buffered > _BODY_BUFFER_LIMIT:
            self._pause_reading()
        self._wake_receiver()

    def on_message_complete(self) -> None:
        if self._parsed is None:
            return
        self._parsed.whole = True
        self._parsed = None
        self._wake_receiver()

    # The request that is being answered.

    def _start_next(self) -> None:
        if self._active is not None or not self._pending:
            return
        request = self._active = self._pending.popleft()
        self._started = False
        self._head = b""
        self._server.start_task(self._serve(request))

    async def _serve(self, request: _Request) -> None:
        try:
            await self._server.app(
                self._create_scope(request), self._receive, self._send
            )
        except ResponseIncomplete:
            self.abort()
        except Exception as error:
            events.log(
                _log,
                ServingEvent.REQUEST_FAILED,
                error=repr(error),
                exc_info=True,
            )
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._finish(request)

    def _finish(self, request: _Request) -> None:
        """Go on to the next request, or close."""
        self._active = None
        self.since = self._server.clock.monotonic()
        if self._transport is None or self._transport.is_closing():
            return
        if not self._started:
            self.abort()
            return
        if not request.whole:
            # The rest of a refused body isn't worth reading.
            request.dropped = True
            self.close()
            return
        if not request.keep_alive or self._closing:
            self.close()
            return
        self._resume_reading()
        self._start_next()

    async def _receive(self) -> dict:
        request = self._active
        if request.end_told:
            return await self._wait_hang_up()
        while not request.body and not request.whole:
            if self._transport is None:
                return {"type": "http.disconnect"}
            if request.expects_continue:
                request.expects_continue = False
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await self._wait_received()
        body = b"".join(request.body)
        request.body.clear()
        request.buffered = 0
        request.end_told = request.whole
        self._resume_reading()
        return {
            "type": "http.request",
            "body": body,
            "more_body": not request.whole,
        }

    async def _wait_hang_up(self) -> dict:
        while self._transport is not None:
            await self._wait_received()
        return {"type": "http.disconnect"}

    async def _wait_received(self) -> None:
        self._receiver = asyncio.get_running_loop().create_future()
        try:
            await self._receiver
        finally:
            self._receiver = None

    async def _send(self, message: dict) -> None:
        # Written before any wait: a cancelled sender has sent it whole.
        if not self.write(message):
            await self.wait_writable()

    # ResponseSink.

    def write(self, message: dict) -> bool:
        if self._transport is None:
            return True
        if message["type"] == "http.response.start":
            self._write_start(message["status"], message["headers"])
        else:
            self._write_body(message["body"], message["more_body"])
        return self._drained is None

    async def wait_writable(self) -> None:
        if self._drained is not None:
            await asyncio.shield(self._drained)

    def _write_start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        request = self._active
        names = {name for name, _ in headers}
        self._empty = status in _EMPTY_STATUSES or request.method == b"HEAD"
        framed = b"content-length" in names or self._empty
        self._chunked = not framed and request.http_version == "1.1"
        if not framed and not self._chunked:
            request.keep_alive = False
        lines = [_STATUS_LINES.get(status) or _write_status_line(status)]
        lines += [name + b": " + value for name, value in headers]
        if self._chunked:
            lines.append(b"transfer-encoding: chunked")
        if not request.keep_alive or self._closing or not request.whole:
            lines.append(b"connection: close")
        # Sent with the first part of the body, in one write.
        self._head = b"\r\n".join(lines) + b"\r\n\r\n"
        self._started = True

    def _write_body(self, body: bytes, more: bool | None) -> None:
        if self._empty:
            body = b""
        elif self._chunked:
            if body:
                body = b"%x\r\n%b\r\n" % (len(body), body)
            if not more:
                body += b"0\r\n\r\n"
        if self._head:
            body = self._head + body
            self._head = b""
        if body:
            self._transport.write(body)

    def _refuse(self, status: int, kind: str, problem: str) -> None:
        """Answer a request that can't be parsed, then close."""
        if self._active is not None or self._transport is None:
            self.abort()
            return
        body = ErrorResponse(
            status=status,
            kind=kind,
            message=problem,
            remedy="send valid HTTP/1.1 with smaller headers",
            run=RunStatus.NO,
        ).encode_body()
        self._transport.write(
            _write_status_line(status)
            + b"\r\ncontent-type: application/json\r\n"
            b"dotterelbridge-run: no\r\nconnection: close\r\n"
            b"content-length: %d\r\n\r\n%b" % (len(body), body)
        )
        self.close()

    def _create_scope(self, request: _Request) -> dict:
        path, _, query = request.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": request.http_version,
            "method": request.method.decode("ascii"),
            "scheme": "http",
            "path": urllib.parse.unquote(path.decode("latin-1")),
            "raw_path": path,
            "query_string": query,
            "headers": request.headers,
            "extensions": {SINK_EXTENSION: self},
        }

    def _wake_receiver(self) -> None:
        receiver = self._receiver
        if receiver is not None and not receiver.done():
            receiver.set_result(None)

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()


class HttpServer:
    """All connections of one listening socket."""

    def __init__(self, app, settings: ServingSettings, clock: Clock) -> None:
        self.app = app
        self.clock = clock
        self.head_limit = settings.head_limit_kb * _BYTES_PER_KB
        self.write_limit = settings.write_buffer_kb * _BYTES_PER_KB
        self._settings = settings
        self._connections: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._announced = False
        self._closing = False
        self._all_closed = asyncio.Event()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    async def start(self, listening) -> None:
        """Accept connections on a socket that listens."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            sock=listening,
            backlog=self._settings.backlog,
        )

    def announce_close(self) -> None:
        """Send ``Connection: close`` with every answer from now on."""
        self._announced = True
        for connection in self._connections:
            connection.announce_close()

    def stop_accepting(self) -> None:
        """Close the listening socket and the connections as they idle."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    async def wait_closed(self) -> None:
        """Return once every answer was sent and its connection closed.

        A caller that reads slowly is waited for; one that doesn't read
        at all is cut off by ``sweep`` after its limit.
        """
        while self._connections:
            self._all_closed.clear()
            await self._all_closed.wait()

    async def abort(self) -> None:
        """End everything at once."""
        self.stop_accepting()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self._connections):
            connection.abort()

    def sweep(self) -> None:
        """Close connections that are idle or stalled beyond the limits."""
        now = self.clock.monotonic()
        idle_before = now - self._settings.idle_limit_s
        receiving_before = now - self._settings.body_timeout_s
        stalled_before = now - self._settings.stall_limit_s
        for connection in list(self._connections):
            if connection.is_stalled:
                connection.note_progress(now)
                if connection.since < stalled_before:
                    connection.abort()
            elif connection.is_idle:
                limit = idle_before
                if connection.is_receiving:
                    limit = receiving_before
                if connection.since < limit:
                    connection.close()

    def add(self, connection: ServerConnection) -> None:
        """Take a new connection, unless there are too many."""
        self._connections.add(connection)
        full = len(self._connections) > self._settings.connections_limit
        if full or self._closing:
            connection.abort()
        elif self._announced:
            connection.announce_close()

    def discard(self, connection: ServerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def start_task(self, coroutine) -> None:
        """Run one request."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _write_status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}".encode()


_STATUS_LINES = {
    status.value: _write_status_line(status.value) for status in HTTPStatus
}
