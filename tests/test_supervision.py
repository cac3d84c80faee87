"""A part of a daemon that fails is started again; the others go on."""

import anyio
import pytest
from structlog.testing import capture_logs

from dotterelbridge.clock import ManualClock
from dotterelbridge.supervision import RESTART_DELAY
from dotterelbridge.supervision import run_supervised

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_part_that_fails_runs_again():
    # Guards against a process that ends by an error of one of its parts.
    clock = ManualClock()
    runs = []

    async def fail_twice():
        runs.append(clock.monotonic())
        if len(runs) < 3:
            raise ValueError("unexpected input")

    async with anyio.create_task_group() as group:
        with capture_logs() as lines:
            group.start_soon(run_supervised, fail_twice, clock)
            for _ in range(2):
                await anyio.wait_all_tasks_blocked()
                clock.advance(RESTART_DELAY)
            await anyio.wait_all_tasks_blocked()
    assert len(runs) == 3
    assert [line["event"] for line in lines] == ["part_restarted"] * 2
    assert "fail_twice" in lines[0]["part"]


async def test_group_of_errors_does_not_end_the_part():
    clock = ManualClock()
    runs = []

    async def fail_once():
        runs.append(1)
        if len(runs) == 1:
            async with anyio.create_task_group() as group:
                group.start_soon(fail)

    async def fail():
        raise RecursionError

    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, fail_once, clock)
        await anyio.wait_all_tasks_blocked()
        clock.advance(RESTART_DELAY)
    assert len(runs) == 2


async def test_cancelled_part_does_not_run_again():
    runs = []

    async def run():
        runs.append(1)
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, run, ManualClock())
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert runs == [1]
