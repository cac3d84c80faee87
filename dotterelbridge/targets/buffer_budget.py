"""Bounds the memory for answers that are received, over all exchanges.

The limit of one answer does not bound the memory of a process: many targets,
or many callers of one target, may have as large answers at the same time.
"""

from collections.abc import Callable

import structlog

from dotterelbridge import events
from dotterelbridge.targets.errors import AnswerEvicted
from dotterelbridge.targets.events import TargetEvent
from dotterelbridge.targets.memory_account import EvictionClass
from dotterelbridge.targets.memory_account import Holder
from dotterelbridge.targets.memory_account import MemoryAccount
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)

_BYTES_PER_MB = 1024 * 1024
_ACCOUNT_STEP_BYTES = 4096
"""Smaller answers are not recorded in the account of the process, which saves
CPU time."""

Evict = Callable[[AnswerEvicted], None]
"""Ends the reception of an answer."""


class BufferShare(Holder):
    """What one answer holds of the budget."""

    def __init__(self, budget: "BufferBudget") -> None:
        self._budget = budget
        self._evict: Evict | None = None
        self.size_bytes = 0
        self.is_evicted = False

    def start_receiving(self, evict: Evict) -> None:
        """Begin an answer, which may be evicted until it is complete.

        :param evict: called if the answer has to make room for others.
        """
        self._evict = evict
        self.is_evicted = False
        self.resize(0)

    def finish_receiving(self) -> None:
        """Keep what is held, without eviction, until ``close``."""
        self._evict = None

    @property
    def can_be_evicted(self) -> bool:
        """Whether the answer is still being received."""
        return self._evict is not None

    def resize(self, size_bytes: int) -> None:
        """Record how much is held now.

        :raises AnswerEvicted: the answer has to make room, or has done so.
        """
        if self.is_evicted:
            raise _create_eviction(self._budget.limit_bytes)
        self._set_size(size_bytes)
        if self.is_evicted:
            raise _create_eviction(self._budget.limit_bytes)
        self._budget.evict_largest(self)

    def classify(self) -> EvictionClass:
        if self.can_be_evicted and self.size_bytes:
            return EvictionClass.INCOMPLETE
        return EvictionClass.KEPT

    def evict(self, eviction_class=EvictionClass.INCOMPLETE) -> None:
        """Release what is held and end the reception."""
        events.log(
            _log,
            TargetEvent.ANSWER_EVICTED,
            size_bytes=self.size_bytes,
            used_bytes=self._budget.used_bytes,
        )
        self.is_evicted = True
        evict, self._evict = self._evict, None
        self.close()
        evict(_create_eviction(self._budget.limit_bytes))

    def close(self) -> None:
        """Release everything."""
        self._set_size(0)

    def _set_size(self, size_bytes: int) -> None:
        self._budget.change(size_bytes - self.size_bytes)
        self.size_bytes = size_bytes
        self._budget.update_account(self)


class BufferBudget:
    """Memory for answers of one process.

    The largest incomplete answer makes room for the others: answers without
    an end grow to the largest, and sound ones are seldom among them.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._shares: set[BufferShare] = set()
        self._account: MemoryAccount | None = None

    def attach(self, account: MemoryAccount) -> None:
        """Count answers also in the account of the process.

        Called before the first share is opened.
        """
        self._account = account

    def open_share(self) -> BufferShare:
        """Return an empty share; ``release`` ends it."""
        share = BufferShare(self)
        self._shares.add(share)
        return share

    def release(self, share: BufferShare) -> None:
        """End a share."""
        share.close()
        self._shares.discard(share)

    def change(self, difference_bytes: int) -> None:
        """Record that shares hold more or less."""
        self.used_bytes += difference_bytes

    def update_account(self, share: BufferShare) -> None:
        """Record what a share holds; it may be evicted."""
        if self._account is None:
            return
        difference = share.size_bytes - share.held_bytes
        if difference and not share.size_bytes:
            self._account.remove(share)
        elif abs(difference) >= _ACCOUNT_STEP_BYTES:
            self._account.add(share)
            self._account.resize(share, share.size_bytes)

    def evict_largest(self, growing: BufferShare) -> None:
        """Evict the largest incomplete answers while too much is held.

        :raises AnswerEvicted: the growing answer is among them.
        """
        while self.used_bytes > self.limit_bytes:
            candidates = [s for s in self._shares if s.can_be_evicted]
            if not candidates:
                return
            largest = max(candidates, key=lambda share: share.size_bytes)
            largest.evict()
            if largest is growing:
                raise _create_eviction(self.limit_bytes)


def create_buffer_budget(settings: TargetsSettings) -> BufferBudget:
    """Return a budget of the configured size."""
    return BufferBudget(settings.answers_limit_mb * _BYTES_PER_MB)


def _create_eviction(limit_bytes: int) -> AnswerEvicted:
    return AnswerEvicted(
        f"answers that are being received exceed {limit_bytes} bytes, or all "
        "connections the memory limit, and this is among the largest",
        "raise answers_limit_mb in [targets] or memory_limit_mb in "
        "[serving], or report the target to its owner",
    )
