"""Simulation of many entry VMs in front of targets that name rate limits.

Routers of all VMs run in one process on virtual time, without network.
"""

import abc
import bisect
from collections import Counter
import random

import anyio

from dotterelbridge.errors import RequestRefused
from dotterelbridge.gateway.router import AttemptOutcome
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Outcome
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.targets.statements import read_statement
from standins.virtual_time import LoopClock
from tests.gateway.test_router import RouterHarness
from tests.serving.fakes import DOMAIN
from tests.serving.fakes import REGION
from tests.serving.fakes import FakeMembership
from tests.serving.fakes import FakeSheet
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row

RATE_LIMIT_HEADER = b"dotterelbridge-rate-limit"
LEAVING_HEADER = b"dotterelbridge-leaving"
NETWORK_DELAY_S = 0.01
SLOTS = 64
CONTACT_S = 4.0
"""Time after a target has first named its limit from which it must hold."""
WINDOW_S = 4.0
TOLD_DELAY_S = 0.5
"""Time after an answer with a limit from which its VM counts as told."""
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


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

    def count_highest(self, start: float, end: float, vms=None) -> int:
        """Return the most requests in a window between two times.

        :param vms: indices of the VMs that count; by default those that the
            target has told.
        """
        times = [
            at
            for at, vm in self.arrivals
            if start <= at <= end
            and (
                vm in vms
                if vms is not None
                else at >= self.told_at.get(vm, at) + TOLD_DELAY_S
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

    @abc.abstractmethod
    def update_target(self, name: str) -> None:
        """Add a target that is ready for all requests."""

    @abc.abstractmethod
    def create_call(self):
        """Return a request that has just arrived."""

    @abc.abstractmethod
    def release(self, slot) -> None:
        """Release the slot of an answered request."""

    @abc.abstractmethod
    def get_target_name(self, slot) -> str:
        """Return the name of the slot's target."""


class GatewayVm(SimulatedVm):
    """An entry VM that serves by routes."""

    def __init__(self, vm_count: int, seed: int) -> None:
        self._harness = RouterHarness(vm_count, seed)
        self.router = self._harness.router

    def update_target(self, name: str) -> None:
        self._harness.update_target(name, slots=SLOTS)

    def create_call(self):
        return self._harness.create_call()

    def release(self, slot) -> None:
        self.router.release(slot, AttemptOutcome.ANSWERED)

    def get_target_name(self, slot) -> str:
        return slot.view.target


class ListenerVm(SimulatedVm):
    """A VM that serves the product's own interface by a sheet."""

    def __init__(self, vm_count: int, seed: int) -> None:
        self._clock = LoopClock()
        self._membership = FakeMembership()
        self._row = model_row(deadline_ms=2400)
        self.router = create_router(
            self._membership,
            FakeSheet((self._row,)),
            self._clock,
            RoutingSettings(),
            random.Random(seed),
            TargetsSettings(),
            DOMAIN,
            REGION,
        )

    def update_target(self, name: str) -> None:
        self._membership.set(engine_view(name, 9))

    def create_call(self):
        now = self._clock.monotonic()
        call = Call(
            request_id=RequestId("r1"),
            row=self._row,
            priority=Priority.NORMAL,
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


class SimulatedFleet:
    """Entry VMs with a router each, and the targets that all of them see."""

    def __init__(self, create_vm, vm_count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.vms: list[SimulatedVm] = [
            create_vm(vm_count, seed + number) for number in range(vm_count)
        ]
        self.targets: dict[str, SimulatedTarget] = {}
        self.outcomes: Counter[str] = Counter()
        self.refusals: list[tuple[float, float, float]] = []
        """Arrival, wait and Retry-After of each refused request, in s."""

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def add_target(self, name: str, service_s=0.5) -> SimulatedTarget:
        target = SimulatedTarget(name, service_s)
        self.targets[name] = target
        for vm in self.vms:
            vm.update_target(name)
        return target

    async def run(self, requests_per_s: float, duration_s: float) -> None:
        """Send requests at random times to random VMs."""
        async with anyio.create_task_group() as background:
            for vm in self.vms:
                background.start_soon(vm.router.run)
            async with anyio.create_task_group() as requests:
                ends_at = self.now + duration_s
                while self.now < ends_at:
                    await anyio.sleep(self.random.expovariate(requests_per_s))
                    vm = self.random.randrange(len(self.vms))
                    requests.start_soon(self.send_request, vm)
            background.cancel_scope.cancel()

    async def send_request(self, vm_index: int) -> None:
        """Send one request by way of a VM."""
        vm = self.vms[vm_index]
        call = vm.create_call()
        try:
            slot = await vm.router.acquire(call)
        except RequestRefused as error:
            self.outcomes["refused"] += 1
            waited_s = self.now - call.started_at
            self.refusals.append(
                (call.started_at, waited_s, error.retry_after.total_seconds())
            )
            return
        target = self.targets[vm.get_target_name(slot)]
        await anyio.sleep(NETWORK_DELAY_S)
        target.arrivals.append((self.now, vm_index))
        limit = target.find_limit(self.now)
        await anyio.sleep(NETWORK_DELAY_S)
        self._record_answer_head(slot, limit)
        if limit is not None:
            target.told_at.setdefault(vm_index, self.now)
        await anyio.sleep(target.service_s)
        self.outcomes["answered"] += 1
        vm.release(slot)

    def _record_answer_head(self, slot, limit) -> None:
        headers = []
        if limit is not None:
            headers = [(RATE_LIMIT_HEADER, b"%.2f" % limit)]
        slot.client.record_statement(
            read_statement(200, headers, LEAVING_HEADER, RATE_LIMIT_HEADER)
        )


def find_allowed(requests_per_s: float) -> float:
    """Return the requests that a target may get in a window."""
    return ALLOWED_FACTOR * requests_per_s * WINDOW_S + ALLOWED_EXTRA
