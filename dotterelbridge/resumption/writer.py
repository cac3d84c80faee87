"""Writes records of streams in batches, outside the event loop."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import math

import anyio
import anyio.to_thread
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.resumption.events import ResumptionEvent
from dotterelbridge.resumption.file import StoredStream
from dotterelbridge.resumption.file import StreamFile

_log = structlog.get_logger(__name__)

_RETRY_DELAY = timedelta(seconds=1)
"""Time between two attempts while the disk refuses writes."""
_MAX_UNWRITTEN = 20_000
"""Records that wait for the disk; the oldest are dropped first."""
_MAX_BATCH = 2000

RunBlocking = Callable[..., Awaitable[None]]
"""Runs a function that blocks, with arguments."""


class RecordWriter:
    """Appends records to a file; a disk that fails loses only the copy."""

    def __init__(
        self,
        file: StreamFile,
        gather_time: timedelta,
        sync_interval: timedelta,
        clock: Clock,
        run_blocking: RunBlocking = anyio.to_thread.run_sync,
    ) -> None:
        self._file = file
        self._gather_time = gather_time
        self._sync_interval_s = sync_interval.total_seconds()
        self._clock = clock
        self._run_blocking = run_blocking
        self._unwritten: deque[StoredStream] = deque(maxlen=_MAX_UNWRITTEN)
        self._added = anyio.Event()
        self._sync_at: float | None = None
        """When what was written is to be synced; None if it is."""
        self.is_failing = False
        """Whether the latest attempt to write failed."""

    def add(self, stream: StoredStream) -> None:
        """Write a record with the next batch."""
        self._unwritten.append(stream)
        self._added.set()

    async def run(self) -> None:
        """Write until cancelled; then write what is left."""
        try:
            while True:
                with anyio.move_on_after(self._find_time_to_sync_s()):
                    await self._added.wait()
                    self._added = anyio.Event()
                    await self._clock.sleep(self._gather_time)
                while self._unwritten:
                    await self._write_batch()
                if self._find_time_to_sync_s() <= 0:
                    await self._sync()
        finally:
            self._write_rest()

    def _find_time_to_sync_s(self) -> float:
        if self._sync_at is None:
            return math.inf
        return max(0.0, self._sync_at - self._clock.monotonic())

    async def _sync(self) -> None:
        self._sync_at = None
        try:
            await self._run_blocking(self._file.sync)
        except OSError as error:
            self._record_failure(error)

    async def _write_batch(self) -> None:
        batch = [
            self._unwritten.popleft()
            for _ in range(min(_MAX_BATCH, len(self._unwritten)))
        ]
        try:
            await self._run_blocking(self._file.append, batch)
        except OSError as error:
            self._unwritten.extendleft(reversed(batch))
            self._record_failure(error)
            await self._clock.sleep(_RETRY_DELAY)
            return
        if self._sync_at is None:
            self._sync_at = self._clock.monotonic() + self._sync_interval_s
        if self.is_failing:
            events.log(_log, ResumptionEvent.RECORDS_WRITTEN_AGAIN)
        self.is_failing = False

    def _write_rest(self) -> None:
        if not self._unwritten:
            return
        try:
            self._file.append(list(self._unwritten))
        except OSError as error:
            self._record_failure(error)
        else:
            self._unwritten.clear()

    def _record_failure(self, error: OSError) -> None:
        if not self.is_failing:
            events.log(
                _log, ResumptionEvent.RECORDS_NOT_WRITTEN, error=str(error)
            )
        self.is_failing = True
