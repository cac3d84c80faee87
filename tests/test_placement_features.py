"""Steps of placement.feature, run through the operators' routes."""

import anyio
import httpx
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from starlette.applications import Starlette

from dotterelbridge.placement.operators import create_placement_routes
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster
from tests.placement_fakes import create_row

scenarios("features/placement.feature")

COUNTS = {"two": 2, "three": 3, "six": 6, "eight": 8}
SETTLE_S = 30.0


class ScenarioScript:
    """Collects steps and runs them with a check, in virtual time."""

    def __init__(self, targets):
        self.cluster = SimulatedCluster(targets=targets)
        self.rows = []
        self.steps = []

    def run(self, check):
        async def run_steps(cluster):
            for step in self.steps:
                await step(cluster)
            cluster.sheet.set_rows(self.rows)
            await anyio.sleep(SETTLE_S)
            await check(cluster)

        run_in_virtual_time(self.cluster.run, run_steps)


async def call(cluster, method, path, vm="d0-v1"):
    """Send an operator request to one VM."""
    node = cluster.nodes[vm]
    routes = create_placement_routes(node.placement, node.membership)
    transport = httpx.ASGITransport(Starlette(routes=routes))
    async with httpx.AsyncClient(
        transport=transport, base_url="http://operators"
    ) as client:
        answer = await client.request(method, f"/operators/v1/{path}")
    assert answer.status_code == 200
    return answer.json()


@given(
    parsers.parse("a failure domain with {count} accelerators"),
    target_fixture="script",
)
def create_script(count):
    return ScenarioScript(COUNTS[count])


@given("operators paused the moves")
def pause(script):
    async def step(cluster):
        await call(cluster, "POST", "moves/pause")
        await anyio.sleep(SETTLE_S)

    script.steps.append(step)


@when(parsers.parse("a sheet with {count} models of {size:d} MB is in force"))
def set_sheet(script, count, size):
    script.rows = [create_row(f"m{i}", size) for i in range(COUNTS[count])]


@then("every model is reachable")
def check_reachable(script):
    async def check(cluster):
        models = await call(cluster, "GET", "models")
        assert len(models) == len(script.rows)
        assert all(model["reachable"] for model in models)
        assert all(model["ready_at"] for model in models)

    script.run(check)


@then(parsers.parse("{count} models are listed as unreachable with a reason"))
def check_unreachable(script, count):
    async def check(cluster):
        models = await call(cluster, "GET", "models")
        missing = [m for m in models if not m["reachable"]]
        assert len(missing) == COUNTS[count]
        assert all("needs 400 MB" in m["reason"] for m in missing)

    script.run(check)


@then("no accelerator was over-committed")
def check_memory(script):
    assert script.cluster.count_over_commits() == 0


@then("nothing is loaded")
def check_nothing_loaded(script):
    async def check(cluster):
        assert not cluster.get_ready_items()

    script.run(check)
    script.cluster = SimulatedCluster(targets=3)


@then("everything is loaded once moves are resumed")
def check_resumed(script):
    async def check(cluster):
        assert not cluster.get_ready_items()
        await call(cluster, "POST", "moves/resume", vm="d0-v2")
        await cluster.wait_for(
            lambda: len(cluster.get_ready_items()) == len(script.rows)
        )
        moves = await call(cluster, "GET", "moves")
        assert moves[0]["last_move"]

    script.run(check)


@then("any VM lists each target with its committed memory")
def check_targets(script):
    async def check(cluster):
        for vm in cluster.nodes:
            targets = await call(cluster, "GET", "targets", vm)
            assert {t["target"] for t in targets} == set(cluster.engines)
            for target in targets:
                used_mb = cluster.engines[target["target"]].used_mb
                assert target["committed_mb"] == used_mb

    script.run(check)
