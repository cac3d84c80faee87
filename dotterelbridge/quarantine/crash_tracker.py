"""Finds the traits that the requests have in common under which targets crash.

Crashes are counted for each trait since its last complete answer.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind

_CRASH_LIFETIME_S = 300.0
"""Time after which a crash is no evidence any more."""
_MAX_TRACKED_TRAITS = 4096
"""Bound on memory: traits with crashes, and traits that were answered."""
_MAX_WATCHED_TRAITS = 256
"""Bound on what is sent to all VMs."""
_MAX_SUSPECTS = 3
"""Traits with equal evidence that may be suspected at the same time."""
_TIE_CRASHES = 2
"""Further crashes that have to tell traits with equal evidence apart."""
_SAME_MOMENT_S = 0.05
"""Crashes that follow each other faster count as one for the same request:
they have a common cause, such as a rack without power. Reports from two VMs
tell the time of a crash to about this accuracy."""
_MS_PER_S = 1000
UNKNOWN_BORN = 0
"""Stands for the start of a target whose incarnations are not known."""
_SAME_CRASH_S = 0.5
"""Two crashes of such a target further apart have a start in between."""


class _Crash(msgspec.Struct):
    """A crash that may be due to a trait."""

    crashed_at: float
    """Monotonic time in seconds."""
    reported_at: float
    """Monotonic time of the first report."""
    started_at: float = -math.inf
    """Monotonic time at which the latest request with the trait began."""


class CrashTracker:
    """Suspects a trait once enough targets have crashed under it.

    They crashed one after the other, without a complete answer to any request
    with the trait in between. Of traits with equal evidence the most specific
    is suspected; a caller only for crashes that nothing else explains.
    """

    def __init__(self, settings: QuarantineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._crashes: dict[TraitId, dict[Incarnation, _Crash]] = {}
        """The crashes under each trait, in the order of their reports."""
        self._companions: dict[TraitId, frozenset[TraitId]] = {}
        """All traits of a single request."""
        self._numbers: dict[TargetId, tuple[int, float]] = {}
        """Number and monotonic time of the latest crash of each target whose
        incarnations are not known."""
        self._explained: dict[Incarnation, float] = {}
        """Monotonic times of crashes whose cause is known."""
        self._answered_traits: dict[TraitId, None] = {}
        """Traits of complete answers, the latest last."""

    def record_crash(
        self,
        incarnation: Incarnation,
        attempts: Iterable[Collection[TraitId]],
        known_causes: Iterable[TraitId] = (),
        age_s: float = 0.0,
        started_at: Sequence[float] = (),
    ) -> None:
        """Record that a target crashed while it began to answer requests.

        Several VMs report requests of the same crash.

        :param attempts: the traits of each of these requests.
        :param known_causes: traits that explain a crash, so that it is no
            evidence against others.
        :param age_s: time since the crash, as the sender knows it.
        :param started_at: monotonic times at which the attempts began, if
            they are known.
        """
        now = self._clock.monotonic()
        crashed_at = now - age_s
        incarnation = self._identify(incarnation, crashed_at)
        attempts = list(attempts)
        traits = {trait for attempt in attempts for trait in attempt}
        if traits.intersection(known_causes):
            self._explain_crash(incarnation)
        if incarnation in self._explained:
            return
        for trait in sorted(traits):
            crashes = self._crashes.pop(trait, {})
            crash = crashes.setdefault(incarnation, _Crash(crashed_at, now))
            crash.crashed_at = min(crash.crashed_at, crashed_at)
            self._crashes[trait] = crashes
        for attempt, began_at in itertools.zip_longest(
            attempts, started_at, fillvalue=-math.inf
        ):
            for trait in attempt:
                crash = self._crashes[trait][incarnation]
                crash.started_at = max(crash.started_at, began_at)
                if get_kind(trait) is TraitKind.REQUEST:
                    self._companions[trait] = frozenset(attempt)
        while len(self._crashes) > _MAX_TRACKED_TRAITS:
            oldest = next(iter(self._crashes))
            del self._crashes[oldest]
            self._companions.pop(oldest, None)

    def _identify(
        self, incarnation: Incarnation, crashed_at: float
    ) -> Incarnation:
        """Return the incarnation, numbered by its crash if it is unknown."""
        target, born = incarnation
        if born != UNKNOWN_BORN:
            return incarnation
        number, last_crashed_at = self._numbers.get(target, (0, -math.inf))
        if crashed_at - last_crashed_at > _SAME_CRASH_S:
            number += 1
            self._numbers[target] = (number, crashed_at)
        return target, -number

    def record_answered(self, traits: Iterable[TraitId]) -> None:
        """Record that requests with the traits were answered completely."""
        for trait in traits:
            self._crashes.pop(trait, None)
            self._companions.pop(trait, None)
            self._answered_traits.pop(trait, None)
            self._answered_traits[trait] = None
        while len(self._answered_traits) > _MAX_TRACKED_TRAITS:
            del self._answered_traits[next(iter(self._answered_traits))]

    def remove_expired(self) -> None:
        """Forget crashes that are too old to be evidence."""
        self._remove_expired(self._clock.monotonic())

    def select_tracked(self, traits: Iterable[TraitId]) -> list[TraitId]:
        """Return the traits for which there is evidence."""
        return [trait for trait in traits if trait in self._crashes]

    def record_cause(self, trait: TraitId) -> None:
        """Record that a trait is the cause of the crashes under it."""
        for incarnation in self._crashes.pop(trait, {}):
            self._explain_crash(incarnation)

    def list_watched(self) -> frozenset[TraitId]:
        """Return the traits of which VMs report complete answers.

        They report the answers to all prompt parts anyway. Single requests
        are too many; those are watched that lack one crash.
        """
        self._remove_expired(self._clock.monotonic())
        watched = [
            trait
            for trait, crashes in self._crashes.items()
            if self._is_watched(trait, len(crashes))
        ]
        return frozenset(watched[-_MAX_WATCHED_TRAITS:])

    def list_suspects(self) -> list[TraitId]:
        """Return the traits under which targets crash, mostly a single one.

        Answers that VMs have not reported yet may still clear a trait.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        counts = {
            trait: len(crashes)
            for trait, crashes in self._crashes.items()
            if self._is_suspect(trait, crashes, now)
        }
        return self._choose_suspects(counts)

    def list_crashed_targets(self, trait: TraitId) -> list[TargetId]:
        """Return the targets that crashed under a trait."""
        return [target for target, _ in self._crashes.get(trait, ())]

    def _is_watched(self, trait: TraitId, count: int) -> bool:
        match get_kind(trait):
            case TraitKind.REQUEST:
                return count >= self._settings.quarantine_crashes - 1
            case TraitKind.CALLER:
                return True
        return False

    def _choose_suspects(self, counts: dict[TraitId, int]) -> list[TraitId]:
        """Return the traits with the strongest evidence.

        :param counts: crashes under each trait that has enough of them.
        """
        specific = [
            trait
            for trait, count in counts.items()
            if get_kind(trait) is not TraitKind.CALLER
            and not self._has_rival(trait, count)
        ]
        callers = [
            trait
            for trait in counts
            if get_kind(trait) is TraitKind.CALLER
            and self._is_caller_suspect(trait, counts)
        ]
        candidates = specific or callers
        if not candidates:
            return []
        highest = max(counts[trait] for trait in candidates)
        suspects = [t for t in candidates if counts[t] == highest]
        kind = min((get_kind(t) for t in suspects), key=lambda k: k.value)
        suspects = [t for t in suspects if get_kind(t) is kind]
        # Of traits that always come together, those that were answered before
        # are less likely to be the cause.
        never_answered = [
            t for t in suspects if t not in self._answered_traits
        ]
        suspects = never_answered or suspects
        if len(suspects) == 1:
            return suspects
        if len(suspects) > _MAX_SUSPECTS:
            return []
        tie_limit = self._settings.quarantine_crashes + _TIE_CRASHES
        if kind is TraitKind.REQUEST or highest >= tie_limit:
            return suspects
        return []

    def _is_caller_suspect(
        self, caller: TraitId, suspects: Iterable[TraitId]
    ) -> bool:
        """Whether a caller has crashes beyond those of a single request."""
        explained = {
            incarnation
            for trait in suspects
            if caller in self._companions.get(trait, ())
            for incarnation in self._crashes[trait]
        }
        unexplained = self._crashes[caller].keys() - explained
        return len(unexplained) >= self._settings.quarantine_caller_crashes

    def _has_rival(self, trait: TraitId, count: int) -> bool:
        """Whether a trait of another kind explains the crashes as well.

        Further crashes then tell the two apart, except where one trait comes
        with the other: a request has its parts and its caller.
        """
        if count < self._settings.quarantine_crashes + _TIE_CRASHES:
            count -= 1
        kind = get_kind(trait)
        companions = self._companions.get(trait, frozenset())
        return any(
            len(crashes) > count
            and other not in companions
            and get_kind(other) is not kind
            for other, crashes in self._crashes.items()
        )

    def _explain_crash(self, incarnation: Incarnation) -> None:
        self._explained[incarnation] = self._clock.monotonic()
        for crashes in self._crashes.values():
            crashes.pop(incarnation, None)

    def _is_suspect(
        self,
        trait: TraitId,
        crashes: dict[Incarnation, _Crash],
        now: float,
    ) -> bool:
        """Whether there is enough evidence, and time for answers to arrive."""
        settings = self._settings
        kind = get_kind(trait)
        needed = settings.quarantine_crashes
        if kind is TraitKind.CALLER:
            needed = settings.quarantine_caller_crashes
        if len(crashes) < needed:
            return False
        reported_at = sorted(c.reported_at for c in crashes.values())
        settled_ms = (now - reported_at[needed - 1]) * _MS_PER_S
        if settled_ms < settings.quarantine_settle_ms:
            return False
        if kind is TraitKind.REQUEST:
            return _count_moments(crashes.values()) >= needed
        spread_ms = (reported_at[-1] - reported_at[0]) * _MS_PER_S
        return spread_ms >= settings.quarantine_spread_ms

    def _remove_expired(self, now: float) -> None:
        for incarnation, explained_at in list(self._explained.items()):
            if now - explained_at > _CRASH_LIFETIME_S:
                del self._explained[incarnation]
        for trait, crashes in list(self._crashes.items()):
            for incarnation, crash in list(crashes.items()):
                if now - crash.reported_at > _CRASH_LIFETIME_S:
                    del crashes[incarnation]
            if not crashes:
                del self._crashes[trait]
                self._companions.pop(trait, None)


