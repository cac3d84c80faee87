"""Errors of the gateway."""

from datetime import timedelta
import enum

from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import TargetExchangeFailed
from dotterelbridge.errors import TargetRefused


class UnavailableReason(enum.Enum):
    """Why no target can take a request, for metrics and logs."""

    DRAINING = "draining"
    """This VM is shutting down."""
    FULL = "full"
    """Every target that could take the request is at its limit."""
    NOT_LOADED = "absent"
    """No target holds the item, and no load of it is known."""
    LOADING = "loading"
    """The item is being loaded, for longer than the caller waits."""
    HELD_BACK = "held_back"
    """Every target that could take the request asked to wait."""
    RATE_LIMITED = "rate_limited"
    """Every target that could take the request has named a rate limit, which
    other requests use up."""
    TOO_LARGE = "too_large"
    """Its prompt alone exceeds the memory of any target."""
    QUARANTINED = "quarantined"
    """Targets crash under such requests."""
    VERSION_GONE = "version_gone"
    """No target that takes requests has the software version at which the
    stream began, or only ones of other versions hold the item."""
    ORIGIN_UNKNOWN = "origin_unknown"
    """It is not known at which software version the stream began."""
    KEYS_UNCONFIRMED = "keys_unconfirmed"
    """This VM does not know which keys of teams are valid at present."""


class NoTargetAvailable(RequestRefused):
    """No target can take the request in time; it was not run."""

    def __init__(
        self,
        reason: UnavailableReason,
        problem: str,
        remedy: str,
        retry_after: timedelta,
    ) -> None:
        super().__init__(problem, remedy)
        self.reason = reason
        self.retry_after = retry_after


class RequestNotRun(TargetRefused):
    """The target confirmed that it did not run the request."""

    def __init__(self, status: int) -> None:
        super().__init__(
            f"the target refused the request with status {status}",
            "try another target, or the same one later",
        )
        self.status = status


class SignatureMissing(TargetExchangeFailed):
    """A successful response lacks the signature header of a target."""
