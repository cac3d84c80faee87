"""Simulation of the quotas of many entry VMs, on virtual time.

The accounts of all entry VMs and the services of all control VMs run in one
process, on a network that delays messages as in the deployments: two failure
domains in each of three regions.
"""

import abc
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import random
from typing import NamedTuple

import anyio
import msgspec

from dotterelbridge.fleet.credit_channel import SourceCreditChannel
from dotterelbridge.ids import TeamName
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.quotas.account import Charge
from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.quotas.errors import QuotaRefused
from dotterelbridge.quotas.service import CreditService
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.teams.model import Team
from standins.network import StandinNetwork
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.quotas.support import create_team
from tests.routes.support import activate_route_set
from tests.routes.support import create_route_set

SETTINGS = QuotasSettings()
DOMAIN_COUNT = 6
REGION_COUNT = 3
REGION_DELAY_S = 0.0009
FAR_DELAY_S = 0.02
REQUESTS_PER_VM_S = 2.5
USUAL_PERCENT = 55
"""Usual demand of a team, in percent of its rate."""
SMALL_RATE = 1900.0
PLAIN_UNITS = 200.0
SETTLE_S = 12.0
"""Time from the start until the first request."""
LEASE_S = 1.0
"""Time for which a leader that is cut off still holds its lease."""
ELECTION_S = 1.5
ATTACHED_LAG_S = 2.0
"""Time after which the leader leaves out VMs that are cut off."""
SOURCE_SWITCH_S = 1.0
"""Time after which an entry VM gives up a control VM."""


class Kind(NamedTuple):
    """A kind of request, as on the routes of deployment R."""

    weight: float
    units: float
    max_wait_ms: int


KINDS = (
    Kind(0.35, 995, 81),
    Kind(0.30, 433, 81),
    Kind(0.25, 200, 46),
    Kind(0.10, 2000, 150),
)
_MEAN_UNITS = sum(kind.weight * kind.units for kind in KINDS)


class Use(NamedTuple):
    """A request that ran."""

    at: float
    team: TeamName
    units: float


class Tally(msgspec.Struct):
    """What became of the requests of one team."""

    arrived: int = 0
    below: int = 0
    """Requests that one bucket with the team's rate and burst admits."""
    below_refused: int = 0
    below_units: float = 0.0
    ran_units: float = 0.0
    refusals: Counter = msgspec.field(default_factory=Counter)


class RegionNetwork(StandinNetwork):
    """Delays messages by the regions of sender and receiver."""

    def __init__(self, vms, region_by_vm: dict[VmId, int], seed: int) -> None:
        super().__init__(vms, seed)
        self._region_by_vm = region_by_vm
        self._is_far = False
        self.bytes_by_vm: Counter[VmId] = Counter()
        self.messages_by_vm: Counter[VmId] = Counter()

    def transmit(self, sender, destination, data) -> None:
        source = sender.own_id
        for vm in (source, destination):
            self.bytes_by_vm[vm] += len(data)
            self.messages_by_vm[vm] += 1
        regions = self._region_by_vm
        self._is_far = regions[source] != regions[destination]
        super().transmit(sender, destination, data)

    def _choose_delay(self) -> float:
        delay = FAR_DELAY_S if self._is_far else REGION_DELAY_S
        return delay + super()._choose_delay() * 0.5


class ChargePolicy(abc.ABC):
    """How the entry VMs decide which requests run."""

    @abc.abstractmethod
    async def charge(
        self, vm: int, team: Team, units: float, max_wait: timedelta
    ) -> Charge:
        """Charge a request that arrived at a VM.

        :raises QuotaRefused: it must not run.
        """


class _Follower:
    """Chooses a source as an entry VM does."""

    def __init__(self, fleet: "LeasedCredit", vm: int) -> None:
        self._fleet = fleet
        self._domain = vm % DOMAIN_COUNT

    @property
    def source(self) -> VmId | None:
        for step in range(DOMAIN_COUNT):
            control = name_control((self._domain + step) % DOMAIN_COUNT)
            if self._fleet.is_usable(control, self._domain):
                return control
        return None


