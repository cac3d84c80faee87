"""HTTP client of one target, with a connection pool of its own.

A pool for each target keeps the lookup of a connection cheap; one pool for
all targets took more than half of the CPU time.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from datetime import timedelta
import enum
import math
import random

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import ConnectionId
from dotterelbridge.json_documents import decode_document
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.targets import instruments
from dotterelbridge.targets.buffer_budget import BufferBudget
from dotterelbridge.targets.buffer_budget import BufferShare
from dotterelbridge.targets.buffer_budget import create_buffer_budget
from dotterelbridge.targets.connection import TargetConnection
from dotterelbridge.targets.errors import MalformedResponse
from dotterelbridge.targets.errors import ResponseIdMismatch
from dotterelbridge.targets.errors import SendNotPermitted
from dotterelbridge.targets.errors import TargetHeldBack
from dotterelbridge.targets.errors import TargetIdleTimeout
from dotterelbridge.targets.events import TargetEvent
from dotterelbridge.targets.liveness import Liveness
from dotterelbridge.targets.liveness import LivenessCheck
from dotterelbridge.targets.liveness import LivenessProbe
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.targets.statements import TargetStatement
from dotterelbridge.targets.statements import read_statement

_log = structlog.get_logger(__name__)
_BYTES_PER_KIB = 1024
_CHUNK_OVERHEAD_BYTES = 64
"""Memory of a chunk beyond its content."""
_OK_STATUS = 200
_MISDIRECTED_STATUS = 421
_REPORT_LIMIT_BYTES = 4 * 1024 * 1024
_ACCEPTED_TIME = timedelta(milliseconds=20)
"""Time for which a new connection has to stay open: the kernel resets those
that a process had not accepted when it was killed."""


class ExchangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request of one attempt at one target."""

    attempt: AttemptId
    method: str
    path: str
    headers: list[tuple[bytes, bytes]] = []
    """Without Host, the request ID and the headers that frame the message
    (Content-Length, Transfer-Encoding): the client writes those."""
    host: bytes | None = None
    """Value of the Host header; by default the target's address."""
    body: bytes = b""
    used_connections: set[ConnectionId] = set()
    """Connections that have carried an attempt with the same ID; the
    client adds the one that it uses. None of them carries another one: a late
    second copy of the first response could not be told from its response."""
    fresh_connection: bool = False
    """Whether to open a new connection. The target may just be closing an
    idle one, which leaves unknown whether the request ran."""
    is_control: bool = False
    """Whether it is a control call, whose response carries no ID. Its
    connection is kept all the same, so that its client must serve control
    calls only."""
    reused_first_byte_limit: timedelta | None = None
    """Timeout of the first byte on a reused connection."""
    new_first_byte_limit: timedelta | None = None
    """Timeout of the first byte on a new connection. For both, None means
    first_byte_limit_ms of the settings, which is also the maximum."""
    may_send: Callable[[], bool] | None = None
    """Checked immediately before the first byte is written: opening a
    connection takes time, in which a lease or a deadline may expire."""


class ProbeOutcome(enum.Enum):
    """What a probe found."""

    UP = "up"
    REFUSED = "refused"
    """No process listens at the target's address."""
    FAILED = "failed"
    """The target cannot be reached, or closed the connection."""


class _Report(msgspec.Struct):
    """What a target says of its start."""

    born: int | None = None
    """Unix time in ms."""


