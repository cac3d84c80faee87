"""Step definitions for membership.feature."""

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

SETTLING_TIME_S = 5.0


class ScenarioScript:
    """Collects the steps; the final "then" step runs them in virtual time."""

    def __init__(self):
        self.cluster = SimulatedCluster(domains=3, vms=3, targets=1)
        self.steps = []

    def run(self, check):
        async def run_steps(cluster):
            await anyio.sleep(SETTLING_TIME_S)
            for step in self.steps:
                await step(cluster)
            await check(cluster)

        run_in_virtual_time(self.cluster.run, run_steps)


def list_takes_new_work(cluster, target, domain=None):
    return [
        node.membership.get_targets()[target].takes_new_work
        for node in cluster.nodes.values()
        if domain in (None, node.info.failure_domain)
    ]


@given(
    "three failure domains with three entry VMs each", target_fixture="script"
)
def create_script():
    return ScenarioScript()


@given(parsers.parse('target "{target}" was drained'))
def mark_target_as_drained(script, target):
    async def step(cluster):
        cluster.nodes["d0-v0"].membership.mark_leaving(target)
        await anyio.sleep(SETTLING_TIME_S)
        assert not any(list_takes_new_work(cluster, target))

    script.steps.append(step)


@given(parsers.parse('failure domain "{domain}" is unreachable'))
def isolate_domain(script, domain):
    async def step(cluster):
        cluster.network.isolate(
            [v.vm for v in cluster.vms if v.failure_domain == domain]
        )
        await anyio.sleep(4 * SETTLING_TIME_S)

    script.steps.append(step)


@when(parsers.parse('an operator drains target "{target}" at VM "{vm}"'))
def drain_target(script, target, vm):
    async def step(cluster):
        cluster.nodes[vm].membership.mark_leaving(target)

    script.steps.append(step)


@when(parsers.parse('target "{target}" reports that it is leaving'))
def report_leaving(script, target):
    async def step(cluster):
        cluster.engines[target].leaving = True

    script.steps.append(step)


@when(parsers.parse('the drain of "{target}" is ended at VM "{vm}"'))
def end_drain(script, target, vm):
    async def step(cluster):
        cluster.nodes[vm].membership.clear_leaving(target)

    script.steps.append(step)


@then(
    parsers.parse(
        'no VM sends new work to "{target}" after {limit_s:d} seconds'
    )
)
def check_no_new_work(script, target, limit_s):
    async def check(cluster):
        await anyio.sleep(limit_s)
        assert not any(list_takes_new_work(cluster, target))

    script.run(check)


@then(
    parsers.parse(
        'no VM of "{domain}" sends new work to "{target}" after '
        "{limit_s:d} seconds"
    )
)
def check_no_new_work_from_domain(script, domain, target, limit_s):
    async def check(cluster):
        await anyio.sleep(limit_s)
        assert not any(list_takes_new_work(cluster, target, domain))

    script.run(check)


@then(parsers.parse('every VM sends new work to "{target}" again'))
def check_new_work(script, target):
    async def check(cluster):
        await cluster.wait_for(
            lambda: all(list_takes_new_work(cluster, target))
        )
        states = {
            n.membership.get_targets()[target].state
            for n in cluster.nodes.values()
        }
        assert states == {MemberState.LIVE}

    script.run(check)
