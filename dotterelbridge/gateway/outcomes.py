"""How an attempt at a target can end."""

import enum


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    """Answered, with the target's own server error."""
    REFUSED = "refused"
    """Not run: the target is full."""
    ITEM_MISSING = "lacking"
    """Not run: the item is not loaded, or the request reached a target for
    which it was not meant."""
    CONNECT_FAILED = "connect_failed"
    CLOSED = "closed"
    """The target ended the connection before its answer was complete."""
    BROKEN = "broken"
    CANCELLED = "cancelled"


FAILURES = (
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CLOSED,
    AttemptOutcome.BROKEN,
)
"""Outcomes after which a target may be gone."""
