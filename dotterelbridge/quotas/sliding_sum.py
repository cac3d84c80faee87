"""Sums of amounts over a sliding window, with bounded memory."""

_SLOTS = 64
"""Slots of a window; amounts are kept for up to one slot longer."""


class SlidingSum:
    """Sums amounts by the time that they belong to.

    Amounts of the future count as well. An amount leaves the sum when its
    whole slot is older than the window, so that the sum is never too low.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / _SLOTS
        self._amounts: dict[int, float] = {}
        """Amounts by number of the slot."""
        self._total = 0.0

    def add(self, at: float, amount: float) -> None:
        """Add an amount, or subtract one that was added for the time."""
        slot = int(at // self._slot_s)
        self._amounts[slot] = self._amounts.get(slot, 0.0) + amount
        self._total += amount

    def find_total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        oldest = int((now - self._window_s) // self._slot_s)
        for slot in [slot for slot in self._amounts if slot < oldest]:
            self._total -= self._amounts.pop(slot)
        if not self._amounts:
            self._total = 0.0
        return self._total

    def find_wait_s(self, amount: float, now: float) -> float:
        """Return the time until an amount has left the window."""
        for slot in sorted(self._amounts):
            amount -= self._amounts[slot]
            if amount <= 0:
                left_at = (slot + 1) * self._slot_s + self._window_s
                return max(0.0, left_at - now)
        return self._window_s
