"""Verdicts that refuse a claim, as errors; the call was not run."""

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


def create_undated_refusal() -> UndatedKeyRefused:
    """Return the refusal of a key that does not tell its time."""
    return UndatedKeyRefused(
        "the idempotency key does not tell when it was made",
        "send a UUIDv7 as Idempotency-Key",
    )


def raise_refusal(verdict: Verdict) -> None:
    """Raise the error of a verdict that refuses; else do nothing."""
    if verdict is Verdict.FULL:
        events.log(_log, ClaimEvent.TABLE_FULL)
        raise ClaimTableFull(
            "no further idempotency key can be claimed",
            "send the call again later; operators: see [claims]",
        )
    if verdict is Verdict.NOT_READY:
        raise ClaimsNotReady(
            "the claims have just started", "send the call again in a second"
        )
    if verdict is Verdict.UNDATED:
        raise create_undated_refusal()
    if verdict is Verdict.AHEAD:
        raise KeyFromFuture(
            "the idempotency key tells a time that has not come yet",
            "set the clock of the caller and send the call again",
        )
    if verdict is Verdict.RELEASED:
        raise AttemptReleased(
            "the attempt gave up its key", "send the call again"
        )
