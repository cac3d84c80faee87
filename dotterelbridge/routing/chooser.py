"""Choice of one target among those that could take a request."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random

from dotterelbridge.routing.call import Call
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Target
from dotterelbridge.targets.cache_index import CacheIndex

_DEFAULT_FIRST_TOKEN_S = 0.15
_CACHED_SAVING = 0.5
"""Share of the time to first token that a fully cached prompt saves."""
_DISTANCE_S = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 0.004,
    Distance.OTHER_REGION: 0.03,
}
_SAMPLES = 2


class TargetChooser(abc.ABC):
    """Chooses among targets that are ready and have room."""

    @abc.abstractmethod
    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        """Return one of the targets, of which there is at least one."""

    def estimate_first_token_s(
        self, call: Call, target: Target, now: float
    ) -> float:
        """Return the expected time to first token; 0 when not judged."""
        return 0.0


class RoundRobinChooser(TargetChooser):
    """Baseline: each in turn, by model."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        return targets[next(self._turns) % len(targets)]


class RandomChooser(TargetChooser):
    """Baseline: any."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        return self._random.choice(targets)


class LeastOutstandingChooser(TargetChooser):
    """Baseline: the fewest requests of this VM in flight."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        fewest = min(target.in_flight for target in targets)
        return self._random.choice(
            [target for target in targets if target.in_flight == fewest]
        )


class EstimateChooser(TargetChooser):
    """The shortest expected time to first token of a few candidates.

    Two are sampled, since every VM acts on the same stale reports and
    would otherwise send to the same target; the one that holds the
    longest prefix of the prompt is looked at too.
    """

    def __init__(self, rng: random.Random, cache: CacheIndex) -> None:
        self._random = rng
        self._cache = cache

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        sampled = list(targets)
        if len(targets) > _SAMPLES:
            sampled = self._random.sample(sampled, _SAMPLES)
            sampled += self._find_longest_prefix(call, targets, now)
        self._random.shuffle(sampled)
        # An unknown target counts as fast as the fastest known one, so
        # that it gets work and becomes known.
        known = [target.speed.first_token_s(now) for target in sampled]
        fastest_s = min(
            (seconds for seconds in known if seconds is not None),
            default=_DEFAULT_FIRST_TOKEN_S,
        )
        return min(
            sampled,
            key=lambda target: self._estimate(call, target, now, fastest_s),
        )

    def estimate_first_token_s(
        self, call: Call, target: Target, now: float
    ) -> float:
        return self._estimate(call, target, now, _DEFAULT_FIRST_TOKEN_S)

    def _estimate(
        self, call: Call, target: Target, now: float, unknown_s: float
    ) -> float:
        unit_s = target.speed.first_token_s(now)
        if unit_s is None:
            unit_s = unknown_s
        cached = self._cache.estimate_cached_share(
            target.view.info.target, call.item, call.prompt_blocks, now
        )
        unit_s *= 1 - _CACHED_SAVING * cached
        own_s = unit_s * target.batch_factor() + target.queue_delay_s()
        # A target that keeps others waiting is slow, whatever it was.
        waited_s = target.oldest_wait(now)
        return max(own_s, waited_s) + _DISTANCE_S[target.distance]

    def _find_longest_prefix(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> list[Target]:
        if not call.prompt_blocks:
            return []
        share, best = max(
            (
                (
                    self._cache.estimate_cached_share(
                        target.view.info.target,
                        call.item,
                        call.prompt_blocks,
                        now,
                    ),
                    index,
                )
                for index, target in enumerate(targets)
            ),
            default=(0.0, 0),
        )
        return [targets[best]] if share > 0 else []


def create_chooser(
    settings: RoutingSettings, rng: random.Random, cache: CacheIndex
) -> TargetChooser:
    """Return the chooser that the settings name."""
    factories: dict[str, Callable[[], TargetChooser]] = {
        "estimate": lambda: EstimateChooser(rng, cache),
        "round_robin": RoundRobinChooser,
        "random": lambda: RandomChooser(rng),
        "least_outstanding": lambda: LeastOutstandingChooser(rng),
    }
    return factories[settings.chooser]()