class LeasedCredit(ChargePolicy):
    """The product's parts."""

    def __init__(self, vm_count: int, teams: list[Team], seed: int) -> None:
        self.vm_count = vm_count
        self.teams = teams
        self._seed = seed
        controls = [name_control(i) for i in range(DOMAIN_COUNT)]
        self.controls = controls
        regions = {
            control: find_region(i) for i, control in enumerate(controls)
        } | {name_entry(i): find_region(i) for i in range(vm_count)}
        self.network = RegionNetwork(regions, regions, seed)
        self.clock = LoopClock(offset_s=1000.0)
        self.leader: VmId | None = controls[0]
        self.term = Term(1)
        self._lease_until: dict[VmId, float] = {}
        self._cut_off_at: dict[VmId, float] = {}
        """Times at which control VMs were cut off or stopped."""
        self._cut_domains: set[int] = set()
        self._scopes: dict[VmId, anyio.CancelScope] = {}
        self._routes = {}
        self.accounts: dict[int, QuotaAccounts] = {}
        self._group = None

    def start(self, group) -> None:
        self._group = group
        for control in self.controls:
            self.start_control(control)
        for vm in range(self.vm_count):
            self.start_entry(vm)

    def start_control(self, control: VmId) -> None:
        self._cut_off_at.pop(control, None)
        self._routes[control] = activate_route_set(
            msgspec.structs.replace(
                create_route_set(), teams=tuple(self.teams)
            )
        )
        service = CreditService(
            self.network.join(control),
            self.clock,
            random.Random(f"{self._seed}{control}"),
            SETTINGS,
            self._routes[control],
            lambda: self._get_led_term(control),
            lambda: self.leader,
            self._find_attached_share,
        )
        self._run(control, service.run)

    def start_entry(self, vm: int) -> None:
        """Start or restart an entry VM."""
        name = name_entry(vm)
        channel = SourceCreditChannel(
            self.network.join(name), _Follower(self, vm)
        )
        self.accounts[vm] = QuotaAccounts(
            channel,
            lambda: self.vm_count,
            self.clock,
            random.Random(self._seed * 1000 + vm),
        )
        self._run(name, self.accounts[vm].run)

    async def charge(self, vm, team, units, max_wait):
        return await self.accounts[vm].charge(team, units, max_wait)

    def is_usable(self, control: VmId, domain: int) -> bool:
        """Whether an entry VM of a domain takes a control VM as a source."""
        now = self.clock.monotonic()
        cut_off_at = self._cut_off_at.get(control)
        if cut_off_at is not None and now - cut_off_at > SOURCE_SWITCH_S:
            is_own = self.controls.index(control) == domain
            return domain in self._cut_domains and is_own
        return True

    async def kill_leader(self) -> None:
        """End the leader's process, elect another, restart the first."""
        killed = self.leader
        self._stop(killed)
        await self._elect()
        await anyio.sleep(1)
        self.start_control(killed)

    async def cut_off_leader(self, duration_s: float) -> None:
        """Cut the leader's VM off; it leads until its lease is over."""
        cut_off = self.leader
        now = self.clock.monotonic()
        self._cut_off_at[cut_off] = now
        self._lease_until[cut_off] = now + LEASE_S
        self.network.isolate([cut_off])
        await self._elect()
        await anyio.sleep(duration_s)
        self.network.restore_links()
        self._cut_off_at.pop(cut_off, None)
        self._lease_until.pop(cut_off, None)

    async def cut_off_domains(self, domains, duration_s: float) -> None:
        """Cut domains off, with their control and entry VMs."""
        now = self.clock.monotonic()
        inside = [name_control(domain) for domain in domains]
        for control in inside:
            self._cut_off_at[control] = now
        self._cut_domains.update(domains)
        entries = [
            name_entry(vm)
            for vm in range(self.vm_count)
            if vm % DOMAIN_COUNT in domains
        ]
        self.network.isolate(inside + entries)
        if self.leader in inside:
            self._lease_until[self.leader] = now + LEASE_S
            await self._elect()
        await anyio.sleep(duration_s)
        self.network.restore_links()
        self._cut_domains.difference_update(domains)
        for control in inside:
            self._cut_off_at.pop(control, None)
            self._lease_until.pop(control, None)

    async def set_teams(self, teams: list[Team], spread_s: float) -> None:
        """Activate changed teams on one control VM after the other."""
        self.teams = teams
        for version, control in enumerate(self.controls, start=2):
            route_set = msgspec.structs.replace(
                create_route_set(version), teams=tuple(teams)
            )
            packed = activate_route_set(route_set).packed
            self._routes[control].activate(packed)
            await anyio.sleep(spread_s / DOMAIN_COUNT)

    def _find_attached_share(self) -> float:
        now = self.clock.monotonic()
        lost = {
            domain
            for domain in self._cut_domains
            if now - self._cut_off_at[name_control(domain)] > ATTACHED_LAG_S
        }
        lost_vms = sum(v % DOMAIN_COUNT in lost for v in range(self.vm_count))
        return 1 - lost_vms / self.vm_count

    def _get_led_term(self, control: VmId) -> Term | None:
        if control == self.leader:
            return self.term
        now = self.clock.monotonic()
        if now < self._lease_until.get(control, 0.0):
            return Term(self.term)
        return None

    async def _elect(self) -> None:
        former, self.leader = self.leader, None
        await anyio.sleep(ELECTION_S)
        self.term = Term(self.term + 1)
        start = self.controls.index(former)
        for step in range(1, DOMAIN_COUNT):
            control = self.controls[(start + step) % DOMAIN_COUNT]
            if control not in self._cut_off_at:
                self.leader = control
                return

    def _run(self, vm: VmId, run: Callable[[], Awaitable[None]]) -> None:
        if vm in self._scopes:
            self._scopes[vm].cancel()
        scope = self._scopes[vm] = anyio.CancelScope()

        async def run_in_scope() -> None:
            with scope:
                await run()

        self._group.start_soon(run_in_scope)

    def _stop(self, control: VmId) -> None:
        self._cut_off_at[control] = self.clock.monotonic()
        self.network.leave(control)
        self._scopes[control].cancel()


