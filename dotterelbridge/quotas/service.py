"""Issues credit on the leader of the log, and passes requests on to it."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import math
import random
from typing import Any

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import TeamName
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.quotas.events import QuotaEvent
from dotterelbridge.quotas.issuer import CreditIssuer
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.pool import URGENT_WAIT_MS
from dotterelbridge.quotas.pool import CreditPool
from dotterelbridge.quotas.pool import PoolAnswer
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import Team

_log = structlog.get_logger(__name__)

_CHECK_INTERVAL = timedelta(milliseconds=100)
_LEADER_TIMEOUT = timedelta(milliseconds=250)
"""Time for the leader to answer: five crossings of the slowest link and
back."""
_BATCH_INTERVAL = timedelta(milliseconds=10)
"""Time between two messages to the leader, which bounds its load by the
number of control VMs. The next message does not wait for the answer to the
last: an answer from another region takes 40 ms, which is nearly all the time
that a request may wait for credit."""
_URGENT_INTERVAL = timedelta(milliseconds=2)
"""The same while a request waits that cannot wait for the longer interval."""
_LATENCY_WEIGHT = 0.1
"""Weight of an answer in the mean time that the leader's answers take."""
_MS_PER_S = 1000
_REST_OF_INTERVAL_S = (_BATCH_INTERVAL - _URGENT_INTERVAL).total_seconds()
_RENEWAL_INTERVAL_S = 0.25
"""Longest time until the pool's credit is renewed or given back."""
_LONGEST_ELECTION_S = 2.0
_UNAVAILABLE = CreditReply(is_available=False)


class TeamQuotas:
    """The quotas in the configuration that is active on this VM."""

    def __init__(self, routes: ActiveRoutes) -> None:
        self._routes = routes
        self._teams: dict[TeamName, Team] = {}
        routes.subscribe(self._update)
        self._update()

    def find_quota(self, name: TeamName) -> Quota | None:
        """Return the quota of a team, or None if it has none."""
        team = self._teams.get(name)
        return None if team is None else team.quota

    def is_known(self, name: TeamName) -> bool:
        """Return whether a team is configured."""
        return name in self._teams

    def _update(self) -> None:
        route_set = self._routes.route_set
        if route_set is not None:
            self._teams = {team.name: team for team in route_set.teams}


class _Pending:
    """A request that waits to be passed on to the leader."""

    def __init__(self, answers: tuple[PoolAnswer, ...]) -> None:
        self.answers = answers
        self.request = CreditRequest(
            demands=tuple(answer.rest for answer in answers)
        )
        self.reply = _UNAVAILABLE
        self.answered = anyio.Event()

    @property
    def is_urgent(self) -> bool:
        """Whether a need can hardly wait."""
        return any(
            need.max_wait_ms < URGENT_WAIT_MS
            for demand in self.request.demands
            for need in demand.needs
        )

    def answer(self, reply: CreditReply) -> None:
        self.reply = reply
        self.answered.set()


