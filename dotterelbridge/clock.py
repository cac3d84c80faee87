"""Time as an interface, so that tests decide how time passes."""

import abc
from datetime import UTC
from datetime import datetime
from datetime import timedelta
import time

import anyio


class Clock(abc.ABC):
    """Source of time for every part of the daemon."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC; never for timeouts.

        For people, logs, and ages of days that VMs must agree on.
        """

    @abc.abstractmethod
    async def sleep(self, duration: timedelta) -> None:
        """Suspend the calling task for the duration."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        # Unlike CLOCK_MONOTONIC this counts the time that the machine was
        # suspended, so that a lease ends while its holder sleeps.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        return datetime.now(UTC)

    async def sleep(self, duration: timedelta) -> None:
        await anyio.sleep(duration.total_seconds())


class ManualClock(Clock):
    """A clock that moves only when a test advances it."""

    def __init__(self, start: float = 0.0) -> None:
        self._monotonic = start
        self._origin = datetime(2026, 1, 1, tzinfo=UTC)
        self._sleepers: list[tuple[float, anyio.Event]] = []

    def monotonic(self) -> float:
        return self._monotonic

    def now(self) -> datetime:
        return self._origin + timedelta(seconds=self._monotonic)

    async def sleep(self, duration: timedelta) -> None:
        wake_at = self._monotonic + duration.total_seconds()
        if wake_at <= self._monotonic:
            await anyio.lowlevel.checkpoint()
            return
        wake = anyio.Event()
        self._sleepers.append((wake_at, wake))
        await wake.wait()

    def advance(self, duration: timedelta) -> None:
        """Move time forward and wake the sleepers that are due."""
        self._monotonic += duration.total_seconds()
        due = [s for s in self._sleepers if s[0] <= self._monotonic]
        self._sleepers = [s for s in self._sleepers if s not in due]
        for _, wake in sorted(due, key=lambda sleeper: sleeper[0]):
            wake.set()


def create_clock() -> Clock:
    """Return the clock that production code uses."""
    return SystemClock()
