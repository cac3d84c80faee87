"""Simulation of many entry VMs in front of targets that name rate limits.

The routers of all VMs, and the parts of control VMs that share limits and
issue permits, run in one process on virtual time, without network.
"""

import abc
import bisect
from collections import Counter
from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import RequestRefused
from dotterelbridge.fleet.feed import FleetFeed
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.permit_channel import SourceChannel
from dotterelbridge.fleet.rate_limit_recorder import RateLimitRecorder
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.permits.broadcaster import RateLimitBroadcaster
from dotterelbridge.permits.leader_channel import LeaderChannel
from dotterelbridge.permits.limiter import create_rate_limiter
from dotterelbridge.permits.service import PermitService
from dotterelbridge.quarantine.guard import create_lone_crash_guard
from dotterelbridge.replication.contact import LeaderContact
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Outcome
from dotterelbridge.targets.settings import TargetsSettings
from standins.network import StandinNetwork
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from tests.fleet.support import create_quarantine
from tests.fleet.support import create_target
from tests.gateway.test_router import RouterHarness
from tests.routes.support import activate_route_set
from tests.routes.support import create_route
from tests.routes.support import create_route_set
from tests.serving.fakes import DOMAIN
from tests.serving.fakes import REGION
from tests.serving.fakes import FakeMembership
from tests.serving.fakes import FakeSheet
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row

RATE_LIMIT_HEADER = b"dotterelbridge-rate-limit"
NETWORK_DELAY_S = 0.01
REGION_DELAY_S = 0.02
SLOTS = 64
DOMAIN_COUNT = 3
SETTLE_S = 2.5
"""Time from the start until the first request: the first leader waits."""
CONTACT_S = 4.0
"""Time after a target has first named its limit from which it must hold."""
WINDOW_S = 4.0
TOLD_DELAY_S = 0.5
"""Time after an answer with a limit from which its VM counts as told."""
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def find_allowed(requests_per_s: float) -> float:
    """Return the requests that a target may get in a window."""
    return ALLOWED_FACTOR * requests_per_s * WINDOW_S + ALLOWED_EXTRA


