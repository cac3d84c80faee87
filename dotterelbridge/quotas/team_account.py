"""The credit that one entry VM holds for one team."""

from collections import deque
import random
from typing import Any

import anyio
import msgspec

from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.limits import AHEAD_LIFETIME_S
from dotterelbridge.quotas.limits import CREDIT_LIFETIME_S
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import CreditPart
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.sliding_sum import SlidingSum
from dotterelbridge.teams.model import Quota

_PACE_WINDOW_S = 10.0
"""Time over which this VM's own demand is measured."""
_AHEAD_S = 0.5
"""Time for which demand is asked for ahead."""
_AHEAD_PAUSE_S = 0.1
"""Time between two requests for credit ahead."""
_SURPLUS_KEPT_S = 0.2
"""Time after which credit that no request took is given back."""
_REFUND_REUSE_S = 1.0
"""Age up to which credit that a request gave back is used again here. Older
credit goes to the leader, which knows what it has issued meanwhile."""
_AHEAD_KEPT_S = 1.0
"""The same for credit ahead; well before it expires."""
_RENEWAL_S = 0.3
"""Time before credit is given back at which it is replaced, so that none is
missing until the answer arrives."""
_OVERDRAFT_S = 0.5
"""Time at the overdraft's pace that may be used at once while a leader
answers, for requests whose answer is late."""
OUTAGE_LIMIT_S = 4.0
"""Time without an answer for which requests run without credit."""
_PACE_PART = 0.5
"""Part of the overdraft that follows the VM's own pace; the rest is its even
share. The sum over all VMs then stays below the team's rate."""
_OVER_QUOTA_END_S = 5.0
"""Time without a refusal after which the next one is logged again."""
_MIN_DELAY_S = 0.001
"""Shortest time until credit is looked for again. A shorter one can vanish in
the rounding of the clock, so that the time would never come."""
_MS_PER_S = 1000


class _Lot(msgspec.Struct):
    """Credit that was issued at one time."""

    units: float
    issued_at: float
    """Monotonic time of the message that asked for it: not after the issuer
    has counted it, and not extended by a pause of this VM."""
    usable_at: float
    kept_until: float
    """Time from which it is given back."""
    expires_at: float
    is_ahead: bool = False


class Waiter:
    """A request that waits for credit."""

    def __init__(self, units: float, until: float) -> None:
        self.units = units
        self.until = until
        """Monotonic time at which it stops to wait."""
        self.is_asked_for = False
        self.is_charged = False
        self.issued_at = 0.0
        """When the credit that it was charged to was issued."""
        self.refused_for_s: float | None = None
        """Time that the issuer named, if it refused."""
        self.decided = anyio.Event()


class Order(msgspec.Struct, frozen=True):
    """What one message asks for."""

    sent_at: float
    waiters: tuple[Waiter, ...]
    demand: TeamDemand


