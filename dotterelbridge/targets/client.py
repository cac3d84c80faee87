"""Inference side of a target: exchanges over a small pool of its own.

One pool for each target bounds the cost of finding a connection; a pool
for all targets cost more than half of the processor time.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from datetime import timedelta

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.targets.connection import TargetConnection
from dotterelbridge.targets.errors import MalformedResponse
from dotterelbridge.targets.errors import ResponseIdMismatch
from dotterelbridge.targets.errors import TargetIdleTimeout
from dotterelbridge.targets.events import TargetEvent
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)
_BYTES_PER_KB = 1024


class ExchangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt at one target."""

    attempt: AttemptId
    method: str
    path: str
    headers: list[tuple[bytes, bytes]] = []
    """Without those that frame the message, which the client writes."""
    host: bytes | None = None
    """Value of the Host header; by default the target's address."""
    body: bytes = b""
    fresh_connection: bool = False
    """Whether to open a connection: a kept one may just be closing, which
    leaves unknown whether the request ran."""
    reused_first_byte_limit: timedelta | None = None
    """Silence before the first byte that gives a kept connection up."""
    new_first_byte_limit: timedelta | None = None
    """The same for a new connection; without them the settings' holds."""


class Exchange:
    """An answer that is being read."""

    def __init__(self, connection: TargetConnection) -> None:
        self._connection = connection
        self.status = connection.status
        self.headers = connection.headers

    @property
    def complete(self) -> bool:
        """Whether the target has sent the whole answer."""
        return self._connection.complete

    @property
    def last_byte_at(self) -> float:
        """Monotonic seconds at which the last byte came."""
        return self._connection.last_byte_at

    async def read(self) -> bytes:
        """Return the next bytes of the body, or b"" at its end.

        :raises TargetBroken: the answer will not be whole.
        """
        return await self._connection.read_body()

    async def read_all(self, limit: int, remedy: str) -> bytes:
        """Return the whole body.

        :param limit: bytes.
        :param remedy: what to do about a longer body.
        :raises MalformedResponse: it is longer.
        :raises TargetBroken: the answer will not be whole.
        """
        chunks = []
        size = 0
        while chunk := await self.read():
            size += len(chunk)
            if size > limit:
                raise MalformedResponse(
                    f"the answer exceeds {limit} bytes", remedy
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def relay(
        self,
        consume: Callable[[bytes], bool],
        wait_writable: Callable[[], Awaitable[None]],
    ) -> None:
        """Hand the body on until its end.

        :param consume: takes bytes at once; False when the receiver has
            enough for now.
        :param wait_writable: returns when the receiver takes more.
        :raises TargetBroken: the answer will not be whole.
        """
        while not await self._connection.pump(consume):
            await wait_writable()


class TargetClient:
    """Connections to one target."""

    def __init__(
        self, info: TargetInfo, settings: TargetsSettings, clock: Clock
    ) -> None:
        self.info = info
        self._settings = settings
        self._clock = clock
        self._idle: list[TargetConnection] = []
        self._busy: set[TargetConnection] = set()
        self._host = f"{info.host}:{info.port}".encode()
        self._request_id_header = settings.request_id_header.encode()
        self._closed = False

    @contextlib.asynccontextmanager
    async def open_exchange(
        self, request: ExchangeRequest
    ) -> AsyncIterator[Exchange]:
        """Send a request and give its answer once the head is there.

        Leaving the context before the answer is whole closes the
        connection, which cancels the request at the target.

        :raises TargetConnectFailed: no byte can have reached the target.
        :raises TargetBroken: the request may have run.
        """
        connection = await self._take_connection(request.fresh_connection)
        self._busy.add(connection)
        limit = self._find_first_byte_limit(request, connection)
        connection.first_byte_limit_s = limit
        try:
            connection.start(
                self._write_head(request),
                request.body,
                request.attempt,
                request.method,
            )
            await connection.read_head()
            yield Exchange(connection)
        except ResponseIdMismatch:
            events.log(
                _log,
                TargetEvent.ANSWER_CROSSED,
                target=self.info.target,
                attempt=request.attempt,
            )
            raise
        except TargetIdleTimeout:
            self._condemn_idle(connection)
            raise
        finally:
            self._busy.discard(connection)
            self._put_back(connection)

    def enforce_timeouts(self) -> None:
        """End silent exchanges and close connections unused for long.

        Called a few times a second, in place of a timer for each chunk.
        """
        silence_s = self._settings.silence_limit_ms / 1000
        for connection in list(self._busy):
            if connection.is_silent(silence_s):
                connection.fail_silent()
        kept = []
        for connection in self._idle:
            if connection.closed:
                continue
            if self._is_too_old(connection):
                connection.abort()
                continue
            kept.append(connection)
        self._idle = kept

    def _is_too_old(self, connection: TargetConnection) -> bool:
        """Whether the target may be closing an unused connection."""
        limit_s = self._settings.idle_limit_ms / 1000
        if connection.idle_limit_s is not None:
            margin_s = self._settings.keep_alive_margin_ms / 1000
            limit_s = min(limit_s, connection.idle_limit_s - margin_s)
        idle_s = self._clock.monotonic() - connection.last_byte_at
        return idle_s > limit_s

    async def probe(self, timeout: timedelta, path: str = "") -> bool:
        """Return whether the target lives.

        It does if it accepts a new connection and does not break it off.
        What it answers does not count, nor that it is too busy to answer.

        :param path: where it answers without work; empty to only connect.
        """
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
                        return True
                connection = await self._connect()
        except TargetError:
            return False
        except TimeoutError:
            # A connection that is not accepted fails earlier.
            return bool(path)
        connection.abort()
        return True

    def close(self) -> None:
        """Close the unused connections; exchanges end by themselves."""
        self._closed = True
        for connection in self._idle:
            connection.abort()
        self._idle = []

    def count_connections(self) -> dict[str, int]:
        """Return the number of connections by use."""
        return {"busy": len(self._busy), "idle": len(self._idle)}

    async def _take_connection(self, fresh: bool) -> TargetConnection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.closed:
                self._log_if_unsolicited(connection)
                continue
            if not self._is_too_old(connection):
                return connection
            connection.abort()
        if len(self._busy) >= self._settings.connections_limit:
            raise TargetConnectFailed(
                f"{len(self._busy)} connections to {self.info.target} are "
                "in use",
                "wait, or raise connections_limit in [targets]",
            )
        return await self._connect()

    def _find_first_byte_limit(
        self, request: ExchangeRequest, connection: TargetConnection
    ) -> float:
        """Return the limit in seconds.

        A connection that was lost track of is an old one, so that kept
        ones are given up earlier.
        """
        limit_s = self._settings.first_byte_limit_ms / 1000
        asked = request.reused_first_byte_limit
        if connection.exchanges == 0:
            asked = request.new_first_byte_limit
        if asked is None:
            return limit_s
        return min(limit_s, asked.total_seconds())

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
            self._settings.head_limit_kb * _BYTES_PER_KB,
            self._settings.buffer_limit_kb * _BYTES_PER_KB,
            self._request_id_header,
            self._settings.skip_foreign_answers,
        )

    def _put_back(self, connection: TargetConnection) -> None:
        if not connection.finish():
            return
        full = len(self._idle) >= self._settings.idle_connections_limit
        if full or self._closed:
            connection.abort()
            return
        self._idle.append(connection)

    def _condemn_idle(self, silent: TargetConnection) -> None:
        """Close unused connections without a byte since the silence began.

        What dropped the silent one probably dropped these too.
        """
        kept = []
        for connection in self._idle:
            if connection.last_byte_at > silent.last_byte_at:
                kept.append(connection)
                continue
            connection.abort()
        events.log(
            _log,
            TargetEvent.CONNECTION_SILENT,
            target=self.info.target,
            closed=len(self._idle) - len(kept) + 1,
        )
        self._idle = kept

    def _log_if_unsolicited(self, connection: TargetConnection) -> None:
        if connection.unsolicited:
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


def create_target_client(
    info: TargetInfo, settings: TargetsSettings, clock: Clock
) -> TargetClient:
    """Return a client for the target's address."""
    return TargetClient(info, settings, clock)
