"""One HTTP/1.1 connection to a target: one exchange at a time.

httptools parses; the bytes of a body are handed on as they arrive, joined
when several chunks were read at once. Neither a task, a lock nor a timer
is spent on a chunk, which is what decides the cost of a relayed token
(docs/design/serving.md).
"""

import asyncio
from collections.abc import Callable

import httptools

from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetBroken
from dotterelbridge.errors import TargetError
from dotterelbridge.targets.errors import MalformedResponse
from dotterelbridge.targets.errors import ResponseIdMismatch
from dotterelbridge.targets.errors import TargetIdleTimeout

REQUEST_ID_HEADER = b"x-request-id"
_BODILESS_STATUSES = (204, 304)


class TargetConnection(asyncio.Protocol):
    """Parses answers and holds at most a bounded part of a body."""

    def __init__(
        self,
        clock: Clock,
        head_limit: int,
        buffer_limit: int,
        request_id_header: bytes = REQUEST_ID_HEADER,
        skips_foreign: bool = False,
    ) -> None:
        self._request_id_header = request_id_header
        self._skips_foreign = skips_foreign
        self._skipping = False
        self.idle_limit_s: float | None = None
        """Time that the target said it keeps the connection unused."""
        self._clock = clock
        self._head_limit = head_limit
        self._buffer_limit = buffer_limit
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: TargetError | None = None
        self._consume: Callable[[bytes], bool] | None = None
        self._accepts = True
        self._paused = False
        self._keep_alive = False
        self._head_size = 0
        self._buffered = 0
        self._chunks: list[bytes] = []
        self._attempt = b""
        self._bodiless = False
        self._ends_with_connection = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.headers_done = False
        self.complete = False
        self.in_exchange = False
        self.exchanges = 0
        self.first_byte_limit_s = float("inf")
        """Silence before the head that ends the exchange."""
        self.unsolicited = False
        self.opened_at = clock.monotonic()
        self.last_byte_at = self.opened_at

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer carry an exchange."""
        return self._transport is None or self._transport.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and left nothing over."""
        return (
            not self.closed
            and self.complete
            and not self.unsolicited
            and self._error is None
            and self._keep_alive
            and not self._ends_with_connection
            and not self._bodiless
            # A target may answer before it has read a long body.
            and not self._transport.get_write_buffer_size()
        )

    def start(self, head: bytes, body: bytes, attempt: str, method: str):
        """Write a request; from here on a byte may have left."""
        self._parser = httptools.HttpResponseParser(self)
        self._error = None
        self._chunks = []
        self._buffered = 0
        self._head_size = 0
        self._attempt = attempt.encode()
        self._bodiless = method == "HEAD"
        self._ends_with_connection = False
        self._keep_alive = False
        self._skipping = False
        self.status = 0
        self.headers = []
        self.headers_done = False
        self.complete = False
        self.in_exchange = True
        self.exchanges += 1
        self.last_byte_at = self._clock.monotonic()
        self._transport.write(head + body)

    async def read_head(self) -> None:
        """Wait for the status and headers."""
        while not self.headers_done:
            if self._error is not None:
                raise self._error
            await self._wait()
        if isinstance(self._error, ResponseIdMismatch):
            raise self._error

    async def pump(self, consume: Callable[[bytes], bool]) -> bool:
        """Call ``consume`` with what arrives, in the reader's own step.

        Returns True at the end of the body, False once ``consume`` has
        returned False: then the body waits, in bounded memory, for the
        next call. Waking a task for each chunk would cost as much as the
        rest of the relay.
        """
        self._consume = consume
        self._accepts = True
        try:
            while True:
                self._hand_on()
                if self._error is not None and not self._chunks:
                    raise self._error
                if not self._accepts:
                    return False
                if self.complete:
                    return True
                await self._wait()
        finally:
            self._consume = None

    def _hand_on(self) -> None:
        if not self._chunks or not self._accepts:
            return
        data = self._take_chunks()
        try:
            self._accepts = self._consume(data)
        except TargetError as error:
            self._fail(error)

    async def read_body(self) -> bytes:
        """Return what has arrived of the body, or b"" at its end."""
        while not self._chunks:
            if self.complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._take_chunks()

    def _take_chunks(self) -> bytes:
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        self._buffered = 0
        if self._paused:
            self._paused = False
            # Silence is counted anew: the pause was this side's.
            self.last_byte_at = self._clock.monotonic()
            self._transport.resume_reading()
        return data

    def is_silent(self, limit_s: float) -> bool:
        """Whether the exchange carried no byte for its limit."""
        if not self.in_exchange or self.complete or self._paused:
            return False
        if not self.headers_done:
            limit_s = self.first_byte_limit_s
        return self._clock.monotonic() - self.last_byte_at > limit_s

    def fail_silent(self) -> None:
        """End the exchange because of silence."""
        self._fail(
            TargetIdleTimeout(
                "the connection carried no byte for longer than its limit",
                "try again on a new connection",
            )
        )

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be kept."""
        self.in_exchange = False
        if self.reusable:
            return True
        self.abort()
        return False

    def abort(self) -> None:
        """Close at once, which cancels a running request at the target."""
        self.in_exchange = False
        if self._transport is not None:
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.in_exchange:
            self.unsolicited = True
            self.abort()
            return
        self.last_byte_at = self._clock.monotonic()
        if not self.headers_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(
                MalformedResponse(
                    f"the answer breaks HTTP ({error!r})",
                    "report the target to its owner",
                )
            )
            return
        if not self.headers_done and self._head_size > self._head_limit:
            self._fail_head()
            return
        if self._consume is not None:
            self._hand_on()
            if self._accepts and not self.complete and not self._error:
                return
        if self._buffered > self._buffer_limit and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self.in_exchange or self.complete:
            return
        if exc is None and self.headers_done and self._ends_with_connection:
            self.complete = True
            self._wake()
            return
        self._fail(
            TargetBroken(
                "the target closed the connection before its answer was "
                f"whole ({exc!r})",
                "try again if the call is idempotent",
            )
        )

    # Called by the parser.

    def on_message_begin(self) -> None:
        if self.complete:
            self.unsolicited = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = []
            return
        self.status = status
        size = sum(len(name) + len(value) for name, value in self.headers)
        if size > self._head_limit:
            self._fail_head()
            return
        if not self._has_echo():
            if not self._skips_foreign:
                self._fail_crossed()
            else:
                self._skipping = True
                return
        self._note_keep_alive()
        names = {name for name, _ in self.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._ends_with_connection = (
            not framed and status not in _BODILESS_STATUSES
        )
        self.headers_done = True
        if self._bodiless:
            self.complete = True

    def on_body(self, body: bytes) -> None:
        if self.complete:
            self.unsolicited = True
            return
        if self._skipping:
            return
        self._chunks.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        if self._skipping:
            self._skipping = False
            self.headers = []
            # What comes next may be out of step as well.
            self.unsolicited = True
            return
        if self.headers_done and not self.complete:
            # Read here: afterwards the parser has forgotten the message.
            self._keep_alive = self._parser.should_keep_alive()
            self.complete = True

    def _fail_head(self) -> None:
        self._fail(
            MalformedResponse(
                f"the answer's head exceeds {self._head_limit} bytes",
                "raise head_limit_kb in [targets], or report the target "
                "to its owner",
            )
        )

    def _has_echo(self) -> bool:
        """Whether no id came, or that of the request."""
        for name, value in self.headers:
            if name == self._request_id_header and value != self._attempt:
                return False
        return True

    def _fail_crossed(self) -> None:
        self._fail(
            ResponseIdMismatch(
                "the answer carries another request's id",
                "report the target to its owner",
            )
        )

    def _note_keep_alive(self) -> None:
        """Take the idle time from the Keep-Alive header, if it has one."""
        self.idle_limit_s = None
        for name, value in self.headers:
            if name != b"keep-alive":
                continue
            for option in value.split(b","):
                key, _, number = option.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    self.idle_limit_s = float(number)

    def _fail(self, error: TargetError) -> None:
        if self._error is None:
            self._error = error
        self._wake()
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
