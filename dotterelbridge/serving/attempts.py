"""Attempts at targets: what may be tried again, and what is known to run.

A request that is not idempotent gets one attempt once a byte of it may
have left; only a failed connect or an engine's refusal allows another.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from datetime import timedelta
import random
import uuid

import msgspec

from dotterelbridge.claims.service import RecordedAnswer
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetBroken
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.errors import TargetRefused
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import RunStatus
from dotterelbridge.ids import TargetId
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.errors import RetriesSpent
from dotterelbridge.routing.router import Router
from dotterelbridge.routing.target import Outcome
from dotterelbridge.routing.target import Slot
from dotterelbridge.serving.response import filter_response_headers
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.errors import TargetIdleTimeout

_BYTES_PER_KB = 1024
_REFUSAL_LIMIT = 65536
_TOO_LONG_REMEDY = "raise answer_limit_kb in [serving], or ask for a stream"
_REFUSAL_STATUSES = (404, 503)
_REFUSALS = {
    "model_not_ready": Outcome.NOT_READY,
    "overloaded": Outcome.OVERLOADED,
    "leaving": Outcome.LEAVING,
}
_SERVER_ERROR = 500
_MAYBE_NOT_RUN_STATUSES = (502, 503, 504)
_BACKOFF_S = 0.02


class EngineRefused(TargetRefused):
    """An engine said that it did not run the request."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(
            f"the engine refused the request ({outcome.value})",
            "try another target",
        )
        self.outcome = outcome


class TargetFailed(TargetError):
    """The target answered with an error of its own."""

    def __init__(self, answer: RecordedAnswer) -> None:
        super().__init__(
            f"the target answered with status {answer.status}",
            "try again later, and check the target",
        )
        self.answer = answer


class AttemptLog:
    """What the attempts at one request have come to."""

    def __init__(self) -> None:
        self.run = RunStatus.NO
        self.avoid: set[TargetId] = set()

    def record(self, slot: Slot, error: TargetError) -> None:
        """Note a failed attempt."""
        self.avoid.add(slot.target.view.info.target)
        if isinstance(error, TargetConnectFailed | TargetRefused):
            return
        self.run = RunStatus.UNKNOWN


RequestFactory = Callable[[Slot, AttemptId], ExchangeRequest]


