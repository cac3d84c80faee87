"""The attempts at one request, until an answer holds or none can."""

from collections.abc import AsyncIterator
import contextlib
from datetime import timedelta
import math
import random

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import AnswerUnsigned
from dotterelbridge.gateway.errors import NotRun
from dotterelbridge.gateway.event_stream import EventTracker
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.router import GatewayRouter
from dotterelbridge.gateway.router import Outcome
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import Place
from dotterelbridge.ids import AttemptId
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.serving.response import Headers
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import filter_response_headers
from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.errors import AnswerMalformed

_log = structlog.get_logger(__name__)

_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
_MISDIRECTED = 421
_PROMISE_STATUSES = (408, 421, 429, 503)
"""Statuses that say a request has not run; only true when it has not."""
_SERVER_ERROR = 500
_OK = range(200, 300)
_PAUSE_S = 0.02
"""First pause before a refused request is offered again."""
_MS = 1000


class PromiseUnproved(AnswerMalformed):
    """A target's status says "not run", but the target did not say so."""


class TargetFailed(TargetError):
    """A target ran the request and answered with its own failure."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        super().__init__(
            f"the target answered with status {status}",
            "try again, or check the target",
        )
        self.status = status
        self.headers = headers
        self.body = body


class Attempts:
    """Runs one request; the answer goes to the caller as it arrives."""

    def __init__(
        self,
        call: GatewayCall,
        sink: ResponseSink,
        router: GatewayRouter,
        names: HeaderNames,
        settings: GatewaySettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.status = 0
        """Status of the answer that the caller gets; 0 without one."""
        self.place: Place | None = None
        """Where the last attempt went."""
        self.is_finished = False
        self.first_at: float | None = None
        """When the first byte of an answer was handed on."""
        self.longest_pause_s: float | None = None
        """Longest time between two pieces of a stream, as they came."""
        self._piece_at: float | None = None
        self._labels = call.labels
        self.call = call
        self._sink = sink
        self._router = router
        self._names = names
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._tracker = EventTracker()
        self._tracker.last_id = call.request.last_event_id

    @property
    def first_byte_s(self) -> float | None:
        """Seconds from the arrival to the first byte; None without one."""
        if self.first_at is None:
            return None
        return self.first_at - self.call.started_at

    async def run(self) -> None:
        """Answer the caller.

        :raises NoPlace: no target could take it; it certainly has not run.
        :raises TargetError: the last attempt failed.
        """
        while True:
            place = await self._router.acquire(self.call)
            self.place = place
            try:
                await self._attempt(place)
                return
            except TargetError as error:
                if not await self._may_go_on(place, error):
                    raise

    # One attempt.

    async def _attempt(self, place: Place) -> None:
        outcome = Outcome.CANCELLED
        self.call.attempts += 1
        if self.call.attempts > 1:
            self._router.share_of(self.call).count_retry()
        try:
            async with self._open(place) as exchange:
                self._check_answer(place, exchange)
                if self._is_event_stream(exchange):
                    await self._relay(exchange)
                else:
                    await self._hand_on_whole(exchange)
            outcome = Outcome.ANSWERED
        except TargetError as error:
            outcome = _find_outcome(error)
            raise
        finally:
            self._router.release(place, outcome)

    @contextlib.asynccontextmanager
    async def _open(self, place: Place) -> AsyncIterator[Exchange]:
        request = self._create_request(place)
        target = place.target.target
        try:
            async with place.client.open_exchange(request) as exchange:
                yield exchange
        except (TargetConnectFailed, NotRun):
            raise
        except BaseException:
            self.call.ran_at.add(target)
            raise
        else:
            self.call.ran_at.add(target)

    def _create_request(self, place: Place) -> ExchangeRequest:
        request = self.call.request
        names = self._names
        left_ms = self.call.left_s(self._clock.monotonic()) * _MS
        headers = list(request.headers)
        if self._tracker.last_id != request.last_event_id:
            headers = [h for h in headers if h[0] != names.last_event_id]
            headers.append((names.last_event_id, self._tracker.last_id))
        headers.append((names.deadline_ms, b"%d" % max(1, int(left_ms))))
        headers.append((names.expected_target, place.target.target.encode()))
        if self.call.item is not None:
            headers.append((names.urgency, b"%d" % self.call.urgency))
        limit = None
        if self.call.route.repeatability is Repeatability.SAFE:
            limit = timedelta(milliseconds=self._settings.silent_answer_ms)
        return ExchangeRequest(
            attempt=AttemptId(request.request),
            method=request.method,
            path=request.target,
            headers=headers,
            host=request.host.encode("latin-1"),
            body=request.body,
            kept_first_byte_limit=limit,
            new_first_byte_limit=limit,
        )

    def _check_answer(self, place: Place, exchange: Exchange) -> None:
        """Raise unless the answer may go to the caller as it is."""
        values = dict(exchange.headers)
        status = exchange.status
        if self._names.not_run in values or status == _MISDIRECTED:
            raise NotRun(status)
        if status in _PROMISE_STATUSES:
            raise PromiseUnproved(
                f"the target answered {status} without saying that the "
                "request has not run",
                "check the target",
            )
        signature = self._names.signature
        if status in _OK and signature and signature not in values:
            raise AnswerUnsigned(
                "a success without the target's signature",
                "check what stands at the target's address",
            )

    def _is_event_stream(self, exchange: Exchange) -> bool:
        return exchange.status in _OK and self.call.is_stream

    async def _hand_on_whole(self, exchange: Exchange) -> None:
        """Hand on an answer once it is whole."""
        if self.call.is_delivering:
            raise AnswerMalformed(
                f"the resumed stream began with status {exchange.status}",
                "check that the target resumes streams",
            )
        body = await exchange.read_whole(
            _ANSWER_LIMIT_BYTES, "ask for a stream"
        )
        headers = filter_response_headers(exchange.headers)
        if exchange.status >= _SERVER_ERROR:
            raise TargetFailed(exchange.status, headers, body)
        await self.send_whole(exchange.status, headers, body)

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send the caller an answer whose length is known."""
        self._start(status, headers + [(b"content-length", b"%d" % len(body))])
        self._write(body, more=False)
        await self._sink.wait_writable()

    async def _relay(self, exchange: Exchange) -> None:
        """Hand on the events of a stream as they arrive."""
        resumable = self.call.route.is_resumable
        self._tracker.drop_rest()

        def consume(data: bytes) -> bool:
            if resumable:
                data = self._tracker.feed(data)
                if not data:
                    return True
            self._note_piece()
            if not self.call.is_delivering:
                self.call.is_delivering = True
                headers = filter_response_headers(exchange.headers)
                self._start(exchange.status, headers)
            return self._write(data, more=True)

        await exchange.relay(consume, self._sink.wait_writable)
        if resumable and self._tracker.has_rest:
            raise AnswerMalformed(
                "the stream ended within an event", "resume the stream"
            )
        if not self.call.is_delivering:
            self.call.is_delivering = True
            self._start(
                exchange.status, filter_response_headers(exchange.headers)
            )
        self._write(b"", more=False)

    def _note_piece(self) -> None:
        now = self._clock.monotonic()
        if self._piece_at is not None:
            pause_s = now - self._piece_at
            self.longest_pause_s = max(self.longest_pause_s or 0.0, pause_s)
            instruments.pauses.record(pause_s, self._labels)
        self._piece_at = now

    def _start(self, status: int, headers: Headers) -> None:
        self.status = status
        self.first_at = self._clock.monotonic()
        self._sink.write(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    def _write(self, data: bytes, more: bool) -> bool:
        self.is_finished = not more
        return self._sink.write(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    # Between attempts.

    async def _may_go_on(self, place: Place, error: TargetError) -> bool:
        """Whether another attempt follows; pauses before it."""
        call = self.call
        not_run = isinstance(error, (TargetConnectFailed, NotRun))
        may_repeat = not_run or (
            call.route.is_repeatable
            and len(call.ran_at) < max(1, call.route.attempts)
            and (not call.is_delivering or call.route.is_resumable)
        )
        follows = may_repeat and call.left_s(self._clock.monotonic()) > 0
        sent = not isinstance(error, TargetConnectFailed)
        if follows and sent and not self._router.share_of(call).may_retry():
            follows = False
            events.log(
                _log,
                GatewayEvent.RETRY_BUDGET_SPENT,
                request=call.request.request,
                service=call.service.name,
            )
        events.log(
            _log,
            GatewayEvent.ATTEMPT_FAILED,
            request=call.request.request,
            target=place.target.target,
            attempt=call.attempts,
            error=error.problem,
            may_have_run=not not_run,
            follows=follows,
        )
        if not follows:
            return False
        self._avoid(place, error)
        if not_run:
            spread_s = _PAUSE_S * math.pow(2, min(call.attempts, 4))
            pause_s = self._random.uniform(spread_s / 4, spread_s)
            await self._clock.sleep(timedelta(seconds=pause_s))
        return True

    def _avoid(self, place: Place, error: TargetError) -> None:
        if isinstance(error, NotRun) and error.status == _MISDIRECTED:
            # It lacks the item, or is another target; others may wait
            # for the same load, so the choice stays open.
            return
        self.call.avoided.add(place.target.target)


def _find_outcome(error: TargetError) -> Outcome:
    if isinstance(error, NotRun):
        lacking = error.status == _MISDIRECTED
        return Outcome.LACKING if lacking else Outcome.REFUSED
    if isinstance(error, TargetConnectFailed):
        return Outcome.CONNECT_FAILED
    if isinstance(error, TargetFailed):
        return Outcome.ANSWERED
    return Outcome.BROKEN
