"""An HTTP/1.1 server for ASGI applications, optimised for streaming.

Requests are parsed by httptools, which gets them part by part from
``framing``. Hypercorn, the project's standard server,
uses more than twice the CPU time per relayed chunk: it creates an event
object, takes a lock and drains in each layer. Figures:
docs/design/serving.md.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
import socket
import struct
import urllib.parse

import httptools
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import RunStatus
from dotterelbridge.routes.model import CallerLimits
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.framing import FramingError
from dotterelbridge.serving.framing import MessageFramer
from dotterelbridge.serving.refusals import RefusalKind
from dotterelbridge.serving.refusals import RefusalRecorder
from dotterelbridge.serving.response import ENDS_WITH_CONNECTION
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.memory_account import EvictionClass
from dotterelbridge.targets.memory_account import Holder
from dotterelbridge.targets.memory_account import MemoryAccount
from dotterelbridge.targets.memory_account import create_memory_account

_BYTES_PER_KB = 1024
_BODY_BUFFER_LIMIT_BYTES = 65536
_READ_SIZE_BYTES = 65536
_PIPELINED_REQUESTS_LIMIT = 16
"""Requests that a caller may send without waiting for responses."""
_BODYLESS_STATUSES = (204, 304)
_MS_PER_S = 1000
_CONNECTION_BYTES = 6144
"""Memory of a connection without a request."""
_ACCOUNT_STEP_BYTES = 8192
"""Smaller changes are not recorded, which saves CPU time for ordinary
requests."""
_HEADER_LINE_BYTES = 200
"""Memory of a parsed header line beyond its bytes: a tuple and two byte
strings, and the copies that applications make."""
_CHECKED_HEADERS = frozenset(
    (b"content-length", b"expect", b"host", b"transfer-encoding")
)
_LENGTH_DIGITS_LIMIT = 15
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a linger time of 0 seconds."""
_FIRST_REQUEST_GRACE_S = 1.0
"""Time for which a connection that was accepted during the drain may send
its first request: a few crossings of a slow link."""
_DRAIN_PASS_COUNT = 4
"""Passes of the event loop in which accepted connections are set up and
their received bytes are read."""
_log = structlog.get_logger(__name__)


