"""Demand for models and adapters, summed over all entry VMs."""

from collections import defaultdict
import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import VmId

_REPORT_MAX_AGE_S = 2.0
"""Age above which the report of an entry VM is ignored. Entry VMs send one
at least every half second."""
_RISE_HALF_LIFE_S = 1.0
_FALL_HALF_LIFE_S = 6.0
"""Half-lives of two decaying rates, of which the higher is used: a rise is
seen within a second, and a short lull does not remove copies."""
_RISE_TIME_CONSTANT_S = _RISE_HALF_LIFE_S / math.log(2)
_CHANCE_DEVIATIONS = 2.0
"""Standard deviations of the faster rate, for random arrivals, by which it
has to exceed the slower one to count as a rise."""
_RATE_LAG_S = (_FALL_HALF_LIFE_S - _RISE_HALF_LIFE_S) / math.log(2)
"""Time by which the slower rate trails the faster one on a steady rise."""
_DEMAND_RETENTION_S = 120.0
_MIN_RATE_PER_S = 1e-3


class Demand(msgspec.Struct):
    """Demand for one item."""

    running: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0.0
    """Exponentially smoothed rate."""
    growth_per_s: float = 0.0
    """Increase of the rate per second, as far as it exceeds chance."""
    last_arrival_at: float = -math.inf
    """Monotonic time of the last request."""

    @property
    def open_requests(self) -> int:
        """Number of requests that run or wait."""
        return self.running + self.waiting


class _Report(msgspec.Struct):
    received_at: float
    items: dict[ItemKey, ItemDemand]


class DemandTracker:
    """Sums the latest reports of all entry VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[VmId, _Report] = {}
        self._rates = [
            _DecayingRate(_RISE_HALF_LIFE_S, clock),
            _DecayingRate(_FALL_HALF_LIFE_S, clock),
        ]
        self._first_request_at: dict[ItemName, float] = {}
        self._last_arrival_at: dict[ItemKey, float] = {}

    def add_report(self, report: DemandReport) -> bool:
        """Add a report; return whether it shows requests that wait."""
        now = self._clock.monotonic()
        for demand in report.items:
            self._first_request_at.setdefault(demand.item.service, now)
            if demand.arrivals or demand.waiting:
                self._last_arrival_at[demand.item] = now
            for decaying_rate in self._rates:
                decaying_rate.add(demand.item, demand.arrivals)
        self._reports[report.entry_vm] = _Report(
            received_at=now, items={d.item: d for d in report.items}
        )
        return any(demand.waiting for demand in report.items)

    def sum_reports(self) -> dict[ItemKey, Demand]:
        """Return the demand for every item that was requested recently."""
        now = self._clock.monotonic()
        rates = [decaying_rate.list_rates() for decaying_rate in self._rates]
        totals: dict[ItemKey, Demand] = defaultdict(Demand)
        for item, last_arrival_at in list(self._last_arrival_at.items()):
            if now - last_arrival_at > _DEMAND_RETENTION_S:
                del self._last_arrival_at[item]
                continue
            totals[item].last_arrival_at = last_arrival_at
            fast, slow = (rate.get(item, 0.0) for rate in rates)
            totals[item].arrivals_per_s = max(fast, slow)
            chance = _CHANCE_DEVIATIONS * math.sqrt(
                fast / (2 * _RISE_TIME_CONSTANT_S)
            )
            growth = max(0.0, fast - slow - chance) / _RATE_LAG_S
            totals[item].growth_per_s = growth
        for vm, report in list(self._reports.items()):
            if now - report.received_at > _REPORT_MAX_AGE_S:
                del self._reports[vm]
                continue
            for item, demand in report.items.items():
                totals[item].running += demand.running
                totals[item].waiting += demand.waiting
        return dict(totals)

    def list_entry_vms(self) -> list[VmId]:
        """Return the entry VMs that have reported recently."""
        oldest = self._clock.monotonic() - _REPORT_MAX_AGE_S
        return [
            vm
            for vm, report in self._reports.items()
            if report.received_at >= oldest
        ]

    def get_time_since_first_request_s(self, service: ItemName) -> float:
        """Return the seconds since a service's first request; 0 before it."""
        first_request_at = self._first_request_at.get(service)
        if first_request_at is None:
            return 0.0
        return self._clock.monotonic() - first_request_at


class _DecayingRate:
    """Exponentially weighted arrivals per second, by item."""

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

    def list_rates(self) -> dict[ItemKey, float]:
        self._decay()
        return self._rates

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life_s)
        self._decayed_at = now
        self._rates = {
            item: rate * factor
            for item, rate in self._rates.items()
            if rate * factor > _MIN_RATE_PER_S
        }
