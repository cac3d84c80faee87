"""Sends a request to targets until one succeeds or none can."""

from collections.abc import AsyncIterator
import contextlib
from datetime import timedelta
import math
import random

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.gateway.authentication import create_unconfirmed_error
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import RequestNotRun
from dotterelbridge.gateway.errors import SignatureMissing
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.event_stream import EventStreamParser
from dotterelbridge.gateway.event_stream import count_events
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.resumed_streams import describe_origin
from dotterelbridge.gateway.router import GatewayRouter
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.stream_gaps import StreamGapMeter
from dotterelbridge.gateway.stream_gaps import StreamGaps
from dotterelbridge.gateway.target import Slot
from dotterelbridge.ids import AttemptId
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.recorder import StreamRecorder
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.serving.response import Headers
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import create_response_start
from dotterelbridge.serving.response import filter_response_headers
from dotterelbridge.serving.stop_grace import StopGrace
from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.completeness import verify_body_end
from dotterelbridge.targets.completeness import verify_running
from dotterelbridge.targets.connection import BodyFraming
from dotterelbridge.targets.errors import ConnectionClosed
from dotterelbridge.targets.errors import MalformedResponse
from dotterelbridge.targets.errors import ResponseTruncated
from dotterelbridge.targets.errors import SendNotPermitted
from dotterelbridge.targets.errors import TargetHeldBack
from dotterelbridge.targets.liveness import LivenessProbe
from dotterelbridge.targets.media_types import EVENT_STREAM_TYPE
from dotterelbridge.targets.media_types import has_content_encoding
from dotterelbridge.targets.media_types import read_media_type
from dotterelbridge.teams.permission import KeyPermission

_log = structlog.get_logger(__name__)

