"""Other failure domains that seem to be cut off from this VM."""

from collections import Counter

from dotterelbridge.ids import FailureDomain
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Target

_SILENCES = 2
"""Requests in a row without a byte, over all targets of a domain."""
_CUT_S = 5.0
"""Time without requests; then one silence more renews it."""


class DomainCuts:
    """Learns from requests that were never answered.

    While a domain counts as cut off, its targets get no requests: what is
    loaded only there is refused as not run and counts as demand here.
    """

    def __init__(self) -> None:
        self._silences: Counter[FailureDomain] = Counter()
        self._until: dict[FailureDomain, float] = {}

    def record_silence(self, target: Target, now: float) -> None:
        """Count a request to which no byte came back."""
        if target.distance is Distance.OWN_DOMAIN:
            return
        domain = target.view.info.failure_domain
        self._silences[domain] += 1
        if self._silences[domain] >= _SILENCES:
            self._until[domain] = now + _CUT_S

    def record_answer(self, target: Target) -> None:
        """A target of the domain answered."""
        domain = target.view.info.failure_domain
        self._silences.pop(domain, None)
        self._until.pop(domain, None)

    def is_cut_off(self, target: Target, now: float) -> bool:
        """Whether the target's domain gets no requests now."""
        if not self._until:
            return False
        until = self._until.get(target.view.info.failure_domain)
        return until is not None and now < until
