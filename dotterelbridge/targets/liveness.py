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
    """What one probe of a target showed."""

    RUNNING = "running"
    GONE = "gone"
    """No process listens at the address, or another one does."""
    UNCERTAIN = "uncertain"
    """No usable reply; the target may be out of connections."""


class LivenessProbe(msgspec.Struct, frozen=True):
    """How to probe a target."""

    path: str = ""
    """Path to read; empty to only open a connection."""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    """Headers by which another target at the address refuses the request."""
    born: int | None = None
    """Unix time in ms of the start that a report has to name, if it names
    one; None if unknown."""


class LivenessCheck:
    """Probes one target; responses that end together share a probe."""

    def __init__(
        self,
        send_probe: Callable[[LivenessProbe], Awaitable[Liveness]],
        limit: timedelta,
        clock: Clock,
    ) -> None:
        """Create a check.

        :param send_probe: probes the target once.
        :param limit: time in which the target has to reply.
        """
        self._send_probe = send_probe
        self._limit = limit
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._pending: asyncio.Task[bool] | None = None

    async def confirm(self, probe: LivenessProbe) -> bool:
        """Return whether the target is sure to run, as of this call or later.

        A probe that was sent before the call proves nothing, so the call
        waits for the next one.
        """
        if self._pending is None:
            loop = asyncio.get_running_loop()
            self._pending = loop.create_task(
                self._run_after(self._running, probe)
            )
        return await asyncio.shield(self._pending)

    async def _run_after(
        self, previous: asyncio.Task[bool] | None, probe: LivenessProbe
    ) -> bool:
        if previous is not None:
            await asyncio.wait([previous])
        self._running, self._pending = self._pending, None
        liveness = await self._probe_until_certain(probe)
        instruments.liveness_checks.add(1, {"outcome": liveness.value})
        return liveness is Liveness.RUNNING

    async def _probe_until_certain(self, probe: LivenessProbe) -> Liveness:
        with anyio.move_on_after(self._limit.total_seconds()):
            while True:
                liveness = await self._send_probe(probe)
                if liveness is not Liveness.UNCERTAIN:
                    return liveness
                await self._clock.sleep(_RETRY_DELAY)
        return Liveness.UNCERTAIN
