"""Speed of one target: latencies estimated from its past responses."""

_SMOOTHING_WEIGHT_SHARE = 0.2
_DECAY_START_S = 5.0
_DECAY_HALF_LIFE_S = 5.0


class LatencyEstimate:
    """Moving averages of the unloaded time to first token and what follows."""

    def __init__(self) -> None:
        self._first_token_s: float | None = None
        self._inter_token_s: float | None = None
        self._slot_hold_s: float | None = None
        self._updated_at = float("-inf")

    def record_first_token(self, elapsed: float, now: float) -> None:
        """Add a sample of the unloaded time to first token, in seconds."""
        previous_s = self.get_first_token_s(now)
        self._first_token_s = _smooth(previous_s, elapsed)
        self._updated_at = now

    def record_slot_hold(self, held: float, tokens: int) -> None:
        """Add a sample of the time a request held its slot, in seconds."""
        self._slot_hold_s = _smooth(self._slot_hold_s, held)
        if tokens > 1:
            self._inter_token_s = _smooth(self._inter_token_s, held / tokens)

    def get_first_token_s(self, now: float) -> float | None:
        """Return the estimate; None without any sample.

        It decays with age, so that a target that was slow is tried again.
        """
        if self._first_token_s is None:
            return None
        age = now - self._updated_at
        if age <= _DECAY_START_S:
            return self._first_token_s
        halvings = (age - _DECAY_START_S) / _DECAY_HALF_LIFE_S
        return self._first_token_s * 0.5**halvings

    @property
    def inter_token_s(self) -> float | None:
        """Inter-token latency, in seconds."""
        return self._inter_token_s

    @property
    def slot_hold_s(self) -> float | None:
        """Time for which a request holds its slot, in seconds."""
        return self._slot_hold_s


def _smooth(previous: float | None, sample: float) -> float:
    if previous is None:
        return sample
    return previous + _SMOOTHING_WEIGHT_SHARE * (sample - previous)