class AttemptRunner:
    """Runs attempts one after another until one holds."""

    def __init__(
        self,
        router: Router,
        settings: ServingSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._router = router
        self._settings = settings
        self._clock = clock
        self._random = rng

    async def run_whole(
        self, call: Call, create_request: RequestFactory, log: AttemptLog
    ) -> RecordedAnswer:
        """Return a target's whole answer.

        :param log: tells afterwards, also of a failure, what ran.
        :raises RoutingRefused: no place was found.
        :raises TargetError: the last attempt failed.
        """
        while True:
            slot = await self._router.acquire(call, frozenset(log.avoid))
            try:
                return await self._run_once(slot, create_request)
            except TargetError as error:
                log.record(slot, error)
                await self.prepare_retry(call, slot, error)

    async def prepare_retry(
        self, call: Call, slot: Slot, error: TargetError
    ) -> None:
        """Return when another attempt may follow; otherwise raise."""
        if not may_retry(call, error):
            raise error
        if isinstance(error, TargetIdleTimeout):
            call.silences += 1
            if call.silences == 1:
                # The connection's fault, not the target's: once, and on a
                # new connection, it costs no budget.
                return
            if not self._router.may_move(call, slot.target):
                raise error
        try:
            self._router.check_retry(call, slot.target)
        except RetriesSpent as spent:
            raise error from spent
        # Jittered, growing with each attempt.
        spread_s = _BACKOFF_S * 2**call.attempts
        pause_s = self._random.uniform(0, spread_s)
        await self._clock.sleep(timedelta(seconds=pause_s))

    @contextlib.asynccontextmanager
    async def open_attempt(
        self, slot: Slot, create_request: RequestFactory
    ) -> AsyncIterator[Exchange]:
        """Give the answer of one attempt, and the slot back at its end."""
        outcome = Outcome.CANCELLED
        request = create_request(slot, AttemptId(uuid.uuid4().hex))
        slot.bytes_relayed = len(request.body)
        try:
            async with slot.client.open_exchange(request) as exchange:
                await self._check_refusal(slot, exchange)
                yield exchange
                outcome = Outcome.SUCCEEDED
        except TargetError as error:
            outcome = find_outcome(error)
            raise
        finally:
            if slot.displaced and outcome is Outcome.CANCELLED:
                outcome = Outcome.DISPLACED
            self._router.release(slot, outcome)

    async def _run_once(
        self, slot: Slot, create_request: RequestFactory
    ) -> RecordedAnswer:
        async with self.open_attempt(slot, create_request) as exchange:
            answer = await self.read_answer(exchange)
            slot.bytes_relayed += len(answer.body)
            self._router.record_tokens(slot, 1)
            self.check_answer(slot.call, answer)
            return answer

    def check_answer(self, call: Call, answer: RecordedAnswer) -> None:
        """Raise TargetFailed when another target may answer better."""
        if is_failure(call, answer.status):
            raise TargetFailed(answer)

    async def read_answer(self, exchange: Exchange) -> RecordedAnswer:
        """Return a whole answer; MalformedResponse beyond the size limit."""
        limit = self._settings.answer_limit_kb * _BYTES_PER_KB
        return RecordedAnswer(
            status=exchange.status,
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in filter_response_headers(exchange.headers)
            ],
            body=await exchange.read_all(limit, _TOO_LONG_REMEDY),
        )

    async def _check_refusal(self, slot: Slot, exchange: Exchange) -> None:
        """Raise EngineRefused or TargetFailed for an engine's error."""
        if slot.call.is_service or exchange.status not in _REFUSAL_STATUSES:
            return
        answer = RecordedAnswer(
            status=exchange.status,
            headers=[("content-type", "application/json")],
            body=await exchange.read_all(_REFUSAL_LIMIT, _TOO_LONG_REMEDY),
        )
        refusal = _REFUSALS.get(_read_error_type(answer.body))
        if refusal is not None:
            raise EngineRefused(refusal)
        raise TargetFailed(answer)


def may_retry(call: Call, error: TargetError) -> bool:
    """Whether another attempt is allowed after a failed one."""
    if isinstance(error, TargetConnectFailed | EngineRefused):
        return True
    if isinstance(error, TargetFailed) and not is_failure(
        call, error.answer.status
    ):
        return False
    return call.idempotent


def is_failure(call: Call, status: int) -> bool:
    """Whether another target may answer better than with this status.

    A plain service's 500 is its own answer; its gateway's errors are not.
    """
    if call.is_service:
        return call.idempotent and status in _MAYBE_NOT_RUN_STATUSES
    return status >= _SERVER_ERROR


def judge_run(status: int) -> RunStatus:
    """Return what a target's answer tells about whether it ran."""
    if status in _MAYBE_NOT_RUN_STATUSES:
        return RunStatus.UNKNOWN
    return RunStatus.YES


def find_outcome(error: TargetError) -> Outcome:
    """Return how routing counts a failed attempt."""
    if isinstance(error, EngineRefused):
        return error.outcome
    if isinstance(error, TargetFailed):
        failed = error.answer.status >= _SERVER_ERROR
        return Outcome.FAILED if failed else Outcome.SUCCEEDED
    if isinstance(error, TargetIdleTimeout):
        return Outcome.SILENT
    if isinstance(error, TargetBroken):
        return Outcome.BROKEN
    return Outcome.CONNECT_FAILED


class _ErrorDetail(msgspec.Struct):
    type: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def _read_error_type(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).error.type
    except msgspec.MsgspecError:
        return ""
