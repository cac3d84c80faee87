"""Relay of one event stream, over as many targets as it takes."""

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RunStatus
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.errors import RoutingRefused
from dotterelbridge.routing.router import Router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Slot
from dotterelbridge.serving.attempts import AttemptLog
from dotterelbridge.serving.attempts import AttemptRunner
from dotterelbridge.serving.attempts import RequestFactory
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.metrics import TokenGaps
from dotterelbridge.serving.response import ResponseWriter
from dotterelbridge.serving.response import filter_response_headers
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.sse import EventSplitter
from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.errors import MalformedResponse

RESUME_HEADER = b"x-resume-offset"
_EVENT_STREAM = b"text/event-stream"
_BYTES_PER_KB = 1024
_OK = 200

_log = structlog.get_logger(__name__)


class StreamRelay:
    """Delivers each token once, in order, to one caller."""

    def __init__(
        self,
        router: Router,
        runner: AttemptRunner,
        settings: ServingSettings,
        routing_settings: RoutingSettings,
        clock: Clock,
        writer: ResponseWriter,
        call: Call,
        create_request: RequestFactory,
        log: AttemptLog,
    ) -> None:
        self._router = router
        self._runner = runner
        self._settings = settings
        self._routing_settings = routing_settings
        self._clock = clock
        self._writer = writer
        self._call = call
        self._create_request = create_request
        self._attempts = log
        self._delivered = 0
        self._displaced = False
        self.gaps = TokenGaps()

    @property
    def delivered(self) -> int:
        """Tokens delivered to the caller."""
        return self._delivered

    async def run(self) -> None:
        """Relay until the stream is whole.

        :raises RoutingRefused: nothing was delivered and no place found.
        :raises TargetError: nothing was delivered and the last attempt
            failed.
        :raises ResponseIncomplete: the stream has begun and can't go on.
        """
        while True:
            slot = await self._acquire()
            try:
                whole = await self._run_once(slot)
            except TargetError as error:
                self._attempts.record(slot, error)
                await self._prepare_resumption(slot, error)
                continue
            if whole:
                return
            # Displaced by urgent work: it ran, and goes on later.
            self._displaced = True

    async def _acquire(self) -> Slot:
        avoid = frozenset(self._attempts.avoid)
        try:
            return await self._router.acquire(
                self._call, avoid, self._find_deadline()
            )
        except RoutingRefused as error:
            if self._writer.started:
                raise self._break(error) from error
            raise

    def _find_deadline(self) -> float | None:
        """Return the time until which to wait for a place."""
        now = self._clock.monotonic()
        if self._displaced:
            limit_ms = self._routing_settings.background_resume_limit_ms
            return now + limit_ms / 1000
        if self._writer.started:
            return now + self._routing_settings.resume_limit_ms / 1000
        return None

    async def _prepare_resumption(
        self, slot: Slot, error: TargetError
    ) -> None:
        try:
            await self._runner.prepare_retry(self._call, slot, error)
        except TargetError:
            if self._writer.started:
                raise self._break(error) from error
            raise
        if self._writer.started:
            events.log(
                _log,
                ServingEvent.STREAM_RESUMED,
                request=self._call.request,
                target=slot.target.view.info.target,
                delivered=self._delivered,
                error=str(error),
            )

    def _break(self, error: Exception) -> ResponseIncomplete:
        events.log(
            _log,
            ServingEvent.STREAM_BROKEN,
            request=self._call.request,
            delivered=self._delivered,
            error=str(error),
        )
        return ResponseIncomplete(
            f"the stream broke after {self._delivered} tokens ({error})",
            "send the request again",
        )

    async def _run_once(self, slot: Slot) -> bool:
        """Relay one attempt; False when urgent work took its place."""
        with anyio.CancelScope() as scope:
            if self._call.priority is Priority.BACKGROUND:
                slot.displace = scope.cancel
            async with self._runner.open_attempt(
                slot, self._create_resumption
            ) as exchange:
                await self._relay(slot, exchange)
                return True
        return not slot.displaced

    def _create_resumption(
        self, slot: Slot, attempt: AttemptId
    ) -> ExchangeRequest:
        request = self._create_request(slot, attempt)
        if self._delivered:
            offset = b"%d" % self._delivered
            request.headers.append((RESUME_HEADER, offset))
        return request

    async def _relay(self, slot: Slot, exchange: Exchange) -> None:
        if not _is_event_stream(exchange):
            await self._relay_other(exchange)
            return
        limit = self._settings.event_limit_kb * _BYTES_PER_KB
        splitter = EventSplitter(limit)

        def consume(data: bytes) -> bool:
            slot.bytes_relayed += len(data)
            whole, tokens = splitter.feed(data)
            if not whole:
                return True
            if tokens:
                self.gaps.add(tokens, exchange.last_byte_at)
                self._router.record_tokens(slot, tokens)
                self._delivered += tokens
            if not self._writer.started:
                self._start(exchange)
            return self._writer.write_body(whole)

        await exchange.relay(consume, self._writer.wait_writable)
        if not splitter.done:
            raise MalformedResponse(
                "the stream ended without its closing event",
                "try again if the call is idempotent",
            )
        # A displacement has come too late once the stream is whole.
        slot.displace = None
        self._writer.write_body(b"", more=False)

    def _start(self, exchange: Exchange) -> None:
        headers = filter_response_headers(exchange.headers)
        self._writer.start(exchange.status, headers, RunStatus.YES)

    async def _relay_other(self, exchange: Exchange) -> None:
        """Pass on an answer that is no event stream, such as an error."""
        if self._writer.started:
            raise MalformedResponse(
                f"the resumed stream began with status {exchange.status}",
                "check that the target resumes streams",
            )
        answer = await self._runner.read_answer(exchange)
        self._runner.check_answer(self._call, answer)
        await self._writer.send_recorded(answer)


def _is_event_stream(exchange: Exchange) -> bool:
    if exchange.status != _OK:
        return False
    return any(
        name == b"content-type" and value.lower().startswith(_EVENT_STREAM)
        for name, value in exchange.headers
    )
