"""Errors of routing: refusals of requests that were not run."""

from datetime import timedelta

from dotterelbridge.errors import RequestRefused


class RoutingRefused(RequestRefused):
    """No target was found; nothing was sent."""

    def __init__(
        self, problem: str, remedy: str, retry_after: timedelta | None = None
    ) -> None:
        super().__init__(problem, remedy)
        self.retry_after = retry_after
        """When another try can succeed; None when waiting won't help."""


class ItemUnknown(RoutingRefused):
    """The sheet in force names no such model, adapter or service."""


class QueueFull(RoutingRefused):
    """The queue for the request's priority is full."""


class DeadlineUnreachable(RoutingRefused):
    """The estimated wait is beyond the deadline."""


class DeadlinePassed(RoutingRefused):
    """The deadline passed while the request waited."""


class ItemNotLoaded(DeadlinePassed):
    """No target had the item loaded before the deadline."""


class RetriesSpent(RoutingRefused):
    """The retry budget or the number of attempts is used up."""
