"""Accelerator memory of a stand-in engine: the truth that judges orders."""

from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import LoadedItem
from dotterelbridge.targets.engine import LoadState


class Memory:
    """Items in accelerator memory, and what exceeded it."""

    def __init__(self, memory_mb: int, kv_reserved_mb: int) -> None:
        self.memory_mb = memory_mb
        self.kv_reserved_mb = kv_reserved_mb
        self.items: dict[str, LoadedItem] = {}
        self.sequence = 0
        self.peak_mb = kv_reserved_mb
        self.over_commits = 0

    def used_mb(self) -> int:
        """Return the memory taken, KV cache included."""
        weights = sum(entry.item.memory_mb for entry in self.items.values())
        return weights + self.kv_reserved_mb

    def put(self, item: EngineItem, state: LoadState) -> bool:
        """Set the state of an item; returns whether it fits."""
        key = item_key(item)
        added = key not in self.items
        self.items[key] = LoadedItem(item=item, state=state)
        self.sequence += 1
        self.peak_mb = max(self.peak_mb, self.used_mb())
        fits = not added or self.used_mb() <= self.memory_mb
        self.over_commits += not fits
        return fits

    def remove(self, key: str) -> None:
        """Free the memory of an item."""
        self.items.pop(key, None)
        self.sequence += 1

    def find_ready(self, model: str) -> str | None:
        """Return the key of a ready item, the newest version by default."""
        ready = [
            key
            for key, entry in self.items.items()
            if entry.state is LoadState.READY
            and model in (key, entry.item.name)
        ]
        return max(ready, default=None)


def item_key(item: EngineItem) -> str:
    """Return NAME@VERSION."""
    return f"{item.name}@{item.version}"
