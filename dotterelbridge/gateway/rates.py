"""Request rates of the items that callers of this VM ask for."""

import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.records import ItemKey

_TIME_CONSTANT_S = 4.0
"""Time constant of the moving average; a VM gets about ten requests for a
busy item in that time."""
_RATE_RETENTION_S = 60.0


class _Rate(msgspec.Struct):
    requests_per_s: float
    updated_at: float


class ArrivalRates:
    """Exponentially weighted moving averages of requests/s, by item."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[ItemKey, _Rate] = {}
        self._purged_at = clock.monotonic()

    def record_request(self, item: ItemKey) -> None:
        """Count a request for an item."""
        now = self._clock.monotonic()
        requests_per_s = self.get_rate(item) + 1 / _TIME_CONSTANT_S
        self._rates[item] = _Rate(requests_per_s, now)
        if now - self._purged_at > _RATE_RETENTION_S:
            self._purged_at = now
            self._purge_old_rates(now)

    def get_rate(self, item: ItemKey) -> float:
        """Return the current rate of requests per second for an item."""
        rate = self._rates.get(item)
        if rate is None:
            return 0.0
        age_s = self._clock.monotonic() - rate.updated_at
        return rate.requests_per_s * math.exp(-age_s / _TIME_CONSTANT_S)

    def _purge_old_rates(self, now: float) -> None:
        for item, rate in list(self._rates.items()):
            if now - rate.updated_at > _RATE_RETENTION_S:
                del self._rates[item]
