"""Finds out whether a target's process has outlived the end of a connection.

The kernel ends the connections of a killed process like the process itself
would. Only what the process sends in reply to a later request tells the two
apart.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import enum

import anyio
import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.targets import instruments

_RETRY_DELAY = timedelta(milliseconds=50)


class Liveness(enum.Enum):
    """What one question to a target showed."""

    RUNNING = "running"
    GONE = "gone"
    """No process listens at the address, or another one does."""
    UNCERTAIN = "uncertain"
    """No usable reply; the target may be out of connections."""


class LivenessQuery(msgspec.Struct, frozen=True):
    """How to ask a target."""

    path: str = ""
    """Path to read; empty to only open a connection."""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    """Headers by which another target at the address refuses the request."""
    born: int | None = None
    """Unix time in ms of the start that a report has to name, if it names
    one; None if unknown."""


class LivenessCheck:
    """Asks one target; answers that end together share a question."""

    def __init__(
        self,
        ask: Callable[[LivenessQuery], Awaitable[Liveness]],
        limit: timedelta,
        clock: Clock,
    ) -> None:
        """Create a check.

        :param ask: asks the target once.
        :param limit: time in which the target has to reply.
        """
        self._ask = ask
        self._limit = limit
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._pending: asyncio.Task[bool] | None = None

    async def confirm(self, query: LivenessQuery) -> bool:
        """Return whether the target is sure to run, as of this call or later.

        A question that was sent before the call proves nothing, so the call
        waits for the next one.
        """
        if self._pending is None:
            loop = asyncio.get_running_loop()
            self._pending = loop.create_task(
                self._run_after(self._running, query)
            )
        return await asyncio.shield(self._pending)

    async def _run_after(
        self, previous: asyncio.Task[bool] | None, query: LivenessQuery
    ) -> bool:
        if previous is not None:
            await asyncio.wait([previous])
        self._running, self._pending = self._pending, None
        liveness = await self._ask_until_certain(query)
        instruments.liveness_checks.add(1, {"outcome": liveness.value})
        return liveness is Liveness.RUNNING

    async def _ask_until_certain(self, query: LivenessQuery) -> Liveness:
        with anyio.move_on_after(self._limit.total_seconds()):
            while True:
                liveness = await self._ask(query)
                if liveness is not Liveness.UNCERTAIN:
                    return liveness
                await self._clock.sleep(_RETRY_DELAY)
        return Liveness.UNCERTAIN
