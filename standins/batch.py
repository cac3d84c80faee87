"""Continuous batching in a stand-in engine."""

import asyncio
import heapq
import itertools
import time

PRIORITY_RANKS = {"urgent": 0, "normal": 1, "background": 2}
SINGLE_STREAM_STEP_SHARE = 0.75
"""Step time with one running stream, as a share of a full batch's."""
MAX_WAITING_PER_SLOT = 4


class Stream:
    """One request that is queued or running."""

    def __init__(
        self, item: str, priority_rank: int, tokens: list[str]
    ) -> None:
        self.item = item
        self.priority_rank = priority_rank
        self.tokens = tokens
        self.generated_count = 0
        self.prefill_s = 0.0
        self.first_token_at = 0.0
        self.is_aborted = False
        self.has_progress = asyncio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether all tokens are ready or the stream was aborted."""
        return self.is_aborted or self.generated_count >= len(self.tokens)


class BatchScheduler:
    """Generates one token per step for each running stream."""

    def __init__(self, slots: int, token_s: float) -> None:
        self.slots = slots
        self.running: set[Stream] = set()
        self.slow_factor = 1.0
        self.tokens_per_second = 0.0
        self._token_s = token_s
        self._waiting: list[tuple[int, int, Stream]] = []
        self._arrival_numbers = itertools.count()
        self._has_running_streams = asyncio.Event()

    @property
    def waiting_count(self) -> int:
        """Number of queued streams."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit."""
        return self.waiting_count >= self.slots * MAX_WAITING_PER_SLOT

    def add(self, stream: Stream) -> None:
        """Queue a stream by priority, then by arrival."""
        entry = (stream.priority_rank, next(self._arrival_numbers), stream)
        heapq.heappush(self._waiting, entry)
        self._fill_slots()

    def remove(self, stream: Stream) -> None:
        """Remove a running or queued stream and admit queued ones."""
        self.running.discard(stream)
        self._waiting = [e for e in self._waiting if e[2] is not stream]
        heapq.heapify(self._waiting)
        self._fill_slots()

    def abort_streams(self, item: str) -> int:
        """Abort the streams of an item; return their number."""
        queued = [entry[2] for entry in self._waiting]
        aborted = [s for s in [*self.running, *queued] if s.item == item]
        for stream in aborted:
            stream.is_aborted = True
            stream.has_progress.set()
        return len(aborted)

    def count_running(self, item: str) -> int:
        """Return the number of running streams of an item."""
        return sum(stream.item == item for stream in self.running)

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        next_step = time.monotonic()
        while True:
            if not self.running:
                self._has_running_streams.clear()
                self.tokens_per_second = 0.0
                await self._has_running_streams.wait()
                next_step = time.monotonic()
            step_s = self._compute_step_s()
            next_step = max(next_step + step_s, time.monotonic())
            await asyncio.sleep(next_step - time.monotonic())
            self.tokens_per_second = self._run_step() / step_s

    def _compute_step_s(self) -> float:
        share = SINGLE_STREAM_STEP_SHARE
        share += (
            (1 - SINGLE_STREAM_STEP_SHARE) * len(self.running) / self.slots
        )
        return self._token_s * share * self.slow_factor

    def _run_step(self) -> int:
        now = time.monotonic()
        tokens = 0
        for stream in list(self.running):
            if stream.first_token_at <= now:
                stream.generated_count += 1
                tokens += 1
                stream.has_progress.set()
            if stream.is_finished:
                self.running.discard(stream)
        self._fill_slots()
        return tokens

    def _fill_slots(self) -> None:
        while self._waiting and len(self.running) < self.slots:
            stream = heapq.heappop(self._waiting)[2]
            prefill_s = stream.prefill_s * self.slow_factor
            stream.first_token_at = time.monotonic() + prefill_s
            self.running.add(stream)
            self._has_running_streams.set()
