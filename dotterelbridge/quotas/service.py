"""Issues credit on the leader of the log, and passes requests on to it."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random
from typing import Any

import anyio
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
from dotterelbridge.quotas.issuer import KnownLevel
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.messages import TeamCredit
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.quotas.standby import StandbyIssuer
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import Team

_log = structlog.get_logger(__name__)

_CHECK_INTERVAL = timedelta(milliseconds=100)
_LEADER_TIMEOUT = timedelta(milliseconds=250)
"""Time for the leader to answer: five crossings of the slowest link and
back."""
_LEADER_PATIENCE = timedelta(milliseconds=70)
"""Time without an answer of the leader after which this VM issues credit by
itself; an answer from another region takes 40 ms."""
_LEVEL_LIFETIME_S = 4.0
"""Age up to which the level of a predecessor's bucket is of use."""
_PROBE_INTERVAL = timedelta(milliseconds=50)
_BATCH_INTERVAL = timedelta(milliseconds=10)
"""Time between two messages to the leader, which bounds its load by the
number of control VMs. The next message does not wait for the answer to the
last: an answer from another region takes 40 ms, which is nearly all the time
that a request may wait for credit."""
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

    def __init__(self, request: CreditRequest) -> None:
        self.request = request
        self.reply = _UNAVAILABLE
        self.answered = anyio.Event()

    def answer(self, reply: CreditReply) -> None:
        self.reply = reply
        self.answered.set()


class CreditService(Dumpable):
    """Answers requests for credit on the leader, or passes them on to it."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        settings: QuotasSettings,
        routes: ActiveRoutes,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
        get_share: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the service of a control VM.

        :param get_led_term: returns the term that this VM leads, with a
            valid lease, or None.
        :param get_share: returns the part of all entry VMs, from 0 to 1,
            that ask this VM.
        """
        self._network = network
        self._clock = clock
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        quotas = TeamQuotas(routes)
        self._issuer = CreditIssuer(
            clock, settings, quotas.find_quota, quotas.is_known
        )
        self._standby = StandbyIssuer(
            clock, rng, settings, quotas.find_quota, get_share
        )
        self._issuing_term: Term | None = None
        self._levels: dict[TeamName, KnownLevel] = {}
        self._pending: list[_Pending] = []
        self._has_pending = anyio.Event()
        network.register_handler(CreditRequest, self._handle_request)

    async def run(self) -> None:
        """Pass requests on to the leader until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_term)
            group.start_soon(self._watch_leader)
            while True:
                await self._has_pending.wait()
                self._has_pending = anyio.Event()
                batch, self._pending = self._pending, []
                group.start_soon(self._pass_on, batch)
                await self._clock.sleep(_BATCH_INTERVAL)

    def dump(self) -> dict[str, Any]:
        """Return the buckets of the leader; outdated on other VMs."""
        return {
            "term": self._issuing_term,
            "issues_by_itself": self._standby.is_active,
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
        if sender == self._get_leader():
            # Each of the two takes the other for the leader.
            return _UNAVAILABLE
        pending = _Pending(request)
        self._pending.append(pending)
        self._has_pending.set()
        await pending.answered.wait()
        return pending.reply

    def _decide(self, request: CreditRequest) -> CreditReply:
        return CreditReply(
            credits=tuple(map(self._issuer.decide, request.demands))
        )

    async def _pass_on(self, batch: list[_Pending]) -> None:
        demands = merge_demands(pending.request for pending in batch)
        reply = await self._ask_leader(CreditRequest(demands=demands))
        if not reply.is_available or len(reply.credits) != len(demands):
            for pending in batch:
                pending.answer(_UNAVAILABLE)
            return
        splitter = CreditSplitter(demands, reply.credits)
        for pending in batch:
            pending.answer(
                CreditReply(
                    credits=tuple(map(splitter.take, pending.request.demands))
                )
            )

    async def _ask_leader(self, request: CreditRequest) -> CreditReply:
        """Return the leader's decision, or this VM's own without a leader."""
        if self._check_leads():
            return self._decide(request)
        reply = _UNAVAILABLE
        if not self._standby.is_active:
            with anyio.move_on_after(_LEADER_PATIENCE.total_seconds()):
                reply = await self._send_to_leader(request)
        if reply.is_available:
            self._record_levels(reply)
            return reply
        self._standby.start()
        return self._standby.decide(request)

    def _record_levels(self, reply: CreditReply) -> None:
        """Note what the leader's buckets hold, should this VM succeed it."""
        now = self._clock.monotonic()
        for credit in reply.credits:
            self._levels[credit.team] = KnownLevel(credit.level_units, now)

    def _list_recent_levels(self) -> dict[TeamName, KnownLevel]:
        oldest = self._clock.monotonic() - _LEVEL_LIFETIME_S
        return {
            team: level
            for team, level in self._levels.items()
            if level.at >= oldest
        }

    async def _send_to_leader(self, request: CreditRequest) -> CreditReply:
        leader = self._get_leader()
        if leader is None or leader == self._network.own_id:
            return _UNAVAILABLE
        try:
            reply = await self._network.request(
                leader, request, _LEADER_TIMEOUT
            )
        except PeerError:
            return _UNAVAILABLE
        return reply if isinstance(reply, CreditReply) else _UNAVAILABLE

    async def _watch_leader(self) -> None:
        """Look for a leader while none answers, and tell it what was issued.

        Also on the new leader itself.
        """
        while True:
            await self._clock.sleep(_PROBE_INTERVAL)
            if not self._standby.is_active:
                continue
            request = CreditRequest(demands=self._standby.take_reports())
            if self._check_leads():
                reply = self._decide(request)
            else:
                reply = await self._send_to_leader(request)
            if reply.is_available:
                self._standby.stop()
            else:
                self._standby.restore_reports(request.demands)

    def _check_leads(self) -> bool:
        """Return whether this VM leads; a new leader starts anew."""
        term = self._get_led_term()
        if term is not None and term != self._issuing_term:
            self._issuer.restart(self._list_recent_levels())
            events.log(_log, QuotaEvent.ISSUING_STARTED, term=term)
        self._issuing_term = term
        return term is not None


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
