"""Speed of one target, learnt from the answers it gave."""

_WEIGHT = 0.2
_FADE_AFTER_S = 5.0
_FADE_HALF_LIFE_S = 5.0


class SpeedEstimate:
    """Smoothed unloaded time to first token, and what follows it."""

    def __init__(self) -> None:
        self._first_token_s: float | None = None
        self._between_s: float | None = None
        self._hold_s: float | None = None
        self._learnt_at = float("-inf")

    def record_first_token(self, elapsed: float, now: float) -> None:
        """Learn an unloaded time to first token, in seconds."""
        known_s = self.first_token_s(now)
        self._first_token_s = _smooth(known_s, elapsed)
        self._learnt_at = now

    def record_hold(self, held: float, tokens: int) -> None:
        """Learn how long a request held its slot, in seconds."""
        self._hold_s = _smooth(self._hold_s, held)
        if tokens > 1:
            self._between_s = _smooth(self._between_s, held / tokens)

    def first_token_s(self, now: float) -> float | None:
        """Return the estimate; None when nothing recent is known.

        It fades, so that a target that was slow is tried again.
        """
        if self._first_token_s is None:
            return None
        age = now - self._learnt_at
        if age <= _FADE_AFTER_S:
            return self._first_token_s
        halvings = (age - _FADE_AFTER_S) / _FADE_HALF_LIFE_S
        return self._first_token_s * 0.5**halvings

    @property
    def between_s(self) -> float | None:
        """Time between tokens, in seconds."""
        return self._between_s

    @property
    def hold_s(self) -> float | None:
        """Time for which a request holds its slot, in seconds."""
        return self._hold_s


def _smooth(known: float | None, seen: float) -> float:
    if known is None:
        return seen
    return known + _WEIGHT * (seen - known)
