"""Calls with an idempotency key, which is claimed before the call runs."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import uuid

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import RunStatus
from dotterelbridge.serving.attempts import AttemptLog
from dotterelbridge.serving.attempts import TargetFailed
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.events import ServingEvent

_RETRY_AFTER = timedelta(seconds=1)
_log = structlog.get_logger(__name__)


class ClaimRefused(DotterelbridgeError):
    """This request did not run its keyed call."""

    def __init__(self, error_response: ErrorResponse) -> None:
        super().__init__(error_response.message, error_response.remedy)
        self.error_response = error_response


class KeyedCall(msgspec.Struct, frozen=True, kw_only=True):
    """An idempotency key and the request that it is bound to."""

    business: Business
    key: IdempotencyKey
    digest: str


class KeyedRunner:
    """Runs a keyed call at most once."""

    def __init__(self, claims: ClaimService) -> None:
        self._claims = claims

    async def run(
        self,
        keyed: KeyedCall,
        run: Callable[[], Awaitable[RecordedResponse]],
        attempt_log: AttemptLog,
    ) -> RecordedResponse:
        """Run the call, or return the recorded response of an earlier run.

        :param run: makes the attempts and records them in ``attempt_log``.
        :raises ClaimRefused: the key's state does not allow a run now.
        """
        attempt = AttemptId(uuid.uuid4().hex)
        reply = await self._claim(keyed, attempt)
        if reply.state is ClaimState.RECORDED:
            return reply.answer
        if reply.state is not ClaimState.GRANTED:
            raise ClaimRefused(_ERROR_BY_CLAIM_STATE[reply.state])
        # A disconnect of the caller cancels neither the run nor the
        # recording of its response.
        with anyio.CancelScope(shield=True):
            return await self._run_claimed(keyed, attempt, run, attempt_log)

    async def _claim(self, keyed: KeyedCall, attempt: AttemptId) -> ClaimReply:
        try:
            return await self._claims.begin(
                keyed.business, keyed.key, keyed.digest, attempt
            )
        except NotCommitted as error:
            raise _create_claim_error(
                "claim_unavailable", error, "send it again with the same key"
            ) from error
        except CommitUnknown as error:
            # The claim service releases the key by itself. Waiting for that
            # would delay the refusal.
            raise _create_claim_error(
                "claim_unknown",
                error,
                "send it again with the same key; it was not run",
            ) from error

    async def _run_claimed(
        self,
        keyed: KeyedCall,
        attempt: AttemptId,
        run: Callable[[], Awaitable[RecordedResponse]],
        attempt_log: AttemptLog,
    ) -> RecordedResponse:
        try:
            response = await run()
        except TargetFailed as error:
            await self._record_response(keyed, attempt, error.response)
            raise
        except (RequestRefused, TargetError):
            if attempt_log.run_status is RunStatus.NO:
                await self._release(keyed, attempt)
            else:
                await self._abandon(keyed, attempt)
            raise
        except BaseException:
            await self._abandon(keyed, attempt)
            raise
        await self._record_response(keyed, attempt, response)
        return response

    async def _record_response(
        self, keyed: KeyedCall, attempt: AttemptId, response: RecordedResponse
    ) -> None:
        try:
            await self._claims.record(
                keyed.business, keyed.key, attempt, response
            )
        except DotterelbridgeError as error:
            _log_claim_failure(attempt, error)

    async def _release(self, keyed: KeyedCall, attempt: AttemptId) -> None:
        try:
            await self._claims.release(keyed.business, keyed.key, attempt)
        except DotterelbridgeError as error:
            _log_claim_failure(attempt, error)

    async def _abandon(self, keyed: KeyedCall, attempt: AttemptId) -> None:
        try:
            await self._claims.abandon(keyed.business, keyed.key, attempt)
        except DotterelbridgeError as error:
            _log_claim_failure(attempt, error)


def _create_claim_error(
    kind: str, error: DotterelbridgeError, remedy: str
) -> ClaimRefused:
    """Return the refusal of a call that was not claimed and did not run."""
    return ClaimRefused(
        ErrorResponse(
            status=503,
            kind=kind,
            message=str(error),
            remedy=remedy,
            run=RunStatus.NO,
            retry_after=_RETRY_AFTER,
        )
    )


def _log_claim_failure(attempt: AttemptId, error: DotterelbridgeError) -> None:
    events.log(
        _log,
        ServingEvent.RECORD_FAILED,
        attempt=attempt,
        error=str(error),
    )


_ERROR_BY_CLAIM_STATE = {
    ClaimState.IN_PROGRESS: ErrorResponse(
        status=409,
        kind="in_progress",
        message="another attempt with this key is in progress",
        remedy="send it again with the same key after Retry-After to get "
        "its response",
        run=RunStatus.UNKNOWN,
        retry_after=_RETRY_AFTER,
    ),
    ClaimState.UNKNOWN: ErrorResponse(
        status=409,
        kind="outcome_unknown",
        message="it is unknown whether the call with this key ran",
        remedy="look the result up at the service; send it with a new key "
        "only if it did not run",
        run=RunStatus.UNKNOWN,
    ),
    ClaimState.EXPIRED: ErrorResponse(
        status=410,
        kind="answer_expired",
        message="the call with this key ran and its response has expired",
        remedy="look the result up at the service",
        run=RunStatus.YES,
    ),
    ClaimState.MISMATCH: ErrorResponse(
        status=422,
        kind="key_reused",
        message="this key is bound to another request",
        remedy="send a new key with a new request",
        run=RunStatus.NO,
    ),
}
