"""Errors of claims. All of them mean that the call was not run."""

from dotterelbridge.errors import ClaimError
from dotterelbridge.errors import NotCommitted


class ClaimTableFull(NotCommitted, ClaimError):
    """The claim table is full; no further key can be claimed for now."""


class ClaimsNotReady(NotCommitted, ClaimError):
    """Log time is unknown: too few VMs have reported their clocks."""


class AttemptReleased(NotCommitted, ClaimError):
    """The attempt released the key before its claim was committed."""


class UndatedKeyRefused(NotCommitted, ClaimError):
    """Only keys that contain their creation time are accepted here."""


class KeyFromFuture(NotCommitted, ClaimError):
    """The creation time in the key is in the future."""


class HomeUnknown(NotCommitted, ClaimError):
    """The key names a failure domain that does not hold keys."""


class HomeUnreachable(NotCommitted, ClaimError):
    """No VM of the key's home domain can be reached."""
