"""Accelerator memory of a stand-in engine, without a limit on loads.

It counts loads beyond the limit, so that tests can check that the sender of
the orders never exceeds it.
"""

from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import LoadedItem
from dotterelbridge.targets.engine import LoadState


class AcceleratorMemory:
    """Items in accelerator memory, its peak and the over-commits."""

    def __init__(self, memory_mb: int, kv_reserved_mb: int) -> None:
        self.memory_mb = memory_mb
        self.kv_reserved_mb = kv_reserved_mb
        self.items: dict[str, LoadedItem] = {}
        self.sequence = 0
        self.peak_mb = kv_reserved_mb
        self.over_commit_count = 0

    def compute_used_mb(self) -> int:
        """Return the memory in use, including the reserved KV cache."""
        weights = sum(entry.item.memory_mb for entry in self.items.values())
        return weights + self.kv_reserved_mb

    def set_item(self, item: EngineItem, state: LoadState) -> bool:
        """Set an item's state; return False if a new item does not fit."""
        key = get_item_key(item)
        is_new = key not in self.items
        self.items[key] = LoadedItem(item=item, state=state)
        self.sequence += 1
        self.peak_mb = max(self.peak_mb, self.compute_used_mb())
        is_within_limit = (
            not is_new or self.compute_used_mb() <= self.memory_mb
        )
        self.over_commit_count += not is_within_limit
        return is_within_limit

    def remove(self, key: str) -> None:
        """Free the memory of an item."""
        self.items.pop(key, None)
        self.sequence += 1

    def find_ready_key(self, model: str) -> str | None:
        """Return the key of a ready item, by key or by name.

        For a name, the key that sorts last is returned, that is the newest
        version.
        """
        ready = [
            key
            for key, entry in self.items.items()
            if entry.state is LoadState.READY
            and model in (key, entry.item.name)
        ]
        return max(ready, default=None)


def get_item_key(item: EngineItem) -> str:
    """Return NAME@VERSION."""
    return f"{item.name}@{item.version}"
