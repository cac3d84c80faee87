"""Signal handling: SIGTERM drains, a second one logs the open work, and
SIGUSR1 writes a state dump."""

import os
import signal

import anyio
import pytest
import structlog

from dotterelbridge import early_signals
from dotterelbridge.lifecycle import run_until_drained

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeAssembly:
    """Assembly whose drain ends when the test sets ``drain_finished``."""

    def __init__(self):
        self.started = anyio.Event()
        self.draining = anyio.Event()
        self.drain_finished = anyio.Event()
        self.open_work_described = anyio.Event()
        self.dumped = anyio.Event()
        self.components_cancelled = False

    async def run_components(self):
        self.started.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.components_cancelled = True

    async def drain(self):
        self.draining.set()
        await self.drain_finished.wait()
        assert not self.components_cancelled, "cancelled with work in flight"

    def describe_open_work(self):
        self.open_work_described.set()
        return {"streams": 2}

    def write_dump(self):
        self.dumped.set()
        return "dump.json"


async def test_shutdown_waits_for_drain_and_handles_more_signals():
    assembly = FakeAssembly()
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            group.start_soon(run_until_drained, assembly)
            await assembly.started.wait()
            # Wait until the signal receiver is installed.
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGUSR1)
            await assembly.dumped.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await assembly.draining.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await assembly.open_work_described.wait()
            assembly.drain_finished.set()
    event_names = [line["event"] for line in lines]
    assert event_names == [
        "state_dumped",
        "daemon_stopping",
        "shutdown_waiting",
        "daemon_stopped",
    ]
    assert lines[2]["streams"] == 2
    assert assembly.components_cancelled


async def test_reload_signal_from_the_start_is_handled_later():
    # Guards against a change of settings that a starting process misses.
    assembly = FakeAssembly()
    assembly.drain_finished.set()
    reloaded = anyio.Event()
    assembly.reload = reloaded.set
    earlier_handler = signal.getsignal(signal.SIGHUP)
    try:
        early_signals.hold_reload_signal()
        os.kill(os.getpid(), signal.SIGHUP)
        async with anyio.create_task_group() as group:
            group.start_soon(run_until_drained, assembly)
            with anyio.fail_after(10):
                await reloaded.wait()
            os.kill(os.getpid(), signal.SIGTERM)
    finally:
        signal.signal(signal.SIGHUP, earlier_handler)


@pytest.mark.parametrize("error", [OSError(2, "gone"), ValueError("odd")])
async def test_reload_that_fails_does_not_end_the_daemon(error):
    assembly = FakeAssembly()
    assembly.drain_finished.set()

    def fail():
        raise error

    assembly.reload = fail
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            group.start_soon(run_until_drained, assembly)
            await assembly.started.wait()
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGHUP)
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGTERM)
    assert "reload_failed" in [line["event"] for line in lines]


async def test_drain_that_fails_still_stops_the_daemon():
    assembly = FakeAssembly()

    async def fail():
        raise RuntimeError("cannot drain")

    assembly.drain = fail
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            group.start_soon(run_until_drained, assembly)
            await assembly.started.wait()
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGTERM)
    assert [line["event"] for line in lines][-2:] == [
        "drain_failed",
        "daemon_stopped",
    ]


async def test_failed_component_stops_the_daemon():
    assembly = FakeAssembly()

    async def fail_component():
        raise RuntimeError("component failed")

    assembly.run_components = fail_component
    with (
        structlog.testing.capture_logs() as lines,
        pytest.raises(ExceptionGroup),
    ):
        await run_until_drained(assembly)
    assert [line["event"] for line in lines] == ["part_failed"]
