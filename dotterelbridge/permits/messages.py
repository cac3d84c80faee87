"""Messages about rate limits of targets, and about permits to send."""

import enum

import msgspec

from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that one incarnation of a target has named."""

    target: TargetId
    born: int
    """Unix time of the target's start in ms."""
    requests_per_s: float
    """Requests from all VMs together."""


@register_message("permits.limit")
class RateLimitNotice(Message, frozen=True, kw_only=True, array_like=True):
    """Tells the leader of the log that a target's limit has changed."""

    target: TargetId
    born: int
    requests_per_s: float | None
    """None if the target answered without a limit."""
    sent_ms_ago: int
    """Time since the request was sent that the target answered so."""


@register_message("permits.limits")
class RateLimitList(Message, frozen=True, kw_only=True, array_like=True):
    """Tells a VM all limits in force, from the leader of the log."""

    term: Term
    """Term in which the sender leads."""
    limits: tuple[RateLimit, ...]


class PermitVerdict(enum.Enum):
    """What an issuer decided."""

    GRANTED = "granted"
    DENIED = "denied"
    """The next place is later than the sender can wait."""
    UNAVAILABLE = "unavailable"
    """No issuer could be reached."""


@register_message("permits.request")
class PermitRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Asks for a permit to send one request to a target."""

    target: TargetId
    born: int
    requests_per_s: float
    """The target's limit, as the sender knows it."""
    max_wait_ms: int
    """Longest time until the permit may become usable."""
    vm_count: int
    """Number of VMs that send requests, as the sender knows it."""


@register_message("permits.reply")
class PermitReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a PermitRequest."""

    verdict: PermitVerdict
    wait_ms: int = 0
    """Time until the permit is usable or, if it was denied, until one would
    be."""