class TeamAccount:
    """Credit, waiting requests and overdraft of one team."""

    def __init__(
        self, rng: random.Random, now: float, least_ahead: float = 0.0
    ) -> None:
        """Create an account without credit.

        :param least_ahead: credit to hold ahead of requests, however rare
            they are.
        """
        self._random = rng
        self._least_ahead = least_ahead
        self._lots: deque[_Lot] = deque()
        self._waiters: deque[Waiter] = deque()
        self._settled: dict[float, float] = {}
        """Units of credit ahead of requests that were used or given back,
        by the time of issue, which the issuer does not know of yet."""
        self._late_refunds: list[tuple[float, float]] = []
        """Units to give back at once, and when they were issued."""
        self._demand = SlidingSum(_PACE_WINDOW_S)
        self._request_count = SlidingSum(_PACE_WINDOW_S)
        self._charged = SlidingSum(_PACE_WINDOW_S)
        self._overdraft_room = 0.0
        self._overdraft_at = now
        self._overdrawn = 0.0
        """Overdraft that the issuer does not know of yet."""
        self._ahead_at = now
        self.used_at = now
        """Monotonic time of the latest request."""
        self._refused_at = now - 2 * _OVER_QUOTA_END_S
        """Monotonic time of the latest refusal by the issuer."""

    @property
    def has_waiters(self) -> bool:
        """Whether requests wait for credit."""
        return bool(self._waiters)

    def find_return_s(self, now: float) -> float | None:
        """Return the time until credit is to be given back, if any is held."""
        times = [lot.kept_until for lot in self._lots]
        return max(0.0, min(times) - now) if times else None

    def is_idle(self) -> bool:
        """Whether nothing would be lost with this account."""
        return not (
            self._lots
            or self._waiters
            or self._overdrawn
            or self._late_refunds
        )

    def record_demand(self, units: float, now: float) -> None:
        """Count a request that has arrived."""
        self.used_at = now
        self._demand.add(now, units)
        self._request_count.add(now, 1)

    def spend(
        self, units: float, now: float, reserve: float = 0.0
    ) -> float | None:
        """Charge a request to credit that is held.

        :param reserve: credit that must be left.
        :returns: the time at which the credit was issued, or None if there
            is not enough.
        """
        self._drop_expired(now)
        if self._find_held(now) < units + reserve:
            return None
        issued_at = now
        left = units
        for lot in self._lots:
            if lot.usable_at <= now and left > 0:
                part = min(left, lot.units)
                lot.units -= part
                self._settle(lot, part)
                left -= part
                issued_at = min(issued_at, lot.issued_at)
        self._lots = deque(lot for lot in self._lots if lot.units > 0)
        self._charged.add(now, units)
        return issued_at

    def put_back(self, units: float, issued_at: float, now: float) -> None:
        """Add credit of a request that did not run."""
        if now - issued_at > _REFUND_REUSE_S:
            self._late_refunds.append((units, issued_at))
            return
        self._lots.append(
            _Lot(
                units=units,
                issued_at=issued_at,
                usable_at=now,
                kept_until=now + _SURPLUS_KEPT_S,
                expires_at=now + CREDIT_LIFETIME_S,
            )
        )

    def add_waiter(self, waiter: Waiter) -> None:
        """Let a request wait behind the others."""
        self._waiters.append(waiter)

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a request that stopped to wait."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def serve_waiters(self, now: float) -> float | None:
        """Charge waiting requests in order, as far as credit is usable.

        :returns: the time until more of it is usable, if there is some.
        """
        while self._waiters:
            waiter = self._waiters[0]
            issued_at = self.spend(waiter.units, now)
            if issued_at is None:
                break
            self._waiters.popleft()
            waiter.is_charged = True
            waiter.issued_at = issued_at
            waiter.decided.set()
        times = [lot.usable_at for lot in self._lots if lot.usable_at > now]
        if not (self._waiters and times):
            return None
        return max(min(times) - now, _MIN_DELAY_S)

    def overdraw(
        self,
        units: float,
        quota: Quota,
        vm_count: int,
        outage: float | None,
        now: float,
    ) -> bool:
        """Charge a request without credit, if there is room for it.

        A VM's room for this is mostly smaller than a request. Such a request
        is charged with a probability at which the expected use is the room.

        :param outage: monotonic time since which no leader answers, or None.
        """
        self._fill_overdraft(quota, vm_count, outage, now)
        room = self._overdraft_room
        self._overdraft_room = max(0.0, room - units)
        if room < units and self._random.random() * units >= room:
            return False
        self._overdrawn += units
        self._charged.add(now, units)
        return True

    def create_order(
        self, team: TeamName, now: float, is_probe: bool
    ) -> Order | None:
        """Return what to ask for and to give back now, if there is anything.

        :param is_probe: whether the answer is uncertain, so that nothing is
            given back with it.
        """
        self._drop_expired(now)
        waiters = tuple(w for w in self._waiters if not w.is_asked_for)
        ahead_units = self._find_ahead(now)
        returned = () if is_probe else self._take_returns(now)
        if not (waiters or ahead_units or returned or self._overdrawn):
            return None
        if ahead_units:
            self._ahead_at = now
        overdrawn, self._overdrawn = self._overdrawn, 0.0
        needs = []
        for waiter in waiters:
            waiter.is_asked_for = True
            max_wait_s = max(0.0, waiter.until - now)
            needs.append(CreditNeed(waiter.units, int(max_wait_s * _MS_PER_S)))
        return Order(
            sent_at=now,
            waiters=waiters,
            demand=TeamDemand(
                team=team,
                needs=tuple(needs),
                ahead_units=ahead_units,
                returned=returned,
                settled=self._take_settled(now),
                overdrawn_units=overdrawn,
            ),
        )

    def fail_order(self, order: Order) -> None:
        """Undo an order without an answer.

        What was given back is lost. The overdraft is reported again: counted
        twice, it errs on the side of refusing.
        """
        self._overdrawn += order.demand.overdrawn_units
        for waiter in order.waiters:
            waiter.is_asked_for = False

    def apply_credit(
        self, order: Order, credit: TeamCredit, now: float
    ) -> bool:
        """Add the credit that an order brought, and refuse requests.

        :returns: whether these are the first refusals for a time.
        """
        was_refused_at = self._refused_at
        for waiter, wait_ms in zip(
            order.waiters, credit.waits_ms, strict=False
        ):
            wait_s = wait_ms / _MS_PER_S
            if wait_ms >= 0:
                self._add_lot(
                    waiter.units,
                    order.sent_at,
                    now + wait_s,
                    _SURPLUS_KEPT_S + wait_s,
                    CREDIT_LIFETIME_S + wait_s,
                )
                continue
            self._refused_at = now
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.refused_for_s = -wait_s
                waiter.decided.set()
        if credit.ahead_units > 0:
            self._add_lot(
                credit.ahead_units,
                order.sent_at,
                now,
                _AHEAD_KEPT_S,
                AHEAD_LIFETIME_S,
                is_ahead=True,
            )
        return self._refused_at - was_refused_at > _OVER_QUOTA_END_S

    def needs_message(self, now: float) -> bool:
        """Whether there is something to ask for at once."""
        return any(not w.is_asked_for for w in self._waiters) or bool(
            self._find_ahead(now)
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state."""
        return {
            "held": sum(lot.units for lot in self._lots),
            "usable": self._find_held(now),
            "waiting": len(self._waiters),
            "units_per_s": self._charged.find_total(now) / _PACE_WINDOW_S,
            "demand_per_s": self._demand.find_total(now) / _PACE_WINDOW_S,
            "overdrawn": self._overdrawn,
        }

    def _add_lot(
        self,
        units: float,
        sent_at: float,
        usable_at: float,
        kept_s: float,
        lifetime_s: float,
        is_ahead: bool = False,
    ) -> None:
        self._lots.append(
            _Lot(
                units=units,
                issued_at=sent_at,
                usable_at=usable_at,
                kept_until=sent_at + kept_s,
                expires_at=sent_at + lifetime_s,
                is_ahead=is_ahead,
            )
        )

    def _find_held(self, now: float) -> float:
        return sum(lot.units for lot in self._lots if lot.usable_at <= now)

    def _drop_expired(self, now: float) -> None:
        if any(lot.expires_at <= now for lot in self._lots):
            self._lots = deque(
                lot for lot in self._lots if lot.expires_at > now
            )

    def _settle(self, lot: _Lot, units: float) -> None:
        if lot.is_ahead:
            known = self._settled.get(lot.issued_at, 0.0)
            self._settled[lot.issued_at] = known + units

    def _take_returns(self, now: float) -> tuple[CreditPart, ...]:
        refunds, self._late_refunds = self._late_refunds, []
        if not self._waiters:
            for lot in self._lots:
                if lot.kept_until <= now:
                    self._settle(lot, lot.units)
                    refunds.append((lot.units, lot.issued_at))
            self._lots = deque(
                lot for lot in self._lots if lot.kept_until > now
            )
        return tuple(
            _create_part(units, issued_at, now) for units, issued_at in refunds
        )

    def _take_settled(self, now: float) -> tuple[CreditPart, ...]:
        settled, self._settled = self._settled, {}
        return tuple(
            _create_part(units, issued_at, now)
            for issued_at, units in settled.items()
            if now - issued_at < AHEAD_LIFETIME_S
        )

    def _find_ahead(self, now: float) -> float:
        """Return the credit to ask for ahead of requests.

        No more than the least where less than a request is expected: the
        many accounts of a small team would otherwise hold all its credit.
        """
        if now - self._ahead_at < _AHEAD_PAUSE_S:
            return 0.0
        demand = self._demand.find_total(now)
        expected = demand / _PACE_WINDOW_S * _AHEAD_S
        request_count = self._request_count.find_total(now)
        if not request_count or expected < demand / request_count:
            expected = 0.0
        expected += self._least_ahead
        if not expected:
            return 0.0
        renewed_until = now + _RENEWAL_S
        missing = expected - sum(
            lot.units for lot in self._lots if lot.kept_until > renewed_until
        )
        return missing if missing >= expected / 2 else 0.0

    def _fill_overdraft(
        self, quota: Quota, vm_count: int, outage: float | None, now: float
    ) -> None:
        own_pace = self._charged.find_total(now) / _PACE_WINDOW_S
        even_share = quota.units_per_s / vm_count
        units_per_s = _PACE_PART * own_pace + (1 - _PACE_PART) * even_share
        limit_s = _OVERDRAFT_S
        if outage is not None:
            # A pause before the outage must not add to what it allows.
            self._overdraft_at = max(self._overdraft_at, outage)
            limit_s = OUTAGE_LIMIT_S
        gained = (now - self._overdraft_at) * units_per_s
        self._overdraft_at = now
        self._overdraft_room = min(
            self._overdraft_room + gained, units_per_s * limit_s
        )


def _create_part(units: float, issued_at: float, now: float) -> CreditPart:
    return CreditPart(units, int((now - issued_at) * _MS_PER_S))
