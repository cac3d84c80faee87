"""A retry budget that holds over all entry VMs without messages.

Each VM spends its share: the part that grows with requests counts the
VM's own, and the fixed part is divided by the number of entry VMs.
"""

from collections import deque
from collections.abc import Callable

from dotterelbridge.clock import Clock
from dotterelbridge.gateway.settings import GatewaySettings

_FEWEST_VMS = 2
"""Entry VMs that are assumed until a source has counted them."""


class _Window:
    """Times of events within a sliding window."""

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] < now - self._length_s:
            self._times.popleft()
        return len(self._times)


class RetryShare:
    """This VM's share of the retries of one service."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        count_entry_vms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._count_entry_vms = count_entry_vms
        self._requests = _Window(settings.retry_window_s)
        self._retries = _Window(settings.retry_window_s)

    def count_request(self) -> None:
        """Count a caller's request for the service."""
        self._requests.add(self._clock.monotonic())

    def may_retry(self) -> bool:
        """Whether one more arrival at a target is allowed."""
        now = self._clock.monotonic()
        vms = max(_FEWEST_VMS, self._count_entry_vms())
        fixed = self._settings.retry_extra / vms
        grown = self._requests.count(now) * self._settings.retry_percent / 100
        allowed = (fixed + grown) * self._settings.retry_use_percent / 100
        return self._retries.count(now) + 1 <= max(1.0, allowed)

    def count_retry(self) -> None:
        """Count a further arrival at a target."""
        self._retries.add(self._clock.monotonic())
