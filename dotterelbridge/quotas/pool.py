"""Credit that a control VM holds for its entry VMs.

The leader may be in another region, and an answer from there takes nearly all
the time that an urgent request may wait. A few control VMs can hold credit
for each team, where each of many entry VMs cannot.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.limits import is_limited
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.team_account import Order
from dotterelbridge.quotas.team_account import TeamAccount
from dotterelbridge.teams.model import Quota

URGENT_WAIT_MS = 10
"""Needs that can wait no longer than this, beyond the time that an answer of
the leader takes, can hardly wait for it."""
_LEAST_REQUESTS = 2
"""Plain requests, the most urgent ones, for which credit is held."""
_RETENTION_S = 60.0
"""Time after its last request for which a team's credit is renewed."""


class PoolAnswer:
    """The part of one demand that the pool has met."""

    def __init__(
        self, demand: TeamDemand, issued_at: tuple[float | None, ...]
    ) -> None:
        self.demand = demand
        self.issued_at = issued_at
        """For each need, when its credit was issued, or None if not met."""
        self.rest = msgspec.structs.replace(
            demand,
            needs=tuple(
                need
                for need, at in zip(demand.needs, issued_at, strict=True)
                if at is None
            ),
        )

    @property
    def is_complete(self) -> bool:
        """Whether there is nothing left for the leader."""
        rest = self.rest
        return not (
            rest.needs
            or rest.ahead_units
            or rest.returned
            or rest.settled
            or rest.overdrawn_units
        )

    def complete(self, credit: TeamCredit | None) -> TeamCredit:
        """Add the leader's decision on the rest."""
        waits_ms = iter(() if credit is None else credit.waits_ms)
        return TeamCredit(
            team=self.demand.team,
            waits_ms=tuple(
                next(waits_ms) if at is None else 0 for at in self.issued_at
            ),
            ahead_units=0.0 if credit is None else credit.ahead_units,
        )


class CreditPool:
    """The accounts of a control VM."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        find_quota: Callable[[TeamName], Quota | None],
    ) -> None:
        self._clock = clock
        self._random = rng
        self._find_quota = find_quota
        self._accounts: dict[TeamName, TeamAccount] = {}

    def meet(self, demand: TeamDemand) -> PoolAnswer:
        """Meet needs from the credit that is held.

        A part of it is kept for needs that cannot wait for the leader.
        """
        quota = self._find_quota(demand.team)
        if not is_limited(quota):
            return PoolAnswer(demand, (None,) * len(demand.needs))
        now = self._clock.monotonic()
        reserve = quota.plain_units * _LEAST_REQUESTS
        account = self._accounts.get(demand.team)
        if account is None:
            account = TeamAccount(self._random, now, reserve)
            self._accounts[demand.team] = account
        issued_at = []
        for need in demand.needs:
            account.record_demand(need.units, now)
            kept = 0.0 if need.max_wait_ms < URGENT_WAIT_MS else reserve
            issued_at.append(account.spend(need.units, now, kept))
        return PoolAnswer(demand, tuple(issued_at))

    def put_back(self, answer: PoolAnswer) -> None:
        """Take back credit that could not be handed out."""
        account = self._accounts.get(answer.demand.team)
        if account is None:
            return
        now = self._clock.monotonic()
        for need, at in zip(
            answer.demand.needs, answer.issued_at, strict=True
        ):
            if at is not None:
                account.put_back(need.units, at, now)

    def create_orders(self) -> list[Order]:
        """Return what to ask the leader for, and to give back to it."""
        now = self._clock.monotonic()
        orders = []
        for team, account in list(self._accounts.items()):
            if now - account.used_at > _RETENTION_S:
                del self._accounts[team]
                continue
            order = account.create_order(team, now, is_probe=False)
            if order is not None:
                orders.append(order)
        return orders

    def apply(
        self, orders: Iterable[Order], credits: Iterable[TeamCredit]
    ) -> None:
        """Add the credit that orders brought."""
        now = self._clock.monotonic()
        for order, credit in zip(orders, credits, strict=True):
            account = self._accounts.get(order.demand.team)
            if account is not None:
                account.apply_credit(order, credit, now)

    def dump(self) -> dict[str, Any]:
        """Return the credit held, by team."""
        now = self._clock.monotonic()
        return {
            team: account.dump(now) for team, account in self._accounts.items()
        }
