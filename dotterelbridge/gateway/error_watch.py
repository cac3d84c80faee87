"""Finds targets that answer more requests with errors than is usual.

A target that fails each request at once is always idle. Balanced by load
alone, it would attract the requests of all VMs.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
import math
import random

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import TargetAnswers
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.ids import Incarnation

_HALF_LIFE_S = 4.0
"""Half-life of what this VM has seen itself."""
_EVIDENCE_LIFETIME_S = 4 * _HALF_LIFE_S
_PRIOR_ANSWERS = 2.0
"""Answers without an error that are assumed at first, so that one error does
not outweigh what all VMs have seen."""
_EXCESS = 0.25
"""Difference of the shares of errors from which another target is better.
Part of it is chance: a VM sees a few answers."""
_FAILING_SHARE = 0.5
"""Share of errors from which a request is better off in a queue."""
_MAX_FAILING_PART = 0.25
"""Largest part of a service's targets that are left out."""
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
        self._error_seen_at = -math.inf
        """Monotonic time of the latest error of any target."""
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
        if is_error:
            self._error_seen_at = now

    def has_evidence(self, published_percent: int) -> bool:
        """Whether any target may have a share of errors that counts.

        Most of the time there is none, and the shares need not be compared.

        :param published_percent: the highest share that is published.
        """
        age_s = self._clock.monotonic() - self._error_seen_at
        return published_percent > 0 or age_s < _EVIDENCE_LIFETIME_S

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

    def is_failing(
        self, target: GatewayTarget, targets: Iterable[GatewayTarget]
    ) -> bool:
        """Whether a target answers so many errors that none should go there.

        Its requests wait for other targets, also where these are full, and
        the item that it alone holds counts as missing. At most a quarter of
        a service's targets fail at a time; if more do, the cause is
        elsewhere.

        :param targets: all targets, of any service.
        """
        now = self._clock.monotonic()
        share = self._estimate_share(target, now)
        if share < _FAILING_SHARE:
            return False
        shares = sorted(
            (
                self._estimate_share(other, now)
                for other in targets
                if other.view.service == target.view.service
            ),
            reverse=True,
        )
        limit = math.ceil(len(shares) * _MAX_FAILING_PART)
        return len(shares) > limit and share > shares[limit]

    def takes_trial(
        self, call: GatewayCall, target: GatewayTarget, vm_count: int
    ) -> bool:
        """Whether a request that may be repeated tries a failing target."""
        return _may_be_repeated(call) and self._is_trial_due(
            target.incarnation, vm_count, self._clock.monotonic()
        )

    def prefer_sound(
        self, targets: Sequence[GatewayTarget]
    ) -> list[GatewayTarget]:
        """Leave out targets with many errors while others are free."""
        now = self._clock.monotonic()
        shares = [self._estimate_share(target, now) for target in targets]
        lowest = min(shares, default=0.0)
        return [
            target
            for target, share in zip(targets, shares, strict=True)
            if share <= lowest + _EXCESS
        ]

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

    def _is_trial_due(
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