class _Request:
    """State of one request from parsing to its response."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.method = b""
        self.http_version = "1.1"
        self.keep_alive = True
        self.body = bytearray()
        self.received_bytes = 0
        """Size of the body so far, which its application keeps."""
        self.head_cost = 0
        self.checked_headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.end_delivered = False
        self.expects_continue = False
        self.discards_body = False

    @property
    def held_bytes(self) -> int:
        """Memory that the request costs."""
        return self.head_cost + self.received_bytes

    def find_fault(self) -> str:
        """Return why the head can be read in two ways; empty if it cannot.

        Sets ``body_length``; None for a body in chunks.
        """
        self.body_length: int | None = 0
        found: dict[bytes, bytes] = {}
        for name, value in self.checked_headers:
            if name in found:
                return f"the head has more than one {name.decode()}"
            found[name] = value.strip()
        encoding = found.get(b"transfer-encoding")
        length = found.get(b"content-length")
        if encoding is not None:
            if length is not None:
                return "the head has both a length and a transfer coding"
            if encoding.lower() != b"chunked" or self.http_version != "1.1":
                return "the transfer coding is not supported"
            self.body_length = None
        elif length is not None:
            if not length.isdigit() or len(length) > _LENGTH_DIGITS_LIMIT:
                return "the content length is not a number"
            self.body_length = int(length)
        return ""


class ServerConnection(asyncio.Protocol, ResponseSink, Holder):
    """One caller's connection; serves one request at a time."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming_request: _Request | None = None
        self._active_request: _Request | None = None
        self._pipelined_requests: deque[_Request] = deque()
        self._framer = MessageFramer()
        self._ignores_rest = False
        """Whether the last request asked to close the connection."""
        self._is_refused = False
        """Whether nothing more is read or served."""
        self.has_received = False
        """Whether any bytes have arrived."""
        self._receive_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._response_head = b""
        self._response_started = False
        self._chunked = False
        self._ends_body_by_close = False
        self._withheld = b""
        """Last byte of a body that ends with the connection, until more of
        the body or its end is known."""
        self._has_no_body = False
        self._closing = False
        self.last_activity_at = server.clock.monotonic()
        """When the connection became idle, a request began to arrive, or
        the caller last received data."""
        self._unsent_bytes = 0
        self._unrecorded_bytes = 0
        """Bound of what was added since the account was last updated."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served."""
        return self._active_request is None

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has arrived."""
        return (
            self._framer.held_bytes > 0 or self._incoming_request is not None
        )

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes once its data is sent."""
        return self._transport is not None and self._transport.is_closing()

    @property
    def _closes_after_response(self) -> bool:
        """Whether the connection closes once the active request is answered.

        Not before requests that have arrived behind it are answered as well.
        """
        return self._closing and not self._pipelined_requests

    @property
    def is_stalled(self) -> bool:
        """Whether writing is paused because the caller reads too slowly."""
        return self._drain_waiter is not None

    def record_write_progress(self, now: float) -> None:
        """Restart the stall timeout if the caller received some bytes."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        if unsent < self._unsent_bytes:
            self.last_activity_at = now
        self._unsent_bytes = unsent

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the next response."""
        self._closing = True

    def close_when_idle(self) -> None:
        """Close after the current request, if any."""
        self._closing = True
        if (
            self.is_idle
            and not self._pipelined_requests
            and not self.is_receiving
        ):
            self.close()

    def close(self) -> None:
        """Close once all buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard buffered data.

        A body that ends with its connection would look complete, so that
        connection is reset.
        """
        if self._transport is None:
            return
        if self._ends_body_by_close:
            # What has arrived is passed on whole; the reset marks the cut.
            self._transport.write(self._withheld)
            self._withheld = b""
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport) -> None:
        self._transport = transport
        # asyncio otherwise allocates 256 KB for each read.
        transport.max_size = _READ_SIZE_BYTES
        transport.set_write_buffer_limits(high=self._server.write_limit)
        self._server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.unregister(self)
        self._framer.clear()
        self._pipelined_requests.clear()
        self._wake_receive_waiter()
        self.resume_writing()

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        self.has_received = True
        if self._is_refused or self._ignores_rest:
            return
        if not self.is_receiving and self.is_idle:
            self.last_activity_at = self._server.clock.monotonic()
        try:
            self._read_parts(data)
        except FramingError as error:
            self._refuse(error.status, error.kind, error.problem)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._refuse_malformed(f"the request is not valid HTTP: {error}")
        self._unrecorded_bytes += len(data)
        if self._unrecorded_bytes >= _ACCOUNT_STEP_BYTES:
            self.update_account()

    def _read_parts(self, data: bytes) -> None:
        framer = self._framer
        feed_data = self._parser.feed_data
        for part in framer.split(data, self._server.head_limit):
            feed_data(part)
            if self._is_refused:
                return
            is_complete = self._incoming_request is None
            if is_complete is not framer.is_between_messages:
                self._refuse_malformed("the body has another end")
                return
            if self._ignores_rest:
                framer.clear()
                return

    def pause_writing(self) -> None:
        if self._drain_waiter is None:
            self.last_activity_at = self._server.clock.monotonic()
            self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        waiter, self._drain_waiter = self._drain_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        self._new_request = _Request()

    def on_url(self, url: bytes) -> None:
        self._new_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._incoming_request is not None:
            # Trailers are not used.
            return
        name = name.lower()
        if name in _CHECKED_HEADERS:
            if name == b"expect":
                self._new_request.expects_continue = (
                    value.lower() == b"100-continue"
                )
            else:
                self._new_request.checked_headers.append((name, value))
        self._new_request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        request = self._incoming_request = self._new_request
        request.method = self._parser.get_method()
        request.http_version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        if self._is_refused:
            return
        problem = request.find_fault()
        if not problem and self._parser.should_upgrade():
            problem = "the protocol cannot be changed"
        if problem:
            self._refuse_malformed(problem)
            return
        if len(self._pipelined_requests) >= _PIPELINED_REQUESTS_LIMIT:
            self._cut_off(
                RefusalKind.PIPELINE_TOO_LONG,
                f"more than {_PIPELINED_REQUESTS_LIMIT} requests wait",
            )
            return
        self._framer.start_body(request.body_length)
        request.head_cost = self._framer.head_bytes + _HEADER_LINE_BYTES * len(
            request.headers
        )
        self._unrecorded_bytes += request.head_cost
        self._pipelined_requests.append(request)
        if self._active_request is None:
            self._start_next()
        else:
            self.update_account()

    def on_body(self, body: bytes) -> None:
        request = self._incoming_request
        if request.discards_body:
            return
        request.body += body
        request.received_bytes += len(body)
        if len(request.body) > _BODY_BUFFER_LIMIT_BYTES:
            self._pause_reading()
        self._wake_receive_waiter()

    def on_message_complete(self) -> None:
        if self._incoming_request is None:
            return
        self._ignores_rest = not self._incoming_request.keep_alive
        self._incoming_request.is_complete = True
        self._incoming_request = None
        self._wake_receive_waiter()

    # The active request.

    def _start_next(self) -> None:
        if self._active_request is not None or not self._pipelined_requests:
            return
        request = self._active_request = self._pipelined_requests.popleft()
        self._response_started = False
        self._response_head = b""
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
        """Start the next request, or close the connection."""
        self._active_request = None
        self.last_activity_at = self._server.clock.monotonic()
        if self.held_bytes != _CONNECTION_BYTES:
            self.update_account()
        if self._transport is None or self._transport.is_closing():
            return
        if not self._response_started:
            self.abort()
            return
        if not request.is_complete:
            # The rest of a refused body is not read.
            request.discards_body = True
            self.close()
            return
        if not request.keep_alive or self._closes_after_response:
            self.close()
            return
        self._resume_reading()
        self._start_next()

    async def _receive(self) -> dict:
        request = self._active_request
        if request.end_delivered:
            return await self._wait_disconnect()
        while not request.body and not request.is_complete:
            if self._transport is None or self._is_refused:
                return {"type": "http.disconnect"}
            if request.expects_continue:
                request.expects_continue = False
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await self._wait_for_data()
        body = bytes(request.body)
        request.body = bytearray()
        request.end_delivered = request.is_complete
        self._resume_reading()
        return {
            "type": "http.request",
            "body": body,
            "more_body": not request.is_complete,
        }

    async def _wait_disconnect(self) -> dict:
        while self._transport is not None and not self._is_refused:
            await self._wait_for_data()
        return {"type": "http.disconnect"}

    async def _wait_for_data(self) -> None:
        self._receive_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._receive_waiter
        finally:
            self._receive_waiter = None

    async def _send(self, message: dict) -> None:
        # Written before any await, so that cancellation can't split it.
        if not self.write(message):
            await self.wait_writable()

    # ResponseSink.

    def write(self, message: dict) -> bool:
        if self._transport is None or self._is_refused:
            return True
        if message["type"] == "http.response.start":
            if self._response_started:
                # The caller would take it for the answer to its next request.
                self.abort()
                raise RuntimeError("a request was answered twice")
            self._write_head(
                message["status"],
                message["headers"],
                message.get(ENDS_WITH_CONNECTION, False),
            )
        else:
            # ASGI applications may leave both out.
            self._write_body(
                message.get("body", b""), message.get("more_body", False)
            )
        return self._drain_waiter is None

    async def wait_writable(self) -> None:
        if self._drain_waiter is not None:
            await asyncio.shield(self._drain_waiter)

    def _write_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        ends_with_connection: bool,
    ) -> None:
        request = self._active_request
        header_names = {name for name, _ in headers}
        self._has_no_body = (
            status in _BODYLESS_STATUSES or request.method == b"HEAD"
        )
        has_length = b"content-length" in header_names or self._has_no_body
        self._chunked = (
            not has_length
            and not ends_with_connection
            and request.http_version == "1.1"
        )
        self._ends_body_by_close = not has_length and not self._chunked
        self._withheld = b""
        if self._ends_body_by_close:
            request.keep_alive = False
        lines = [_STATUS_LINES.get(status) or _create_status_line(status)]
        lines += [name + b": " + value for name, value in headers]
        if self._chunked:
            lines.append(b"transfer-encoding: chunked")
        if (
            not request.keep_alive
            or self._closes_after_response
            or not request.is_complete
        ):
            lines.append(b"connection: close")
        # Sent together with the first part of the body, in one write.
        self._response_head = b"\r\n".join(lines) + b"\r\n\r\n"
        self._response_started = True

    def _write_body(self, body: bytes, more_body: bool | None) -> None:
        if self._has_no_body:
            body = b""
        elif self._chunked:
            if body:
                body = b"%x\r\n%b\r\n" % (len(body), body)
            if not more_body:
                body += b"0\r\n\r\n"
        elif self._ends_body_by_close:
            body = self._withhold_last_byte(body, more_body)
        if self._response_head:
            body = self._response_head + body
            self._response_head = b""
        if body:
            self._transport.write(body)
            if self._transport.get_write_buffer_size():
                self.update_account()

    def _withhold_last_byte(
        self, body: bytes, more_body: bool | None
    ) -> bytes:
        """Keep the last byte of a body that may go on.

        If this process ends, the kernel closes the connection as at the end
        of the body; an event then lacks its end.
        """
        body = self._withheld + body
        self._withheld = body[-1:] if more_body else b""
        return body[:-1] if more_body else body

    def _refuse_malformed(self, problem: str) -> None:
        self._refuse(400, RefusalKind.MALFORMED, problem)

    def _refuse(
        self,
        status: int,
        kind: RefusalKind,
        problem: str,
        remedy: str = "send valid HTTP/1.1 with smaller headers",
    ) -> None:
        """Respond with an error to an incomplete request, then close.

        An application acts on a request only once its body is complete, so
        that an incomplete request has not run.
        """
        if self._is_refused:
            return
        request = self._active_request
        if request is not None and (
            request.is_complete or self._response_started
        ):
            self._cut_off(kind, problem)
            return
        self._server.recorder.record(kind, problem)
        self._stop_serving()
        if self._transport is None or self._transport.is_closing():
            return
        body = ErrorResponse(
            status=status,
            kind=kind.value,
            message=problem,
            remedy=remedy,
            run=RunStatus.NO,
        ).encode_body()
        retry_after = b"retry-after: 1\r\n" if status == 503 else b""
        self._transport.write(
            _create_status_line(status)
            + b"\r\ncontent-type: application/json\r\n"
            b"dotterelbridge-run: no\r\nconnection: close\r\n"
            b"%bcontent-length: %d\r\n\r\n%b" % (retry_after, len(body), body)
        )
        self.close()

    def _cut_off(self, kind: RefusalKind, problem: str) -> None:
        """Close at once, without a response that looks complete."""
        self._server.recorder.record(kind, problem)
        self._stop_serving()
        self.abort()

    def _stop_serving(self) -> None:
        """Release what has arrived, and end what waits for more."""
        self._is_refused = True
        self.last_activity_at = self._server.clock.monotonic()
        self._framer.clear()
        self._pipelined_requests.clear()
        if self._active_request is not None:
            self._active_request.body = bytearray()
        self._wake_receive_waiter()

    # Memory account.

    @property
    def idle_since(self) -> float:
        return self.last_activity_at

    def update_account(self) -> None:
        """Record what the connection holds now, which may end it."""
        if self._transport is None:
            return
        self._unrecorded_bytes = 0
        held_bytes = (
            _CONNECTION_BYTES
            + self._framer.held_bytes
            + self._transport.get_write_buffer_size()
        )
        if self._active_request is not None:
            held_bytes += self._active_request.held_bytes
        for request in self._pipelined_requests:
            held_bytes += request.held_bytes
        if abs(held_bytes - self.held_bytes) >= _ACCOUNT_STEP_BYTES:
            self._server.account.resize(self, held_bytes)

    def classify(self) -> EvictionClass:
        if self._transport is None or self._is_refused:
            return EvictionClass.KEPT
        request = self._active_request
        if self.is_stalled or self._pipelined_requests:
            return EvictionClass.INCOMPLETE
        if request is None:
            if self.is_receiving or self._transport.get_write_buffer_size():
                return EvictionClass.INCOMPLETE
            return EvictionClass.IDLE
        if not request.is_complete or self._framer.held_bytes:
            return EvictionClass.INCOMPLETE
        return EvictionClass.KEPT

    def evict(self, eviction_class: EvictionClass) -> None:
        if eviction_class is EvictionClass.IDLE:
            self._server.recorder.record(
                RefusalKind.MEMORY_IDLE, "an idle connection makes room"
            )
            self._stop_serving()
            self.close()
        elif self.is_stalled or self._transport.get_write_buffer_size():
            self._cut_off(
                RefusalKind.MEMORY_HOLDER,
                "a caller that does not read its response makes room",
            )
        else:
            self._refuse(
                503,
                RefusalKind.MEMORY_HOLDER,
                "the memory for requests is used up",
                "send the request again, to another address",
            )
        self._server.account.resize(self, 0)

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

    def _wake_receive_waiter(self) -> None:
        waiter = self._receive_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()


