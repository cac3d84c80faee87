"""Prefix cache of a stand-in engine, and its events."""

from collections import OrderedDict
from collections import deque
import itertools
import random
import time

from dotterelbridge.ids import ItemName
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind

CACHE_EVENT_DELAY_RANGE_S = (0.2, 2.0)
CACHE_EVENT_LOSS_SHARE = 0.05
CACHE_EVENTS_LIMIT = 10_000
CACHE_EVENTS_PER_RESPONSE_LIMIT = 1000


class PrefixCache:
    """LRU cache of prompt blocks whose events are delayed and partly lost."""

    def __init__(self, block_limit: int, random_source: random.Random) -> None:
        self._block_limit = block_limit
        self._random = random_source
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=CACHE_EVENTS_LIMIT
        )
        self._sequence = itertools.count(1)
        self._visible_at = 0.0

    def __contains__(self, block: str) -> bool:
        return block in self._blocks

    def store_prompt(self, model: str, blocks: list[str]) -> int:
        """Store a prompt's blocks; return the number of leading hits."""
        hit_count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hit_count += 1
        for block in blocks:
            self.store_block(model, block)
        return hit_count

    def store_block(self, model: str, block: str) -> None:
        """Store a block; evict the least recently used one if full."""
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = model
        self._publish(CacheEventKind.STORED, model, block)
        if len(self._blocks) > self._block_limit:
            evicted, owner = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.REMOVED, owner, evicted)

    def clear_model(self, model: str) -> None:
        """Remove all blocks of a model."""
        for block in [b for b, m in self._blocks.items() if m == model]:
            del self._blocks[block]
        self._publish(CacheEventKind.CLEARED, model, "")

    def read_events(self, after: int) -> list[CacheEvent]:
        """Return visible events with a sequence number above ``after``."""
        now = time.monotonic()
        visible = (
            event
            for visible_at, event in self._events
            if visible_at <= now and event.sequence > after
        )
        return list(itertools.islice(visible, CACHE_EVENTS_PER_RESPONSE_LIMIT))

    def _publish(self, kind: CacheEventKind, model: str, block: str) -> None:
        event = CacheEvent(
            sequence=next(self._sequence),
            kind=kind,
            model=ItemName(model),
            block=block,
        )
        delay_s = self._random.uniform(*CACHE_EVENT_DELAY_RANGE_S)
        self._visible_at = max(self._visible_at, time.monotonic() + delay_s)
        if self._random.random() >= CACHE_EVENT_LOSS_SHARE:
            self._events.append((self._visible_at, event))
