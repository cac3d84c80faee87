"""Queue of outcomes still to be committed after the caller's response."""

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

WORKER_COUNT = 8
RETRY_DELAY = timedelta(milliseconds=500)

_log = structlog.get_logger(__name__)


class Outcome(Protocol):
    """A command or message that reports the outcome of an attempt."""

    attempt: AttemptId


class Outbox:
    """Bounded queue whose workers retry each command until it is committed."""

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
        self._command_added = anyio.Event()
        self._command_done = anyio.Event()
        self._sending = 0

    def __len__(self) -> int:
        return len(self._waiting) + self._sending

    def add(self, command: Outcome) -> None:
        """Queue a command; when the queue is full, the oldest is dropped."""
        if len(self._waiting) >= self._limit:
            dropped = self._waiting.popleft()
            events.log(
                _log,
                ClaimEvent.OUTCOME_DROPPED,
                kind=type(dropped).__name__,
                attempt=dropped.attempt,
            )
        self._waiting.append(command)
        self._command_added.set()

    async def run(self) -> None:
        """Run the workers until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WORKER_COUNT):
                group.start_soon(self._run_worker)

    async def wait_empty(self) -> None:
        """Wait until no command is queued or being sent."""
        while len(self):
            await self._command_done.wait()

    async def _run_worker(self) -> None:
        while True:
            while not self._waiting:
                await self._command_added.wait()
                self._command_added = anyio.Event()
            command = self._waiting.popleft()
            self._sending += 1
            await self._send_until_committed(command)
            self._sending -= 1
            command_done, self._command_done = (
                self._command_done,
                anyio.Event(),
            )
            command_done.set()

    async def _send_until_committed(self, command: Outcome) -> None:
        while True:
            try:
                await self._send(command)
                return
            except ReplicationError:
                await self._clock.sleep(RETRY_DELAY)
