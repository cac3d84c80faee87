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
    """Only keys that tell when they were made are taken here."""


class KeyFromFuture(NotCommitted, ClaimError):
    """The key tells a time that has not come yet."""


class HomeUnknown(NotCommitted, ClaimError):
    """The key names no failure domain that holds keys."""


class HomeUnreachable(NotCommitted, ClaimError):
    """No VM of the key's failure domain can be reached."""
