"""Errors of the gateway."""

from datetime import timedelta
import enum

from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import TargetBroken
from dotterelbridge.errors import TargetRefused


class NoPlaceReason(enum.Enum):
    """Why no target can take a request, for metrics and logs."""

    DRAINING = "draining"
    FULL = "full"
    ABSENT = "absent"
    """Nothing holds the item, and no load of it is known."""
    LOADING = "loading"
    """The item's load takes longer than the caller waits."""


class NoPlace(RequestRefused):
    """No target can take the request in time; it was not run."""

    def __init__(
        self,
        reason: NoPlaceReason,
        problem: str,
        remedy: str,
        retry_after: timedelta,
    ) -> None:
        super().__init__(problem, remedy)
        self.reason = reason
        self.retry_after = retry_after


class NotRun(TargetRefused):
    """The target said that it did not run the request."""

    def __init__(self, status: int) -> None:
        super().__init__(
            f"the target refused the request with status {status}",
            "try another target, or the same one later",
        )
        self.status = status


class AnswerUnsigned(TargetBroken):
    """A success without the signature of a target."""
