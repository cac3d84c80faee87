"""A busy event loop shows in the logs."""

from datetime import timedelta

import anyio
import structlog

from dotterelbridge.loop_lag import LoopMonitor
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time


class StalledClock(LoopClock):
    """Runs timers late, as a loop does that another task keeps busy."""

    def __init__(self, lag: timedelta) -> None:
        super().__init__()
        self._lag = lag

    async def sleep(self, duration: timedelta) -> None:
        await super().sleep(duration + self._lag)


def list_late_events(lag: timedelta) -> list[dict]:
    async def main():
        with anyio.move_on_after(3):
            await LoopMonitor(StalledClock(lag)).run()

    with structlog.testing.capture_logs() as lines:
        run_in_virtual_time(main)
    return [line for line in lines if line["event"] == "loop_late"]


def test_a_loop_that_runs_timers_late_is_logged_with_its_lag():
    lines = list_late_events(timedelta(milliseconds=400))
    assert [line["lag_ms"] for line in lines] == [400, 400, 400]


def test_a_loop_that_keeps_up_logs_nothing():
    assert list_late_events(timedelta(milliseconds=20)) == []
