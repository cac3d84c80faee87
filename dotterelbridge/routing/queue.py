"""Bounded queue of requests that wait for a slot at a target.

Ordered by priority, then by deadline.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools

import anyio

from dotterelbridge import invariants
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import TargetId
from dotterelbridge.permits.pool import Permit
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.target import Slot

PRIORITY_RANKS = {
    Priority.URGENT: 0,
    Priority.NORMAL: 1,
    Priority.BACKGROUND: 2,
}

_FULL_CREDIT_PERCENT = 100


class Waiter:
    """One waiting request."""

    def __init__(
        self,
        call: Call,
        deadline_at: float,
        avoided_targets: frozenset[TargetId],
        now: float,
    ) -> None:
        self.call = call
        self.deadline_at = deadline_at
        self.avoided_targets = avoided_targets
        self.enqueued_at = now
        self.slot: Slot | None = None
        self.permit: Permit | None = None
        """Ordered for this request, if only targets with a rate limit can
        take it; a request before it in the queue may use it."""
        self.error: Exception | None = None
        self.is_removed = False
        self.asked_preemption = False
        self._resolved = anyio.Event()

    @property
    def is_interactive(self) -> bool:
        """Whether somebody waits for the response."""
        return self.call.priority is not Priority.BACKGROUND

    @property
    def order_key(self) -> tuple[int, float]:
        """Sort key in the queue: priority, then earliest deadline."""
        return PRIORITY_RANKS[self.call.priority], self.deadline_at

    def grant(self, slot: Slot) -> None:
        """End the wait with a slot."""
        self.slot = slot
        self._resolved.set()

    def refuse(self, error: Exception) -> None:
        """End the wait with an error."""
        self.error = error
        self._resolved.set()

    async def wait(self) -> Slot:
        """Return the granted slot, or raise the error of the refusal."""
        await self._resolved.wait()
        if self.error is not None:
            raise self.error
        return self.slot


class _ItemQueue:
    """Waiters for one item."""

    def __init__(self) -> None:
        self.heap: list[tuple[tuple[int, float], int, Waiter]] = []
        self.background: deque[Waiter] = deque()

    def find_first(self) -> Waiter | None:
        while self.heap and self.heap[0][2].is_removed:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def find_oldest_background(self) -> Waiter | None:
        while self.background and self.background[0].is_removed:
            self.background.popleft()
        return self.background[0] if self.background else None


class WaitQueue:
    """Waiters of all items; no priority ever exceeds its own limit.

    Background requests that have waited longer than ``background_wait_s``
    are overdue and get a fixed share of the freed slots, which prevents
    starvation: the k-th overdue request waits for at most
    k * 100 / share_percent further slots.
    """

    def __init__(
        self,
        limits: dict[Priority, int],
        background_wait_s: float,
        background_share_percent: int,
    ) -> None:
        self._limits = limits
        self._background_wait_s = background_wait_s
        self._background_share = background_share_percent
        self._background_credit = 0
        self._has_overdue = False
        self._priority_counts = dict.fromkeys(Priority, 0)
        self._item_queues: dict[ItemName, _ItemQueue] = {}
        self._item_counts: dict[ItemName, int] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(self._priority_counts.values())

    def count_waiters(self, priority: Priority) -> int:
        """Return the number of waiters with a priority."""
        return self._priority_counts[priority]

    def count_item_waiters(self, item: ItemName) -> int:
        """Return the number of waiters for an item."""
        return self._item_counts.get(item, 0)

    def count_waiters_ahead(
        self, item: ItemName, key: tuple[int, float]
    ) -> int:
        """Return the number of waiters for an item ahead of ``key``."""
        queue = self._item_queues.get(item)
        if queue is None:
            return 0
        return sum(
            1
            for other, _, waiter in queue.heap
            if other <= key and not waiter.is_removed
        )

    def list_items(self) -> Iterable[ItemName]:
        """Return the items that have waiters."""
        return self._item_counts.keys()

    def is_full(self, priority: Priority) -> bool:
        """Whether a priority has reached its limit."""
        return self._priority_counts[priority] >= self._limits[priority]

    def add(self, waiter: Waiter) -> None:
        """Enqueue a waiter; the caller must have checked ``is_full``."""
        call = waiter.call
        invariants.check(
            not self.is_full(call.priority),
            "queue_stays_bounded",
            priority=call.priority.value,
        )
        queue = self._item_queues.setdefault(call.item, _ItemQueue())
        entry = (waiter.order_key, next(self._sequence), waiter)
        heapq.heappush(queue.heap, entry)
        if call.priority is Priority.BACKGROUND:
            queue.background.append(waiter)
        self._priority_counts[call.priority] += 1
        self._item_counts[call.item] = self._item_counts.get(call.item, 0) + 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; does nothing if it was removed before."""
        if waiter.is_removed:
            return
        waiter.is_removed = True
        item = waiter.call.item
        self._priority_counts[waiter.call.priority] -= 1
        self._item_counts[item] -= 1
        if self._item_counts[item] == 0:
            del self._item_counts[item]
            del self._item_queues[item]

    def select_next(
        self, items: Iterable[ItemName], now: float
    ) -> Waiter | None:
        """Return the waiter for these items that gets the next slot."""
        queues = [
            self._item_queues[item]
            for item in items
            if item in self._item_queues
        ]
        overdue = self._find_overdue(queues, now)
        self._has_overdue = overdue is not None
        if (
            overdue
            and self._background_credit + self._background_share
            >= _FULL_CREDIT_PERCENT
        ):
            return overdue
        first_waiters = (queue.find_first() for queue in queues)
        return min(
            (waiter for waiter in first_waiters if waiter is not None),
            key=lambda waiter: waiter.order_key,
            default=None,
        )

    def remove_granted(self, waiter: Waiter) -> None:
        """Remove the waiter from ``select_next`` once it got a slot."""
        if self._has_overdue:
            self._background_credit += self._background_share
            if self._background_credit >= _FULL_CREDIT_PERCENT:
                self._background_credit -= _FULL_CREDIT_PERCENT
        self.remove(waiter)

    def list_waiters(self) -> Iterator[Waiter]:
        """Iterate over all waiters."""
        for queue in list(self._item_queues.values()):
            for _, _, waiter in list(queue.heap):
                if not waiter.is_removed:
                    yield waiter

    def _find_overdue(
        self, queues: list[_ItemQueue], now: float
    ) -> Waiter | None:
        oldest = (queue.find_oldest_background() for queue in queues)
        waiter = min(
            (waiter for waiter in oldest if waiter is not None),
            key=lambda waiter: waiter.enqueued_at,
            default=None,
        )
        if waiter is None:
            return None
        if now - waiter.enqueued_at < self._background_wait_s:
            return None
        return waiter