class Day:
    """Callers of all teams, and what became of their requests."""

    def __init__(
        self, policy: ChargePolicy, teams: list[Team], vm_count: int, seed: int
    ) -> None:
        self.policy = policy
        self.teams = teams
        self.vm_count = vm_count
        self.clock = LoopClock()
        self.uses: list[Use] = []
        self.tallies = {team.name: Tally() for team in teams}
        self.factors = {team.name: 1.0 for team in teams}
        """Demand of each team, as a multiple of the usual."""
        self.weights = [1.0] * vm_count
        """Demand of each VM, relative to the others."""
        self.refund_share = 0.02
        self.refund_delay_s = 0.5
        self.waits_s: list[float] = []
        self._random = random.Random(seed)
        self._levels = {t.name: t.quota.burst for t in teams}
        self._levelled_at = {t.name: 0.0 for t in teams}

    async def run(self, duration_s: float) -> None:
        """Let requests of all teams arrive for a time."""
        end = self.clock.monotonic() + duration_s
        async with anyio.create_task_group() as group:
            for team in self.teams:
                group.start_soon(self._run_callers, group, team, end)

    async def _run_callers(self, group, team: Team, end: float) -> None:
        usual = team.quota.units_per_s * USUAL_PERCENT / 100 / _MEAN_UNITS
        while True:
            rate = usual * self.factors[team.name]
            await anyio.sleep(self._random.expovariate(rate))
            if self.clock.monotonic() >= end:
                return
            group.start_soon(self._run_request, team)

    async def _run_request(self, team: Team) -> None:
        (kind,) = self._random.choices(KINDS, [kind.weight for kind in KINDS])
        tally = self.tallies[team.name]
        tally.arrived += 1
        is_below = self._fits_one_bucket(team, kind.units)
        if is_below:
            tally.below += 1
            tally.below_units += kind.units
        retry_after = await self._attempt(team, kind)
        if retry_after is None:
            return
        tally.below_refused += is_below
        await anyio.sleep(retry_after.total_seconds())
        await self._attempt(team, kind)

    async def _attempt(self, team: Team, kind: Kind) -> timedelta | None:
        (vm,) = self._random.choices(range(self.vm_count), self.weights)
        max_wait = timedelta(milliseconds=kind.max_wait_ms)
        started_at = self.clock.monotonic()
        try:
            charge = await self.policy.charge(vm, team, kind.units, max_wait)
        except QuotaRefused as error:
            self.tallies[team.name].refusals[type(error).__name__] += 1
            return error.retry_after
        now = self.clock.monotonic()
        self.waits_s.append(now - started_at)
        if self._random.random() < self.refund_share:
            await anyio.sleep(self.refund_delay_s)
            charge.refund()
            return None
        self.uses.append(Use(now, team.name, kind.units))
        self.tallies[team.name].ran_units += kind.units
        return None

    def _fits_one_bucket(self, team: Team, units: float) -> bool:
        now = self.clock.monotonic()
        quota = team.quota
        level = min(
            quota.burst,
            self._levels[team.name]
            + (now - self._levelled_at[team.name]) * quota.units_per_s,
        )
        self._levelled_at[team.name] = now
        fits = level >= units
        self._levels[team.name] = level - units if fits else level
        return fits

    def find_highest_use(self, team: TeamName, start: float = 0.0) -> float:
        """Return the most units that ran in a window after a time."""
        uses = [u for u in self.uses if u.team == team and u.at >= start]
        highest = total = 0.0
        first = 0
        for use in uses:
            total += use.units
            while uses[first].at < use.at - SETTINGS.window_s:
                total -= uses[first].units
                first += 1
            highest = max(highest, total)
        return highest

    def find_refused_share(self) -> float:
        """Return the part that was refused of what was below the quotas."""
        tallies = self.tallies.values()
        below = sum(tally.below for tally in tallies)
        return sum(t.below_refused for t in tallies) / max(1, below)


