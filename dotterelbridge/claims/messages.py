"""Messages between daemons about claims of another failure domain."""

import enum

from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class ClaimStep(enum.Enum):
    """Which call of the claim service is relayed."""

    BEGIN = "begin"
    RECORD = "record"
    RELEASE = "release"
    ABANDON = "abandon"


class RelayFailure(enum.Enum):
    """Why a relayed step has no reply."""

    NOT_COMMITTED = "not_committed"
    UNKNOWN = "unknown"


@register_message("claim-step")
class RelayedStep(Message):
    """A step for a VM of the key's failure domain."""

    step: ClaimStep
    business: Business
    key: IdempotencyKey
    attempt: AttemptId
    digest: str = ""
    answer: RecordedResponse | None = None


@register_message("claim-step-done")
class RelayedReply(Message):
    """Answer to a relayed step; without failure and reply it is done."""

    reply: ClaimReply | None = None
    failure: RelayFailure | None = None
    problem: str = ""
    remedy: str = ""