class Exchange:
    """A response that is being read."""

    def __init__(
        self, connection: TargetConnection, share: BufferShare
    ) -> None:
        """Create an exchange.

        :param share: memory for the part of the body that is held.
        """
        self._connection = connection
        self._share = share
        share.start_receiving(connection.fail)
        self.status = connection.status
        self.headers = connection.headers
        self.framing = connection.framing

    @property
    def body_size(self) -> int:
        """Bytes of the body received so far."""
        return self._connection.body_size

    @property
    def is_complete(self) -> bool:
        """Whether the complete response has arrived."""
        return self._connection.is_complete

    @property
    def last_byte_at(self) -> float:
        """Monotonic time in seconds at which the last byte arrived."""
        return self._connection.last_byte_at

    def record_progress(self) -> None:
        """Restart the progress timeout, e.g. after a complete event."""
        self._connection.record_progress()

    async def read(self) -> bytes:
        """Return the next bytes of the body, or b"" at its end.

        :raises TargetExchangeFailed: the response ended before it was
            complete.
        """
        return await self._connection.read_body()

    async def read_all(self, limit: int, remedy: str) -> bytes:
        """Return the complete body.

        :param limit: maximum size in bytes.
        :param remedy: remedy that the error names for a longer body.
        :raises MalformedResponse: the body is longer.
        :raises AnswerEvicted: the body made room for others.
        :raises TargetExchangeFailed: the response ended before it was
            complete.
        """
        # A buffer that grows would be copied again and again, which leaves
        # several times its size in unusable gaps of the heap.
        chunks = []
        size = 0
        try:
            while chunk := await self.read():
                size += len(chunk)
                if size > limit:
                    raise MalformedResponse(
                        f"the response body exceeds {limit} bytes", remedy
                    )
                chunks.append(chunk)
                self.record_held(size + len(chunks) * _CHUNK_OVERHEAD_BYTES)
        except BaseException:
            # The error keeps this frame alive until it is handled.
            chunks.clear()
            raise
        self._share.finish_receiving()
        return b"".join(chunks)

    def record_held(self, size_bytes: int) -> None:
        """Record how much of the body is held in memory.

        :raises AnswerEvicted: the response makes room for others.
        """
        self._share.resize(size_bytes)

    async def relay(
        self,
        consume: Callable[[bytes], bool],
        wait_writable: Callable[[], Awaitable[None]],
    ) -> None:
        """Pass the body on to a consumer until its end.

        :param consume: takes bytes synchronously; returns False when the
            consumer accepts no more for now.
        :param wait_writable: returns when the consumer accepts more.
        :raises TargetExchangeFailed: the response ended before it was
            complete.
        """
        while not await self._connection.relay_body(consume):
            await wait_writable()


AnswerObserver = Callable[[int, TargetStatement, float], None]
"""Called with the status of an answer to a caller's request, with what it
says of the target, and the monotonic time at which the request was sent."""


