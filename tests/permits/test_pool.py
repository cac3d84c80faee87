"""Orders for permits while no issuer answers."""

from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.pool import PermitPool
from dotterelbridge.permits.pool import PermitState
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.permits.support import IssuerChannel

TARGET = ("e1", 1)
TIMEOUT_S = 0.35


class FaultyChannel(IssuerChannel):
    """Does not answer while the fault lasts."""

    def __init__(self, issuer) -> None:
        super().__init__(issuer)
        self.is_faulty = True
        self.requests = 0

    async def request(self, request):
        self.requests += 1
        if self.is_faulty:
            await anyio.sleep(TIMEOUT_S)
            raise PeerUnreachable("no answer", "try again")
        return await super().request(request)


def run_pool(check):
    async def run():
        clock = LoopClock()
        rng = random.Random(1)
        issuer = PermitIssuer(clock, rng, lambda vm_count: 1.0)
        own_issuer = PermitIssuer(clock, rng, lambda vm_count: 1 / vm_count)
        channel = FaultyChannel(issuer)
        pool = PermitPool(channel, own_issuer, clock, rng, lambda: None)
        async with anyio.create_task_group() as group:
            group.start_soon(pool.run)
            await check(pool, channel)
            group.cancel_scope.cancel()

    run_in_virtual_time(run)


def order(pool, requests_per_s=10.0, vm_count=1):
    return pool.order(
        TARGET,
        requests_per_s,
        timedelta(seconds=1),
        vm_count,
        is_interactive=True,
    )


# Guards against orders that follow each other without a pause.
def test_order_without_an_answer_is_not_repeated_at_once():
    async def check(pool, channel):
        permit = order(pool)
        await anyio.sleep(TIMEOUT_S + 0.001)
        assert permit.state is PermitState.DENIED
        assert not pool.can_order(TARGET)
        await anyio.sleep(0.1)
        assert pool.can_order(TARGET)

    run_pool(check)


def test_vm_issues_its_share_by_itself_after_a_while():
    async def check(pool, channel):
        for _ in range(4):
            assert order(pool).state is PermitState.ORDERED
            await anyio.sleep(0.5)
        permit = order(pool)
        await anyio.sleep(1)
        assert permit.state is PermitState.GRANTED

    run_pool(check)


def test_vm_that_knows_that_it_is_cut_off_asks_nobody():
    async def check(pool, channel):
        channel.is_cut_off = True
        permit = order(pool)
        await anyio.sleep(0.2)
        assert permit.state is PermitState.GRANTED
        assert channel.requests == 0

    run_pool(check)


def test_vm_returns_to_the_issuer():
    async def check(pool, channel):
        for _ in range(5):
            order(pool)
            await anyio.sleep(0.5)
        channel.is_faulty = False
        permit = order(pool)
        await anyio.sleep(0.2)
        assert permit.state is PermitState.GRANTED
        assert pool.has_open(TARGET)

    run_pool(check)
