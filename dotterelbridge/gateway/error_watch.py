"""Finds targets that answer more requests with errors than is usual.

A target that fails each request at once is always idle. Balanced by load
alone, it would attract the requests of all VMs.
"""

from collections import Counter
from collections.abc import Sequence
import math
import random
import statistics

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import TargetAnswers
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.ids import Incarnation

_HALF_LIFE_S = 4.0
"""Half-life of what this VM has seen itself."""
_PRIOR_ANSWERS = 1.0
"""Answers without an error that are assumed at first, so that one error does
not outweigh what all VMs have seen."""
_EXCESS = 0.25
"""Share of errors beyond the usual one of the service, from which a target
counts as failing. Part of it is chance: a VM sees a few answers."""
_TRIALS_PER_S = 2.0
"""Trials of one failing target over all VMs."""


class _Seen(msgspec.Struct):
    answered: float = 0.0
    errors: float = 0.0
    updated_at: float = -math.inf
    tried_at: float = -math.inf


class ErrorWatch:
    """Leaves failing targets out while others can take the requests."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._seen: dict[Incarnation, _Seen] = {}
        self._answered: Counter[Incarnation] = Counter()
        self._errors: Counter[Incarnation] = Counter()

    def record_answer(self, incarnation: Incarnation, is_error: bool) -> None:
        """Count a request that a target answered."""
        counts = self._errors if is_error else self._answered
        counts[incarnation] += 1
        now = self._clock.monotonic()
        seen = self._seen.setdefault(incarnation, _Seen())
        fade = 0.5 ** ((now - seen.updated_at) / _HALF_LIFE_S)
        seen.answered = seen.answered * fade + (not is_error)
        seen.errors = seen.errors * fade + is_error
        seen.updated_at = now

    def forget(self, incarnation: Incarnation) -> None:
        """Forget a target that is gone."""
        self._seen.pop(incarnation, None)

    def read_counts(self) -> tuple[TargetAnswers, ...]:
        """Return the answers since the previous call, and reset them."""
        answered, self._answered = self._answered, Counter()
        errors, self._errors = self._errors, Counter()
        return tuple(
            TargetAnswers(target, born, answered[target, born], error_count)
            for target, born in sorted({*answered, *errors})
            for error_count in (errors[target, born],)
        )

    def select_sound(
        self,
        call: GatewayCall,
        targets: Sequence[GatewayTarget],
        vm_count: int,
    ) -> list[GatewayTarget]:
        """Leave out failing targets, unless all of them fail alike.

        From time to time a request that may be repeated tries a failing
        target, and only that one is returned.
        """
        if len(targets) < 2:
            return list(targets)
        now = self._clock.monotonic()
        shares = [self._estimate_share(target, now) for target in targets]
        usual = statistics.median_low(shares)
        failing = [
            target
            for target, share in zip(targets, shares, strict=True)
            if share > usual + _EXCESS
        ]
        if not failing:
            return list(targets)
        if _may_be_repeated(call):
            for target in failing:
                if self._takes_trial(target.incarnation, vm_count, now):
                    return [target]
        return [target for target in targets if target not in failing]

    def _estimate_share(self, target: GatewayTarget, now: float) -> float:
        """Return the higher of the own share of errors and that of all."""
        published = target.view.load.error_percent / 100
        seen = self._seen.get(target.incarnation)
        if seen is None:
            return published
        fade = 0.5 ** ((now - seen.updated_at) / _HALF_LIFE_S)
        errors = seen.errors * fade
        total = errors + seen.answered * fade + _PRIOR_ANSWERS
        return max(published, errors / total)

    def _takes_trial(
        self, incarnation: Incarnation, vm_count: int, now: float
    ) -> bool:
        """Whether it is this VM's turn to try a failing target."""
        seen = self._seen.setdefault(incarnation, _Seen())
        interval_s = max(1, vm_count) / _TRIALS_PER_S
        if math.isinf(seen.tried_at):
            # The VMs' turns are spread over the interval.
            seen.tried_at = now - interval_s * self._random.random()
            return False
        if now - seen.tried_at < interval_s:
            return False
        seen.tried_at = now
        return True


def _may_be_repeated(call: GatewayCall) -> bool:
    """Whether another target can take the request if this attempt fails."""
    return (
        call.route.is_repeatable
        and call.route.attempts > 1
        and not call.attempts
    )
