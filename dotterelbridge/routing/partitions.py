"""Detects network partitions between this VM and other failure domains."""

from collections import Counter

from dotterelbridge.ids import FailureDomain
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Target

_UNANSWERED_REQUESTS_COUNT = 2
"""Requests in a row without a byte, over all targets of a domain."""
_UNREACHABLE_S = 5.0
"""Time without requests; one more unanswered request then renews it."""


class PartitionDetector:
    """Learns from requests that were never answered.

    While a domain counts as unreachable, its targets get no requests: what is
    loaded only there is refused as not run and counts as demand here.
    """

    def __init__(self) -> None:
        self._unanswered_requests: Counter[FailureDomain] = Counter()
        self._unreachable_until: dict[FailureDomain, float] = {}

    def record_no_response(self, target: Target, now: float) -> None:
        """Count a request to which no byte came back."""
        if target.distance is Distance.OWN_DOMAIN:
            return
        domain = target.view.info.failure_domain
        self._unanswered_requests[domain] += 1
        if self._unanswered_requests[domain] >= _UNANSWERED_REQUESTS_COUNT:
            self._unreachable_until[domain] = now + _UNREACHABLE_S

    def record_response(self, target: Target) -> None:
        """A target of the domain answered."""
        domain = target.view.info.failure_domain
        self._unanswered_requests.pop(domain, None)
        self._unreachable_until.pop(domain, None)

    def is_unreachable(self, target: Target, now: float) -> bool:
        """Whether the target's domain gets no requests now."""
        if not self._unreachable_until:
            return False
        until = self._unreachable_until.get(target.view.info.failure_domain)
        return until is not None and now < until
