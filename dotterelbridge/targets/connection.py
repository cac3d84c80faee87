"""One HTTP/1.1 connection to a target: one exchange at a time.

httptools parses the responses. Body bytes are passed on as they arrive,
joined when several chunks were read at once. No task, lock or timer is used
for a chunk, as these dominate the cost of a relayed token
(docs/design/serving.md).
"""

import asyncio
from collections import deque
from collections.abc import Callable
import enum
import itertools

import httptools

from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import ConnectionId
from dotterelbridge.targets.errors import ConnectionClosed
from dotterelbridge.targets.errors import MalformedResponse
from dotterelbridge.targets.errors import ResponseIdMismatch
from dotterelbridge.targets.errors import TargetIdleTimeout

REQUEST_ID_HEADER = b"x-request-id"
_BODILESS_STATUSES = (204, 304)
_connection_ids = itertools.count(1)
_READ_SIZE_BYTES = 65536
"""Bytes that are read at once; each connection may hold so many."""
_PROGRESS_BYTES = 1024
"""Part of a body that counts as progress, however it is split."""
_RECENT_ATTEMPTS_LIMIT = 64
"""Request IDs that a connection remembers."""


class BodyFraming(enum.Enum):
    """What marks the end of a response's body."""

    NONE = "none"
    """The response has no body."""
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection; it may also have broken off."""


class TargetConnection(asyncio.Protocol):
    """Parses responses; the part of a body held in memory is bounded."""

    def __init__(
        self,
        clock: Clock,
        head_limit_bytes: int,
        buffer_limit_bytes: int,
        request_id_header: bytes = REQUEST_ID_HEADER,
        skips_mismatched_responses: bool = False,
    ) -> None:
        """Create a connection.

        :param head_limit_bytes: maximum size of what may arrive between two
            parts of a body: heads, interim responses, chunk extensions and
            trailers.
        """
        self.id = ConnectionId(next(_connection_ids))
        self._request_id_header = request_id_header
        self._skips_mismatched_responses = skips_mismatched_responses
        self._is_skipping_response = False
        self.keep_alive_timeout_s: float | None = None
        """Idle timeout from the target's Keep-Alive header, if any."""
        self._clock = clock
        self._head_limit_bytes = head_limit_bytes
        self._buffer_limit_bytes = buffer_limit_bytes
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: TargetError | None = None
        self._consume: Callable[[bytes], bool] | None = None
        self._is_consumer_ready = True
        self._is_reading_paused = False
        self._keep_alive = False
        self._overhead_size = 0
        """Bytes received since the last part of the body."""
        self._progress_size = 0
        """Bytes of the body received since the last progress."""
        self._buffered_size = 0
        self.body_size = 0
        """Bytes of the body received so far."""
        self._chunks: list[bytes] = []
        self._attempt = b""
        self._recent_attempts: deque[int] = deque(
            maxlen=_RECENT_ATTEMPTS_LIMIT
        )
        """Hashes of the IDs, as callers choose the IDs and their length."""
        self._is_id_echoed = False
        self._needs_id = True
        self._has_no_body = False
        self.framing = BodyFraming.NONE
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_head_complete = False
        self.is_complete = False
        self.is_in_exchange = False
        self.exchange_count = 0
        self.first_byte_limit_s = float("inf")
        """Time from the request until the response's head is complete."""
        self.received_unsolicited = False
        self.opened_at = clock.monotonic()
        self.last_byte_at = self.opened_at
        self._sent_at = self.opened_at
        self._last_progress_at = self.opened_at

    @property
    def is_closed(self) -> bool:
        """Whether the connection can no longer carry an exchange."""
        return self._transport is None or self._transport.is_closing()

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended cleanly, without leftover bytes."""
        return (
            not self.is_closed
            and self.is_complete
            and not self.received_unsolicited
            and self._error is None
            and self._keep_alive
            # Without the ID, a second copy of this response could not be
            # told from the response to the next request.
            and (self._is_id_echoed or not self._needs_id)
            and self.framing is not BodyFraming.CONNECTION
            and not self._has_no_body
            # A target may respond before it has read a long request body.
            and not self._transport.get_write_buffer_size()
        )

    def has_carried(self, attempt: str) -> bool:
        """Return whether a recent request had this ID.

        Requests of a caller may share an ID. A late second copy of the first
        one's response could not be told from the next one's response.
        """
        return hash(attempt) in self._recent_attempts

    def send_request(
        self,
        head: bytes,
        body: bytes,
        attempt: str,
        method: str,
        needs_id: bool = True,
    ) -> None:
        """Write a request; from here on the target may have received it.

        :param needs_id: whether only a response with the request's ID lets
            the connection carry another request, and answers that one.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._error = None
        self._chunks = []
        self._buffered_size = 0
        self._overhead_size = 0
        self._progress_size = 0
        self.body_size = 0
        self._attempt = attempt.encode()
        self._recent_attempts.append(hash(attempt))
        self._needs_id = needs_id
        self._is_id_echoed = False
        self._has_no_body = method == "HEAD"
        self.framing = BodyFraming.NONE
        self._keep_alive = False
        self._is_skipping_response = False
        self.status = 0
        self.headers = []
        self.is_head_complete = False
        self.is_complete = False
        self.is_in_exchange = True
        self.exchange_count += 1
        self._sent_at = self.last_byte_at = self._clock.monotonic()
        self._transport.write(head + body)

    async def read_head(self) -> None:
        """Wait for the status line and headers."""
        while not self.is_head_complete:
            if self._error is not None:
                raise self._error
            await self._wait_for_data()
        if isinstance(self._error, ResponseIdMismatch):
            raise self._error

    async def relay_body(self, consume: Callable[[bytes], bool]) -> bool:
        """Call ``consume`` with arriving bytes, within ``data_received``.

        Returns True at the end of the body, and False once ``consume`` has
        returned False: further bytes are then buffered up to the limit until
        the next call. Waking a task for each chunk would cost as much as
        the rest of the relay.
        """
        self._consume = consume
        self._is_consumer_ready = True
        self._last_progress_at = self._clock.monotonic()
        try:
            while True:
                self._deliver_chunks()
                if self._error is not None and not self._chunks:
                    raise self._error
                if not self._is_consumer_ready:
                    return False
                if self.is_complete:
                    return True
                await self._wait_for_data()
        finally:
            self._consume = None

    def _deliver_chunks(self) -> None:
        if not self._chunks or not self._is_consumer_ready:
            return
        data = self._take_chunks()
        try:
            self._is_consumer_ready = self._consume(data)
        except TargetError as error:
            self._fail(error)

    async def read_body(self) -> bytes:
        """Return the next body bytes, waiting if needed; b"" at the end."""
        while not self._chunks:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait_for_data()
        return self._take_chunks()

    def _take_chunks(self) -> bytes:
        chunks = self._chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self._chunks = []
        self._buffered_size = 0
        if self._is_reading_paused:
            self._is_reading_paused = False
            # The timeouts restart: this side had paused reading.
            self.last_byte_at = self._clock.monotonic()
            self._last_progress_at = self.last_byte_at
            self._transport.resume_reading()
        return data

    def record_progress(self) -> None:
        """Restart the progress timeout: the reader could use what arrived."""
        self._last_progress_at = self.last_byte_at
        self._progress_size = 0

    def enforce_timeouts(
        self, silence_limit_s: float, progress_limit_s: float
    ) -> None:
        """Abort the exchange if its response is overdue.

        :param silence_limit_s: maximum time between two bytes of a body.
        :param progress_limit_s: maximum time between two parts of a body
            that the reader can use.
        """
        if (
            not self.is_in_exchange
            or self.is_complete
            or self._is_reading_paused
        ):
            return
        now = self._clock.monotonic()
        problem = ""
        if not self.is_head_complete:
            if now - self._sent_at > self.first_byte_limit_s:
                problem = "the response did not begin within its limit"
        elif now - self.last_byte_at > silence_limit_s:
            problem = "no byte arrived on the connection within its limit"
        elif (
            self._is_consumer_ready
            and now - self._last_progress_at > progress_limit_s
        ):
            problem = "the response arrives too slowly to make progress"
        if problem:
            self._fail(TargetIdleTimeout(problem, "retry on a new connection"))

    def finish_exchange(self) -> bool:
        """End the exchange; return whether the connection is reusable."""
        self.is_in_exchange = False
        if self.is_reusable:
            return True
        self.abort()
        return False

    def fail(self, error: TargetError) -> None:
        """End the exchange with an error, without what has arrived."""
        self._chunks = []
        self._buffered_size = 0
        self._fail(error)

    def abort(self) -> None:
        """Close immediately, which cancels a running request at the target."""
        self.is_in_exchange = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol callbacks.

    def connection_made(self, transport) -> None:
        transport.max_size = _READ_SIZE_BYTES
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.is_in_exchange:
            self.received_unsolicited = True
            self.abort()
            return
        if self.is_complete:
            self.received_unsolicited = True
            return
        self.last_byte_at = self._clock.monotonic()
        self._overhead_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(
                MalformedResponse(
                    f"the response is not valid HTTP ({error!r})",
                    "report the target to its owner",
                )
            )
            return
        if self._overhead_size > self._head_limit_bytes:
            self._fail_head_too_large()
            return
        if self._consume is not None:
            self._deliver_chunks()
            if (
                self._is_consumer_ready
                and not self.is_complete
                and not self._error
            ):
                return
        if (
            self._buffered_size > self._buffer_limit_bytes
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self.is_in_exchange or self.is_complete:
            return
        if (
            exc is None
            and self._error is None
            and self.is_head_complete
            and self.framing is BodyFraming.CONNECTION
        ):
            self.is_complete = True
            self._wake_reader()
            return
        self._fail(
            ConnectionClosed(
                "the target closed the connection before its response was "
                f"complete ({exc!r})",
                "retry if the call is idempotent",
            )
        )

    # httptools parser callbacks.

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.received_unsolicited = True

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are not used.
        if not self.is_head_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = []
            return
        self.status = status
        size = sum(len(name) + len(value) for name, value in self.headers)
        if size > self._head_limit_bytes:
            self._fail_head_too_large()
            return
        if not self._has_matching_request_id():
            if not self._skips_mismatched_responses:
                self._fail_id_mismatch()
            else:
                self._is_skipping_response = True
                return
        elif self._lacks_request_id():
            self._fail_id_missing()
        codings = [
            value.strip().lower()
            for name, value in self.headers
            if name == b"transfer-encoding"
        ]
        if codings and codings != [b"chunked"]:
            # The parser accepts these; another reader may find another end.
            self._fail(
                MalformedResponse(
                    "the response has an unknown or repeated transfer coding",
                    "report the target to its owner",
                )
            )
            return
        self._read_keep_alive_timeout()
        self.framing = self._find_framing()
        self.is_head_complete = True
        self.record_progress()
        if self._has_no_body:
            self.is_complete = True

    def on_body(self, body: bytes) -> None:
        if self.is_complete:
            self.received_unsolicited = True
            return
        if self._is_skipping_response:
            return
        self._overhead_size = 0
        self.body_size += len(body)
        self._progress_size += len(body)
        if self._progress_size >= _PROGRESS_BYTES:
            self.record_progress()
        self._chunks.append(body)
        self._buffered_size += len(body)

    def on_message_complete(self) -> None:
        if self._is_skipping_response:
            self._is_skipping_response = False
            self.headers = []
            # The next responses may belong to other requests as well, so
            # the connection must not be reused.
            self.received_unsolicited = True
            return
        if self.is_head_complete and not self.is_complete:
            # Only valid here: the parser then resets its message state.
            self._keep_alive = self._parser.should_keep_alive()
            self.is_complete = True

    def _find_framing(self) -> BodyFraming:
        names = {name for name, _ in self.headers}
        if self._has_no_body or self.status in _BODILESS_STATUSES:
            return BodyFraming.NONE
        if b"transfer-encoding" in names:
            return BodyFraming.CHUNKS
        if b"content-length" in names:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION

    def _fail_head_too_large(self) -> None:
        self._fail(
            MalformedResponse(
                "the response's head, chunk extensions or trailers exceed "
                f"{self._head_limit_bytes} bytes",
                "raise head_limit_kb in [targets], or report the target "
                "to its owner",
            )
        )

    def _has_matching_request_id(self) -> bool:
        """Return whether the response has no request ID or the right one."""
        for name, value in self.headers:
            if name == self._request_id_header:
                if value != self._attempt:
                    return False
                self._is_id_echoed = True
        return True

    def _lacks_request_id(self) -> bool:
        """Return whether the response may be a copy of an earlier one.

        The responses to the earlier requests on the connection had IDs.
        """
        return (
            self.exchange_count > 1
            and self._needs_id
            and not self._is_id_echoed
        )

    def _fail_id_missing(self) -> None:
        self._fail(
            ResponseIdMismatch(
                "the response on a reused connection carries no request ID",
                "report the target to its owner",
            )
        )

    def _fail_id_mismatch(self) -> None:
        self._fail(
            ResponseIdMismatch(
                "the response carries the ID of another request",
                "report the target to its owner",
            )
        )

    def _read_keep_alive_timeout(self) -> None:
        """Set the timeout that the Keep-Alive header names, if any."""
        self.keep_alive_timeout_s = None
        for name, value in self.headers:
            if name != b"keep-alive":
                continue
            for option in value.split(b","):
                key, _, number = option.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    self.keep_alive_timeout_s = float(number)

    def _fail(self, error: TargetError) -> None:
        if self._error is None:
            self._error = error
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()

    def _wake_reader(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait_for_data(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