class CreditService(Dumpable):
    """Answers requests for credit on the leader, or passes them on to it."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
        settings: QuotasSettings,
        routes: ActiveRoutes,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
        get_share: Callable[[], float],
    ) -> None:
        """Create the service of a control VM.

        :param get_led_term: returns the term that this VM leads, with a
            valid lease, or None.
        :param get_share: returns the part of all entry VMs that this VM
            hears of.
        """
        self._network = network
        self._clock = clock
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        quotas = TeamQuotas(routes)
        self._issuer = CreditIssuer(
            clock, settings, quotas.find_quota, quotas.is_known, get_share
        )
        self._pool = CreditPool(clock, rng, quotas.find_quota)
        self._latency_s = 0.0
        """Mean time that the leader's answers take."""
        self._issuing_term: Term | None = None
        self._answered_at = -math.inf
        """Monotonic time of the latest answer of a leader."""
        self._pending: list[_Pending] = []
        self._has_pending = anyio.Event()
        self._has_urgent = anyio.Event()
        network.register_handler(CreditRequest, self._handle_request)

    async def run(self) -> None:
        """Pass requests on to the leader until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_term)
            while True:
                with anyio.move_on_after(_RENEWAL_INTERVAL_S):
                    await self._has_pending.wait()
                self._has_pending = anyio.Event()
                self._has_urgent = anyio.Event()
                batch, self._pending = self._pending, []
                group.start_soon(self._pass_on, batch)
                await self._clock.sleep(_URGENT_INTERVAL)
                with anyio.move_on_after(_REST_OF_INTERVAL_S):
                    await self._has_urgent.wait()

    def dump(self) -> dict[str, Any]:
        """Return the pool, and the buckets, which only the leader updates."""
        return {
            "term": self._issuing_term,
            "pool": self._pool.dump(),
            "buckets": self._issuer.dump(),
        }

    async def _watch_term(self) -> None:
        while True:
            self._check_leads()
            await self._clock.sleep(_CHECK_INTERVAL)

    async def _handle_request(
        self, sender: VmId, request: CreditRequest
    ) -> CreditReply:
        if self._check_leads():
            return self._decide(request)
        leader = self._get_leader()
        if leader is None or leader in (sender, self._network.own_id):
            return _UNAVAILABLE
        latency_ms = int(self._latency_s * _MS_PER_S)
        answers = tuple(
            self._pool.meet(_shorten_waits(demand, latency_ms))
            for demand in request.demands
        )
        if request.demands and all(a.is_complete for a in answers):
            credits = tuple(answer.complete(None) for answer in answers)
            return CreditReply(credits=credits)
        pending = _Pending(answers)
        self._pending.append(pending)
        self._has_pending.set()
        if pending.is_urgent:
            self._has_urgent.set()
        await pending.answered.wait()
        return pending.reply

    def _decide(self, request: CreditRequest) -> CreditReply:
        return CreditReply(
            credits=tuple(map(self._issuer.decide, request.demands))
        )

    async def _pass_on(self, batch: list[_Pending]) -> None:
        orders = self._pool.create_orders()
        requests = [pending.request for pending in batch]
        requests += [CreditRequest(demands=(o.demand,)) for o in orders]
        demands = merge_demands(requests)
        if not (demands or batch):
            return
        reply = await self._ask_leader(CreditRequest(demands=demands))
        if not reply.is_available or len(reply.credits) != len(demands):
            for pending in batch:
                for answer in pending.answers:
                    self._pool.put_back(answer)
                pending.answer(_UNAVAILABLE)
            return
        splitter = CreditSplitter(demands, reply.credits)
        for pending in batch:
            credits = tuple(
                answer.complete(splitter.take(answer.rest))
                for answer in pending.answers
            )
            pending.answer(CreditReply(credits=credits))
        self._pool.apply(
            orders, [splitter.take(order.demand) for order in orders]
        )

    async def _ask_leader(self, request: CreditRequest) -> CreditReply:
        if self._check_leads():
            return self._decide(request)
        leader = self._get_leader()
        if leader is None or leader == self._network.own_id:
            return _UNAVAILABLE
        sent_at = self._clock.monotonic()
        try:
            reply = await self._network.request(
                leader, request, _LEADER_TIMEOUT
            )
        except PeerError:
            return _UNAVAILABLE
        taken_s = self._clock.monotonic() - sent_at
        self._latency_s += (taken_s - self._latency_s) * _LATENCY_WEIGHT
        if isinstance(reply, CreditReply) and reply.is_available:
            self._answered_at = self._clock.monotonic()
        return reply if isinstance(reply, CreditReply) else _UNAVAILABLE

    def _find_leaderless_s(self) -> float:
        """Return for how long no leader has answered this VM, if it is short.

        After a longer time this VM may have been the one that was cut off.
        """
        elapsed_s = self._clock.monotonic() - self._answered_at
        return elapsed_s if elapsed_s <= _LONGEST_ELECTION_S else 0.0

    def _check_leads(self) -> bool:
        """Return whether this VM leads; a new leader starts anew."""
        term = self._get_led_term()
        if term is not None and term != self._issuing_term:
            self._issuer.restart(self._find_leaderless_s())
            events.log(_log, QuotaEvent.ISSUING_STARTED, term=term)
        self._issuing_term = term
        return term is not None


def _shorten_waits(demand: TeamDemand, latency_ms: int) -> TeamDemand:
    """Take the time of the leader's answer off what needs can wait."""
    needs = tuple(
        CreditNeed(need.units, max(0, need.max_wait_ms - latency_ms))
        for need in demand.needs
    )
    return msgspec.structs.replace(demand, needs=needs)


def merge_demands(requests: Iterable[CreditRequest]) -> tuple[TeamDemand, ...]:
    """Return one demand for each team, with needs in the given order."""
    merged: dict[TeamName, TeamDemand] = {}
    for request in requests:
        for demand in request.demands:
            known = merged.get(demand.team)
            if known is not None:
                demand = TeamDemand(
                    team=demand.team,
                    needs=known.needs + demand.needs,
                    ahead_units=known.ahead_units + demand.ahead_units,
                    returned=known.returned + demand.returned,
                    settled=known.settled + demand.settled,
                    overdrawn_units=known.overdrawn_units
                    + demand.overdrawn_units,
                )
            merged[demand.team] = demand
    return tuple(merged.values())


class CreditSplitter:
    """Divides the answers to merged demands among those that asked."""

    def __init__(
        self, demands: tuple[TeamDemand, ...], credits: tuple[TeamCredit, ...]
    ) -> None:
        self._credits = {credit.team: credit for credit in credits}
        self._taken: dict[TeamName, int] = {}
        self._ahead_shares = {
            demand.team: min(1.0, credit.ahead_units / demand.ahead_units)
            if demand.ahead_units
            else 0.0
            for demand, credit in zip(demands, credits, strict=True)
        }

    def take(self, demand: TeamDemand) -> TeamCredit:
        """Return the part of one demand; in the order of the merge."""
        team = demand.team
        start = self._taken.get(team, 0)
        end = self._taken[team] = start + len(demand.needs)
        return TeamCredit(
            team=team,
            waits_ms=self._credits[team].waits_ms[start:end],
            ahead_units=demand.ahead_units * self._ahead_shares[team],
        )
