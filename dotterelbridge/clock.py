"""Clock interface that tests replace with a controlled clock."""

import abc
from datetime import UTC
from datetime import datetime
from datetime import timedelta
import time

import anyio


class Clock(abc.ABC):
    """Time source of all components of the daemon."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC; not for timeouts.

        It serves output for people, logs, and ages of several days, on which
        VMs have to agree.
        """

    @abc.abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for the duration."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        # CLOCK_BOOTTIME also advances while the host is suspended, unlike
        # CLOCK_MONOTONIC, so that a lease expires on a suspended holder.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        await anyio.sleep(duration.total_seconds())


class ManualClock(Clock):
    """Clock that advances only when a test calls ``advance``."""

    def __init__(self, start: float = 0.0) -> None:
        self._monotonic = start
        self._start_time = datetime(2026, 1, 1, tzinfo=UTC)
        self._sleepers: list[tuple[float, anyio.Event]] = []

    def monotonic(self) -> float:
        return self._monotonic

    def now(self) -> datetime:
        return self._start_time + timedelta(seconds=self._monotonic)

    async def sleep(self, duration: timedelta) -> None:
        wake_at_s = self._monotonic + duration.total_seconds()
        if wake_at_s <= self._monotonic:
            await anyio.lowlevel.checkpoint()
            return
        wake_event = anyio.Event()
        self._sleepers.append((wake_at_s, wake_event))
        await wake_event.wait()

    def advance(self, duration: timedelta) -> None:
        """Advance the time and wake the tasks whose sleep has ended."""
        self._monotonic += duration.total_seconds()
        due_sleepers = [s for s in self._sleepers if s[0] <= self._monotonic]
        self._sleepers = [s for s in self._sleepers if s not in due_sleepers]
        for _, wake_event in sorted(
            due_sleepers, key=lambda sleeper: sleeper[0]
        ):
            wake_event.set()


def create_clock() -> Clock:
    """Return the clock for production."""
    return SystemClock()
