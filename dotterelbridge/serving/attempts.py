"""Attempts at targets: which failures are retried, and what has run.

A request that is not idempotent isn't retried once a byte of it may have
been sent, except after a failed connect or an engine's refusal.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from datetime import timedelta
import random
import uuid

import msgspec

from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.clock import Clock
from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.errors import TargetExchangeFailed
from dotterelbridge.errors import TargetRefused
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import RunStatus
from dotterelbridge.ids import TargetId
from dotterelbridge.json_documents import decode_document
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.errors import ProcessStops
from dotterelbridge.routing.errors import RetriesExhausted
from dotterelbridge.routing.router import Router
from dotterelbridge.routing.target import Outcome
from dotterelbridge.routing.target import Slot
from dotterelbridge.serving.response import filter_response_headers
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.stop_grace import StopGrace
from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.completeness import verify_body_end
from dotterelbridge.targets.errors import ConnectionClosed
from dotterelbridge.targets.errors import ResponseTruncated
from dotterelbridge.targets.errors import TargetHeldBack
from dotterelbridge.targets.errors import TargetIdleTimeout
from dotterelbridge.targets.liveness import LivenessProbe

_BYTES_PER_KB = 1024
_REFUSAL_BODY_LIMIT_BYTES = 65536
_TOO_LARGE_REMEDY = "raise answer_limit_kb in [serving], or ask for a stream"
_REFUSAL_STATUSES = (404, 503)
_REFUSAL_OUTCOMES = {
    "model_not_ready": Outcome.NOT_READY,
    "overloaded": Outcome.OVERLOADED,
    "leaving": Outcome.LEAVING,
}
_SERVER_ERROR_STATUS = 500
_MAYBE_NOT_RUN_STATUSES = (502, 503, 504)
_RETRY_BACKOFF_S = 0.02


class EngineRefused(TargetRefused):
    """An engine refused the request, which did not run."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(
            f"the engine refused the request ({outcome.value})",
            "try another target",
        )
        self.outcome = outcome


class TargetFailed(TargetError):
    """The target responded with an error of its own."""

    def __init__(self, response: RecordedResponse) -> None:
        super().__init__(
            f"the target responded with status {response.status}",
            "try again later, and check the target",
        )
        self.response = response


class AttemptLog:
    """Results of the failed attempts at one request."""

    def __init__(self) -> None:
        self.run_status = RunStatus.NO
        self.failed_targets: set[TargetId] = set()

    def record(self, slot: Slot, error: TargetError) -> None:
        """Record a failed attempt."""
        self.failed_targets.add(slot.target.view.info.target)
        if isinstance(error, TargetConnectFailed | TargetRefused):
            return
        self.run_status = RunStatus.UNKNOWN


RequestFactory = Callable[[Slot, AttemptId], ExchangeRequest]


