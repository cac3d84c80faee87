"""Other ways to keep quotas, to compare leased credit with.

Both divide a team's bucket among the entry VMs. A request larger than a VM's
part of it needs a full one.
"""

from collections import Counter
from datetime import timedelta
import random

import anyio

from dotterelbridge.quotas.account import Charge
from dotterelbridge.quotas.errors import QuotaExceeded
from dotterelbridge.quotas.limits import derive_limits
from standins.virtual_time import LoopClock
from tests.quotas.fleet import SETTINGS
from tests.quotas.fleet import ChargePolicy


class _Bucket:
    """One VM's part of a team's bucket."""

    def __init__(self, limits, share: float, phase: float) -> None:
        self._limits = limits
        self.share = share
        self._level = limits.capacity * share * phase
        self._updated_at = 0.0

    def set_share(self, share: float, now: float) -> None:
        self._refill(now)
        self.share = share

    def take(self, units: float, now: float) -> float:
        """Charge a request, or return the time until it may be."""
        self._refill(now)
        missing = min(units, self._limits.capacity * self.share) - self._level
        if missing > 0:
            return missing / (self._limits.units_per_s * self.share)
        self._level -= units
        return 0.0

    def put_back(self, units: float) -> None:
        self._level += units

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) * self._limits.units_per_s
        self._updated_at = now
        self._level = min(
            self._level + gained * self.share,
            self._limits.capacity * self.share,
        )


class EvenShares(ChargePolicy):
    """Each VM has the same part of each bucket; no messages."""

    def __init__(self, vm_count: int, teams, seed: int) -> None:
        self.clock = LoopClock()
        rng = random.Random(seed)
        self._buckets = {
            (vm, team.name): _Bucket(
                derive_limits(team.quota, SETTINGS), 1 / vm_count, rng.random()
            )
            for vm in range(vm_count)
            for team in teams
        }

    def start(self, group) -> None:
        """Start nothing."""

    async def charge(self, vm, team, units, max_wait):
        bucket = self._buckets[vm, team.name]
        wait_s = bucket.take(units, self.clock.monotonic())
        if 0 < wait_s <= max_wait.total_seconds():
            await anyio.sleep(wait_s + 1e-6)
            wait_s = bucket.take(units, self.clock.monotonic())
        if wait_s > 0:
            raise QuotaExceeded("over", "wait", timedelta(seconds=wait_s))
        return Charge(lambda: bucket.put_back(units))


class DemandShares(EvenShares):
    """Each VM's part follows its demand of the last seconds.

    Twice a second, each VM reports its demand and gets its parts. Those that
    shrink take effect before those that grow.
    """

    INTERVAL_S = 0.5
    EVEN_PART = 0.1
    """Part that is divided evenly, for VMs that had no demand."""
    MEMORY = 0.8
    """Weight of the earlier demand at each step."""

    def __init__(self, vm_count: int, teams, seed: int) -> None:
        super().__init__(vm_count, teams, seed)
        self._vm_count = vm_count
        self._teams = teams
        self._demand: Counter = Counter()

    def start(self, group) -> None:
        group.start_soon(self._update)

    async def charge(self, vm, team, units, max_wait):
        self._demand[vm, team.name] += units
        return await super().charge(vm, team, units, max_wait)

    async def _update(self) -> None:
        while True:
            await anyio.sleep(self.INTERVAL_S / 2)
            shares = {}
            for team in self._teams:
                keys = [(vm, team.name) for vm in range(self._vm_count)]
                total = sum(self._demand[key] for key in keys)
                for key in keys:
                    own = self._demand[key] / total if total else 0.0
                    even = 1 / self._vm_count
                    shares[key] = (
                        self.EVEN_PART * even + (1 - self.EVEN_PART) * own
                        if total
                        else even
                    )
                    self._demand[key] *= self.MEMORY
            self._apply(shares, is_growing=False)
            await anyio.sleep(self.INTERVAL_S / 2)
            self._apply(shares, is_growing=True)

    def _apply(self, shares, is_growing: bool) -> None:
        now = self.clock.monotonic()
        for key, share in shares.items():
            bucket = self._buckets[key]
            if (share > bucket.share) == is_growing:
                bucket.set_share(share, now)
