"""Which prompt prefixes each engine probably holds in its cache.

Cache events come late and with gaps, so an entry is a hint that fades:
it counts for less once events were missed, and not at all when old.
Prompts sent by this VM count as held before the event tells so.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind

_ENTRY_LIFE_S = 300.0
_DOUBTFUL_WEIGHT = 0.5
_ENTRIES_LIMIT = 20000
"""Entries of all targets together; bounds the memory to some 5 MB."""

_Key = tuple[TargetId, ItemName, str]


class CacheIndex:
    """Aggregate: never holds more entries than its limit."""

    def __init__(self, entries_limit: int = _ENTRIES_LIMIT) -> None:
        self._entries_limit = entries_limit
        self._entries: OrderedDict[_Key, float] = OrderedDict()
        self._sequences: dict[TargetId, int] = {}
        self._doubtful_before: dict[TargetId, float] = {}
        self.gap_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get_last_sequence(self, target: TargetId) -> int:
        """Return the highest sequence number seen of a target."""
        return self._sequences.get(target, 0)

    def apply(
        self, target: TargetId, cache_events: Iterable[CacheEvent], now: float
    ) -> None:
        """Take events in the order of their sequence."""
        for event in cache_events:
            expected = self.get_last_sequence(target) + 1
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                self.gap_count += 1
                self._doubtful_before[target] = now
            self._sequences[target] = event.sequence
            self._apply_one(target, event, now)

    def add_sent_prompt(
        self,
        target: TargetId,
        item: ItemName,
        blocks: Sequence[str],
        now: float,
    ) -> None:
        """Note a prompt that was sent: the engine will hold it."""
        for block in blocks:
            self._add((target, item, block), now)

    def remove_target(self, target: TargetId) -> None:
        """Drop what is known of a target, which restarted or left."""
        self._sequences.pop(target, None)
        for key in [key for key in self._entries if key[0] == target]:
            del self._entries[key]

    def estimate_cached_share(
        self,
        target: TargetId,
        item: ItemName,
        blocks: Sequence[str],
        now: float,
    ) -> float:
        """Return the share of the prompt's blocks held, from 0 to 1."""
        if not blocks:
            return 0.0
        doubtful_before = self._doubtful_before.get(target, 0.0)
        held = 0.0
        for block in blocks:
            seen_at = self._entries.get((target, item, block))
            if seen_at is None or now - seen_at > _ENTRY_LIFE_S:
                break
            held += _DOUBTFUL_WEIGHT if seen_at < doubtful_before else 1.0
        return held / len(blocks)

    def _apply_one(
        self, target: TargetId, event: CacheEvent, now: float
    ) -> None:
        item = ItemName(event.model.partition("@")[0])
        if event.kind is CacheEventKind.STORED:
            self._add((target, item, event.block), now)
            return
        if event.kind is CacheEventKind.REMOVED:
            self._entries.pop((target, item, event.block), None)
            return
        cleared = [key for key in self._entries if key[:2] == (target, item)]
        for key in cleared:
            del self._entries[key]

    def _add(self, key: _Key, now: float) -> None:
        self._entries[key] = now
        self._entries.move_to_end(key)
        while len(self._entries) > self._entries_limit:
            self._entries.popitem(last=False)
