"""Requests that wait for a place: bounded, by priority and deadline."""

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
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.target import Slot

RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BACKGROUND: 2}

_WHOLE_PERCENT = 100


class Waiter:
    """One waiting request."""

    def __init__(
        self,
        call: Call,
        deadline_at: float,
        avoid: frozenset[TargetId],
        now: float,
    ) -> None:
        self.call = call
        self.deadline_at = deadline_at
        self.avoid = avoid
        self.enqueued_at = now
        self.slot: Slot | None = None
        self.error: Exception | None = None
        self.done = False
        self.asked_displacement = False
        self._wake = anyio.Event()

    @property
    def key(self) -> tuple[int, float]:
        """Order among waiters: priority, then earliest deadline."""
        return RANKS[self.call.priority], self.deadline_at

    def grant(self, slot: Slot) -> None:
        """Hand over a place."""
        self.slot = slot
        self._wake.set()

    def refuse(self, error: Exception) -> None:
        """End the wait with an error."""
        self.error = error
        self._wake.set()

    async def wait(self) -> Slot:
        """Return the place, or raise the refusal."""
        await self._wake.wait()
        if self.error is not None:
            raise self.error
        return self.slot


class _ItemQueue:
    """Waiters for one item."""

    def __init__(self) -> None:
        self.heap: list[tuple[tuple[int, float], int, Waiter]] = []
        self.background: deque[Waiter] = deque()

    def head(self) -> Waiter | None:
        while self.heap and self.heap[0][2].done:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def oldest_background(self) -> Waiter | None:
        while self.background and self.background[0].done:
            self.background.popleft()
        return self.background[0] if self.background else None


class WaitQueue:
    """Aggregate: no priority ever holds more waiters than its limit.

    Background work that has waited beyond ``background_wait_s`` gets
    its share of the places, so that it never starves: the k-th such
    request waits for at most k * 100 / share_percent places more.
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
        self._credit = 0
        self._has_overdue = False
        self._counts = dict.fromkeys(Priority, 0)
        self._items: dict[ItemName, _ItemQueue] = {}
        self._waiting: dict[ItemName, int] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(self._counts.values())

    def count(self, priority: Priority) -> int:
        """Return the number of waiters of a priority."""
        return self._counts[priority]

    def count_item(self, item: ItemName) -> int:
        """Return the number of waiters for an item."""
        return self._waiting.get(item, 0)

    def count_before(self, item: ItemName, key: tuple[int, float]) -> int:
        """Return the waiters for an item that would go before ``key``."""
        queue = self._items.get(item)
        if queue is None:
            return 0
        return sum(
            1
            for other, _, waiter in queue.heap
            if other <= key and not waiter.done
        )

    def items(self) -> Iterable[ItemName]:
        """Return the items that someone waits for."""
        return self._waiting.keys()

    def is_full(self, priority: Priority) -> bool:
        """Whether a priority's queue takes no more."""
        return self._counts[priority] >= self._limits[priority]

    def add(self, waiter: Waiter) -> None:
        """Queue a waiter; the caller has checked ``is_full``."""
        call = waiter.call
        invariants.check(
            not self.is_full(call.priority),
            "queue_stays_bounded",
            priority=call.priority.value,
        )
        queue = self._items.setdefault(call.item, _ItemQueue())
        entry = (waiter.key, next(self._sequence), waiter)
        heapq.heappush(queue.heap, entry)
        if call.priority is Priority.BACKGROUND:
            queue.background.append(waiter)
        self._counts[call.priority] += 1
        self._waiting[call.item] = self._waiting.get(call.item, 0) + 1

    def remove(self, waiter: Waiter) -> None:
        """Take a waiter out, in whatever way its wait ended."""
        if waiter.done:
            return
        waiter.done = True
        item = waiter.call.item
        self._counts[waiter.call.priority] -= 1
        self._waiting[item] -= 1
        if self._waiting[item] == 0:
            del self._waiting[item]
            del self._items[item]

    def pick(self, items: Iterable[ItemName], now: float) -> Waiter | None:
        """Return who gets the next place among those items."""
        queues = [self._items[item] for item in items if item in self._items]
        overdue = self._find_overdue(queues, now)
        self._has_overdue = overdue is not None
        if overdue and self._credit + self._background_share >= _WHOLE_PERCENT:
            return overdue
        heads = (queue.head() for queue in queues)
        return min(
            (waiter for waiter in heads if waiter is not None),
            key=lambda waiter: waiter.key,
            default=None,
        )

    def take(self, waiter: Waiter) -> None:
        """Take out the one that ``pick`` gave, which got a place."""
        if self._has_overdue:
            self._credit += self._background_share
            if self._credit >= _WHOLE_PERCENT:
                self._credit -= _WHOLE_PERCENT
        self.remove(waiter)

    def waiters(self) -> Iterator[Waiter]:
        """Return all who wait."""
        for queue in list(self._items.values()):
            for _, _, waiter in list(queue.heap):
                if not waiter.done:
                    yield waiter

    def _find_overdue(
        self, queues: list[_ItemQueue], now: float
    ) -> Waiter | None:
        oldest = (queue.oldest_background() for queue in queues)
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