class LocalCrashTracker(CrashTracker):
    """Uses the evidence of one VM, which knows the order of what it saw.

    Crashes count if the request with the trait began after the crash before:
    targets that crash together, whatever they run, don't. Complete answers
    to requests of this VM clear a trait at once.
    """

    def _is_suspect(
        self,
        trait: TraitId,
        crashes: dict[Incarnation, _Crash],
        now: float,
    ) -> bool:
        needed = self._settings.quarantine_crashes
        if get_kind(trait) is TraitKind.CALLER:
            needed = self._settings.quarantine_caller_crashes
        return _count_sequence(crashes.values()) >= needed

    def _is_watched(self, trait: TraitId, count: int) -> bool:
        return True


def create_local_crash_tracker(
    settings: QuarantineSettings, clock: Clock
) -> LocalCrashTracker:
    """Return a tracker of the crashes that one VM sees."""
    return LocalCrashTracker(settings, clock)


def _count_sequence(crashes: Iterable[_Crash]) -> int:
    """Return the number of crashes that followed each other."""
    count = 0
    previous_at = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if crash.started_at >= previous_at:
            count += 1
            previous_at = crash.crashed_at
    return count


def _count_moments(crashes: Iterable[_Crash]) -> int:
    """Return the number of crashes that did not happen together."""
    count = 0
    previous_at = None
    for crashed_at in sorted(crash.crashed_at for crash in crashes):
        if previous_at is None or crashed_at - previous_at > _SAME_MOMENT_S:
            count += 1
        previous_at = crashed_at
    return count
