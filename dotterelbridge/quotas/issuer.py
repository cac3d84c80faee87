"""Issues credit to teams at the rate of their quotas, on the leader."""

from collections.abc import Callable
import math
from typing import Any

from dotterelbridge.clock import Clock
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.limits import AHEAD_LIFETIME_S
from dotterelbridge.quotas.limits import QuotaLimits
from dotterelbridge.quotas.limits import derive_limits
from dotterelbridge.quotas.limits import is_limited
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.quotas.sliding_sum import SlidingSum
from dotterelbridge.teams.model import Quota

_AHEAD_LEVEL = 0.5
"""Part of the bucket that credit ahead of requests leaves in it."""
_DEBT_LIMIT_S = 1.0
"""Debt that the bucket takes on for units that ran without credit, as a time
at the team's rate; more would refuse all requests for long."""
_LEAST_SHARE = 0.05
"""Least part of the rate that is issued, also while no VM has reported."""
_BACKLOG_LIMIT_S = 4.0
"""Longest wait that refused callers are told on account of each other."""
_UNKNOWN_TEAM_WAIT_MS = 500
"""Wait told for a team that is not in the leader's configuration."""
_MS_PER_S = 1000


class _Bucket:
    """Credit of one team."""

    def __init__(
        self, limits: QuotaLimits, settings: QuotasSettings, now: float
    ) -> None:
        self._limits = limits
        self._units_per_s = limits.units_per_s
        self._level = limits.first_units
        """Negative while credit is issued for use in the near future."""
        self._backlog = 0.0
        """Units of refused callers that are expected to come back."""
        self._updated_at = now
        self._issued = SlidingSum(settings.window_s)
        self._issued_ahead = SlidingSum(AHEAD_LIFETIME_S)

    def set_limits(self, limits: QuotaLimits, now: float) -> None:
        """Apply a changed quota; credit that is out stays counted."""
        if limits == self._limits:
            return
        self._refill(now)
        self._limits = limits
        self._units_per_s = limits.units_per_s
        self._level = min(self._level, limits.capacity)

    def decide(
        self, demand: TeamDemand, now: float, share: float
    ) -> TeamCredit:
        """Take back, then issue credit.

        :param share: part of the rate that this leader may issue.
        """
        self._refill(now)
        self._units_per_s = self._limits.units_per_s * share
        for credit in demand.returned:
            self._issued.add(now - credit.age_ms / _MS_PER_S, -credit.units)
            self._level = min(
                self._limits.capacity, self._level + credit.units
            )
        for credit in demand.settled:
            self._issued_ahead.add(
                now - credit.age_ms / _MS_PER_S, -credit.units
            )
        self._book_overdraft(demand.overdrawn_units, now)
        waits_ms = tuple(self._meet(need, now) for need in demand.needs)
        return TeamCredit(
            team=demand.team,
            waits_ms=waits_ms,
            ahead_units=self._issue_ahead(demand.ahead_units, now),
        )

    def dump(self) -> dict[str, float]:
        """Return the state as of the last use."""
        return {
            "level": self._level,
            "capacity": self._limits.capacity,
            "units_per_s": self._limits.units_per_s,
            "issued_in_window": self._issued.find_total(self._updated_at),
            "backlog": self._backlog,
        }

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) * self._units_per_s
        self._updated_at = now
        self._level = min(self._limits.capacity, self._level + gained)
        self._backlog = max(0.0, self._backlog - gained)

    def _book_overdraft(self, units: float, now: float) -> None:
        if units <= 0:
            return
        self._issued.add(now, units)
        lowest = -self._limits.units_per_s * _DEBT_LIMIT_S
        self._level = max(min(self._level, lowest), self._level - units)

    def _meet(self, need: CreditNeed, now: float) -> int:
        """Return the time until a need's credit, as in TeamCredit."""
        rate = self._units_per_s
        # A request larger than the bucket needs a full one.
        shortfall = min(need.units, self._limits.capacity) - self._level
        wait_s = max(0.0, shortfall / rate)
        excess = (
            self._issued.find_total(now)
            + need.units
            - self._limits.window_units
        )
        if excess > 0:
            wait_s = max(wait_s, self._issued.find_wait_s(excess, now))
        if wait_s * _MS_PER_S <= need.max_wait_ms:
            self._level -= need.units
            self._issued.add(now + wait_s, need.units)
            return math.ceil(wait_s * _MS_PER_S)
        wait_s += self._backlog / rate
        self._backlog = min(
            self._backlog + need.units, rate * _BACKLOG_LIMIT_S
        )
        return -max(1, math.ceil(wait_s * _MS_PER_S))

    def _issue_ahead(self, wanted: float, now: float) -> float:
        if wanted <= 0:
            return 0.0
        limits = self._limits
        units = min(
            wanted,
            self._level - limits.capacity * _AHEAD_LEVEL,
            limits.ahead_units - self._issued_ahead.find_total(now),
            limits.window_units - self._issued.find_total(now),
        )
        if units <= 0:
            return 0.0
        self._level -= units
        self._issued.add(now, units)
        self._issued_ahead.add(now, units)
        return units


class CreditIssuer:
    """Holds the bucket of each team."""

    def __init__(
        self,
        clock: Clock,
        settings: QuotasSettings,
        find_quota: Callable[[TeamName], Quota | None],
        is_known: Callable[[TeamName], bool],
        get_share: Callable[[], float],
    ) -> None:
        """Create an issuer.

        :param find_quota: returns the quota that is in force for a team.
        :param is_known: returns whether a team is configured.
        :param get_share: returns the part of all entry VMs that this VM hears
            of; the others use their own part of the rate for a time.
        """
        self._clock = clock
        self._settings = settings
        self._find_quota = find_quota
        self._is_known = is_known
        self._get_share = get_share
        self._buckets: dict[TeamName, _Bucket] = {}
        self._started_at = clock.monotonic()

    def restart(self, leaderless_s: float = 0.0) -> None:
        """Start as a new leader, with a part of each bucket.

        :param leaderless_s: time for which no leader has issued credit;
            buckets gain what it brings, and entry VMs report what they used.
        """
        self._buckets.clear()
        self._started_at = self._clock.monotonic() - leaderless_s

    def decide(self, demand: TeamDemand) -> TeamCredit:
        """Return the decision on one team's demand."""
        if not self._is_known(demand.team):
            waits_ms = (-_UNKNOWN_TEAM_WAIT_MS,) * len(demand.needs)
            return TeamCredit(team=demand.team, waits_ms=waits_ms)
        quota = self._find_quota(demand.team)
        if not is_limited(quota):
            self._buckets.pop(demand.team, None)
            return TeamCredit(
                team=demand.team, waits_ms=(0,) * len(demand.needs)
            )
        now = self._clock.monotonic()
        limits = derive_limits(quota, self._settings)
        bucket = self._buckets.get(demand.team)
        if bucket is None:
            bucket = _Bucket(limits, self._settings, self._started_at)
            self._buckets[demand.team] = bucket
        bucket.set_limits(limits, now)
        share = max(_LEAST_SHARE, self._get_share())
        return bucket.decide(demand, now, share)

    def dump(self) -> dict[str, Any]:
        """Return the state of each bucket."""
        return {team: bucket.dump() for team, bucket in self._buckets.items()}
