"""Event loop lag above the threshold is logged."""

from datetime import timedelta

import anyio
import structlog

from dotterelbridge.loop_lag import LoopMonitor
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time


class LateClock(LoopClock):
    """Ends each sleep late, as an event loop that another task blocks."""

    def __init__(self, lag: timedelta) -> None:
        super().__init__()
        self._lag = lag

    async def sleep(self, duration: timedelta) -> None:
        await super().sleep(duration + self._lag)


def list_late_events(lag: timedelta) -> list[dict]:
    async def main():
        with anyio.move_on_after(3):
            await LoopMonitor(LateClock(lag)).run()

    with structlog.testing.capture_logs() as lines:
        run_in_virtual_time(main)
    return [line for line in lines if line["event"] == "loop_late"]


def test_late_timers_are_logged_with_their_lag():
    lines = list_late_events(timedelta(milliseconds=400))
    assert [line["lag_ms"] for line in lines] == [400, 400, 400]


def test_small_lag_is_not_logged():
    assert list_late_events(timedelta(milliseconds=20)) == []
