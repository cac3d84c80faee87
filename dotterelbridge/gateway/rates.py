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


class ResponseTime:
    """Moving average of a target's response times, which fades.

    A target that was slow is thus tried again after a while.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._average_s = 0.0
        self._recorded_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Add the time of a response."""
        if self._average_s:
            seconds = (seconds + self._average_s) / 2
        self._average_s = seconds
        self._recorded_at = now

    def estimate_s(self, now: float) -> float:
        """Return the average, less the longer ago the last response was."""
        age_s = now - self._recorded_at
        return self._average_s * 0.5 ** (age_s / self._half_life_s)


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
