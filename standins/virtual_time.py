"""An event loop whose time jumps to the next timer.

Tests with timeouts and delays then run as fast as the processor allows,
and the same seed gives the same order of events. Only for code without
threads and sockets: those would not advance while time jumps.
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

_ORIGIN = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.DefaultSelector):
    """Advances virtual time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks wait for ever in virtual time")
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, which starts at zero."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class LoopClock(Clock):
    """The running event loop's time; an offset and rate model drift."""

    def __init__(self, offset_s: float = 0.0, rate: float = 1.0) -> None:
        self._offset_s = offset_s
        self._rate = rate

    def monotonic(self) -> float:
        return self._offset_s + self._rate * asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return _ORIGIN + timedelta(seconds=self.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        await anyio.sleep(duration.total_seconds() / self._rate)


def run_in_virtual_time(
    function: Callable[..., Awaitable[Any]], *arguments: Any
) -> Any:
    """Run an async function to its end on a fresh virtual-time loop."""
    return anyio.run(
        function,
        *arguments,
        backend="asyncio",
        backend_options={"loop_factory": VirtualTimeLoop},
    )
