"""What callers want of models and adapters, over all entry VMs."""

from collections import defaultdict
import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import VmId

_REPORT_KEPT_S = 2.0
"""Age from which an entry VM's report counts no more: it sends one at
least each half second."""
_RISE_HALF_LIFE_S = 1.0
_FALL_HALF_LIFE_S = 6.0
"""Half-lives of two averages, of which the higher counts: a rise is seen
within a second, and a lull does not take copies away."""
_FORGOTTEN_S = 120.0
_NOTHING_PER_S = 1e-3


class Demand(msgspec.Struct):
    """Demand for one item."""

    running: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0.0
    """Smoothed."""
    last_arrival_at: float = -math.inf
    """Monotonic time of the last arrival."""

    @property
    def in_hand(self) -> int:
        """Requests that run or wait."""
        return self.running + self.waiting


class _Report(msgspec.Struct):
    taken_at: float
    items: dict[ItemKey, ItemDemand]


class DemandTracker:
    """Sums the newest reports of all entry VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[VmId, _Report] = {}
        self._rates = [
            _Average(_RISE_HALF_LIFE_S, clock),
            _Average(_FALL_HALF_LIFE_S, clock),
        ]
        self._first_at: dict[ItemName, float] = {}
        self._wanted_at: dict[ItemKey, float] = {}

    def add_report(self, report: DemandReport) -> bool:
        """Take a report; return whether requests wait for an item."""
        now = self._clock.monotonic()
        for demand in report.items:
            self._first_at.setdefault(demand.item.service, now)
            if demand.arrivals or demand.waiting:
                self._wanted_at[demand.item] = now
            for average in self._rates:
                average.add(demand.item, demand.arrivals)
        self._reports[report.entry_vm] = _Report(
            taken_at=now, items={d.item: d for d in report.items}
        )
        return any(demand.waiting for demand in report.items)

    def sum_reports(self) -> dict[ItemKey, Demand]:
        """Return the demand for every item that was asked for lately."""
        now = self._clock.monotonic()
        rates = [average.read() for average in self._rates]
        found: dict[ItemKey, Demand] = defaultdict(Demand)
        for item, last_arrival_at in list(self._wanted_at.items()):
            if now - last_arrival_at > _FORGOTTEN_S:
                del self._wanted_at[item]
                continue
            found[item].last_arrival_at = last_arrival_at
            found[item].arrivals_per_s = max(
                rate.get(item, 0.0) for rate in rates
            )
        for vm, report in list(self._reports.items()):
            if now - report.taken_at > _REPORT_KEPT_S:
                del self._reports[vm]
                continue
            for item, demand in report.items.items():
                found[item].running += demand.running
                found[item].waiting += demand.waiting
        return dict(found)

    def get_time_since_first_request_s(self, service: ItemName) -> float:
        """Return the seconds since a service's first request, or 0."""
        first_at = self._first_at.get(service)
        if first_at is None:
            return 0.0
        return self._clock.monotonic() - first_at


class _Average:
    """Exponentially weighted arrivals a second, by item."""

    def __init__(self, half_life_s: float, clock: Clock) -> None:
        self._half_life_s = half_life_s
        self._gain = math.log(2) / half_life_s
        self._clock = clock
        self._decayed_at = clock.monotonic()
        self._rates: dict[ItemKey, float] = {}

    def add(self, item: ItemKey, arrivals: int) -> None:
        if arrivals:
            self._decay()
            rate = self._rates.get(item, 0.0)
            self._rates[item] = rate + arrivals * self._gain

    def read(self) -> dict[ItemKey, float]:
        self._decay()
        return self._rates

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life_s)
        self._decayed_at = now
        self._rates = {
            item: rate * factor
            for item, rate in self._rates.items()
            if rate * factor > _NOTHING_PER_S
        }
