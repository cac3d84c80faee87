"""Charges requests of teams to credit that is leased from the leader."""

from collections.abc import Callable
from datetime import timedelta
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas import instruments
from dotterelbridge.quotas.channel import CreditChannel
from dotterelbridge.quotas.errors import QuotaExceeded
from dotterelbridge.quotas.errors import QuotaUnavailable
from dotterelbridge.quotas.events import QuotaEvent
from dotterelbridge.quotas.limits import is_limited
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.team_account import OUTAGE_LIMIT_S
from dotterelbridge.quotas.team_account import Order
from dotterelbridge.quotas.team_account import TeamAccount
from dotterelbridge.quotas.team_account import Waiter
from dotterelbridge.teams.model import Team

_log = structlog.get_logger(__name__)

MAX_WAIT = timedelta(milliseconds=150)
"""Longest time that a request waits for credit."""
_MESSAGE_INTERVAL = timedelta(milliseconds=2)
"""Time between two messages. The next one does not wait for the answer to the
last, which may take longer than a request may wait."""
_TICK_S = 0.25
"""Longest time until outages and unused credit are looked for."""
_ANSWER_LIMIT_S = 0.15
"""Time without an answer after which no leader is taken to answer."""
_PROBE_INTERVAL_S = 0.1
"""Time between two messages while no leader answers."""
_UNAVAILABLE_RETRY_S = 0.4
"""Longest Retry-After while no leader answers; an election takes 1 to 2 s."""
_RETRY_SPREAD = 0.5
"""Random part added to the Retry-After of refused requests."""
_MIN_RETRY_S = 0.05
_RETENTION_S = 60.0
"""Time after its last request for which an account is kept."""

_UNAVAILABLE = CreditReply(is_available=False)


class Charge:
    """A request that was charged to its team."""

    def __init__(
        self, on_refund: Callable[[], None] | None, waited_s: float = 0.0
    ) -> None:
        self._on_refund = on_refund
        self.waited_s = waited_s
        """Time that the request waited for credit."""

    def refund(self) -> None:
        """Give the credit back, as the request has not run and will not."""
        on_refund, self._on_refund = self._on_refund, None
        if on_refund is not None:
            on_refund()