def find_allowed(team: Team) -> float:
    """Return the units that a team may use in a window."""
    quota = team.quota
    whole = quota.units_per_s * SETTINGS.window_s + quota.burst
    return whole * (1 + SETTINGS.excess_fraction) + SETTINGS.slack_units


def create_teams(vm_count: int) -> list[Team]:
    """Return a few large teams and small ones, as many as demand allows."""
    total = vm_count * REQUESTS_PER_VM_S * _MEAN_UNITS
    total /= USUAL_PERCENT / 100
    small_count = min(12, max(2, int(total / SMALL_RATE / 4)))
    large = total - small_count * SMALL_RATE
    rates = [large * part for part in (0.45, 0.3, 0.15, 0.1)]
    rates += [SMALL_RATE] * small_count
    return [
        create_team(
            max(rate, SMALL_RATE),
            max(rate, SMALL_RATE),
            f"team{i}",
            plain_units=PLAIN_UNITS,
        )
        for i, rate in enumerate(rates)
    ]


def run_day(
    vm_count: int,
    script: Callable[[LeasedCredit, Day], Awaitable[None]] | None = None,
    duration_s: float = 30.0,
    seed: int = 1,
    prepare: Callable[[LeasedCredit, Day], None] | None = None,
    create_policy: Callable[..., ChargePolicy] = LeasedCredit,
) -> tuple[ChargePolicy, Day]:
    """Run callers and a script of faults, and return what became of them."""
    teams = create_teams(vm_count)

    async def run() -> tuple[ChargePolicy, Day]:
        policy = create_policy(vm_count, teams, seed)
        day = Day(policy, teams, vm_count, seed)
        if prepare is not None:
            prepare(policy, day)
        async with anyio.create_task_group() as group:
            policy.start(group)
            await anyio.sleep(SETTLE_S)
            async with anyio.create_task_group() as callers:
                callers.start_soon(day.run, duration_s)
                if script is not None:
                    callers.start_soon(script, policy, day)
            group.cancel_scope.cancel()
        if isinstance(policy, LeasedCredit):
            await policy.network.close()
            assert not policy.network.handler_errors
        return policy, day

    return run_in_virtual_time(run)


def name_control(domain: int) -> VmId:
    return VmId(f"control{domain}")


def name_entry(vm: int) -> VmId:
    return VmId(f"entry{vm}")


def find_region(index: int) -> int:
    return index % DOMAIN_COUNT % REGION_COUNT
