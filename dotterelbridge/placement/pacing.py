"""Paces loads to the weight store that all failure domains share.

Each domain states how many loads it wants; a domain's share of the limits
is in proportion. A domain that is not heard keeps a floor of one load at
a time, and the others leave that much to it.
"""

from collections.abc import Iterable
import random as random_module
from typing import Any

import msgspec

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.settings import PlacementSettings


class DomainWish(msgspec.Struct, frozen=True, kw_only=True):
    """What another failure domain wants of the weight store."""

    heard: bool
    wanting: int = 0
    adapters_wanting: int = 0


def share_limit(
    total: int, own: int, others: Iterable[int], silent: int
) -> int:
    """Return how many of ``total`` loads at once are this domain's.

    :param own: loads that this domain wants.
    :param others: loads that each domain that is heard wants.
    :param silent: number of domains that are not heard.
    """
    wanted = max(own, 1)
    available = total - silent
    return max(1, available * wanted // (wanted + sum(others)))


class LoadPacer:
    """Says when this domain may order its next load."""

    def __init__(
        self, settings: PlacementSettings, random: random_module.Random
    ) -> None:
        self._settings = settings
        self._random = random
        self._models_at_once = 1
        self._adapters_at_once = 1
        self._rate_per_s = settings.loads_per_s
        self._next_model_at = float("-inf")
        self._failures: dict[tuple[str, str], int] = {}
        self._retry_at: dict[tuple[str, str], float] = {}

    def set_shares(
        self,
        wanting: int,
        adapters_wanting: int,
        others: list[DomainWish],
    ) -> None:
        """Take in what the domains want."""
        heard = [wish for wish in others if wish.heard]
        silent = len(others) - len(heard)
        total = self._settings.concurrent_loads
        self._models_at_once = share_limit(
            total, wanting, [w.wanting for w in heard], silent
        )
        self._adapters_at_once = share_limit(
            self._settings.adapters_in_transit,
            adapters_wanting,
            [w.adapters_wanting for w in heard],
            silent,
        )
        part = min(1.0, self._models_at_once / total)
        self._rate_per_s = self._settings.loads_per_s * part

    def may_load(self, kind: ItemKind, in_transit: int, now: float) -> bool:
        """Whether one more load of the kind fits the limits now.

        :param in_transit: loads of the kind whose outcome is unknown;
            lost answers are among them.
        """
        if kind is ItemKind.ADAPTER:
            return in_transit < self._adapters_at_once
        return in_transit < self._models_at_once and now >= self._next_model_at

    def note_load(self, kind: ItemKind, now: float) -> None:
        """Count a load against the rate."""
        if kind is ItemKind.MODEL:
            self._next_model_at = now + 1 / self._rate_per_s

    def note_failure(self, target: str, key: str, now: float) -> None:
        """Back off: double the wait, with jitter."""
        place = (target, key)
        failures = self._failures.get(place, 0)
        self._failures[place] = failures + 1
        longest_s = min(
            self._settings.backoff_limit_s,
            self._settings.backoff_first_s * 2.0 ** min(failures, 16),
        )
        self._retry_at[place] = now + longest_s * self._random.uniform(0.5, 1)

    def note_success(self, target: str, key: str) -> None:
        """Forget the failures of an item at a target."""
        self._failures.pop((target, key), None)
        self._retry_at.pop((target, key), None)

    def is_backed_off(self, target: str, key: str, now: float) -> bool:
        """Whether an item waits for its next try at a target."""
        return now < self._retry_at.get((target, key), float("-inf"))

    def dump(self) -> dict[str, Any]:
        """Return the shares as JSON values."""
        return {
            "models_at_once": self._models_at_once,
            "adapters_at_once": self._adapters_at_once,
            "loads_per_s": self._rate_per_s,
            "backed_off": len(self._retry_at),
        }
