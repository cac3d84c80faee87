"""Prefix cache of a stand-in engine."""

from collections import OrderedDict
from collections import deque
import itertools
import random
import time

from dotterelbridge.ids import ItemName
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind

CACHE_EVENT_LAG_S = (0.2, 2.0)
CACHE_EVENT_LOSS = 0.05
CACHE_EVENTS_KEPT = 10_000
CACHE_EVENTS_PER_ANSWER = 1000


class PrefixCache:
    """Least recently used prompt blocks, and their late, gappy events."""

    def __init__(self, blocks: int, source: random.Random) -> None:
        self._limit = blocks
        self._random = source
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=CACHE_EVENTS_KEPT
        )
        self._sequence = itertools.count(1)
        self._visible_at = 0.0

    def __contains__(self, block: str) -> bool:
        return block in self._blocks

    def use(self, model: str, blocks: list[str]) -> int:
        """Store the blocks of a prompt; returns how many led it."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self.store(model, block)
        return hits

    def store(self, model: str, block: str) -> None:
        """Store one block, in place of the least recently used one."""
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = model
        self._publish(CacheEventKind.STORED, model, block)
        if len(self._blocks) > self._limit:
            evicted, owner = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.REMOVED, owner, evicted)

    def clear(self, model: str) -> None:
        """Drop all blocks of a model."""
        for block in [b for b, m in self._blocks.items() if m == model]:
            del self._blocks[block]
        self._publish(CacheEventKind.CLEARED, model, "")

    def read_events(self, after: int) -> list[CacheEvent]:
        """Return the events that are visible by now."""
        now = time.monotonic()
        visible = (
            event
            for visible_at, event in self._events
            if visible_at <= now and event.sequence > after
        )
        return list(itertools.islice(visible, CACHE_EVENTS_PER_ANSWER))

    def _publish(self, kind: CacheEventKind, model: str, block: str) -> None:
        event = CacheEvent(
            sequence=next(self._sequence),
            kind=kind,
            model=ItemName(model),
            block=block,
        )
        lag = self._random.uniform(*CACHE_EVENT_LAG_S)
        self._visible_at = max(self._visible_at, time.monotonic() + lag)
        if self._random.random() >= CACHE_EVENT_LOSS:
            self._events.append((self._visible_at, event))
