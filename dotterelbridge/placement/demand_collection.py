"""Smooths the demand on each VM and collects it at the lease holder."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from dotterelbridge.clock import Clock
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.placement.demand import DemandSource
from dotterelbridge.placement.demand import ItemDemand
from dotterelbridge.placement.lease import Lease
from dotterelbridge.placement.messages import DemandReport
from dotterelbridge.placement.messages import ItemRate
from dotterelbridge.placement.settings import PlacementSettings

REPORT_MAX_AGE_S = 30.0
"""A VM whose last report is older counts as having no demand."""

MIN_RATE_PER_S = 0.001
"""Lower rates are treated as zero."""

REPORTED_CHANGE_SHARE = 0.2
"""A rate is reported again when it has changed by more than this share."""

REPORTS_PER_FULL_REPORT = 30
"""One in this many reports is full, in case earlier changes were lost."""


class DemandAverage:
    """Exponential moving average of the demand on this VM."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._rates: dict[ItemName, float] = {}
        self._waiting: dict[ItemName, int] = {}

    def add(
        self, demand: Mapping[ItemName, ItemDemand], elapsed_s: float
    ) -> None:
        """Add the demand of the last ``elapsed_s`` seconds."""
        decay = 0.5 ** (elapsed_s / self._half_life_s)
        rates = {name: rate * decay for name, rate in self._rates.items()}
        for name, item in demand.items():
            weighted_count = item.arrivals + item.urgent_arrivals + item.missed
            rate = weighted_count / elapsed_s
            rates[name] = rates.get(name, 0.0) + (1 - decay) * rate
        self._rates = {
            n: rate for n, rate in rates.items() if rate >= MIN_RATE_PER_S
        }
        self._waiting = {
            n: item.waiting for n, item in demand.items() if item.waiting
        }

    def get_rates(self) -> dict[ItemName, ItemRate]:
        """Return the rate and waiting requests of each item in demand."""
        names = self._rates.keys() | self._waiting.keys()
        return {
            name: ItemRate(
                round(self._rates.get(name, 0.0), 4),
                self._waiting.get(name, 0),
            )
            for name in names
        }


class VmDemand:
    """The last reported demand of one VM."""

    def __init__(self) -> None:
        self.rates: dict[ItemName, ItemRate] = {}
        self.received_at = float("-inf")


class DemandCollector:
    """Reports this VM's demand to the lease holder and sums it there."""

    def __init__(
        self,
        settings: PlacementSettings,
        network: PeerNetwork,
        lease: Lease,
        source: DemandSource,
        clock: Clock,
    ) -> None:
        self._interval = timedelta(milliseconds=settings.demand_interval_ms)
        self._network = network
        self._lease = lease
        self._source = source
        self._clock = clock
        self._average = DemandAverage(settings.demand_half_life_s)
        self._reports: dict[VmId, VmDemand] = {}
        self._sent_rates: dict[ItemName, ItemRate] = {}
        self._reported_to: VmId | None = None
        self._report_count = 0
        network.register_handler(DemandReport, self._handle_report)

    async def run(self) -> None:
        """Read and report demand until cancelled."""
        read_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(self._interval)
            now = self._clock.monotonic()
            self._average.add(
                self._source.read_demand(), max(now - read_at, 0.001)
            )
            read_at = now
            self._send_report()

    def sum_reports(self) -> tuple[dict[ItemName, float], dict[ItemName, int]]:
        """Return rates and waiting requests summed over the domain's VMs."""
        now = self._clock.monotonic()
        rates: dict[ItemName, float] = {}
        waiting: dict[ItemName, int] = {}
        for report in self._reports.values():
            if now - report.received_at > REPORT_MAX_AGE_S:
                continue
            for name, item in report.rates.items():
                rates[name] = rates.get(name, 0.0) + item.rate
                if item.waiting:
                    waiting[name] = waiting.get(name, 0) + item.waiting
        return rates, waiting

    def dump(self) -> dict[str, Any]:
        """Return the sizes of the reports as JSON values."""
        return {
            "items_in_demand": len(self._average.get_rates()),
            "reports": {
                vm: len(report.rates) for vm, report in self._reports.items()
            },
        }

    def _send_report(self) -> None:
        holder = self._lease.holder
        if holder is None:
            return
        rates = self._average.get_rates()
        if holder == self._network.own_id:
            self._store_report(holder, DemandReport(is_full=True, rates=rates))
            return
        message = self._create_report(holder, rates)
        if self._network.send(holder, message):
            self._sent_rates.update(message.rates)

    def _create_report(
        self, holder: VmId, rates: dict[ItemName, ItemRate]
    ) -> DemandReport:
        self._report_count += 1
        if (
            holder != self._reported_to
            or self._report_count % REPORTS_PER_FULL_REPORT == 0
        ):
            self._reported_to = holder
            self._sent_rates = {}
            return DemandReport(is_full=True, rates=rates)
        dropped = {
            name: ItemRate(0.0)
            for name, sent in self._sent_rates.items()
            if name not in rates and (sent.rate or sent.waiting)
        }
        changed = {
            name: rate
            for name, rate in rates.items()
            if _has_changed(self._sent_rates.get(name, ItemRate(0.0)), rate)
        }
        return DemandReport(is_full=False, rates=changed | dropped)

    async def _handle_report(self, sender: VmId, message: Message) -> None:
        self._store_report(sender, message)

    def _store_report(self, vm: VmId, message: DemandReport) -> None:
        report = self._reports.setdefault(vm, VmDemand())
        report.received_at = self._clock.monotonic()
        if message.is_full:
            report.rates = dict(message.rates)
        else:
            report.rates.update(message.rates)


def _has_changed(sent: ItemRate, rate: ItemRate) -> bool:
    if sent.waiting != rate.waiting:
        return True
    return abs(rate.rate - sent.rate) > REPORTED_CHANGE_SHARE * sent.rate
