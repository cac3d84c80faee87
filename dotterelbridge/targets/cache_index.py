"""Estimate of the prompt prefixes in each engine's prefix cache.

Cache events arrive late and with gaps, so entries are hints: an entry has
a lower weight after events were missed, and expires after a fixed time.
Prompts that this VM sent count as cached before an event confirms it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind

_ENTRY_TTL_S = 300.0
_UNCERTAIN_ENTRY_WEIGHT = 0.5
_MAX_ENTRY_COUNT = 20000
"""Entries of all targets together; limits the memory to about 5 MB."""

_Key = tuple[TargetId, ItemName, str]


class CacheIndex:
    """Cached prompt blocks of all targets, bounded in number (LRU)."""

    def __init__(self, max_entry_count: int = _MAX_ENTRY_COUNT) -> None:
        self._max_entry_count = max_entry_count
        self._entries: OrderedDict[_Key, float] = OrderedDict()
        self._last_sequences: dict[TargetId, int] = {}
        self._uncertain_before: dict[TargetId, float] = {}
        self.gap_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get_last_sequence(self, target: TargetId) -> int:
        """Return the highest sequence number of a target's events, or 0."""
        return self._last_sequences.get(target, 0)

    def apply(
        self, target: TargetId, cache_events: Iterable[CacheEvent], now: float
    ) -> None:
        """Apply cache events in ascending order of their sequence."""
        for event in cache_events:
            expected = self.get_last_sequence(target) + 1
            if event.sequence < expected:
                continue
            if event.sequence > expected:
                self.gap_count += 1
                self._uncertain_before[target] = now
            self._last_sequences[target] = event.sequence
            self._apply_event(target, event, now)

    def add_sent_prompt(
        self,
        target: TargetId,
        item: ItemName,
        blocks: Sequence[str],
        now: float,
    ) -> None:
        """Add the blocks of a sent prompt, which the engine will cache."""
        for block in blocks:
            self._add((target, item, block), now)

    def remove_target(self, target: TargetId) -> None:
        """Remove all entries of a target that restarted or left."""
        self._last_sequences.pop(target, None)
        for key in [key for key in self._entries if key[0] == target]:
            del self._entries[key]

    def estimate_cached_share(
        self,
        target: TargetId,
        item: ItemName,
        blocks: Sequence[str],
        now: float,
    ) -> float:
        """Return the weighted share of the prompt's cached blocks, 0 to 1.

        Only the unbroken sequence from the first block on counts.
        """
        if not blocks:
            return 0.0
        uncertain_before = self._uncertain_before.get(target, 0.0)
        cached = 0.0
        for block in blocks:
            seen_at = self._entries.get((target, item, block))
            if seen_at is None or now - seen_at > _ENTRY_TTL_S:
                break
            cached += (
                _UNCERTAIN_ENTRY_WEIGHT if seen_at < uncertain_before else 1.0
            )
        return cached / len(blocks)

    def _apply_event(
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
        while len(self._entries) > self._max_entry_count:
            self._entries.popitem(last=False)
