"""One account of the memory that a process holds for its connections.

Limits of single requests do not bound a process: many callers may each hold
as much as one of them may.
"""

import abc
import enum

_BYTES_PER_MB = 1024 * 1024
_TARGET_SHARE = 15 / 16
"""Share of the limit down to which room is made, so that the holders are not
sorted again for each byte that arrives."""


class EvictionClass(enum.Enum):
    """Which holders make room first."""

    IDLE = 0
    """Without a request; the longest idle go first."""
    INCOMPLETE = 1
    """What holds a part of a message, or data that is not taken; the largest
    go first."""
    KEPT = 2
    """What is served in calm; never evicted."""


class Holder(abc.ABC):
    """Something that holds memory of the account."""

    held_bytes = 0
    idle_since = 0.0

    @abc.abstractmethod
    def classify(self) -> EvictionClass:
        """Return whether and when this holder makes room."""

    @abc.abstractmethod
    def evict(self, eviction_class: EvictionClass) -> None:
        """Release everything; ``held_bytes`` is 0 afterwards."""


class MemoryAccount:
    """Memory held for all connections of one process."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._holders: set[Holder] = set()

    def add(self, holder: Holder) -> None:
        """Count a new holder."""
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Count a holder no longer."""
        self._holders.discard(holder)
        self.used_bytes -= holder.held_bytes
        holder.held_bytes = 0

    def resize(self, holder: Holder, held_bytes: int) -> None:
        """Record what a holder holds now; make room if it is too much.

        The holder itself may be evicted.
        """
        difference = held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        self.used_bytes += difference
        if difference > 0 and self.used_bytes > self.limit_bytes:
            self._make_room()

    def _make_room(self) -> None:
        candidates = []
        for holder in self._holders:
            eviction_class = holder.classify()
            if eviction_class is EvictionClass.IDLE:
                order = (0, holder.idle_since)
            elif eviction_class is EvictionClass.INCOMPLETE:
                order = (1, -holder.held_bytes)
            else:
                continue
            candidates.append((order, id(holder), holder, eviction_class))
        candidates.sort()
        target_bytes = self.limit_bytes * _TARGET_SHARE
        for _, _, holder, eviction_class in candidates:
            if self.used_bytes <= target_bytes:
                return
            holder.evict(eviction_class)


def create_memory_account(limit_mb: int) -> MemoryAccount:
    """Return an empty account."""
    return MemoryAccount(limit_mb * _BYTES_PER_MB)
