"""Adaptive limit on the requests in flight at one target."""

_GROWTH_THRESHOLD = 0.8
_SLOW_FACTOR = 3.0
_SLOW_MARGIN_S = 0.15
_BACKOFF = 0.8
_BASELINE_DRIFT = 1.01
_SLOW_START_LIMIT = 1.0


class ConcurrencyLimit:
    """Grows while the first token comes fast, shrinks when it doesn't.

    Additive increase and multiplicative decrease. The baseline is the
    fastest recent time to first token; it drifts up, so that a target
    that became slower for good gets a new one.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._initial = float(initial)
        self._maximum = float(maximum)
        self._limit = min(self._initial, self._maximum)
        self._baseline_s: float | None = None
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Requests that may be in flight; at least one."""
        return int(self._limit)

    def record_first_token(
        self, elapsed: float, in_flight: int, now: float
    ) -> None:
        """Learn from a first token that took ``elapsed`` seconds."""
        if self._baseline_s is None or elapsed < self._baseline_s:
            self._baseline_s = elapsed
        self._baseline_s *= _BASELINE_DRIFT
        slow_s = self._baseline_s * _SLOW_FACTOR + _SLOW_MARGIN_S
        if elapsed > slow_s:
            self._shrink(now, elapsed)
        elif in_flight >= self._limit * _GROWTH_THRESHOLD:
            self._limit = min(self._maximum, self._limit + 1.0)

    def record_overload(self, now: float) -> None:
        """Learn that the target refused work."""
        self._shrink(now, self._baseline_s or 0.0)

    def restart(self) -> None:
        """Start from one request after the target was away."""
        self._limit = _SLOW_START_LIMIT
        self._baseline_s = None

    def _shrink(self, now: float, round_trip: float) -> None:
        # Once a round trip: answers to requests that were already out
        # say nothing about the new limit.
        if now - self._shrunk_at < round_trip:
            return
        self._shrunk_at = now
        self._limit = max(1.0, self._limit * _BACKOFF)
