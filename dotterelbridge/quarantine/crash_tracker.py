"""Finds the traits that the crashes of targets have in common."""

from collections import Counter
from collections.abc import Iterable

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.settings import QuarantineSettings

_CRASH_LIFETIME_S = 300.0
"""Time after which a crash is no evidence any more."""
_MAX_TRACKED_TRAITS = 4096
"""Bound on memory: traits with crashes, and traits that were answered."""
_MAX_SUSPECTS = 3
"""Traits with equal evidence that may be suspected at the same time."""
_TIE_CRASHES = 2
"""Further crashes that have to tell traits with equal evidence apart."""
_MS_PER_S = 1000


class CrashTracker:
    """Counts crashes for each trait since its last complete answer.

    A trait is suspected once enough targets have crashed under it, one after
    the other, without a complete answer to any request with it in between.
    """

    def __init__(self, settings: QuarantineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._crashes: dict[TraitId, dict[Incarnation, float]] = {}
        """Monotonic times of the crashes, in their order."""
        self._explained: dict[Incarnation, float] = {}
        """Monotonic times of crashes whose cause is known."""
        self._answered_traits: dict[TraitId, None] = {}
        """Traits of complete answers, the latest last."""

    def record_crash(
        self,
        incarnation: Incarnation,
        traits: Iterable[TraitId],
        known_causes: Iterable[TraitId] = (),
    ) -> None:
        """Record that a target crashed while it began to answer the traits.

        Several VMs report traits of the same crash.

        :param known_causes: traits that explain a crash, so that it is no
            evidence against others.
        """
        now = self._clock.monotonic()
        traits = set(traits)
        if traits.intersection(known_causes):
            self._explain_crash(incarnation)
        if incarnation in self._explained:
            return
        for trait in sorted(traits):
            crashes = self._crashes.pop(trait, {})
            crashes.setdefault(incarnation, now)
            self._crashes[trait] = crashes
        while len(self._crashes) > _MAX_TRACKED_TRAITS:
            del self._crashes[next(iter(self._crashes))]

    def record_answered(self, traits: Iterable[TraitId]) -> None:
        """Record that requests with the traits were answered completely."""
        for trait in traits:
            self._crashes.pop(trait, None)
            self._answered_traits.pop(trait, None)
            self._answered_traits[trait] = None
        while len(self._answered_traits) > _MAX_TRACKED_TRAITS:
            del self._answered_traits[next(iter(self._answered_traits))]

    def record_cause(self, trait: TraitId) -> None:
        """Record that a trait is the cause of the crashes under it."""
        for incarnation in self._crashes.pop(trait, {}):
            self._explain_crash(incarnation)

    def list_suspects(self) -> list[TraitId]:
        """Return the traits under which targets crash, mostly a single one.

        Crashes at the same moment have a common cause elsewhere; answers
        that VMs have not reported yet may still clear a trait.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        counts = Counter(
            {
                trait: len(crashes)
                for trait, crashes in self._crashes.items()
                if self._is_suspect(list(crashes.values()), now)
            }
        )
        if not counts:
            return []
        highest = max(counts.values())
        suspects = [
            trait for trait, count in counts.items() if count == highest
        ]
        # Of traits that always come together, those that were answered before
        # are less likely to be the cause.
        never_answered = [
            p for p in suspects if p not in self._answered_traits
        ]
        suspects = never_answered or suspects
        tie_limit = self._settings.quarantine_crashes + _TIE_CRASHES
        if len(suspects) == 1 or (
            len(suspects) <= _MAX_SUSPECTS and highest >= tie_limit
        ):
            return suspects
        return []

    def list_crashed_targets(self, trait: TraitId) -> list[TargetId]:
        """Return the targets that crashed under a trait."""
        return [target for target, _ in self._crashes.get(trait, ())]

    def _explain_crash(self, incarnation: Incarnation) -> None:
        self._explained[incarnation] = self._clock.monotonic()
        for crashes in self._crashes.values():
            crashes.pop(incarnation, None)

    def _is_suspect(self, crashed_at: list[float], now: float) -> bool:
        settings = self._settings
        if len(crashed_at) < settings.quarantine_crashes:
            return False
        spread_ms = (crashed_at[-1] - crashed_at[0]) * _MS_PER_S
        decisive_at = crashed_at[settings.quarantine_crashes - 1]
        settled_ms = (now - decisive_at) * _MS_PER_S
        return (
            spread_ms >= settings.quarantine_spread_ms
            and settled_ms >= settings.quarantine_settle_ms
        )

    def _remove_expired(self, now: float) -> None:
        for incarnation, explained_at in list(self._explained.items()):
            if now - explained_at > _CRASH_LIFETIME_S:
                del self._explained[incarnation]
        for trait, crashes in list(self._crashes.items()):
            for incarnation, crashed_at in list(crashes.items()):
                if now - crashed_at > _CRASH_LIFETIME_S:
                    del crashes[incarnation]
            if not crashes:
                del self._crashes[trait]
