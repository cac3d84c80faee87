"""Errors of the claims; the refused call was not run."""

from dotterelbridge.errors import ClaimError
from dotterelbridge.errors import NotCommitted


class ClaimTableFull(NotCommitted, ClaimError):
    """No further key can be claimed for now."""


class ClaimsNotReady(NotCommitted, ClaimError):
    """Log time is not known yet."""


class AttemptReleased(NotCommitted, ClaimError):
    """The attempt gave the key up before its claim arrived."""


class UndatedKeyRefused(NotCommitted, ClaimError):
    """The settings ask for keys that tell when they were made."""