class HttpServer:
    """Manages all connections of one listening socket."""

    def __init__(
        self,
        app,
        settings: ServingSettings,
        clock: Clock,
        account: MemoryAccount | None = None,
        read_limits: Callable[[], CallerLimits | None] = lambda: None,
    ) -> None:
        """Create a server that does not listen yet.

        :param account: shared by all listeners of the process; by default
            the server has one of its own.
        :param read_limits: returns the limits of the configuration in
            force. The settings never undercut them.
        """
        self.app = app
        self.clock = clock
        self._settings = settings
        self.account = account or create_memory_account(
            settings.memory_limit_mb
        )
        self.recorder = RefusalRecorder(clock)
        self._read_limits = read_limits
        self.head_limit = self._find_head_limit()
        """Maximum size of a head in bytes; ``sweep`` updates it."""
        self.write_limit = settings.write_buffer_kb * _BYTES_PER_KB
        self._connections: set[ServerConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._listening: socket.socket | None = None
        self._close_announced = False
        self._closing = False
        self._all_closed = asyncio.Event()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def _find_head_limit(self) -> int:
        own_limit = self._settings.head_limit_kb * _BYTES_PER_KB
        limits = self._read_limits()
        return max(own_limit, limits.head_bytes) if limits else own_limit

    async def start(self, listening) -> None:
        """Accept connections on a listening socket."""
        loop = asyncio.get_running_loop()
        self._listening = listening
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            sock=listening,
            backlog=self._settings.backlog,
        )

    def announce_close(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self._close_announced = True
        for connection in self._connections:
            connection.announce_close()

    async def stop_accepting(self) -> None:
        """Close the listening socket, and connections once they are idle.

        Requests that have arrived are served, also those on connections
        that were not accepted or read yet.
        """
        accepted = self._close_listener()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(
                lambda: ServerConnection(self), connection
            )
        for _ in range(_DRAIN_PASS_COUNT):
            await asyncio.sleep(0)
        for connection in list(self._connections):
            if connection.has_received:
                connection.close_when_idle()
            else:
                self._limit_first_request(connection)

    def _close_listener(self) -> list[socket.socket]:
        """Close the listening socket; return its pending connections."""
        accepted = []
        if self._server is not None and not self._closing:
            while True:
                try:
                    connection, _ = self._listening.accept()
                except OSError:
                    break
                connection.setblocking(False)
                accepted.append(connection)
            self._server.close()
        self._closing = True
        self.announce_close()
        return accepted

    async def wait_closed(self) -> None:
        """Wait until every response is sent and its connection closed.

        This includes callers that read slowly. ``sweep`` disconnects those
        that stop reading, after the stall limit.
        """
        while self._connections:
            self._all_closed.clear()
            await self._all_closed.wait()

    async def abort(self) -> None:
        """Cancel all requests and close all connections at once."""
        for connection in self._close_listener():
            connection.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self._connections):
            connection.abort()

    def sweep(self) -> None:
        """Close connections that exceed the idle, receive or stall limit."""
        now = self.clock.monotonic()
        self.head_limit = self._find_head_limit()
        idle_limit_s = self._settings.idle_limit_s
        receive_limit_s = self._settings.body_timeout_s
        limits = self._read_limits()
        if limits is not None:
            idle_limit_s = max(
                idle_limit_s, limits.idle_timeout_ms / _MS_PER_S
            )
            receive_limit_s = max(
                receive_limit_s, limits.head_timeout_ms / _MS_PER_S
            )
        stalled_before = now - self._settings.stall_limit_s
        for connection in list(self._connections):
            connection.update_account()
            if connection.is_stalled or connection.is_closing:
                connection.record_write_progress(now)
                if connection.last_activity_at < stalled_before:
                    self.recorder.record(
                        RefusalKind.STALLED, "a caller does not read"
                    )
                    connection.abort()
            elif connection.is_idle:
                is_receiving = connection.is_receiving
                limit_s = receive_limit_s if is_receiving else idle_limit_s
                if connection.last_activity_at < now - limit_s:
                    if is_receiving:
                        self.recorder.record(
                            RefusalKind.RECEIVE_TIMEOUT,
                            "a head did not arrive in time",
                        )
                    connection.close()

    def register(self, connection: ServerConnection) -> None:
        """Add a new connection; abort it if there are too many."""
        self._connections.add(connection)
        self.account.add(connection)
        connection.update_account()
        full = len(self._connections) > self._settings.connections_limit
        if full:
            self.recorder.record(
                RefusalKind.CONNECTIONS_LIMIT, "too many connections are open"
            )
            connection.abort()
        elif self._close_announced:
            connection.announce_close()
        if self._closing:
            self._limit_first_request(connection)

    def _limit_first_request(self, connection: ServerConnection) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_FIRST_REQUEST_GRACE_S, connection.close_when_idle)

    def unregister(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self.account.remove(connection)
        if not self._connections:
            self._all_closed.set()

    def start_task(self, coroutine) -> None:
        """Run a request's coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _create_status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}".encode()


_STATUS_LINES = {
    status.value: _create_status_line(status.value) for status in HTTPStatus
}
