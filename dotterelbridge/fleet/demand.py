"""What callers want of models and adapters, over all entry VMs."""

from collections import defaultdict
import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import VmId

_REPORT_KEPT_S = 2.0
"""Age from which an entry VM's report counts no more: it sends one at
least each half second."""
_HALF_LIFE_S = 2.0
"""Half-life of the smoothed work: shifts of demand take some seconds."""
_FORGOTTEN_S = 120.0


class Demand(msgspec.Struct):
    """Demand for one item."""

    running: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0.0
    """Smoothed."""
    wanted_at: float = -math.inf
    """Monotonic time of the last arrival."""

    @property
    def in_hand(self) -> int:
        """Requests that run or wait."""
        return self.running + self.waiting


class _Report(msgspec.Struct):
    taken_at: float
    items: dict[ItemKey, ItemDemand]


class DemandBoard:
    """Sums the newest reports of all entry VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[VmId, _Report] = {}
        self._rates: dict[ItemKey, float] = {}
        self._decayed_at = clock.monotonic()
        self._wanted_at: dict[ItemKey, float] = {}

    def take(self, report: DemandReport) -> bool:
        """Take a report; return whether requests wait for an item."""
        now = self._clock.monotonic()
        self._decay(now)
        gain = math.log(2) / _HALF_LIFE_S
        for demand in report.items:
            if demand.arrivals or demand.waiting:
                self._wanted_at[demand.item] = now
            if demand.arrivals:
                rate = self._rates.get(demand.item, 0.0)
                self._rates[demand.item] = rate + demand.arrivals * gain
        self._reports[report.entry_vm] = _Report(
            taken_at=now, items={d.item: d for d in report.items}
        )
        return any(demand.waiting for demand in report.items)

    def read(self) -> dict[ItemKey, Demand]:
        """Return the demand for every item that was asked for lately."""
        now = self._clock.monotonic()
        self._decay(now)
        found: dict[ItemKey, Demand] = defaultdict(Demand)
        for item, wanted_at in list(self._wanted_at.items()):
            if now - wanted_at > _FORGOTTEN_S:
                del self._wanted_at[item]
                continue
            found[item].wanted_at = wanted_at
            found[item].arrivals_per_s = self._rates.get(item, 0.0)
        for vm, report in list(self._reports.items()):
            if now - report.taken_at > _REPORT_KEPT_S:
                del self._reports[vm]
                continue
            for item, demand in report.items.items():
                found[item].running += demand.running
                found[item].waiting += demand.waiting
        return dict(found)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / _HALF_LIFE_S)
        self._decayed_at = now
        self._rates = {
            item: rate * factor
            for item, rate in self._rates.items()
            if rate * factor > 1e-3
        }
