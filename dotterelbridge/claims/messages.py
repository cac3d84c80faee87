"""Messages that relay claim operations to another failure domain."""

import enum

from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class ClaimStep(enum.Enum):
    """Operation of the claim service that is relayed."""

    BEGIN = "begin"
    RECORD = "record"
    RELEASE = "release"
    ABANDON = "abandon"


class RelayFailure(enum.Enum):
    """Why a relayed operation failed."""

    NOT_COMMITTED = "not_committed"
    UNKNOWN = "unknown"


@register_message("claim-step")
class RelayedStep(Message):
    """An operation for a VM of the key's home domain."""

    step: ClaimStep
    business: Business
    key: IdempotencyKey
    attempt: AttemptId
    digest: str = ""
    answer: RecordedResponse | None = None


@register_message("claim-step-done")
class RelayedReply(Message):
    """Reply to a relayed operation.

    With neither ``reply`` nor ``failure``, the operation succeeded without a
    result.
    """

    reply: ClaimReply | None = None
    failure: RelayFailure | None = None
    problem: str = ""
    remedy: str = ""
