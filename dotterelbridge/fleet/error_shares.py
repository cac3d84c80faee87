"""The share of requests that each target answers with an error.

An entry VM sees too few requests of one target to tell a failing one in
time, so the active controller sums what all of them saw.
"""

from collections import deque

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import TargetAnswers
from dotterelbridge.ids import Incarnation

_WINDOW_S = 4.0
"""Time over which answers are summed."""
_MIN_ERRORS = 2
"""A single error tells nothing of the target."""
_FADE_HALF_LIFE_S = 5.0
"""Half-life of a share without new answers, so that a target that gets no
requests is tried again."""
_STEP_PERCENT = 10
"""Rounding of published shares: each change is sent to all VMs."""
_FORGET_S = 60.0


class _Count(msgspec.Struct, frozen=True):
    at: float
    answered: int
    errors: int


class _Target:
    def __init__(self) -> None:
        self.counts: deque[_Count] = deque()
        self.share = 0.0
        self.updated_at = 0.0


class ErrorShares:
    """Sums the answers of all entry VMs by target."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[Incarnation, _Target] = {}

    def add(self, answers: TargetAnswers) -> None:
        """Add what one entry VM saw since its previous report."""
        now = self._clock.monotonic()
        incarnation = (answers.target, answers.born)
        target = self._targets.setdefault(incarnation, _Target())
        target.counts.append(_Count(now, answers.answered, answers.errors))
        self._update(target, now)

    def find_percent(self, incarnation: Incarnation) -> int:
        """Return the share of errors in percent, rounded."""
        target = self._targets.get(incarnation)
        if target is None:
            return 0
        now = self._clock.monotonic()
        self._update(target, now)
        age_s = now - target.updated_at
        if age_s > _FORGET_S:
            del self._targets[incarnation]
            return 0
        faded = target.share * 0.5 ** (age_s / _FADE_HALF_LIFE_S)
        return _STEP_PERCENT * round(100 * faded / _STEP_PERCENT)

    def _update(self, target: _Target, now: float) -> None:
        """Recompute the share, if there are recent answers."""
        while target.counts and target.counts[0].at < now - _WINDOW_S:
            target.counts.popleft()
        if not target.counts:
            return
        errors = sum(count.errors for count in target.counts)
        total = errors + sum(count.answered for count in target.counts)
        target.updated_at = target.counts[-1].at
        target.share = errors / total if errors >= _MIN_ERRORS else 0.0
