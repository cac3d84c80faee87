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
from dotterelbridge.peers.errors import MessageNotEncodable
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
from dotterelbridge.peers.traffic import TrafficCounter

_log = structlog.get_logger(__name__)

_BYTES_PER_MIB = 1024 * 1024
_LINK_LOST_REMEDY = "retry once the link is up again"


class _PendingRequest:
    """A sent request that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Message | None = None
        self.error: Exception | None = None


class Link:
    """Reads and writes the frames of one connection.

    One task reads, one writes, one sends pings and detects silence, and one
    handles plain messages in the order of arrival. Each request of the peer
    is handled in a task of its own. Plain messages that exceed the queue
    limit are dropped: they are sent without any delivery guarantee.
    """

    def __init__(
        self,
        connection,
        identity: Identity,
        dialled_by: VmId,
        handlers: dict[type[Message], Handler],
        settings: PeersSettings,
        traffic: TrafficCounter,
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
        self._is_sending = False
        self._sent_frame_count = 0
        self._last_received_at = clock.monotonic()
        self._send_queue: deque[bytes] = deque()
        self._send_queue_bytes = 0
        self._frames_queued = anyio.Event()
        self._pending: dict[int, _PendingRequest] = {}
        self._request_ids = itertools.count(1)
        self._running_request_count = 0
        self._dropped_message_count = 0
        self._message_sender, self._message_receiver = (
            anyio.create_memory_object_stream(settings.queue_limit_messages)
        )

    async def run(self) -> None:
        """Transfer frames until the connection ends; does not raise then."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_frames)
                group.start_soon(self._run_keep_alive)
                group.start_soon(self._handle_messages)
                await self._read_frames(group)
                group.cancel_scope.cancel()
        finally:
            self.abort()
            self._message_sender.close()
            self._message_receiver.close()

    @property
    def is_busy(self) -> bool:
        """Whether requests are being handled or frames wait to be sent."""
        return bool(
            self._running_request_count or self._send_queue or self._is_sending
        )

    def abort(self) -> None:
        """Close the connection at once and fail the pending requests."""
        if not self.closed.is_set():
            self._connection.transport.abort()
            self._mark_closed()

    def close(self) -> None:
        """Close the connection after the frames written to it are sent."""
        if not self.closed.is_set():
            self._connection.transport.close()
            self._mark_closed()

    def _mark_closed(self) -> None:
        self.closed.set()
        for pending in self._pending.values():
            pending.error = self._create_link_lost_error()
            pending.done.set()
        self._pending.clear()

    def queue_frame(self, data: bytes) -> bool:
        """Queue a frame; False if the link is closed or the queue is full."""
        limit = self._settings.queue_limit_mb * _BYTES_PER_MIB
        if (
            self.closed.is_set()
            or len(self._send_queue) >= self._settings.queue_limit_messages
            or self._send_queue_bytes + len(data) > limit
        ):
            return False
        self._send_queue.append(data)
        self._send_queue_bytes += len(data)
        self._frames_queued.set()
        return True

    async def request(self, message: Message, timeout: timedelta) -> Message:
        """Send a message and wait for its answer."""
        request_id = next(self._request_ids)
        data = frames.encode_message(FrameKind.REQUEST, message, request_id)
        if not self.queue_frame(data):
            raise RequestNotSent(
                f"the link to {self.identity.vm!r} is closed or its queue "
                "is full",
                "retry later, or raise queue_limit_messages or queue_limit_mb",
            )
        pending = _PendingRequest()
        self._pending[request_id] = pending
        try:
            with anyio.fail_after(timeout.total_seconds()):
                await pending.done.wait()
        except TimeoutError:
            raise PeerUnreachable(
                f"{self.identity.vm!r} did not answer within {timeout}",
                "check the peer's load and the network, and retry",
            ) from None
        finally:
            self._pending.pop(request_id, None)
        if pending.error:
            raise pending.error
        return pending.answer

    def describe(self) -> dict:
        """Return the link's state for the state dump."""
        return {
            "dialled_by": self.dialled_by,
            "incarnation": self.identity.incarnation,
            "queued_messages": len(self._send_queue),
            "queued_bytes": self._send_queue_bytes,
            "pending_requests": len(self._pending),
            "handling": self._running_request_count,
            "dropped_messages": self._dropped_message_count,
        }

    async def _write_frames(self) -> None:
        while True:
            await self._frames_queued.wait()
            self._frames_queued = anyio.Event()
            try:
                await self._send_queued_frames()
            except ConnectionClosed:
                self.abort()
                return

    async def _run_keep_alive(self) -> None:
        """Ping an idle link, and close it when the peer is silent.

        One check per ping interval costs far less than a timer for each
        frame. Silence is detected at most one interval after its limit.
        """
        interval = timedelta(milliseconds=self._settings.ping_interval_ms)
        limit_s = self._settings.silence_limit_ms / 1000
        sent_frame_count = 0
        while True:
            await self._clock.sleep(interval)
            if self._clock.monotonic() - self._last_received_at > limit_s:
                events.log(_log, PeerEvent.LINK_SILENT, peer=self.identity.vm)
                self.abort()
                return
            is_idle = self._sent_frame_count == sent_frame_count
            sent_frame_count = self._sent_frame_count
            if is_idle and self.queue_frame(frames.PING):
                # The next check must not count this ping as a sent frame.
                sent_frame_count += 1

    async def _send_queued_frames(self) -> None:
        while self._send_queue:
            data = self._send_queue.popleft()
            self._send_queue_bytes -= len(data)
            self._is_sending = True
            await self._connection.send(data)
            self._is_sending = False
            self._sent_frame_count += 1
            self._traffic.count_sent(len(data))

    async def _read_frames(self, group) -> None:
        while True:
            try:
                data = await self._connection.recv(decode=False)
            except ConnectionClosed:
                return
            self._last_received_at = self._clock.monotonic()
            self._traffic.count_received(len(data))
            try:
                self._dispatch_frame(frames.decode_frame(data), group)
            except ProtocolViolation as error:
                events.log(
                    _log,
                    PeerEvent.PROTOCOL_VIOLATED,
                    peer=self.identity.vm,
                    error=str(error),
                )

    def _dispatch_frame(self, frame: Frame, group) -> None:
        match frame.kind:
            case FrameKind.MESSAGE:
                self._enqueue_message(frames.decode_message(frame))
            case FrameKind.REQUEST:
                self._start_request_handler(frame, group)
            case FrameKind.ANSWER:
                self._complete_request(
                    frame, frames.decode_message(frame), None
                )
            case FrameKind.ERROR:
                error = PeerReturnedError(
                    f"{self.identity.vm!r} answered: {frame.name}",
                    "read the peer's log",
                )
                self._complete_request(frame, None, error)
            case FrameKind.BUSY:
                error = PeerBusy(
                    f"{self.identity.vm!r} is overloaded with requests",
                    "retry after a short delay",
                )
                self._complete_request(frame, None, error)

    def _enqueue_message(self, message: Message) -> None:
        try:
            self._message_sender.send_nowait(message)
        except anyio.WouldBlock:
            self._dropped_message_count += 1

    async def _handle_messages(self) -> None:
        """Handle plain messages in order, in a task separate from the reader.

        A handler can thus wait for an answer that arrives over this link.
        """
        async for message in self._message_receiver:
            await self._call_handler(message)

    def _complete_request(
        self, frame: Frame, answer: Message | None, error: Exception | None
    ) -> None:
        pending = self._pending.pop(frame.request_id, None)
        if pending is None:
            return
        pending.answer = answer
        pending.error = error
        pending.done.set()

    def _start_request_handler(self, frame: Frame, group) -> None:
        if self._running_request_count >= self._settings.requests_limit:
            self.queue_frame(frames.encode_busy(frame.request_id))
            return
        try:
            message = frames.decode_message(frame)
        except ProtocolViolation as error:
            self.queue_frame(frames.encode_error(frame.request_id, str(error)))
            raise
        self._running_request_count += 1
        group.start_soon(self._answer_request, frame.request_id, message)

    async def _answer_request(self, request_id: int, message: Message) -> None:
        try:
            answer = await self._call_handler(message)
        finally:
            self._running_request_count -= 1
        self.queue_frame(self._encode_answer(request_id, message, answer))

    def _encode_answer(
        self, request_id: int, message: Message, answer: Message | None
    ) -> bytes:
        """Return the frame of an answer, or of an error without one."""
        if answer is not None:
            try:
                return frames.encode_message(
                    FrameKind.ANSWER, answer, request_id
                )
            except MessageNotEncodable as error:
                self._log_failed_handler(message, error)
        problem = f"{type(message).__name__} was not handled"
        return frames.encode_error(request_id, problem)

    async def _call_handler(self, message: Message) -> Message | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        try:
            return await handler(self.identity.vm, message)
        except Exception as error:
            self._log_failed_handler(message, error)
            return None

    def _log_failed_handler(self, message: Message, error: Exception) -> None:
        events.log(
            _log,
            PeerEvent.HANDLER_FAILED,
            peer=self.identity.vm,
            message=type(message).__name__,
            error=repr(error),
        )

    def _create_link_lost_error(self) -> PeerUnreachable:
        return PeerUnreachable(
            f"the link to {self.identity.vm!r} was lost", _LINK_LOST_REMEDY
        )


def compute_backoff(
    attempt: int, settings: PeersSettings, fraction: float
) -> timedelta:
    """Return the delay before the next dial: exponential, with jitter.

    :param attempt: number of failed attempts so far.
    :param fraction: random number from 0 to 1, the position between half
        the minimum delay and the exponential one.
    """
    doublings = min(attempt, 30)
    uncapped_ms = settings.reconnect_min_ms * math.pow(2, doublings)
    maximum_ms = min(uncapped_ms, settings.reconnect_max_ms)
    minimum_ms = settings.reconnect_min_ms / 2
    return timedelta(
        milliseconds=minimum_ms + (maximum_ms - minimum_ms) * fraction
    )