class SimulatedTarget:
    """Serves what it gets, and names a rate limit from a time on."""

    def __init__(self, name: str, service_s: float) -> None:
        self.name = name
        self.service_s = service_s
        self.limits: list[tuple[float, float | None]] = [(0.0, None)]
        """Times in seconds from which each limit is named, ascending."""
        self.arrivals: list[tuple[float, int]] = []
        """Time and VM of each request."""
        self.told_at: dict[int, float] = {}
        """Time of the first answer with a limit, by VM."""

    def name_limit(self, at: float, requests_per_s: float | None) -> None:
        self.limits.append((at, requests_per_s))

    def find_limit(self, now: float) -> float | None:
        return [limit for at, limit in self.limits if at <= now][-1]

    def count_highest(
        self, start: float, end: float, only_told: bool = False
    ) -> int:
        """Return the most requests in a window between two times.

        :param only_told: counts only VMs that the target has told its limit.
        """
        times = [
            at
            for at, vm in self.arrivals
            if start <= at <= end
            and (
                not only_told or at >= self.told_at.get(vm, at) + TOLD_DELAY_S
            )
        ]
        return max(
            (
                bisect.bisect_right(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def count_arrivals(self, start: float, end: float) -> int:
        return sum(start <= at < end for at, _ in self.arrivals)


class SimulatedVm(abc.ABC):
    """An entry VM with one of the product's two routers."""

    router: object

    def __init__(self) -> None:
        self.request_scopes: set[anyio.CancelScope] = set()

    @abc.abstractmethod
    async def run(self) -> None:
        """Run the VM until cancelled."""

    @abc.abstractmethod
    def create_call(self, **fields):
        """Return a request that has just arrived."""

    @abc.abstractmethod
    def release(self, slot) -> None:
        """Release the slot of an answered request."""

    @abc.abstractmethod
    def get_target_name(self, slot) -> str:
        """Return the name of the slot's target."""


class SimulatedControl:
    """A control VM: feed, record of limits, and permits."""

    def __init__(self, network: StandinNetwork, vm: VmId, seed: int) -> None:
        clock = LoopClock()
        rng = random.Random(seed)
        settings = FleetSettings()
        self.vm = vm
        self.led_term: Term | None = None
        self.leader: VmId | None = None
        self.fleet_state = FleetState(clock)
        endpoint = network.join(vm)
        routes = activate_route_set(create_route_set(1))
        quarantine = create_quarantine(vm)
        self._settings = settings
        self.feed = FleetFeed(
            endpoint,
            self.fleet_state,
            routes,
            quarantine,
            settings,
            clock,
            self._get_detached_ms,
            lambda: (),
        )
        self.follower = FleetFollower(
            endpoint,
            self.fleet_state,
            routes,
            quarantine,
            settings,
            clock,
            rng,
            self._list_sources,
            self.feed.count_entry_vms,
        )
        self.service = PermitService(
            endpoint,
            clock,
            rng,
            lambda: self.led_term,
            lambda: self.leader,
            self.feed.find_attached_share,
        )
        RateLimitRecorder(
            endpoint,
            self.fleet_state,
            clock,
            lambda: self.led_term,
            lambda: self.leader,
            self._is_detached,
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self.follower.run)
            group.start_soon(self.service.run)

    def _list_sources(self) -> list[VmId]:
        if self.leader is None or self.leader == self.vm:
            return []
        return [self.leader]

    def _get_detached_ms(self) -> int:
        self.feed.deployment_entry_vm_count = self.follower.entry_vm_count
        if self.led_term is not None:
            return 0
        return self.follower.contact.detached_ms()

    def _is_detached(self) -> bool:
        return self._get_detached_ms() > self._settings.detached_limit_ms


class GatewayVm(SimulatedVm):
    """An entry VM that serves by routes."""

    def __init__(
        self, network: StandinNetwork, number: int, seed: int
    ) -> None:
        super().__init__()
        clock = LoopClock()
        rng = random.Random(seed)
        fleet_state = FleetState(clock)
        quarantine = create_quarantine()
        endpoint = network.join(name_entry_vm(number))
        self._follower = FleetFollower(
            endpoint,
            fleet_state,
            activate_route_set(create_route_set(1)),
            quarantine,
            FleetSettings(),
            clock,
            rng,
            lambda: rank_control_vms(number),
            lambda: 1,
        )
        self.limiter = create_rate_limiter(
            SourceChannel(endpoint, self._follower, FleetSettings()),
            lambda: self._follower.entry_vm_count,
            clock,
            rng,
        )
        self.harness = RouterHarness(
            vm_count=DOMAIN_COUNT,
            seed=seed,
            fleet_state=fleet_state,
            limiter=self.limiter,
        )
        self.router = self.harness.router

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._follower.run)
            group.start_soon(self.router.run)

    def create_call(self, rank=1, **fields):
        call = self.harness.create_call()
        call.route = create_route("quotes", rank=rank, **fields)
        return call

    def release(self, slot) -> None:
        self.router.release(slot, AttemptOutcome.ANSWERED)

    def get_target_name(self, slot) -> str:
        return slot.view.target


class ListenerVm(SimulatedVm):
    """A VM that serves the product's own interface by a sheet."""

    def __init__(
        self, network: StandinNetwork, number: int, seed: int
    ) -> None:
        super().__init__()
        self._clock = LoopClock()
        rng = random.Random(seed)
        endpoint = network.join(name_entry_vm(number))
        voters = [name_entry_vm(n) for n in range(DOMAIN_COUNT)]
        self.led_term: Term | None = None
        self.leader: VmId | None = None
        self._service = PermitService(
            endpoint,
            self._clock,
            rng,
            lambda: self.led_term,
            lambda: self.leader,
            lambda vm_count: 1.0,
        )
        self._broadcaster = RateLimitBroadcaster(
            endpoint,
            self._clock,
            lambda: self.led_term,
            lambda: self.leader,
        )
        channel = LeaderChannel(
            endpoint,
            self._service,
            self._broadcaster,
            LeaderContact(endpoint, lambda: self.leader, voters, rng),
        )
        self.limiter = create_rate_limiter(
            channel, lambda: len(network.vms), self._clock, rng
        )
        self._broadcaster.subscribe(self.limiter.apply_shared)
        self.membership = FakeMembership()
        self._row = model_row(deadline_ms=2400)
        self.router = create_router(
            self.membership,
            FakeSheet((self._row,)),
            self._clock,
            RoutingSettings(),
            random.Random(seed),
            TargetsSettings(),
            DOMAIN,
            REGION,
            self.limiter,
            create_lone_crash_guard(self._clock),
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._service.run)
            group.start_soon(self._broadcaster.run)
            group.start_soon(self.router.run)

    def create_call(self, priority=Priority.NORMAL):
        now = self._clock.monotonic()
        call = Call(
            request_id=RequestId("r1"),
            row=self._row,
            priority=priority,
            started_at=now,
            deadline_at=now + self._row.deadline_ms / 1000,
        )
        self.router.record_arrival(call)
        return call

    def release(self, slot) -> None:
        self.router.record_tokens(slot, 1)
        self.router.release(slot, Outcome.SUCCEEDED)

    def get_target_name(self, slot) -> str:
        return slot.target.view.info.target


class SimulatedFleet(abc.ABC):
    """Entry VMs with a router each, and the targets that all of them see."""

    def __init__(self, vm_count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.vm_count = vm_count
        self.vms: list[SimulatedVm] = []
        self.targets: dict[str, SimulatedTarget] = {}
        self.outcomes: Counter[str] = Counter()
        self.refusals: list[tuple[float, float, float]] = []
        """Arrival, wait and Retry-After of each refused request, in s."""
        self.answered_ranks: Counter[int] = Counter()

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def add_target(self, name: str, service_s=0.5) -> SimulatedTarget:
        target = SimulatedTarget(name, service_s)
        self.targets[name] = target
        self.publish_target(name)
        return target

    @abc.abstractmethod
    def publish_target(self, name: str) -> None:
        """Make a target known to all VMs."""

    @abc.abstractmethod
    def start(self, tasks) -> None:
        """Start all VMs."""

    async def run(
        self, requests_per_s: float, duration_s: float, actions=(), **fields
    ) -> None:
        """Send requests at random times to random VMs.

        :param actions: pairs of a time in seconds and a function that is
            called then.
        :param fields: properties of the requests.
        """
        async with anyio.create_task_group() as background:
            self.start(background)
            for at, action in actions:
                background.start_soon(self._act_later, at, action)
            await anyio.sleep(SETTLE_S - self.now)
            async with anyio.create_task_group() as requests:
                ends_at = self.now + duration_s
                while self.now < ends_at:
                    await anyio.sleep(self.random.expovariate(requests_per_s))
                    vm = self.random.randrange(len(self.vms))
                    requests.start_soon(self.send_request, vm, fields)
            background.cancel_scope.cancel()

    async def _act_later(self, at: float, action) -> None:
        await anyio.sleep(at - self.now)
        action()

    async def send_request(self, vm_index: int, fields) -> bool:
        """Send one request by way of a VM; return whether it was answered."""
        vm = self.vms[vm_index]
        answered = False
        with anyio.CancelScope() as scope:
            vm.request_scopes.add(scope)
            answered = await self._send_request(vm, vm_index, fields)
        vm.request_scopes.discard(scope)
        return answered

    async def _send_request(self, vm, vm_index: int, fields) -> bool:
        call = vm.create_call(**fields)
        try:
            slot = await vm.router.acquire(call)
        except RequestRefused as error:
            self.outcomes["refused"] += 1
            waited_s = self.now - call.started_at
            self.refusals.append(
                (call.started_at, waited_s, error.retry_after.total_seconds())
            )
            return False
        target = self.targets[vm.get_target_name(slot)]
        sent_at = self.now
        await anyio.sleep(NETWORK_DELAY_S)
        target.arrivals.append((self.now, vm_index))
        limit = target.find_limit(self.now)
        await anyio.sleep(NETWORK_DELAY_S)
        headers = []
        if limit is not None:
            headers = [(RATE_LIMIT_HEADER, b"%.2f" % limit)]
            target.told_at.setdefault(vm_index, self.now)
        slot.client.record_answer_head(200, headers, sent_at, is_callers=True)
        await anyio.sleep(target.service_s)
        self.outcomes["answered"] += 1
        vm.release(slot)
        return True


def name_entry_vm(number: int) -> VmId:
    return VmId(f"f{number}")


def name_control_vm(domain: int) -> VmId:
    return VmId(f"c{domain}")


def find_domain(vm: VmId) -> int:
    return int(vm[1:]) % DOMAIN_COUNT


def rank_control_vms(number: int) -> list[VmId]:
    """Return the control VMs, the one of an entry VM's domain first."""
    return [
        name_control_vm((number + offset) % DOMAIN_COUNT)
        for offset in range(DOMAIN_COUNT)
    ]


class GatewayFleet(SimulatedFleet):
    """Entry VMs and one control VM in each of three failure domains."""

    def __init__(self, vm_count: int, seed: int = 1) -> None:
        super().__init__(vm_count, seed)
        names = [name_control_vm(n) for n in range(DOMAIN_COUNT)]
        names += [name_entry_vm(n) for n in range(vm_count)]
        self.network = create_standin_network(names, seed)
        self.network.conditions.delay_max_s = REGION_DELAY_S
        self.controls = [
            SimulatedControl(self.network, name_control_vm(n), seed + n)
            for n in range(DOMAIN_COUNT)
        ]
        self.vms = [
            GatewayVm(self.network, n, seed + n) for n in range(vm_count)
        ]
        self.leader_index = 0
        self.term = 0
        self.elect(0)

    def elect(self, index: int) -> None:
        """Make a control VM the leader."""
        self.term += 1
        self.leader_index = index
        for number, control in enumerate(self.controls):
            control.led_term = Term(self.term) if number == index else None
            control.leader = self.controls[index].vm

    def depose(self) -> None:
        """Leave all control VMs without a leader."""
        for control in self.controls:
            control.led_term = None
            control.leader = None

    def cut_off_domain(self, domain: int) -> None:
        """Cut all links between a domain and the others."""
        self.network.isolate(
            vm for vm in self.network.vms if find_domain(vm) == domain
        )
        if domain != self.leader_index:
            self.controls[domain].leader = None

    def heal(self) -> None:
        """Restore all links."""
        self.network.restore_links()
        for control in self.controls:
            control.leader = self.controls[self.leader_index].vm

    def publish_target(self, name: str, born: int = 1) -> None:
        state = self.controls[self.leader_index].fleet_state
        state.update(
            [
                create_target(
                    name,
                    held=["m0"],
                    slots=SLOTS,
                    born=born,
                    phase=TargetPhase.READY,
                )
            ]
        )
        state.mark_complete()

    def remove_target(self, name: str) -> None:
        state = self.controls[self.leader_index].fleet_state
        state.update((), [TargetId(name)])

    def restart_vm(self, number: int) -> None:
        """Replace a VM by one that knows nothing."""
        for scope in (self._scopes[number], *self.vms[number].request_scopes):
            scope.cancel()
        self.vms[number] = GatewayVm(self.network, number, 1000 + number)
        self._tasks.start_soon(self._run_vm, number)

    def start(self, tasks) -> None:
        self._tasks = tasks
        self._scopes = {}
        for control in self.controls:
            tasks.start_soon(control.run)
        for number in range(len(self.vms)):
            tasks.start_soon(self._run_vm, number)

    async def _run_vm(self, number: int) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[number] = scope
            await self.vms[number].run()


class ListenerFleet(SimulatedFleet):
    """VMs that serve the product's own interface."""

    def __init__(self, vm_count: int, seed: int = 1) -> None:
        super().__init__(vm_count, seed)
        names = [name_entry_vm(n) for n in range(vm_count)]
        self.network = create_standin_network(names, seed)
        self.network.conditions.delay_max_s = REGION_DELAY_S
        self.vms = [
            ListenerVm(self.network, n, seed + n) for n in range(vm_count)
        ]
        self._term = 0
        self.elect(0)

    def elect(self, index: int) -> None:
        """Make a voter the leader, which the other voters know."""
        self._term += 1
        for number, vm in enumerate(self.vms[:DOMAIN_COUNT]):
            vm.led_term = Term(self._term) if number == index else None
            vm.leader = name_entry_vm(index)

    def depose(self) -> None:
        """Leave all VMs without a leader."""
        for vm in self.vms:
            vm.led_term = None
            vm.leader = None

    def publish_target(self, name: str) -> None:
        for vm in self.vms:
            vm.membership.set(engine_view(name, 9))

    def start(self, tasks) -> None:
        for vm in self.vms:
            tasks.start_soon(vm.run)


WAIT_LIMIT = timedelta(seconds=2.4 * 0.4)
"""Longest time that a caller waits for a slot, with the default settings."""
