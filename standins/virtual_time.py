"""An event loop on virtual time, which advances to the next timer at once.

Tests with timeouts and delays run without waiting, and a fixed seed gives
a reproducible order of events. Code that uses threads or sockets cannot run
on it: they make no progress while virtual time advances.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import UTC
from datetime import datetime
from datetime import timedelta
import selectors
from typing import Any

import anyio

from dotterelbridge.clock import Clock

_START_TIME = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances virtual time instead of waiting for I/O."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks are blocked and no timer is pending")
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose virtual time starts at zero."""

    def __init__(self) -> None:
        self._virtual_time = _VirtualTimeSelector()
        super().__init__(self._virtual_time)

    def time(self) -> float:
        return self._virtual_time.now_s


class LoopClock(Clock):
    """Clock on the running event loop's time.

    ``offset_s`` and ``rate`` simulate clock skew and drift.
    """

    def __init__(self, offset_s: float = 0.0, rate: float = 1.0) -> None:
        self._offset_s = offset_s
        self._rate = rate

    def monotonic(self) -> float:
        return self._offset_s + self._rate * asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return _START_TIME + timedelta(seconds=self.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        await anyio.sleep(duration.total_seconds() / self._rate)


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]], *arguments: Any
) -> Any:
    """Run an async function to completion on a new virtual-time loop."""
    return anyio.run(
        function,
        *arguments,
        backend="asyncio",
        backend_options={"loop_factory": VirtualTimeLoop},
    )
