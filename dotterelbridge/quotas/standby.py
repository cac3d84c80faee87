"""Issues a control VM's part of each quota while no leader answers.

An election takes one to two seconds. An entry VM's own part of a quota is
mostly smaller than a request; that of all entry VMs of a control VM is not.
"""

from collections.abc import Callable
import random

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.limits import derive_limits
from dotterelbridge.quotas.limits import is_limited
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.teams.model import Quota

STANDBY_LIMIT_S = 2.5
"""Time without a leader for which credit is issued; an election is over by
then, unless this VM is cut off from the majority."""
_ELECTION_S = 1.2
"""Time in which mostly a new leader is elected."""
_ELECTION_RATE_PART = 0.8
"""Part of the rate that is issued in this time: usual demand is about half
of it."""
_LATER_RATE_PART = 0.3
"""The same after this time: the leader may still issue all of the rate to
other VMs, if only this one is cut off."""
_FIRST_PART = 0.125
"""Part of the tolerated excess that is issued at once."""
_REFUSED_WAIT_MS = 300


class _Pool(msgspec.Struct):
    level: float
    advance: float
    """Part of a request, from 0 to 1, that may be issued before the pool
    holds it. It is drawn at random, so that the pools of all control VMs
    together round neither up nor down."""
    issued: float = 0.0
    """Units that the next leader has not been told of."""
    is_open: bool = True


class StandbyIssuer:
    """Pools of one control VM, from the loss of the leader on."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        settings: QuotasSettings,
        find_quota: Callable[[TeamName], Quota | None],
        get_share: Callable[[], float],
    ) -> None:
        """Create an inactive issuer.

        :param get_share: returns the part of all entry VMs, from 0 to 1,
            that ask this VM.
        """
        self._clock = clock
        self._random = rng
        self._settings = settings
        self._find_quota = find_quota
        self._get_share = get_share
        self._pools: dict[TeamName, _Pool] = {}
        self._started_at: float | None = None
        self._filled_at = 0.0

    @property
    def is_active(self) -> bool:
        """Whether no leader answered lately."""
        return self._started_at is not None

    def start(self) -> None:
        """Begin to issue, unless that has begun."""
        if self._started_at is None:
            self._started_at = self._filled_at = self._clock.monotonic()
            for pool in self._pools.values():
                pool.is_open = False

    def stop(self) -> None:
        """End, as a leader answers."""
        self._started_at = None

    def decide(self, request: CreditRequest) -> CreditReply:
        """Meet needs as far as the pools allow, without credit ahead."""
        now = self._clock.monotonic()
        if self._started_at is None or (
            now - self._started_at > STANDBY_LIMIT_S
        ):
            return CreditReply(is_available=False)
        self._fill(now)
        return CreditReply(
            credits=tuple(map(self._decide_team, request.demands))
        )

    def take_reports(self) -> tuple[TeamDemand, ...]:
        """Return what was issued, for the leader, and forget it."""
        reports = tuple(
            TeamDemand(team=team, overdrawn_units=pool.issued)
            for team, pool in self._pools.items()
            if pool.issued
        )
        for pool in self._pools.values():
            pool.issued = 0.0
        return reports

    def restore_reports(self, reports: tuple[TeamDemand, ...]) -> None:
        """Keep reports that did not reach the leader."""
        for report in reports:
            self._pools[report.team].issued += report.overdrawn_units

    def _decide_team(self, demand: TeamDemand) -> TeamCredit:
        quota = self._find_quota(demand.team)
        if not is_limited(quota):
            waits_ms = (0,) * len(demand.needs)
            return TeamCredit(team=demand.team, waits_ms=waits_ms)
        pool = self._pools.get(demand.team)
        if pool is None or not pool.is_open:
            pool = self._open_pool(demand.team, quota)
        return TeamCredit(
            team=demand.team,
            waits_ms=tuple(
                0 if self._take(pool, need.units) else -_REFUSED_WAIT_MS
                for need in demand.needs
            ),
        )

    def _open_pool(self, team: TeamName, quota: Quota) -> _Pool:
        limits = derive_limits(quota, self._settings)
        known = self._pools.get(team)
        pool = _Pool(
            limits.tolerated_units * _FIRST_PART * self._get_share(),
            self._random.random(),
            known.issued if known else 0.0,
        )
        self._pools[team] = pool
        return pool

    @staticmethod
    def _take(pool: _Pool, units: float) -> bool:
        if pool.level < units * (1 - pool.advance):
            return False
        pool.level -= units
        pool.issued += units
        return True

    def _fill(self, now: float) -> None:
        part = _ELECTION_RATE_PART
        if now - self._started_at > _ELECTION_S:
            part = _LATER_RATE_PART
        elapsed_s = now - self._filled_at
        self._filled_at = now
        for team, pool in self._pools.items():
            quota = self._find_quota(team)
            if is_limited(quota):
                gained = quota.units_per_s * part * elapsed_s
                pool.level += gained * self._get_share()
