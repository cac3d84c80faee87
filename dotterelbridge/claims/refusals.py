"""Maps verdicts that refuse a claim to errors; the call was not run."""

import structlog

from dotterelbridge import events
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.errors import AttemptReleased
from dotterelbridge.claims.errors import ClaimsNotReady
from dotterelbridge.claims.errors import ClaimTableFull
from dotterelbridge.claims.errors import KeyFromFuture
from dotterelbridge.claims.errors import UndatedKeyRefused
from dotterelbridge.claims.events import ClaimEvent

_log = structlog.get_logger(__name__)


def create_undated_key_error() -> UndatedKeyRefused:
    """Return the error for a key that does not contain its creation time."""
    return UndatedKeyRefused(
        "the idempotency key does not contain its creation time",
        "send a UUIDv7 as Idempotency-Key",
    )


def raise_if_refused(verdict: Verdict) -> None:
    """Raise the error for a verdict that refuses the claim, if it does."""
    if verdict is Verdict.FULL:
        events.log(_log, ClaimEvent.TABLE_FULL)
        raise ClaimTableFull(
            "no further idempotency key can be claimed",
            "send the call again later; operators: see [claims]",
        )
    if verdict is Verdict.NOT_READY:
        raise ClaimsNotReady(
            "the claim service is still starting",
            "send the call again in a second",
        )
    if verdict is Verdict.UNDATED:
        raise create_undated_key_error()
    if verdict is Verdict.AHEAD:
        raise KeyFromFuture(
            "the creation time in the idempotency key is in the future",
            "correct the caller's clock and send the call again",
        )
    if verdict is Verdict.RELEASED:
        raise AttemptReleased(
            "the attempt has already released its key",
            "send the call again",
        )
