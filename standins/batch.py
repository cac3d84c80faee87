"""Continuous batching in a stand-in engine."""

import asyncio
import heapq
import itertools
import time

PRIORITY_RANKS = {"urgent": 0, "normal": 1, "background": 2}
SINGLE_STREAM_STEP = 0.75
"""Part of the full batch's token time that a lone stream takes."""
WAITING_PER_SLOT = 4


class Stream:
    """One request that waits or runs."""

    def __init__(self, item: str, rank: int, tokens: list[str]) -> None:
        self.item = item
        self.rank = rank
        self.tokens = tokens
        self.generated = 0
        self.prefill_s = 0.0
        self.first_token_at = 0.0
        self.broken = False
        self.progress = asyncio.Event()

    @property
    def finished(self) -> bool:
        """Whether all tokens are generated or the stream was broken."""
        return self.broken or self.generated >= len(self.tokens)


class Batch:
    """Continuous batching: one ticker generates a token for each stream."""

    def __init__(self, slots: int, token_s: float) -> None:
        self.slots = slots
        self.running: set[Stream] = set()
        self.slow_factor = 1.0
        self.tokens_per_second = 0.0
        self._token_s = token_s
        self._waiting: list[tuple[int, int, Stream]] = []
        self._arrivals = itertools.count()
        self._work = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Number of streams that wait for a slot."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether new work is refused."""
        return self.waiting >= self.slots * WAITING_PER_SLOT

    def add(self, stream: Stream) -> None:
        """Queue a stream by priority, then by arrival."""
        entry = (stream.rank, next(self._arrivals), stream)
        heapq.heappush(self._waiting, entry)
        self._admit()

    def remove(self, stream: Stream) -> None:
        """Take a stream out, finished or not."""
        self.running.discard(stream)
        self._waiting = [e for e in self._waiting if e[2] is not stream]
        heapq.heapify(self._waiting)
        self._admit()

    def break_streams(self, item: str) -> int:
        """Break the streams of an item; returns their number."""
        queued = [entry[2] for entry in self._waiting]
        broken = [s for s in [*self.running, *queued] if s.item == item]
        for stream in broken:
            stream.broken = True
            stream.progress.set()
        return len(broken)

    def count_running(self, item: str) -> int:
        """Return the number of running streams of an item."""
        return sum(stream.item == item for stream in self.running)

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        next_step = time.monotonic()
        while True:
            if not self.running:
                self._work.clear()
                self.tokens_per_second = 0.0
                await self._work.wait()
                next_step = time.monotonic()
            step_s = self._step_seconds()
            next_step = max(next_step + step_s, time.monotonic())
            await asyncio.sleep(next_step - time.monotonic())
            self.tokens_per_second = self._step() / step_s

    def _step_seconds(self) -> float:
        share = SINGLE_STREAM_STEP
        share += (1 - SINGLE_STREAM_STEP) * len(self.running) / self.slots
        return self._token_s * share * self.slow_factor

    def _step(self) -> int:
        now = time.monotonic()
        tokens = 0
        for stream in list(self.running):
            if stream.first_token_at <= now:
                stream.generated += 1
                tokens += 1
                stream.progress.set()
            if stream.finished:
                self.running.discard(stream)
        self._admit()
        return tokens

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.slots:
            stream = heapq.heappop(self._waiting)[2]
            prefill_s = stream.prefill_s * self.slow_factor
            stream.first_token_at = time.monotonic() + prefill_s
            self.running.add(stream)
            self._work.set()
