"""How often this VM's callers ask for each item."""

import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.records import ItemKey

_TIME_CONSTANT_S = 4.0
"""Of the average: some ten requests for a busy item at one VM."""
_FORGOTTEN_S = 60.0


class _Rate(msgspec.Struct):
    per_s: float
    at: float


class ArrivalRates:
    """Exponentially weighted arrivals a second, by item."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[ItemKey, _Rate] = {}
        self._swept_at = clock.monotonic()

    def count(self, item: ItemKey) -> None:
        """Count a request."""
        now = self._clock.monotonic()
        per_s = self.read(item) + 1 / _TIME_CONSTANT_S
        self._rates[item] = _Rate(per_s, now)
        if now - self._swept_at > _FORGOTTEN_S:
            self._swept_at = now
            self._forget_old(now)

    def read(self, item: ItemKey) -> float:
        """Return the requests a second."""
        rate = self._rates.get(item)
        if rate is None:
            return 0.0
        age_s = self._clock.monotonic() - rate.at
        return rate.per_s * math.exp(-age_s / _TIME_CONSTANT_S)

    def _forget_old(self, now: float) -> None:
        for item, rate in list(self._rates.items()):
            if now - rate.at > _FORGOTTEN_S:
                del self._rates[item]