class QuotaAccounts(Dumpable):
    """The accounts of all teams on one entry VM."""

    def __init__(
        self,
        channel: CreditChannel,
        count_vms: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the accounts, without credit.

        :param count_vms: returns the number of entry VMs, or 0 if unknown.
        """
        self._channel = channel
        self._count_vms = count_vms
        self._clock = clock
        self._random = rng
        self._accounts: dict[TeamName, TeamAccount] = {}
        self._wake = anyio.Event()
        self._unanswered: dict[int, float] = {}
        """Times at which messages without an answer were sent."""
        self._message_count = 0
        self._failing_since: float | None = None
        """Time at which the first message without an answer was sent."""
        self._answered_sent_at = float("-inf")
        """Time at which the latest answered message was sent."""
        self._next_probe_at = float("-inf")

    async def charge(
        self, team: Team, units: float, max_wait: timedelta
    ) -> Charge:
        """Charge a request, and wait for credit if there is none.

        :raises QuotaExceeded: the team has used its quota.
        :raises QuotaUnavailable: no leader answers.
        """
        quota = team.quota
        if quota is None or not is_limited(quota):
            return Charge(None)
        now = self._clock.monotonic()
        account = self._accounts.get(team.name)
        if account is None:
            account = self._accounts[team.name] = TeamAccount(
                self._random, now
            )
        account.record_demand(units, now)
        if not account.has_waiters:
            issued_at = account.spend(units, now)
            if issued_at is not None:
                if account.needs_message(now):
                    self._wake.set()
                return self._create_charge(team, account, units, issued_at)
        self._wake.set()
        if self._find_outage(now) is not None:
            return self._charge_overdraft(team, account, units)
        return await self._wait_for_credit(
            team, account, units, min(max_wait, MAX_WAIT)
        )

    async def run(self) -> None:
        """Exchange credit with the leader until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                with anyio.move_on_after(self._find_tick_s()):
                    await self._wake.wait()
                self._wake = anyio.Event()
                now = self._clock.monotonic()
                is_probe = self._find_outage(now) is not None
                if not is_probe or now >= self._next_probe_at:
                    self._next_probe_at = now + _PROBE_INTERVAL_S
                    self._send(group, now, is_probe)
                await self._clock.sleep(_MESSAGE_INTERVAL)

    def _find_tick_s(self) -> float:
        now = self._clock.monotonic()
        times = [a.find_return_s(now) for a in self._accounts.values()]
        return min((t for t in times if t is not None), default=_TICK_S)

    def dump(self) -> dict[str, Any]:
        """Return the credit held, by team."""
        now = self._clock.monotonic()
        outage = self._find_outage(now)
        return {
            "unanswered_s": 0.0 if outage is None else now - outage,
            "entry_vms": self._count_vms(),
            "teams": {
                name: account.dump(now)
                for name, account in self._accounts.items()
            },
        }

    async def _wait_for_credit(
        self,
        team: Team,
        account: TeamAccount,
        units: float,
        max_wait: timedelta,
    ) -> Charge:
        started_at = self._clock.monotonic()
        waiter = Waiter(units, started_at + max_wait.total_seconds())
        account.add_waiter(waiter)
        try:
            with anyio.move_on_after(max_wait.total_seconds()):
                await waiter.decided.wait()
        except BaseException:
            account.remove_waiter(waiter)
            if waiter.is_charged:
                account.put_back(
                    units, waiter.issued_at, self._clock.monotonic()
                )
            raise
        account.remove_waiter(waiter)
        waited_s = self._clock.monotonic() - started_at
        instruments.waits.record(waited_s)
        if waiter.is_charged:
            return self._create_charge(
                team, account, units, waiter.issued_at, waited_s
            )
        if waiter.refused_for_s is not None:
            raise self._refuse(team, units, waiter.refused_for_s)
        return self._charge_overdraft(team, account, units, waited_s)

    def _create_charge(
        self,
        team: Team,
        account: TeamAccount,
        units: float,
        issued_at: float,
        waited_s: float = 0.0,
        verdict: str = "charged",
    ) -> Charge:
        instruments.count(team.name, verdict, units)

        def refund() -> None:
            instruments.count(team.name, "refunded", units)
            now = self._clock.monotonic()
            account.put_back(units, issued_at, now)
            account.serve_waiters(now)

        return Charge(refund, waited_s)

    def _charge_overdraft(
        self,
        team: Team,
        account: TeamAccount,
        units: float,
        waited_s: float = 0.0,
    ) -> Charge:
        """Charge a request without credit, as far as this VM may."""
        now = self._clock.monotonic()
        outage = self._find_outage(now)
        vm_count = self._count_vms()
        if (
            vm_count > 0
            and (outage is None or now - outage < OUTAGE_LIMIT_S)
            and account.overdraw(units, team.quota, vm_count, outage, now)
        ):
            return self._create_charge(
                team, account, units, now, waited_s, "overdrawn"
            )
        instruments.count(team.name, "unavailable", units)
        raise QuotaUnavailable(
            f"the quota of team {team.name!r} could not be checked in time",
            "send the request again",
            timedelta(
                seconds=self._random.uniform(
                    _MIN_RETRY_S, _UNAVAILABLE_RETRY_S
                )
            ),
            units,
        )

    def _refuse(
        self, team: Team, units: float, wait_s: float
    ) -> QuotaExceeded:
        instruments.count(team.name, "refused", units)
        spread = 1 + self._random.random() * _RETRY_SPREAD
        return QuotaExceeded(
            f"team {team.name!r} has used its quota",
            "send the request again later, or ask for a higher quota",
            timedelta(seconds=max(_MIN_RETRY_S, wait_s) * spread),
            units,
        )

    def _find_outage(self, now: float) -> float | None:
        """Return since when no leader answers, or None if one does."""
        if self._failing_since is not None:
            return self._failing_since
        oldest = min(self._unanswered.values(), default=now)
        return oldest if now - oldest > _ANSWER_LIMIT_S else None

    def _send(self, group: TaskGroup, now: float, is_probe: bool) -> None:
        orders: list[tuple[TeamAccount, Order]] = []
        for name, account in list(self._accounts.items()):
            order = account.create_order(name, now, is_probe)
            if order is not None:
                orders.append((account, order))
            elif now - account.used_at > _RETENTION_S and account.is_idle():
                del self._accounts[name]
        if orders or is_probe:
            group.start_soon(self._exchange, group, orders)

    async def _exchange(
        self, group: TaskGroup, orders: list[tuple[TeamAccount, Order]]
    ) -> None:
        """Send one message and apply the answer."""
        self._message_count += 1
        number = self._message_count
        sent_at = self._clock.monotonic()
        self._unanswered[number] = sent_at
        request = CreditRequest(
            demands=tuple(order.demand for _, order in orders)
        )
        try:
            reply = await self._channel.request(request)
        except PeerError:
            reply = _UNAVAILABLE
        finally:
            self._unanswered.pop(number, None)
        if not reply.is_available or len(reply.credits) != len(orders):
            self._record_failure(sent_at)
            for account, order in orders:
                account.fail_order(order)
            return
        self._record_answer(sent_at)
        now = self._clock.monotonic()
        for (account, order), credit in zip(
            orders, reply.credits, strict=True
        ):
            if account.apply_credit(order, credit, now):
                events.log(_log, QuotaEvent.TEAM_OVER_QUOTA, team=credit.team)
            group.start_soon(self._serve, account)

    async def _serve(self, account: TeamAccount) -> None:
        """Charge waiting requests as their credit becomes usable."""
        while True:
            delay_s = account.serve_waiters(self._clock.monotonic())
            if delay_s is None:
                return
            await self._clock.sleep(timedelta(seconds=delay_s))

    def _record_failure(self, sent_at: float) -> None:
        if sent_at <= self._answered_sent_at:
            return
        if self._failing_since is None:
            events.log(_log, QuotaEvent.ISSUER_LOST)
            self._failing_since = sent_at
        self._failing_since = min(self._failing_since, sent_at)

    def _record_answer(self, sent_at: float) -> None:
        """Record an answer, which makes earlier failures irrelevant."""
        self._answered_sent_at = max(self._answered_sent_at, sent_at)
        for number, other_sent_at in list(self._unanswered.items()):
            if other_sent_at <= sent_at:
                del self._unanswered[number]
        if self._failing_since is not None:
            events.log(_log, QuotaEvent.ISSUER_REACHED)
            self._failing_since = None
