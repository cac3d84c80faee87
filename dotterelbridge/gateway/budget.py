"""A retry budget that all entry VMs share without exchanging messages.

Each VM uses its share of the budget: the proportional part follows from
the VM's own requests, and the fixed part is divided by the number of
entry VMs. A share is rounded to whole retries at random, up as often as its
fraction says: rounding down would withhold half a retry from each VM, and
granting each VM one retry would exceed a small budget.
"""

from collections import deque
from collections.abc import Callable
import math
import random

from dotterelbridge.clock import Clock
from dotterelbridge.gateway.settings import GatewaySettings

_START_SHARE = 0.25
"""Part of the fixed share that a process has when it starts. The part of the
budget that is never used (retry_use_percent) covers it."""
_MIN_ENTRY_VM_COUNT = 2
"""Entry VMs that are assumed until a control VM has reported the count."""


class _SlidingWindowCounter:
    """Counts the events within a sliding window."""

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._timestamps: deque[float] = deque()

    def add(self, now: float) -> None:
        self._timestamps.append(now)

    def count(self, now: float) -> int:
        while self._timestamps and self._timestamps[0] < now - self._length_s:
            self._timestamps.popleft()
        return len(self._timestamps)


class RetryBudget:
    """This VM's share of the retry budget of one service."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        count_entry_vms: Callable[[], int],
        rng: random.Random,
        started_at: float = -math.inf,
    ) -> None:
        """Create a budget without requests.

        :param started_at: monotonic time at which this process started. The
            retries of its predecessor count for one window more, so the fixed
            part grows with the time since the start.
        """
        self._started_at = started_at
        self._settings = settings
        self._clock = clock
        self._count_entry_vms = count_entry_vms
        self._requests = _SlidingWindowCounter(settings.retry_window_s)
        self._retries = _SlidingWindowCounter(settings.retry_window_s)
        self._rounding = rng.random()
        """Fraction of a retry that is added before rounding down."""

    def record_request(self) -> None:
        """Count a request of a caller for the service."""
        self._requests.add(self._clock.monotonic())

    def allows_retry(self) -> bool:
        """Whether the budget allows one more retry."""
        now = self._clock.monotonic()
        vm_count = max(_MIN_ENTRY_VM_COUNT, self._count_entry_vms())
        age_s = now - self._started_at
        fixed_share = min(
            1.0, max(_START_SHARE, age_s / self._settings.retry_window_s)
        )
        fixed = fixed_share * self._settings.retry_extra / vm_count
        proportional = (
            self._requests.count(now) * self._settings.retry_percent / 100
        )
        allowed = (
            (fixed + proportional) * self._settings.retry_use_percent / 100
        )
        return self._retries.count(now) + 1 <= int(allowed + self._rounding)

    def record_retry(self) -> None:
        """Count a retry that is sent to a target."""
        self._retries.add(self._clock.monotonic())
