"""Interface to claim an idempotency key before running a keyed call."""

import abc
import enum

import msgspec

from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey


class ClaimState(enum.Enum):
    """State of a key, as an attempt to claim it found it."""

    GRANTED = "granted"
    """The caller of ``begin`` owns the only run of this key."""
    RECORDED = "recorded"
    """The call ran; its response is in the reply."""
    IN_PROGRESS = "in_progress"
    """Another attempt owns the run and may still finish."""
    UNKNOWN = "unknown"
    """The key was claimed, but whether the call ran is not known."""
    EXPIRED = "expired"
    """The call ran, but its response is no longer kept."""
    MISMATCH = "mismatch"
    """The key belongs to a request with another digest."""


class RecordedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response of a plain service or an engine."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_end_known: bool = True
    """False in records of an earlier release whose body may be cut off; it is
    passed on without a length."""


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an attempt to claim a key."""

    state: ClaimState
    answer: RecordedResponse | None = None


class ClaimService(abc.ABC):
    """Ensures at most one run for each key of a business."""

    @abc.abstractmethod
    async def begin(
        self,
        business: Business,
        key: IdempotencyKey,
        digest: str,
        attempt: AttemptId,
    ) -> ClaimReply:
        """Claim the key for one attempt.

        :param digest: hash of method, path, and body of the request.
        :raises NotCommitted: the claim certainly failed; the call must not
            run.
        :raises CommitUnknown: the claim may be committed; the call must not
            run. The service releases the key in the background.
        """

    @abc.abstractmethod
    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        response: RecordedResponse,
    ) -> None:
        """Record the response of the run."""

    @abc.abstractmethod
    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        """Release the key: the attempt certainly did not run."""

    @abc.abstractmethod
    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        """Mark the key as unknown: the attempt may or may not have run."""
