"""Test harness: a router on a clock that the test advances."""

from datetime import timedelta
import random

import anyio

from dotterelbridge.clock import ManualClock
from dotterelbridge.ids import Priority
from dotterelbridge.ids import RequestId
from dotterelbridge.permits.limiter import create_lone_rate_limiter
from dotterelbridge.quarantine.guard import create_lone_crash_guard
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.errors import RoutingRefused
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Outcome
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import DOMAIN
from tests.serving.fakes import REGION
from tests.serving.fakes import FakeMembership
from tests.serving.fakes import FakeSheet
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row

_PORT = 9


class RouterHarness:
    """A router with targets that exist only as views, without connections."""

    def __init__(self, rows=(), seed: int = 1, **settings) -> None:
        self.clock = ManualClock(1000.0)
        self.membership = FakeMembership()
        self.rows = rows or (model_row(),)
        self.rng = random.Random(seed)
        self.router = create_router(
            self.membership,
            FakeSheet(self.rows),
            self.clock,
            RoutingSettings(**settings),
            self.rng,
            TargetsSettings(),
            DOMAIN,
            REGION,
            create_lone_rate_limiter(self.clock, self.rng),
            create_lone_crash_guard(self.clock),
        )
        self._calls = 0

    def add_engine(self, name: str, **fields) -> None:
        """Add an engine, or replace its view."""
        view = engine_view(name, _PORT, **fields)
        self.membership.set(view)

    def get_target(self, name: str):
        """Return the router's Target object."""
        return self.router._targets[name]

    def create_call(
        self,
        priority: Priority = Priority.NORMAL,
        deadline_s: float = 5.0,
        **fields,
    ) -> Call:
        """Return a call for the first row."""
        self._calls += 1
        call = Call(
            request_id=RequestId(f"r{self._calls}"),
            row=self.rows[0],
            priority=priority,
            deadline_at=self.clock.monotonic() + deadline_s,
            **fields,
        )
        self.router.record_arrival(call)
        return call

    def advance(self, seconds: float) -> None:
        """Advance the clock and let the router check its deadlines."""
        self.clock.advance(timedelta(seconds=seconds))
        self.router.expire_waiters()

    async def run_call(self, call: Call, seconds: float = 0.1):
        """Run a call to completion; return the name of its target."""
        slot = await self.router.acquire(call)
        self.advance(seconds)
        self.router.record_tokens(slot, 1)
        self.router.release(slot, Outcome.SUCCEEDED)
        return slot.target.view.info.target


class QueuedCalls:
    """Calls that wait for slots, each in a task of its own."""

    def __init__(self, harness: RouterHarness, group) -> None:
        self._harness = harness
        self._group = group
        self.granted: list = []
        self.refused: list[RoutingRefused] = []

    async def start_call(self, call: Call, **arguments) -> None:
        """Start a call that waits; return once it is queued."""
        self._group.start_soon(self._wait, call, arguments)
        await run_ready_tasks()

    async def _wait(self, call: Call, arguments) -> None:
        try:
            slot = await self._harness.router.acquire(call, **arguments)
        except RoutingRefused as error:
            self.refused.append(error)
            return
        self.granted.append(slot)

    @property
    def granted_request_ids(self) -> list[str]:
        """Request ids in the order in which they got a slot."""
        return [slot.call.request_id for slot in self.granted]


async def run_ready_tasks() -> None:
    """Run all tasks that are ready."""
    for _ in range(10):
        await anyio.lowlevel.checkpoint()
