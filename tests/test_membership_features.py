"""Steps of membership.feature."""

import anyio
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from dotterelbridge.membership.view import MemberState
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster

scenarios("features/membership.feature")

SETTLE_S = 5.0


class Script:
    """Collects the steps; the last one runs them in virtual time."""

    def __init__(self):
        self.world = SimulatedCluster(domains=3, vms=3, targets=1)
        self.steps = []

    def run(self, check):
        async def play(world):
            await anyio.sleep(SETTLE_S)
            for step in self.steps:
                await step(world)
            await check(world)

        run_in_virtual_time(self.world.run, play)


def takes_work(world, target, domain=None):
    return [
        node.membership.get_targets()[target].takes_new_work
        for node in world.nodes.values()
        if domain in (None, node.info.failure_domain)
    ]


@given("three failure domains with three entry VMs each", target_fixture="run")
def create_script():
    return Script()


@given(parsers.parse('target "{target}" was drained'))
def drain_before(run, target):
    async def step(world):
        world.nodes["d0-v0"].membership.mark_leaving(target)
        await anyio.sleep(SETTLE_S)
        assert not any(takes_work(world, target))

    run.steps.append(step)


@given(parsers.parse('failure domain "{domain}" is cut off'))
def cut_off(run, domain):
    async def step(world):
        world.network.isolate(
            [v.vm for v in world.vms if v.failure_domain == domain]
        )
        await anyio.sleep(4 * SETTLE_S)

    run.steps.append(step)


@when(parsers.parse('an operator drains target "{target}" at VM "{vm}"'))
def drain(run, target, vm):
    async def step(world):
        world.nodes[vm].membership.mark_leaving(target)

    run.steps.append(step)


@when(parsers.parse('target "{target}" says that it is leaving'))
def leave(run, target):
    async def step(world):
        world.engines[target].leaving = True

    run.steps.append(step)


@when(parsers.parse('the drain of "{target}" is ended at VM "{vm}"'))
def end_drain(run, target, vm):
    async def step(world):
        world.nodes[vm].membership.clear_leaving(target)

    run.steps.append(step)


@then(
    parsers.parse(
        'no VM sends new work to "{target}" after {limit_s:d} seconds'
    )
)
def check_no_work(run, target, limit_s):
    async def check(world):
        await anyio.sleep(limit_s)
        assert not any(takes_work(world, target))

    run.run(check)


@then(
    parsers.parse(
        'no VM of "{domain}" sends new work to "{target}" after '
        "{limit_s:d} seconds"
    )
)
def check_no_work_of_domain(run, domain, target, limit_s):
    async def check(world):
        await anyio.sleep(limit_s)
        assert not any(takes_work(world, target, domain))

    run.run(check)


@then(parsers.parse('every VM sends new work to "{target}" again'))
def check_work(run, target):
    async def check(world):
        await world.wait_for(lambda: all(takes_work(world, target)))
        states = {
            n.membership.get_targets()[target].state
            for n in world.nodes.values()
        }
        assert states == {MemberState.LIVE}

    run.run(check)