class AttemptRunner:
    """Runs attempts one after another until one succeeds."""

    def __init__(
        self,
        router: Router,
        settings: ServingSettings,
        clock: Clock,
        rng: random.Random,
        stop_grace: StopGrace,
    ) -> None:
        self._stop_grace = stop_grace
        self._router = router
        self._settings = settings
        self._clock = clock
        self._random = rng

    async def run_buffered(
        self,
        call: Call,
        create_request: RequestFactory,
        attempt_log: AttemptLog,
    ) -> RecordedResponse:
        """Return a target's complete response.

        :param attempt_log: receives the failed attempts, also if this raises.
        :raises RoutingRefused: no slot was available.
        :raises TargetError: the last attempt failed.
        """
        while True:
            self.check_stop(call)
            slot = await self._router.acquire(
                call, frozenset(attempt_log.failed_targets)
            )
            try:
                return await self._run_attempt(slot, create_request)
            except TargetError as error:
                attempt_log.record(slot, error)
                await self.prepare_retry(call, slot, error)

    def check_stop(self, call: Call) -> None:
        """Check that an attempt can end before this process does.

        :raises ProcessStops: it might be cut off.
        """
        if not self._stop_grace.allows_start(call.deadline_at):
            raise ProcessStops(
                "this VM stops before the request is certainly answered",
                "send the request again",
                retry_after=timedelta(0),
            )

    async def prepare_retry(
        self, call: Call, slot: Slot, error: TargetError
    ) -> None:
        """Wait until a retry may start; raise ``error`` if none is allowed."""
        if not can_retry(call, error) or self._router.is_suspected(call):
            raise error
        if isinstance(error, TargetIdleTimeout):
            call.unanswered_attempts += 1
            if call.unanswered_attempts == 1:
                # The connection may be dead rather than the target. The
                # first retry after a timeout runs on a new connection and
                # isn't charged to the retry budgets.
                return
            if not self._router.can_retry_elsewhere(call, slot.target):
                raise error
        try:
            self._router.charge_retry(call, slot.target)
        except RetriesExhausted as exhausted:
            raise error from exhausted
        # Exponential backoff with full jitter.
        backoff_limit_s = _RETRY_BACKOFF_S * 2**call.attempts
        delay_s = self._random.uniform(0, backoff_limit_s)
        await self._clock.sleep(timedelta(seconds=delay_s))

    @contextlib.asynccontextmanager
    async def open_attempt(
        self, slot: Slot, create_request: RequestFactory
    ) -> AsyncIterator[Exchange]:
        """Yield the exchange of one attempt; release the slot at its end."""
        outcome = Outcome.CANCELLED
        request = create_request(slot, AttemptId(uuid.uuid4().hex))
        slot.bytes_relayed = len(request.body)
        try:
            async with slot.client.open_exchange(request) as exchange:
                await self._check_refusal(slot, exchange)
                yield exchange
                outcome = Outcome.SUCCEEDED
        except TargetError as error:
            outcome = classify_error(error)
            raise
        finally:
            if slot.preempted and outcome is Outcome.CANCELLED:
                outcome = Outcome.PREEMPTED
            self._router.release(slot, outcome)

    async def _run_attempt(
        self, slot: Slot, create_request: RequestFactory
    ) -> RecordedResponse:
        async with self.open_attempt(slot, create_request) as exchange:
            response = await self.read_response(slot, exchange)
            slot.bytes_relayed += len(response.body)
            self._router.record_tokens(slot, 1)
            self.check_response(slot.call, response)
            return response

    def check_response(self, call: Call, response: RecordedResponse) -> None:
        """Raise TargetFailed for a status that another target may avoid."""
        if is_retryable_status(call, response.status):
            raise TargetFailed(response)

    async def read_response(
        self, slot: Slot, exchange: Exchange
    ) -> RecordedResponse:
        """Return a complete response.

        :raises MalformedResponse: it exceeds the size limit.
        :raises ResponseTruncated: it is incomplete, or may be.
        """
        limit = self._settings.answer_limit_kb * _BYTES_PER_KB
        body = await exchange.read_all(limit, _TOO_LARGE_REMEDY)
        await verify_body_end(exchange, body, slot.client, LivenessProbe())
        return RecordedResponse(
            status=exchange.status,
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in filter_response_headers(exchange.headers)
            ],
            body=body,
        )

    async def _check_refusal(self, slot: Slot, exchange: Exchange) -> None:
        """Raise EngineRefused or TargetFailed for an engine's error."""
        if slot.call.is_service or exchange.status not in _REFUSAL_STATUSES:
            return
        response = RecordedResponse(
            status=exchange.status,
            headers=[("content-type", "application/json")],
            body=await exchange.read_all(
                _REFUSAL_BODY_LIMIT_BYTES, _TOO_LARGE_REMEDY
            ),
        )
        outcome = _REFUSAL_OUTCOMES.get(_read_error_type(response.body))
        if outcome is not None:
            raise EngineRefused(outcome)
        raise TargetFailed(response)


def can_retry(call: Call, error: TargetError) -> bool:
    """Whether a call may be retried after a failed attempt."""
    if isinstance(error, TargetConnectFailed | EngineRefused):
        return True
    if isinstance(error, TargetFailed) and not is_retryable_status(
        call, error.response.status
    ):
        return False
    return call.is_idempotent


def is_retryable_status(call: Call, status: int) -> bool:
    """Whether a response with this status is worth a retry elsewhere.

    A 500 of a plain service is its own result and is passed on; 502, 503
    and 504 may come from a gateway in front of it.
    """
    if call.is_service:
        return call.is_idempotent and status in _MAYBE_NOT_RUN_STATUSES
    return status >= _SERVER_ERROR_STATUS


def infer_run_status(status: int) -> RunStatus:
    """Return whether the request ran, judging by the response's status."""
    if status in _MAYBE_NOT_RUN_STATUSES:
        return RunStatus.UNKNOWN
    return RunStatus.YES


def classify_error(error: TargetError) -> Outcome:
    """Return the outcome that routing records for a failed attempt."""
    if isinstance(error, EngineRefused):
        return error.outcome
    if isinstance(error, TargetHeldBack):
        return Outcome.OVERLOADED
    if isinstance(error, TargetFailed):
        failed = error.response.status >= _SERVER_ERROR_STATUS
        return Outcome.FAILED if failed else Outcome.SUCCEEDED
    if isinstance(error, TargetIdleTimeout):
        return Outcome.SILENT
    if isinstance(error, ConnectionClosed | ResponseTruncated):
        return Outcome.CLOSED
    if isinstance(error, TargetExchangeFailed):
        return Outcome.BROKEN
    return Outcome.CONNECT_FAILED


class _ErrorDetail(msgspec.Struct):
    type: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def _read_error_type(body: bytes) -> str:
    try:
        return decode_document(body, _ErrorBody).error.type
    except DocumentMalformed:
        return ""
