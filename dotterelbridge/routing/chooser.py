"""Load balancing: chooses one of the targets that can take a request."""

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
_CACHED_PROMPT_SAVING_SHARE = 0.5
"""Share of the time to first token that a fully cached prompt saves."""
_NETWORK_DELAY_S = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 0.004,
    Distance.OTHER_REGION: 0.03,
}
_SAMPLE_COUNT = 2


class TargetChooser(abc.ABC):
    """Chooses among targets that are ready and have a free slot."""

    @abc.abstractmethod
    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        """Return one of the given targets; there is at least one."""

    def estimate_first_token_s(
        self, call: Call, target: Target, now: float
    ) -> float:
        """Return the expected time to first token; 0 without an estimate."""
        return 0.0


class RoundRobinChooser(TargetChooser):
    """Baseline: cycles through the targets."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        return targets[next(self._counter) % len(targets)]


class RandomChooser(TargetChooser):
    """Baseline: picks a target uniformly at random."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        return self._random.choice(targets)


class LeastOutstandingChooser(TargetChooser):
    """Baseline: picks the target with the fewest requests from this VM."""

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
    """Picks the shortest expected time to first token of a few candidates.

    Two candidates are sampled at random: all VMs act on the same stale load
    reports and would otherwise pick the same target. The target that has
    the longest prefix of the prompt cached is a candidate too.
    """

    def __init__(self, rng: random.Random, cache: CacheIndex) -> None:
        self._random = rng
        self._cache = cache

    def choose(
        self, call: Call, targets: Sequence[Target], now: float
    ) -> Target:
        sampled = list(targets)
        if len(targets) > _SAMPLE_COUNT:
            sampled = self._random.sample(sampled, _SAMPLE_COUNT)
            sampled += self._find_longest_prefix(call, targets, now)
        self._random.shuffle(sampled)
        # A target without samples is assumed to be as fast as the fastest
        # other candidate, so that it gets requests and is measured.
        estimates_s = [
            target.latency.get_first_token_s(now) for target in sampled
        ]
        fastest_s = min(
            (seconds for seconds in estimates_s if seconds is not None),
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
        self, call: Call, target: Target, now: float, default_s: float
    ) -> float:
        first_token_s = target.latency.get_first_token_s(now)
        if first_token_s is None:
            first_token_s = default_s
        cached_share = self._cache.estimate_cached_share(
            target.view.info.target, call.item, call.prompt_blocks, now
        )
        first_token_s *= 1 - _CACHED_PROMPT_SAVING_SHARE * cached_share
        expected_s = (
            first_token_s * target.estimate_batch_slowdown()
            + target.estimate_queue_delay_s()
        )
        # A first token that is overdue now outweighs past measurements.
        waited_s = target.find_longest_wait_s(now)
        return max(expected_s, waited_s) + _NETWORK_DELAY_S[target.distance]

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
    """Return the chooser that the settings select."""
    factories: dict[str, Callable[[], TargetChooser]] = {
        "estimate": lambda: EstimateChooser(rng, cache),
        "round_robin": RoundRobinChooser,
        "random": lambda: RandomChooser(rng),
        "least_outstanding": lambda: LeastOutstandingChooser(rng),
    }
    return factories[settings.chooser]()