_BYTES_PER_KB = 1024
_MISDIRECTED_STATUS = 421
_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that the request has not run. They are only
forwarded if the target has confirmed this with its header."""
_OK_STATUS = 200
_SERVER_ERROR_STATUS = 500
_SUCCESS_STATUSES = range(200, 300)
_STOP_RETRY_AFTER = timedelta(0)
"""Other VMs can take the request at once."""
_INITIAL_RETRY_DELAY_S = 0.02
"""Base of the exponential delay before a refused request is retried."""
_MS_PER_S = 1000


class NotRunUnconfirmed(MalformedResponse):
    """A status says that a request has not run, but no header confirms it."""


class WholeResponse(msgspec.Struct, frozen=True):
    """A response that was received up to its end."""

    status: int
    headers: Headers
    body: bytes


class TargetFailed(TargetError):
    """A target ran the request and responded with a server error."""

    def __init__(self, response: WholeResponse) -> None:
        super().__init__(
            f"the target answered with status {response.status}",
            "try again, or check the target",
        )
        self.response = response


class AttemptRunner:
    """Runs the attempts of one request and forwards the response."""

    def __init__(
        self,
        call: GatewayCall,
        sink: ResponseSink,
        router: GatewayRouter,
        header_names: HeaderNames,
        settings: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        stop_grace: StopGrace,
        key_permission: KeyPermission,
        stream_recorder: StreamRecorder,
        stream_gaps: StreamGaps | None = None,
    ) -> None:
        self._stream_recorder = stream_recorder
        self._stop_grace = stop_grace
        self._key_permission = key_permission
        self._stream_gaps = stream_gaps
        self._gap_meter: StreamGapMeter | None = None
        """Meter of the latest attempt's stream; None if not measured."""
        self.status = 0
        """Status of the response to the caller; 0 before it starts."""
        self.slot: Slot | None = None
        """Slot of the latest attempt."""
        self.is_finished = False
        self.first_byte_at: float | None = None
        """Monotonic time at which the first byte was forwarded."""
        self.longest_chunk_gap_s: float | None = None
        """Longest time between two chunks of a stream, as they arrived."""
        self._last_chunk_at: float | None = None
        self._exchange: Exchange | None = None
        """Response of the latest attempt, once its head has arrived."""
        self.call = call
        self._sink = sink
        self._router = router
        self._header_names = header_names
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._parser = EventStreamParser(
            settings.event_limit_kb * _BYTES_PER_KB
        )
        self._parser.last_id = call.request.last_event_id

    @property
    def first_byte_s(self) -> float | None:
        """Seconds from the arrival to the first byte; None before it."""
        if self.first_byte_at is None:
            return None
        return self.first_byte_at - self.call.started_at

    async def run(self) -> None:
        """Send the request to targets and forward the response.

        :raises NoTargetAvailable: no target can take this attempt; it was
            not sent.
        :raises TargetError: the last attempt failed.
        """
        while True:
            self._check_stop()
            self._check_key_permission()
            slot = await self._router.acquire(self.call)
            self.slot = slot
            try:
                await self._run_attempt(slot)
                return
            except TargetError as error:
                if not await self._prepare_retry(slot, error):
                    raise

    def _check_stop(self) -> None:
        """Check that an attempt can end before this process does.

        :raises NoTargetAvailable: it might be cut off.
        """
        if self.call.has_response_started:
            return
        if not self._stop_grace.allows_start(self.call.deadline_at):
            raise NoTargetAvailable(
                UnavailableReason.DRAINING,
                "this VM stops before the request is certainly answered",
                "send the request again",
                _STOP_RETRY_AFTER,
            )

    def _check_key_permission(self) -> None:
        """Check that the key of the request may still be relied on.

        :raises NoTargetAvailable: it may have been taken away meanwhile.
        """
        if not self._has_key_permission():
            raise create_unconfirmed_error()

    def _has_key_permission(self) -> bool:
        """Return whether the request may be sent as far as keys matter.

        What has run already may run to its end.
        """
        call = self.call
        return (
            call.team is None
            or call.route.is_public
            or bool(call.possibly_ran_at)
            or self._key_permission.is_valid()
        )

    # Attempts.

    async def _run_attempt(self, slot: Slot) -> None:
        outcome = AttemptOutcome.CANCELLED
        self._exchange = None
        self._gap_meter = None
        self.call.attempts += 1
        if self.call.attempts > 1:
            self._router.get_retry_budget(self.call).record_retry()
        try:
            async with self._open_exchange(slot) as exchange:
                self._exchange = exchange
                self._check_response(slot, exchange)
                if self._is_event_stream(exchange):
                    self._gap_meter = self._create_gap_meter(slot)
                    await self._forward_stream(slot, exchange)
                else:
                    await self._forward_response(slot, exchange)
            outcome = AttemptOutcome.ANSWERED
        except TargetError as error:
            outcome = _classify_error(error)
            raise
        finally:
            if self._gap_meter is not None:
                self._gap_meter.finish()
            self._router.release(slot, outcome)

    @contextlib.asynccontextmanager
    async def _open_exchange(self, slot: Slot) -> AsyncIterator[Exchange]:
        request = self._create_request(slot)
        target = slot.view.target
        try:
            async with slot.client.open_exchange(request) as exchange:
                yield exchange
        except (TargetConnectFailed, RequestNotRun):
            raise
        except BaseException:
            self.call.possibly_ran_at.add(target)
            raise
        else:
            self.call.possibly_ran_at.add(target)

    def _create_request(self, slot: Slot) -> ExchangeRequest:
        request = self.call.request
        names = self._header_names
        remaining_ms = (
            self.call.remaining_s(self._clock.monotonic()) * _MS_PER_S
        )
        headers = list(request.headers)
        if self._parser.last_id != request.last_event_id:
            headers = [h for h in headers if h[0] != names.last_event_id]
            headers.append((names.last_event_id, self._parser.last_id))
        headers.append((names.deadline_ms, b"%d" % max(1, int(remaining_ms))))
        headers.append((names.expected_target, slot.view.target.encode()))
        if self.call.team is not None:
            headers.append((names.team, self.call.team.name.encode("latin-1")))
        if self.call.item is not None:
            headers.append((names.urgency, b"%d" % self.call.urgency))
        first_byte_limit = None
        if self.call.route.repeatability is Repeatability.SAFE:
            first_byte_limit = timedelta(
                milliseconds=self._settings.silent_answer_ms
            )
        return ExchangeRequest(
            attempt=AttemptId(request.request_id),
            method=request.method,
            path=request.target,
            headers=headers,
            host=request.host.encode("latin-1"),
            body=request.body,
            used_connections=self.call.used_connections,
            reused_first_byte_limit=first_byte_limit,
            new_first_byte_limit=first_byte_limit,
            may_send=lambda: self._may_send(slot),
        )

    def _may_send(self, slot: Slot) -> bool:
        """Return whether the request may still be sent to a slot's target.

        Not after the caller's deadline, by which it was promised an answer,
        as it may then repeat the request, not to a target that has said that
        it leaves or has another software version than the stream, and not
        once the key may be dead. Each may happen during a pause of the
        process.
        """
        has_time_left = self.call.remaining_s(self._clock.monotonic()) > 0
        if not self.call.has_response_started:
            has_time_left = has_time_left and self._stop_grace.allows_start(
                self.call.deadline_at
            )
        return (
            has_time_left
            and slot.gateway_target.takes_new_work
            and self._fits_origin(slot)
            and self._has_key_permission()
        )

    def _fits_origin(self, slot: Slot) -> bool:
        origin = self.call.origin
        return origin is None or slot.software == origin.software

    def _check_response(self, slot: Slot, exchange: Exchange) -> None:
        """Check that the response may be forwarded to the caller.

        :raises TargetError: it may not.
        """
        values = dict(exchange.headers)
        status = exchange.status
        if (
            self._header_names.not_run in values
            or status == _MISDIRECTED_STATUS
        ):
            raise RequestNotRun(status)
        if status in _NOT_RUN_STATUSES:
            raise NotRunUnconfirmed(
                f"the target responded with status {status} but without the "
                "header that confirms that the request has not run",
                "check the target",
            )
        signature = self._header_names.signature
        if (
            status in _SUCCESS_STATUSES
            and signature
            and signature not in values
        ):
            raise SignatureMissing(
                "a successful response lacks the target's signature",
                "check which server listens at the target's address",
            )

    def _is_event_stream(self, exchange: Exchange) -> bool:
        if not self.call.is_stream or has_content_encoding(exchange.headers):
            return False
        statuses = _SUCCESS_STATUSES
        if self.call.has_response_started:
            statuses = (_OK_STATUS,)
        media_type = read_media_type(exchange.headers)
        return exchange.status in statuses and (
            media_type in (b"", EVENT_STREAM_TYPE)
        )

    async def _forward_response(self, slot: Slot, exchange: Exchange) -> None:
        """Forward a response after it was received completely."""
        if self.call.has_response_started:
            raise MalformedResponse(
                "the answer to a resumed stream is no event stream (status "
                f"{exchange.status})",
                "check that the target resumes streams",
            )
        body = await exchange.read_all(
            self._settings.answer_limit_kb * _BYTES_PER_KB,
            "raise answer_limit_kb in [gateway], or ask for a stream",
        )
        await verify_body_end(
            exchange, body, slot.client, self._create_liveness_probe(slot)
        )
        response = WholeResponse(
            exchange.status, filter_response_headers(exchange.headers), body
        )
        if exchange.status >= _SERVER_ERROR_STATUS:
            raise TargetFailed(response)
        await self.send_response(response)

    async def send_response(self, response: WholeResponse) -> None:
        """Send the caller a response with its length."""
        length = (b"content-length", b"%d" % len(response.body))
        self._start_response(response.status, [*response.headers, length])
        self._write_body(response.body, more=False)
        await self.wait_until_sent()

    async def wait_until_sent(self) -> None:
        """Wait until the caller has taken nearly all that was written."""
        await self._sink.wait_writable()

    async def _forward_stream(self, slot: Slot, exchange: Exchange) -> None:
        """Forward the events of a stream as they arrive."""
        self._parser.start_response(continues=self.call.route.is_resumable)

        def forward(data: bytes) -> bool:
            events_data = self._parser.feed(data)
            exchange.record_held(self._parser.held_bytes)
            if not events_data:
                return True
            exchange.record_progress()
            self._record_chunk(events_data)
            if self.slot.first_event_at is None:
                self._log_resumed(self.slot)
            self.slot.record_events(
                count_events(events_data), self._clock.monotonic()
            )
            if not self.call.has_response_started:
                self._record_origin()
                self._start_stream(exchange)
            return self._write_body(events_data, more=True)

        await exchange.relay(forward, self._sink.wait_writable)
        await self._check_stream_end(slot, exchange)
        if not self.call.has_response_started:
            self._start_stream(exchange)
        self._write_body(b"", more=False)

    def _record_origin(self) -> None:
        """Bind a resumable stream to the software that begins it."""
        call = self.call
        if not call.route.is_resumable or call.origin is not None:
            return
        call.origin = StreamOrigin(call.service.name, self.slot.software)
        remaining_s = max(0.0, call.remaining_s(self._clock.monotonic()))
        self._stream_recorder.record_begun(
            call.request.request_id,
            call.origin,
            call.route.name,
            call.team_name,
            timedelta(seconds=remaining_s),
        )

    def _log_resumed(self, slot: Slot) -> None:
        """Log that a stream of which the caller has a part goes on."""
        call = self.call
        if call.origin is not None:
            events.log(
                _log,
                GatewayEvent.STREAM_RESUMED,
                request=call.request.request_id,
                target=slot.view.target,
                software=slot.software,
                attempt=call.attempts,
                **describe_origin(call),
            )

    def _start_stream(self, exchange: Exchange) -> None:
        """Begin a stream in chunks, whatever marks the end of the target's.

        Otherwise the end of this process would look like that of the stream.
        """
        self.call.has_response_started = True
        self._start_response(
            exchange.status, filter_response_headers(exchange.headers)
        )

    async def _check_stream_end(self, slot: Slot, exchange: Exchange) -> None:
        """Check that a stream that ended normally is complete.

        :raises ResponseTruncated: it broke off.
        """
        if self._parser.has_incomplete_event:
            raise ResponseTruncated(
                "the stream ended in the middle of an event",
                "resume the stream",
            )
        if self.call.has_response_started and not self._parser.has_events:
            raise ResponseTruncated(
                "an answer without events does not show that the resumed "
                "stream is complete",
                "resume the stream",
            )
        if exchange.framing is not BodyFraming.CONNECTION:
            return
        if not self._parser.has_events:
            raise ResponseTruncated(
                "the connection ended before the stream's first event",
                "resume the stream",
            )
        await verify_running(slot.client, self._create_liveness_probe(slot))

    def _create_liveness_probe(self, slot: Slot) -> LivenessProbe:
        """Return how to find out whether the target still runs."""
        service = self.call.service
        path = service.health_path
        born = None
        if service.engine is not None and self._settings.report_path:
            path = self._settings.report_path
            born = slot.view.born or None
        expected_target = (
            self._header_names.expected_target,
            slot.view.target.encode(),
        )
        return LivenessProbe(path, (expected_target,), born)

    def _create_gap_meter(self, slot: Slot) -> StreamGapMeter | None:
        if self._stream_gaps is None or self.call.item is None:
            return None
        target = slot.view
        return self._stream_gaps.measure(
            (target.target, target.born), self.call.item.model
        )

    def _record_chunk(self, events_data: bytes) -> None:
        now = self._clock.monotonic()
        if self._gap_meter is not None:
            self._gap_meter.record(now, events_data)
        if self._last_chunk_at is not None:
            gap_s = now - self._last_chunk_at
            self.longest_chunk_gap_s = max(
                self.longest_chunk_gap_s or 0.0, gap_s
            )
        self._last_chunk_at = now

    def _start_response(self, status: int, headers: Headers) -> None:
        self.status = status
        self.first_byte_at = self._clock.monotonic()
        self._sink.write(create_response_start(status, headers))

    def _write_body(self, data: bytes, more: bool) -> bool:
        self.is_finished = not more
        return self._sink.write(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    # Retries.

    async def _prepare_retry(self, slot: Slot, error: TargetError) -> bool:
        """Return whether to retry, after the delay that a retry needs."""
        call = self.call
        not_run = isinstance(error, (TargetConnectFailed, RequestNotRun))
        is_repeatable = not_run or (
            call.route.is_repeatable
            and not self._router.is_suspected(call)
            and len(call.possibly_ran_at) < max(1, call.route.attempts)
            and (not call.has_response_started or self._can_resume())
        )
        will_retry = (
            is_repeatable and call.remaining_s(self._clock.monotonic()) > 0
        )
        was_sent = not isinstance(error, TargetConnectFailed)
        if (
            will_retry
            and was_sent
            and not self._router.get_retry_budget(call).allows_retry()
        ):
            will_retry = False
            events.log(
                _log,
                GatewayEvent.RETRY_BUDGET_SPENT,
                request=call.request.request_id,
                service=call.service.name,
            )
        events.log(
            _log,
            GatewayEvent.ATTEMPT_FAILED,
            request=call.request.request_id,
            target=slot.view.target,
            software=slot.software,
            attempt=call.attempts,
            error=error.problem,
            may_have_run=not not_run,
            follows=will_retry,
            traits=call.traits,
            **self._describe_response(),
        )
        if not will_retry:
            return False
        self._exclude_target(slot, error)
        if not_run or call.attempts > 1:
            # Without a delay, the only target that is left would get one
            # attempt after another.
            max_delay_s = _INITIAL_RETRY_DELAY_S * math.pow(
                2, min(call.attempts, 4)
            )
            delay_s = self._random.uniform(max_delay_s / 4, max_delay_s)
            await self._clock.sleep(timedelta(seconds=delay_s))
        return True

    def _can_resume(self) -> bool:
        """Return whether a stream that has begun can go on elsewhere.

        Without an event ID it would begin anew.
        """
        return self.call.route.is_resumable and bool(self._parser.last_id)

    def _describe_response(self) -> dict[str, str | int]:
        """Return log fields on what was received of the latest response."""
        if self._exchange is None:
            return {}
        return {
            "framing": self._exchange.framing.value,
            "received_bytes": self._exchange.body_size,
        }

    def _exclude_target(self, slot: Slot, error: TargetError) -> None:
        if (
            isinstance(error, RequestNotRun)
            and error.status == _MISDIRECTED_STATUS
        ):
            # The item is not loaded there, or another target answered. The
            # target stays eligible, because the others may still be waiting
            # for the same load.
            return
        self.call.excluded_targets.add(slot.view.target)


def _classify_error(error: TargetError) -> AttemptOutcome:
    if isinstance(error, SendNotPermitted):
        # This process was late; the target has not failed.
        return AttemptOutcome.CANCELLED
    if isinstance(error, RequestNotRun):
        is_item_missing = error.status == _MISDIRECTED_STATUS
        return (
            AttemptOutcome.ITEM_MISSING
            if is_item_missing
            else AttemptOutcome.REFUSED
        )
    if isinstance(error, TargetHeldBack):
        return AttemptOutcome.REFUSED
    if isinstance(error, TargetConnectFailed):
        return AttemptOutcome.CONNECT_FAILED
    if isinstance(error, TargetFailed):
        return AttemptOutcome.SERVER_ERROR
    if isinstance(error, (ConnectionClosed, ResponseTruncated)):
        return AttemptOutcome.CLOSED
    return AttemptOutcome.BROKEN
