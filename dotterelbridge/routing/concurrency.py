"""Adaptive limit on the requests in flight at one target."""

_GROWTH_UTILIZATION_SHARE = 0.8
_SLOW_FACTOR = 3.0
_SLOW_MARGIN_S = 0.15
_DECREASE_FACTOR = 0.8
_BASELINE_DRIFT_FACTOR = 1.01
_SLOW_START_LIMIT_COUNT = 1.0


class ConcurrencyLimit:
    """AIMD limit (additive increase, multiplicative decrease).

    Increases while the time to first token stays near its baseline and
    decreases when it does not. The baseline is the fastest recent time to
    first token; it drifts up, so that a target that became permanently
    slower gets a new one.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._initial = float(initial)
        self._maximum = float(maximum)
        self._limit = min(self._initial, self._maximum)
        self._baseline_s: float | None = None
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Requests that may be in flight; at least one."""
        return int(self._limit)

    def record_first_token(
        self, elapsed: float, in_flight: int, now: float
    ) -> None:
        """Adapt to a first token that took ``elapsed`` seconds."""
        if self._baseline_s is None or elapsed < self._baseline_s:
            self._baseline_s = elapsed
        self._baseline_s *= _BASELINE_DRIFT_FACTOR
        slow_s = self._baseline_s * _SLOW_FACTOR + _SLOW_MARGIN_S
        if elapsed > slow_s:
            self._decrease(now, elapsed)
        elif in_flight >= self._limit * _GROWTH_UTILIZATION_SHARE:
            self._limit = min(self._maximum, self._limit + 1.0)

    def record_overload(self, now: float) -> None:
        """Decrease the limit because the target refused a request."""
        self._decrease(now, self._baseline_s or 0.0)

    def begin_slow_start(self) -> None:
        """Restart from one request after the target was ejected."""
        self._limit = _SLOW_START_LIMIT_COUNT
        self._baseline_s = None

    def _decrease(self, now: float, round_trip: float) -> None:
        # At most once per round trip: responses to requests already in
        # flight say nothing about the new limit.
        if now - self._decreased_at < round_trip:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * _DECREASE_FACTOR)
