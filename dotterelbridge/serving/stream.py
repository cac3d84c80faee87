"""Relays one event stream, resuming it at other targets after failures."""

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
from dotterelbridge.targets.media_types import EVENT_STREAM_TYPE
from dotterelbridge.targets.media_types import has_content_encoding
from dotterelbridge.targets.media_types import read_media_type

RESUME_HEADER = b"x-resume-offset"
_BYTES_PER_KB = 1024
_OK_STATUS = 200

_log = structlog.get_logger(__name__)


class StreamRelay:
    """Delivers each token to one caller exactly once and in order."""

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
        attempt_log: AttemptLog,
    ) -> None:
        self._router = router
        self._runner = runner
        self._settings = settings
        self._routing_settings = routing_settings
        self._clock = clock
        self._writer = writer
        self._call = call
        self._create_request = create_request
        self._attempt_log = attempt_log
        self._delivered_tokens = 0
        self._preempted = False
        self.token_gaps = TokenGaps()

    @property
    def delivered_tokens(self) -> int:
        """Number of tokens delivered to the caller."""
        return self._delivered_tokens

    async def run(self) -> None:
        """Relay until the stream is complete.

        :raises RoutingRefused: nothing was delivered and no slot was
            available.
        :raises TargetError: nothing was delivered and the last attempt
            failed.
        :raises ResponseIncomplete: the stream has started and can't be
            resumed.
        """
        while True:
            slot = await self._acquire_slot()
            try:
                is_complete = await self._run_attempt(slot)
            except TargetError as error:
                self._attempt_log.record(slot, error)
                await self._prepare_resumption(slot, error)
                continue
            if is_complete:
                return
            # Preempted by urgent work; resumed in the next iteration.
            self._preempted = True

    async def _acquire_slot(self) -> Slot:
        avoided_targets = frozenset(self._attempt_log.failed_targets)
        if not self._writer.started:
            self._runner.check_stop(self._call)
        try:
            return await self._router.acquire(
                self._call, avoided_targets, self._find_slot_deadline()
            )
        except RoutingRefused as error:
            if self._writer.started:
                raise self._create_incomplete_error(error) from error
            raise

    def _find_slot_deadline(self) -> float | None:
        """Return when the wait for a slot ends; None: the call's deadline."""
        now = self._clock.monotonic()
        if self._preempted:
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
                raise self._create_incomplete_error(error) from error
            raise
        if self._writer.started:
            events.log(
                _log,
                ServingEvent.STREAM_RESUMED,
                request=self._call.request_id,
                target=slot.target.view.info.target,
                delivered=self._delivered_tokens,
                error=str(error),
            )

    def _create_incomplete_error(self, error: Exception) -> ResponseIncomplete:
        events.log(
            _log,
            ServingEvent.STREAM_BROKEN,
            request=self._call.request_id,
            delivered=self._delivered_tokens,
            error=str(error),
        )
        return ResponseIncomplete(
            f"the stream broke after {self._delivered_tokens} tokens "
            f"({error})",
            "send the request again",
        )

    async def _run_attempt(self, slot: Slot) -> bool:
        """Relay one attempt; return False if urgent work preempted it."""
        with anyio.CancelScope() as scope:
            if self._call.priority is Priority.BACKGROUND:
                slot.preempt = scope.cancel
            async with self._runner.open_attempt(
                slot, self._create_attempt_request
            ) as exchange:
                await self._relay(slot, exchange)
                return True
        return not slot.preempted

    def _create_attempt_request(
        self, slot: Slot, attempt: AttemptId
    ) -> ExchangeRequest:
        request = self._create_request(slot, attempt)
        if self._delivered_tokens:
            offset = b"%d" % self._delivered_tokens
            request.headers.append((RESUME_HEADER, offset))
        return request

    async def _relay(self, slot: Slot, exchange: Exchange) -> None:
        if not _is_event_stream(exchange):
            await self._relay_non_stream(slot, exchange)
            return
        limit = self._settings.event_limit_kb * _BYTES_PER_KB
        splitter = EventSplitter(limit)

        def consume(data: bytes) -> bool:
            slot.bytes_relayed += len(data)
            events_data, tokens = splitter.feed(data)
            exchange.record_held(splitter.held_bytes)
            if not events_data:
                return True
            if tokens:
                # What two versions of a model generate does not fit together.
                self._call.version = slot.model_version
                exchange.record_progress()
                self.token_gaps.add(tokens, exchange.last_byte_at)
                self._router.record_tokens(slot, tokens)
                self._delivered_tokens += tokens
            if not self._writer.started:
                self._start_response(exchange)
            return self._writer.write_body(events_data)

        await exchange.relay(consume, self._writer.wait_writable)
        if not splitter.done:
            raise MalformedResponse(
                "the stream ended without its closing event",
                "try again if the call is idempotent",
            )
        # A complete stream can no longer be preempted.
        slot.preempt = None
        self._writer.write_body(b"", more=False)

    def _start_response(self, exchange: Exchange) -> None:
        headers = filter_response_headers(exchange.headers)
        self._writer.start(exchange.status, headers, RunStatus.YES)

    async def _relay_non_stream(self, slot: Slot, exchange: Exchange) -> None:
        """Relay a response that isn't an event stream, such as an error."""
        if self._writer.started:
            raise MalformedResponse(
                f"the resumed stream began with status {exchange.status}",
                "check that the target resumes streams",
            )
        response = await self._runner.read_response(slot, exchange)
        self._runner.check_response(self._call, response)
        await self._writer.send_recorded_response(response)


def _is_event_stream(exchange: Exchange) -> bool:
    return (
        exchange.status == _OK_STATUS
        and read_media_type(exchange.headers) == EVENT_STREAM_TYPE
        and not has_content_encoding(exchange.headers)
    )
