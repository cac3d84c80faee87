"""Rate limits for loads from the weight store that all domains share.

Each failure domain publishes how many loads it wants, and the limits are
divided among the domains in proportion. A domain that cannot be reached may
still load one item at a time, and the other domains leave that much of the
limit to it.
"""

from collections.abc import Iterable
import random as random_module
from typing import Any

import msgspec

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.settings import PlacementSettings


class WantedLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Loads that another failure domain wants from the weight store."""

    is_reachable: bool
    models_wanted: int = 0
    adapters_wanted: int = 0


def compute_load_limit(
    total_limit: int,
    wanted_here: int,
    wanted_elsewhere: Iterable[int],
    unreachable_count: int,
) -> int:
    """Return this domain's part of ``total_limit`` concurrent loads.

    :param wanted_here: loads that this domain wants.
    :param wanted_elsewhere: loads that each other reachable domain wants.
    :param unreachable_count: number of unreachable domains.
    """
    wanted = max(wanted_here, 1)
    available = total_limit - unreachable_count
    return max(1, available * wanted // (wanted + sum(wanted_elsewhere)))


class LoadPacer:
    """Decides when this failure domain may order its next load."""

    def __init__(
        self, settings: PlacementSettings, random: random_module.Random
    ) -> None:
        self._settings = settings
        self._random = random
        self._model_load_limit = 1
        self._adapter_load_limit = 1
        self._rate_per_s = settings.loads_per_s
        self._next_model_load_at = float("-inf")
        self._failures: dict[tuple[str, str], int] = {}
        self._retry_at: dict[tuple[str, str], float] = {}

    def update_limits(
        self,
        models_wanted: int,
        adapters_wanted: int,
        other_domains: list[WantedLoads],
    ) -> None:
        """Update this domain's limits from the loads that domains want."""
        reachable = [wanted for wanted in other_domains if wanted.is_reachable]
        unreachable_count = len(other_domains) - len(reachable)
        total_limit = self._settings.concurrent_loads
        self._model_load_limit = compute_load_limit(
            total_limit,
            models_wanted,
            [w.models_wanted for w in reachable],
            unreachable_count,
        )
        self._adapter_load_limit = compute_load_limit(
            self._settings.adapters_in_transit,
            adapters_wanted,
            [w.adapters_wanted for w in reachable],
            unreachable_count,
        )
        rate_share = min(1.0, self._model_load_limit / total_limit)
        self._rate_per_s = self._settings.loads_per_s * rate_share

    def is_load_allowed(
        self, kind: ItemKind, in_transit: int, now: float
    ) -> bool:
        """Whether the limits allow one more load of the kind now.

        :param in_transit: loads of the kind whose outcome is unknown;
            this includes orders whose answer was lost.
        """
        if kind is ItemKind.ADAPTER:
            return in_transit < self._adapter_load_limit
        return (
            in_transit < self._model_load_limit
            and now >= self._next_model_load_at
        )

    def count_load(self, kind: ItemKind, now: float) -> None:
        """Count a load against the rate limit."""
        if kind is ItemKind.MODEL:
            self._next_model_load_at = now + 1 / self._rate_per_s

    def record_failure(self, target: str, key: str, now: float) -> None:
        """Delay the next attempt: exponential backoff with jitter."""
        location = (target, key)
        failures = self._failures.get(location, 0)
        self._failures[location] = failures + 1
        max_delay_s = min(
            self._settings.backoff_limit_s,
            self._settings.backoff_first_s * 2.0 ** min(failures, 16),
        )
        self._retry_at[location] = now + max_delay_s * self._random.uniform(
            0.5, 1
        )

    def reset_failures(self, target: str, key: str) -> None:
        """Reset the backoff of an item on a target."""
        self._failures.pop((target, key), None)
        self._retry_at.pop((target, key), None)

    def is_backed_off(self, target: str, key: str, now: float) -> bool:
        """Whether the backoff of an item on a target has not passed yet."""
        return now < self._retry_at.get((target, key), float("-inf"))

    def dump(self) -> dict[str, Any]:
        """Return the current limits as JSON values."""
        return {
            "models_at_once": self._model_load_limit,
            "adapters_at_once": self._adapter_load_limit,
            "loads_per_s": self._rate_per_s,
            "backed_off": len(self._retry_at),
        }
