"""One authenticated connection to a peer."""

from collections import deque
from datetime import timedelta
import itertools
import math

import anyio
import structlog
from websockets.exceptions import ConnectionClosed

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.ids import VmId
from dotterelbridge.peers import frames
from dotterelbridge.peers.errors import PeerBusy
from dotterelbridge.peers.errors import PeerReturnedError
from dotterelbridge.peers.errors import ProtocolViolation
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.events import PeerEvent
from dotterelbridge.peers.frames import Frame
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.handshake import Identity
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import Handler
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.traffic import Traffic

_log = structlog.get_logger(__name__)

_BYTES_PER_MB = 1024 * 1024
_WAIT_REMEDY = "wait for the link to come back and ask again"


class _Pending:
    """A request that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Message | None = None
        self.error: Exception | None = None


class Link:
    """Reads and writes the frames of one connection.

    One task reads, one writes, one watches for silence, one handles plain
    messages in the order of arrival, and each request of the peer is
    handled by a task of its own. Plain messages beyond the queue's limit
    are dropped, as the sender must expect.
    """

    def __init__(
        self,
        connection,
        identity: Identity,
        dialled_by: VmId,
        handlers: dict[type[Message], Handler],
        settings: PeersSettings,
        traffic: Traffic,
        clock: Clock,
    ) -> None:
        self.identity = identity
        self.dialled_by = dialled_by
        self.closed = anyio.Event()
        self._connection = connection
        self._handlers = handlers
        self._settings = settings
        self._traffic = traffic
        self._clock = clock
        self._sending = False
        self._sent_frames = 0
        self._heard_at = clock.monotonic()
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._wake = anyio.Event()
        self._pending: dict[int, _Pending] = {}
        self._request_ids = itertools.count(1)
        self._handling = 0
        self._dropped = 0
        self._inbox, self._outbox = anyio.create_memory_object_stream(
            settings.queue_limit_messages
        )

    async def run(self) -> None:
        """Carry frames until the connection ends; never raises for that."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write)
                group.start_soon(self._watch)
                group.start_soon(self._handle_messages)
                await self._read(group)
                group.cancel_scope.cancel()
        finally:
            self.abort()
            self._inbox.close()
            self._outbox.close()

    @property
    def is_busy(self) -> bool:
        """Whether requests are handled or frames wait to be sent."""
        return bool(self._handling or self._queue or self._sending)

    def abort(self) -> None:
        """Close the connection at once and fail the pending requests."""
        if not self.closed.is_set():
            self._connection.transport.abort()
            self._end()

    def close(self) -> None:
        """Close the connection once the frames handed to it are sent."""
        if not self.closed.is_set():
            self._connection.transport.close()
            self._end()

    def _end(self) -> None:
        self.closed.set()
        for pending in self._pending.values():
            pending.error = self._describe_loss()
            pending.done.set()
        self._pending.clear()

    def queue(self, data: bytes) -> bool:
        """Queue a frame; False when the link is closed or the queue full."""
        limit = self._settings.queue_limit_mb * _BYTES_PER_MB
        if (
            self.closed.is_set()
            or len(self._queue) >= self._settings.queue_limit_messages
            or self._queue_bytes + len(data) > limit
        ):
            return False
        self._queue.append(data)
        self._queue_bytes += len(data)
        self._wake.set()
        return True

    async def request(self, message: Message, timeout: timedelta) -> Message:
        """Send a message and wait for its answer."""
        request_id = next(self._request_ids)
        data = frames.encode_message(FrameKind.REQUEST, message, request_id)
        if not self.queue(data):
            raise RequestNotSent(
                f"the queue to {self.identity.vm!r} is full",
                "send less, or raise queue_limit_mb",
            )
        pending = _Pending()
        self._pending[request_id] = pending
        try:
            with anyio.fail_after(timeout.total_seconds()):
                await pending.done.wait()
        except TimeoutError:
            raise PeerUnreachable(
                f"{self.identity.vm!r} did not answer within {timeout}",
                "check the peer's load and the network, and ask again",
            ) from None
        finally:
            self._pending.pop(request_id, None)
        if pending.error:
            raise pending.error
        return pending.answer

    def describe(self) -> dict:
        """Return the link's state for a dump."""
        return {
            "dialled_by": self.dialled_by,
            "incarnation": self.identity.incarnation,
            "queued_messages": len(self._queue),
            "queued_bytes": self._queue_bytes,
            "pending_requests": len(self._pending),
            "handling": self._handling,
            "dropped_messages": self._dropped,
        }

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            try:
                await self._flush()
            except ConnectionClosed:
                self.abort()
                return

    async def _watch(self) -> None:
        """Ping when nothing was sent; close the link when it is silent.

        A look once an interval costs far less than a timer for each
        frame; silence is noticed at most one interval after its limit.
        """
        interval = timedelta(milliseconds=self._settings.ping_interval_ms)
        limit_s = self._settings.silence_limit_ms / 1000
        sent_frames = 0
        while True:
            await self._clock.sleep(interval)
            if self._clock.monotonic() - self._heard_at > limit_s:
                events.log(_log, PeerEvent.LINK_SILENT, peer=self.identity.vm)
                self.abort()
                return
            idle = self._sent_frames == sent_frames
            sent_frames = self._sent_frames
            if idle and self.queue(frames.PING):
                # The ping itself must not count as sent in the next round.
                sent_frames += 1

    async def _flush(self) -> None:
        while self._queue:
            data = self._queue.popleft()
            self._queue_bytes -= len(data)
            self._sending = True
            await self._connection.send(data)
            self._sending = False
            self._sent_frames += 1
            self._traffic.count_sent(len(data))

    async def _read(self, group) -> None:
        while True:
            try:
                data = await self._connection.recv(decode=False)
            except ConnectionClosed:
                return
            self._heard_at = self._clock.monotonic()
            self._traffic.count_received(len(data))
            try:
                self._take(frames.decode_frame(data), group)
            except ProtocolViolation as error:
                events.log(
                    _log,
                    PeerEvent.PROTOCOL_VIOLATED,
                    peer=self.identity.vm,
                    error=str(error),
                )

    def _take(self, frame: Frame, group) -> None:
        match frame.kind:
            case FrameKind.MESSAGE:
                self._take_message(frames.decode_message(frame))
            case FrameKind.REQUEST:
                self._start_request(frame, group)
            case FrameKind.ANSWER:
                self._settle(frame, frames.decode_message(frame), None)
            case FrameKind.ERROR:
                error = PeerReturnedError(
                    f"{self.identity.vm!r} answered: {frame.name}",
                    "read the peer's log",
                )
                self._settle(frame, None, error)
            case FrameKind.BUSY:
                error = PeerBusy(
                    f"{self.identity.vm!r} handles too many requests",
                    "wait a little and ask again",
                )
                self._settle(frame, None, error)

    def _take_message(self, message: Message) -> None:
        try:
            self._inbox.send_nowait(message)
        except anyio.WouldBlock:
            self._dropped += 1

    async def _handle_messages(self) -> None:
        """Handle plain messages in order, apart from the reading task.

        A handler may so wait for an answer that comes over this link.
        """
        async for message in self._outbox:
            await self._handle(message)

    def _settle(
        self, frame: Frame, answer: Message | None, error: Exception | None
    ) -> None:
        pending = self._pending.pop(frame.request_id, None)
        if pending is None:
            return
        pending.answer = answer
        pending.error = error
        pending.done.set()

    def _start_request(self, frame: Frame, group) -> None:
        if self._handling >= self._settings.requests_limit:
            self.queue(frames.encode_busy(frame.request_id))
            return
        try:
            message = frames.decode_message(frame)
        except ProtocolViolation as error:
            self.queue(frames.encode_error(frame.request_id, str(error)))
            raise
        self._handling += 1
        group.start_soon(self._answer, frame.request_id, message)

    async def _answer(self, request_id: int, message: Message) -> None:
        try:
            answer = await self._handle(message)
        finally:
            self._handling -= 1
        if answer is None:
            problem = f"{type(message).__name__} was not handled"
            self.queue(frames.encode_error(request_id, problem))
            return
        self.queue(frames.encode_message(FrameKind.ANSWER, answer, request_id))

    async def _handle(self, message: Message) -> Message | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        try:
            return await handler(self.identity.vm, message)
        except Exception as error:
            events.log(
                _log,
                PeerEvent.HANDLER_FAILED,
                peer=self.identity.vm,
                message=type(message).__name__,
                error=repr(error),
            )
            return None

    def _describe_loss(self) -> PeerUnreachable:
        return PeerUnreachable(
            f"the link to {self.identity.vm!r} was lost", _WAIT_REMEDY
        )


def compute_backoff(
    attempt: int, settings: PeersSettings, fraction: float
) -> timedelta:
    """Return the wait before a dial: exponential, with full jitter.

    :param attempt: failed attempts so far, from 0.
    :param fraction: a random number from 0 to 1.
    """
    doublings = min(attempt, 30)
    ceiling = settings.reconnect_min_ms * math.pow(2, doublings)
    capped = min(ceiling, settings.reconnect_max_ms)
    floor = settings.reconnect_min_ms / 2
    return timedelta(milliseconds=floor + (capped - floor) * fraction)
