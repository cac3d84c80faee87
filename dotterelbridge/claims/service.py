"""How serving claims an idempotency key before it runs a keyed call."""

import abc
import enum

import msgspec

from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey


class ClaimState(enum.Enum):
    """What a claim attempt found."""

    GRANTED = "granted"
    """The caller of ``begin`` owns the one run of this key."""
    RECORDED = "recorded"
    """The key ran; its answer is in the reply."""
    IN_PROGRESS = "in_progress"
    """Another attempt owns the run and may still finish."""
    UNKNOWN = "unknown"
    """The key was claimed, and whether it ran cannot be known."""
    EXPIRED = "expired"
    """The key ran, and its answer is no longer kept."""
    MISMATCH = "mismatch"
    """The key is bound to a request with another digest."""


class RecordedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of a plain service or an engine."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a claim attempt."""

    state: ClaimState
    answer: RecordedResponse | None = None


class ClaimService(abc.ABC):
    """At most one run for each key of a business."""

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
        :raises NotCommitted: the claim certainly failed; nothing may run.
        :raises CommitUnknown: the claim may stand; nothing may run. The
            service goes on freeing the key in the background.
        """

    @abc.abstractmethod
    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        answer: RecordedResponse,
    ) -> None:
        """Record the answer of the run."""

    @abc.abstractmethod
    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        """Free the key: the attempt certainly did not run."""

    @abc.abstractmethod
    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        """Mark the key: whether the attempt ran cannot be known."""
