"""Outcomes that go on to the log after their call was answered."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from typing import Protocol

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.claims.events import ClaimEvent
from dotterelbridge.clock import Clock
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId

WORKERS = 8
RETRY_PAUSE = timedelta(milliseconds=500)

_log = structlog.get_logger(__name__)


class Outcome(Protocol):
    """A command or message that tells the outcome of an attempt."""

    attempt: AttemptId


class Outbox:
    """Sends commands until the log has taken them; bounded."""

    def __init__(
        self,
        send: Callable[[Any], Awaitable[Any]],
        limit: int,
        clock: Clock,
    ) -> None:
        self._send = send
        self._limit = limit
        self._clock = clock
        self._waiting: deque[Outcome] = deque()
        self._added = anyio.Event()
        self._settled = anyio.Event()
        self._sending = 0

    def __len__(self) -> int:
        return len(self._waiting) + self._sending

    def add(self, command: Outcome) -> None:
        """Queue a command; the oldest is dropped when it is full."""
        if len(self._waiting) >= self._limit:
            dropped = self._waiting.popleft()
            events.log(
                _log,
                ClaimEvent.OUTCOME_DROPPED,
                kind=type(dropped).__name__,
                attempt=dropped.attempt,
            )
        self._waiting.append(command)
        self._added.set()

    async def run(self) -> None:
        """Send until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WORKERS):
                group.start_soon(self._work)

    async def wait_empty(self) -> None:
        """Return once nothing waits."""
        while len(self):
            await self._settled.wait()

    async def _work(self) -> None:
        while True:
            while not self._waiting:
                await self._added.wait()
                self._added = anyio.Event()
            command = self._waiting.popleft()
            self._sending += 1
            await self._send_until_taken(command)
            self._sending -= 1
            settled, self._settled = self._settled, anyio.Event()
            settled.set()

    async def _send_until_taken(self, command: Outcome) -> None:
        while True:
            try:
                await self._send(command)
                return
            except ReplicationError:
                await self._clock.sleep(RETRY_PAUSE)