class TargetClient:
    """Connection pool and exchanges of one target."""

    def __init__(
        self,
        info: TargetInfo,
        settings: TargetsSettings,
        clock: Clock,
        rng: random.Random,
        on_answer: AnswerObserver | None = None,
        buffer_budget: BufferBudget | None = None,
    ) -> None:
        self.info = info
        self._buffer_budget = buffer_budget or create_buffer_budget(settings)
        self._settings = settings
        self._clock = clock
        self._idle_connections: list[TargetConnection] = []
        self._busy_connections: set[TargetConnection] = set()
        self._host = f"{info.host}:{info.port}".encode()
        self._request_id_header = settings.request_id_header.encode()
        self._leaving_header = settings.leaving_header.lower().encode()
        self._rate_limit_header = settings.rate_limit_header.lower().encode()
        self._random = rng
        self._on_answer = on_answer
        self._is_closed = False
        self.is_leaving = False
        """Whether the target has said that it leaves."""
        self.rate_limit_per_s: float | None = None
        """Requests a second from all VMs together, as the target's latest
        answer named them."""
        self._liveness_check = LivenessCheck(
            self._probe_liveness,
            timedelta(milliseconds=settings.liveness_limit_ms),
            clock,
        )
        self._returns_at = -math.inf
        """Monotonic time from which the target takes requests again."""
        self._has_wait_ended = True

    @contextlib.asynccontextmanager
    async def open_exchange(
        self, request: ExchangeRequest
    ) -> AsyncIterator[Exchange]:
        """Send a request and yield its response once the head has arrived.

        Leaving the context before the response is complete closes the
        connection, which cancels the request at the target.

        :raises TargetConnectFailed: no byte can have reached the target.
        :raises SendNotPermitted: the same, because ``may_send`` was false.
        :raises TargetHeldBack: the same, because the target wants no
            requests for a time.
        :raises TargetExchangeFailed: the request may have run.
        """
        self._check_held_back()
        connection = await self._acquire_connection(request)
        if request.may_send is not None and not request.may_send():
            connection.abort()
            raise SendNotPermitted(
                f"the permission to send to {self.info.target} expired",
                "send the request again",
            )
        request.used_connections.add(connection.id)
        self._busy_connections.add(connection)
        share = self._buffer_budget.open_share()
        limit = self._find_first_byte_limit(request, connection)
        connection.first_byte_limit_s = limit
        sent_at = self._clock.monotonic()
        try:
            connection.send_request(
                self._write_head(request),
                request.body,
                request.attempt,
                request.method,
                needs_id=not request.is_control,
            )
            await connection.read_head()
            self.record_answer_head(
                connection.status,
                connection.headers,
                sent_at,
                is_callers=bool(request.attempt),
            )
            yield Exchange(connection, share)
        except ResponseIdMismatch:
            events.log(
                _log,
                TargetEvent.ANSWER_CROSSED,
                target=self.info.target,
                attempt=request.attempt,
            )
            raise
        except TargetIdleTimeout:
            self._close_stalled_idle_connections(connection)
            raise
        finally:
            self._buffer_budget.release(share)
            self._busy_connections.discard(connection)
            self._release_connection(connection)

    # What the target says of itself.

    @property
    def held_back_s(self) -> float:
        """Seconds for which the target wants no requests from this VM."""
        return max(0.0, self._returns_at - self._clock.monotonic())

    @property
    def is_held_back(self) -> bool:
        """Whether the target wants no requests from this VM at present."""
        return (
            not self._has_wait_ended
            and self._returns_at > self._clock.monotonic()
        )

    def record_answer_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        sent_at: float,
        is_callers: bool,
    ) -> None:
        """Follow what the head of a response says of the target.

        :param sent_at: monotonic time at which the request was sent.
        :param is_callers: whether it answers a caller's request, not a probe
            or a control call.
        """
        statement = read_statement(
            status, headers, self._leaving_header, self._rate_limit_header
        )
        self.record_statement(statement)
        if is_callers and self._on_answer is not None:
            self._on_answer(status, statement, sent_at)

    def record_statement(self, statement: TargetStatement) -> None:
        """Follow what a response said of the target."""
        if statement.unreadable:
            self._count_statement("unreadable")
            events.log(
                _log,
                TargetEvent.STATEMENT_UNREADABLE,
                target=self.info.target,
            )
        if statement.is_leaving and not self.is_leaving:
            self.is_leaving = True
            self._count_statement("leaving")
            events.log(
                _log,
                TargetEvent.TARGET_SAYS_LEAVING,
                target=self.info.target,
            )
            self.close()
        if statement.wait:
            returns_at = self._clock.monotonic() + statement.choose_return_s(
                self._random
            )
            self._returns_at = max(self._returns_at, returns_at)
            self._has_wait_ended = False
            self._count_statement("wait")
            events.log(
                _log,
                TargetEvent.TARGET_ASKS_TO_WAIT,
                target=self.info.target,
                wait_s=statement.wait.total_seconds(),
                returns_in_s=round(self.held_back_s, 3),
            )

        self._record_rate_limit(statement)

    def _record_rate_limit(self, statement: TargetStatement) -> None:
        requests_per_s = statement.rate_limit_per_s
        if requests_per_s == self.rate_limit_per_s or (
            requests_per_s is None and statement.unreadable
        ):
            return
        self.rate_limit_per_s = requests_per_s
        if requests_per_s is None:
            events.log(
                _log,
                TargetEvent.TARGET_RATE_LIMIT_ENDED,
                target=self.info.target,
            )
            return
        self._count_statement("rate_limit")
        events.log(
            _log,
            TargetEvent.TARGET_NAMES_RATE_LIMIT,
            target=self.info.target,
            requests_per_s=requests_per_s,
        )

    def notice_wait_end(self) -> bool:
        """Return True once after a time in which nothing was sent."""
        if self._has_wait_ended or self.is_held_back:
            return False
        self._has_wait_ended = True
        events.log(
            _log, TargetEvent.TARGET_WAIT_ENDED, target=self.info.target
        )
        return True

    def _check_held_back(self) -> None:
        if self.is_held_back:
            raise TargetHeldBack(
                f"{self.info.target} wants no requests for "
                f"{self.held_back_s:.1f} s",
                "send it again after that time, or to another target",
            )

    def _count_statement(self, kind: str) -> None:
        instruments.statements.add(1, {"kind": kind})

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open or was recently."""
        return bool(self._busy_connections or self._idle_connections)

    @property
    def has_idle_connections(self) -> bool:
        """Whether a request may need no new connection."""
        return bool(self._idle_connections)

    def enforce_timeouts(self) -> None:
        """Abort exchanges that timed out and close expired idle connections.

        Called a few times a second, which replaces a timer for each chunk.
        """
        silence_limit_s = self._settings.silence_limit_ms / 1000
        progress_limit_s = self._settings.progress_limit_ms / 1000
        for connection in list(self._busy_connections):
            connection.enforce_timeouts(silence_limit_s, progress_limit_s)
        remaining = []
        for connection in self._idle_connections:
            if connection.is_closed:
                continue
            if self._is_idle_too_long(connection):
                connection.abort()
                continue
            remaining.append(connection)
        self._idle_connections = remaining

    def _is_idle_too_long(self, connection: TargetConnection) -> bool:
        """Return whether the target may be closing an idle connection."""
        limit_s = self._settings.idle_limit_ms / 1000
        if connection.keep_alive_timeout_s is not None:
            margin_s = self._settings.keep_alive_margin_ms / 1000
            limit_s = min(limit_s, connection.keep_alive_timeout_s - margin_s)
        idle_s = self._clock.monotonic() - connection.last_byte_at
        return idle_s > limit_s

    async def probe(self, timeout: timedelta, path: str = "") -> ProbeOutcome:
        """Find out whether the target is up.

        It is if it accepts a new connection and does not close it. What it
        responds does not count, nor does a timeout once the connection is
        open, as the target may be busy.

        :param path: a path that costs no work; empty to only connect, as is
            done with a target that wants no requests.
        """
        if self.is_held_back:
            path = ""
        request = ExchangeRequest(
            attempt=AttemptId(""),
            method="GET",
            path=path,
            headers=[],
            fresh_connection=True,
        )
        try:
            with anyio.fail_after(timeout.total_seconds()):
                if path:
                    async with self.open_exchange(request):
                        return ProbeOutcome.UP
                connection = await self._connect()
        except TargetError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return ProbeOutcome.REFUSED
            return ProbeOutcome.FAILED
        except TimeoutError:
            # A connection that is not accepted fails before this timeout.
            return ProbeOutcome.UP if path else ProbeOutcome.FAILED
        connection.abort()
        return ProbeOutcome.UP

    async def confirm_running(self, probe: LivenessProbe) -> bool:
        """Return whether the target is sure to run, as of this call or later.

        False means that it has ended, or that this cannot be told.
        """
        return await self._liveness_check.confirm(probe)

    async def _probe_liveness(self, probe: LivenessProbe) -> Liveness:
        is_limited = self.is_held_back or self.rate_limit_per_s is not None
        if not probe.path or is_limited:
            return await self._probe_connection()
        request = ExchangeRequest(
            attempt=AttemptId(""),
            method="GET",
            path=probe.path,
            headers=[*probe.headers, (b"connection", b"close")],
            fresh_connection=True,
        )
        try:
            async with self.open_exchange(request) as exchange:
                if exchange.status == _MISDIRECTED_STATUS:
                    return Liveness.GONE
                if exchange.status != _OK_STATUS or probe.born is None:
                    return Liveness.RUNNING
                body = await exchange.read_all(
                    _REPORT_LIMIT_BYTES, "check the target"
                )
            report = decode_document(body, _Report)
        except DocumentMalformed:
            return Liveness.UNCERTAIN
        except TargetError as error:
            return _classify_failure(error)
        is_same = report.born in (None, probe.born)
        return Liveness.RUNNING if is_same else Liveness.GONE

    async def _probe_connection(self) -> Liveness:
        """Open a connection, which shows that some process listens.

        It does not show which one.
        """
        try:
            connection = await self._connect()
        except TargetError as error:
            return _classify_failure(error)
        await self._clock.sleep(_ACCEPTED_TIME)
        is_open = not connection.is_closed
        connection.abort()
        return Liveness.RUNNING if is_open else Liveness.UNCERTAIN

    def close(self) -> None:
        """Close the idle connections; running exchanges continue."""
        self._is_closed = True
        for connection in self._idle_connections:
            connection.abort()
        self._idle_connections = []

    def count_connections(self) -> dict[str, int]:
        """Return the number of busy and idle connections."""
        return {
            "busy": len(self._busy_connections),
            "idle": len(self._idle_connections),
        }

    async def _acquire_connection(
        self, request: ExchangeRequest
    ) -> TargetConnection:
        is_identified = bool(request.attempt) or request.is_control
        if is_identified and not request.fresh_connection:
            connection = self._take_idle_connection(request)
            if connection is not None:
                return connection
        if len(self._busy_connections) >= self._settings.connections_limit:
            raise TargetConnectFailed(
                f"{len(self._busy_connections)} connections to "
                f"{self.info.target} are in use",
                "wait, or raise connections_limit in [targets]",
            )
        return await self._connect()

    def _take_idle_connection(
        self, request: ExchangeRequest
    ) -> TargetConnection | None:
        """Return the connection that was idle for the shortest time."""
        attempt = request.attempt
        for connection in reversed(self._idle_connections.copy()):
            if connection.id in request.used_connections:
                continue
            if attempt and connection.has_carried(attempt):
                continue
            self._idle_connections.remove(connection)
            if connection.is_closed:
                self._log_if_unsolicited(connection)
            elif self._is_idle_too_long(connection):
                connection.abort()
            else:
                return connection
        return None

    def _find_first_byte_limit(
        self, request: ExchangeRequest, connection: TargetConnection
    ) -> float:
        """Return the timeout of the first byte in seconds.

        Connections that a device on the path has dropped are old ones, so
        a reused connection can have a shorter limit than a new one.
        """
        limit_s = self._settings.first_byte_limit_ms / 1000
        requested_limit = request.reused_first_byte_limit
        if connection.exchange_count == 0:
            requested_limit = request.new_first_byte_limit
        if requested_limit is None:
            return limit_s
        return min(limit_s, requested_limit.total_seconds())

    async def _connect(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(self._settings.connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    self._create_connection, self.info.host, self.info.port
                )
        except (OSError, TimeoutError) as error:
            raise TargetConnectFailed(
                f"{self.info.target} cannot be reached ({error!r})",
                "check the target and the network, then try again",
            ) from error
        return connection

    def _create_connection(self) -> TargetConnection:
        return TargetConnection(
            self._clock,
            self._settings.head_limit_kb * _BYTES_PER_KIB,
            self._settings.buffer_limit_kb * _BYTES_PER_KIB,
            self._request_id_header,
            self._settings.skip_foreign_answers,
        )

    def _release_connection(self, connection: TargetConnection) -> None:
        if not connection.finish_exchange():
            return
        is_pool_full = (
            len(self._idle_connections)
            >= self._settings.idle_connections_limit
        )
        if is_pool_full or self._is_closed:
            connection.abort()
            return
        self._idle_connections.append(connection)

    def _close_stalled_idle_connections(
        self, timed_out: TargetConnection
    ) -> None:
        """Close idle connections that are as old as the timed out one.

        Those without a byte since its last one were probably dropped by
        the same fault on the path.
        """
        remaining = []
        for connection in self._idle_connections:
            if connection.last_byte_at > timed_out.last_byte_at:
                remaining.append(connection)
                continue
            connection.abort()
        events.log(
            _log,
            TargetEvent.CONNECTION_SILENT,
            target=self.info.target,
            closed=len(self._idle_connections) - len(remaining) + 1,
        )
        self._idle_connections = remaining

    def _log_if_unsolicited(self, connection: TargetConnection) -> None:
        if connection.received_unsolicited:
            events.log(
                _log,
                TargetEvent.ANSWER_UNSOLICITED,
                target=self.info.target,
            )

    def _write_head(self, request: ExchangeRequest) -> bytes:
        lines = [
            f"{request.method} {request.path} HTTP/1.1".encode(),
            b"host: " + (request.host or self._host),
        ]
        if request.attempt:
            attempt = request.attempt.encode()
            lines.append(self._request_id_header + b": " + attempt)
        lines += [name + b": " + value for name, value in request.headers]
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _classify_failure(error: TargetError) -> Liveness:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return Liveness.GONE
    return Liveness.UNCERTAIN


def create_target_client(
    info: TargetInfo,
    settings: TargetsSettings,
    clock: Clock,
    rng: random.Random | None = None,
    on_answer: AnswerObserver | None = None,
    buffer_budget: BufferBudget | None = None,
) -> TargetClient:
    """Return a client for the address in ``info``.

    :param rng: spreads the returns of VMs to a target that asked to wait.
    :param on_answer: observes the answers to callers' requests.
    :param buffer_budget: bounds the responses of several clients together; by
        default those of this client.
    """
    return TargetClient(
        info,
        settings,
        clock,
        rng or random.Random(),
        on_answer,
        buffer_budget,
    )
