"""Errors of routing, for requests that were refused without running."""

from datetime import timedelta

from dotterelbridge.errors import RequestRefused


class RoutingRefused(RequestRefused):
    """No target took the request; nothing was sent."""

    def __init__(
        self, problem: str, remedy: str, retry_after: timedelta | None = None
    ) -> None:
        super().__init__(problem, remedy)
        self.retry_after = retry_after
        """Time after which a retry can succeed; None if waiting won't help."""


class ItemUnknown(RoutingRefused):
    """The active sheet has no such model, adapter or service."""


class ProcessStops(RoutingRefused):
    """This process is told to stop, and could cut off the request."""


class QueueFull(RoutingRefused):
    """The queue for the request's priority is full."""


class DeadlineUnreachable(RoutingRefused):
    """The estimated wait in the queue exceeds the deadline."""


class DeadlinePassed(RoutingRefused):
    """The deadline passed while the request was queued."""


class ItemNotLoaded(DeadlinePassed):
    """No target had the item loaded before the deadline."""


class Quarantined(RoutingRefused):
    """Targets crash under such requests."""


class RateLimited(RoutingRefused):
    """Every target has reached the rate limit that it named."""


class RetriesExhausted(RoutingRefused):
    """The retry budget or the limit on attempts is exhausted."""
