"""Steps of placement.feature, through the operators' routes."""

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


class Script:
    """Collects the steps; the check runs them in virtual time."""

    def __init__(self, targets):
        self.world = SimulatedCluster(targets=targets)
        self.rows = []
        self.steps = []

    def run(self, check):
        async def play(world):
            for step in self.steps:
                await step(world)
            world.sheet.set_rows(self.rows)
            await anyio.sleep(SETTLE_S)
            await check(world)

        run_in_virtual_time(self.world.run, play)


async def call(world, method, path, vm="d0-v1"):
    """Send an operator's request to one VM."""
    node = world.nodes[vm]
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
    target_fixture="run",
)
def create_script(count):
    return Script(COUNTS[count])


@given("operators paused the moves")
def pause(run):
    async def step(world):
        await call(world, "POST", "moves/pause")
        await anyio.sleep(SETTLE_S)

    run.steps.append(step)


@when(parsers.parse("a sheet with {count} models of {size:d} MB is in force"))
def set_sheet(run, count, size):
    run.rows = [create_row(f"m{i}", size) for i in range(COUNTS[count])]


@then("every model is reachable")
def check_reachable(run):
    async def check(world):
        models = await call(world, "GET", "models")
        assert len(models) == len(run.rows)
        assert all(model["reachable"] for model in models)
        assert all(model["ready_at"] for model in models)

    run.run(check)


@then(parsers.parse("{count} models are listed as unreachable with a reason"))
def check_unreachable(run, count):
    async def check(world):
        models = await call(world, "GET", "models")
        missing = [m for m in models if not m["reachable"]]
        assert len(missing) == COUNTS[count]
        assert all("needs 400 MB" in m["reason"] for m in missing)

    run.run(check)


@then("no accelerator was over-committed")
def check_memory(run):
    assert run.world.over_commits() == 0


@then("nothing is loaded")
def check_nothing_loaded(run):
    async def check(world):
        assert not world.ready()

    run.run(check)
    run.world = SimulatedCluster(targets=3)


@then("everything is loaded once moves are resumed")
def check_resumed(run):
    async def check(world):
        assert not world.ready()
        await call(world, "POST", "moves/resume", vm="d0-v2")
        await world.wait_for(lambda: len(world.ready()) == len(run.rows))
        moves = await call(world, "GET", "moves")
        assert moves[0]["last_move"]

    run.run(check)


@then("any VM lists each target with its committed memory")
def check_targets(run):
    async def check(world):
        for vm in world.nodes:
            targets = await call(world, "GET", "targets", vm)
            assert {t["target"] for t in targets} == set(world.engines)
            for target in targets:
                used_mb = world.engines[target["target"]].used_mb
                assert target["committed_mb"] == used_mb

    run.run(check)
