"""Signals: drain on the first SIGTERM, report on the second, dump."""

import os
import signal

import anyio
import pytest
import structlog

from dotterelbridge.lifecycle import run_until_drained

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeAssembly:
    """Parts whose drain ends when the test says so."""

    def __init__(self):
        self.started = anyio.Event()
        self.draining = anyio.Event()
        self.finished = anyio.Event()
        self.described = anyio.Event()
        self.dumped = anyio.Event()
        self.parts_cancelled = False

    async def run_components(self):
        self.started.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.parts_cancelled = True

    async def drain(self):
        self.draining.set()
        await self.finished.wait()
        assert not self.parts_cancelled, "parts run while work is in flight"

    def describe_open_work(self):
        self.described.set()
        return {"streams": 2}

    def write_dump(self):
        self.dumped.set()
        return "dump.json"


async def test_shutdown_waits_for_the_drain():
    assembly = FakeAssembly()
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            group.start_soon(run_until_drained, assembly)
            await assembly.started.wait()
            # Lets the receiver of signals start.
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGUSR1)
            await assembly.dumped.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await assembly.draining.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await assembly.described.wait()
            assembly.finished.set()
    names = [line["event"] for line in lines]
    assert names == [
        "state_dumped",
        "daemon_stopping",
        "shutdown_waiting",
        "daemon_stopped",
    ]
    assert lines[2]["streams"] == 2
    assert assembly.parts_cancelled


async def test_failed_part_ends_the_daemon():
    assembly = FakeAssembly()

    async def fail():
        raise RuntimeError("part broke")

    assembly.run_components = fail
    with (
        structlog.testing.capture_logs() as lines,
        pytest.raises(ExceptionGroup),
    ):
        await run_until_drained(assembly)
    assert [line["event"] for line in lines] == ["part_failed"]
