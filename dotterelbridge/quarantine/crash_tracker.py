"""Finds the prompt parts that the crashes of targets have in common."""

from collections import Counter
from collections.abc import Iterable

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import PartId
from dotterelbridge.ids import TargetId
from dotterelbridge.quarantine.settings import QuarantineSettings

_CRASH_LIFETIME_S = 300.0
"""Time after which a crash is no evidence any more."""
_MAX_TRACKED_PARTS = 4096
"""Bound on memory: parts with crashes, and parts that were answered."""
_MAX_SUSPECTS = 3
"""Parts with equal evidence that may be suspected at the same time."""
_TIE_CRASHES = 2
"""Further crashes that have to tell parts with equal evidence apart."""
_MS_PER_S = 1000


class CrashTracker:
    """Counts crashes for each part since its last complete answer.

    A part is suspected once enough targets have crashed under it, one after
    the other, without a complete answer to any request with it in between.
    """

    def __init__(self, settings: QuarantineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._crashes: dict[PartId, dict[Incarnation, float]] = {}
        """Monotonic times of the crashes, in their order."""
        self._explained: dict[Incarnation, float] = {}
        """Monotonic times of crashes whose cause is known."""
        self._answered_parts: dict[PartId, None] = {}
        """Parts of complete answers, the latest last."""

    def record_crash(
        self,
        incarnation: Incarnation,
        parts: Iterable[PartId],
        known_causes: Iterable[PartId] = (),
    ) -> None:
        """Record that a target crashed while it began to answer the parts.

        Several VMs report parts of the same crash.

        :param known_causes: parts that explain a crash, so that it is no
            evidence against others.
        """
        now = self._clock.monotonic()
        parts = set(parts)
        if parts.intersection(known_causes):
            self._explain_crash(incarnation)
        if incarnation in self._explained:
            return
        for part in sorted(parts):
            crashes = self._crashes.pop(part, {})
            crashes.setdefault(incarnation, now)
            self._crashes[part] = crashes
        while len(self._crashes) > _MAX_TRACKED_PARTS:
            del self._crashes[next(iter(self._crashes))]

    def record_answered(self, parts: Iterable[PartId]) -> None:
        """Record that requests with the parts were answered completely."""
        for part in parts:
            self._crashes.pop(part, None)
            self._answered_parts.pop(part, None)
            self._answered_parts[part] = None
        while len(self._answered_parts) > _MAX_TRACKED_PARTS:
            del self._answered_parts[next(iter(self._answered_parts))]

    def record_cause(self, part: PartId) -> None:
        """Record that a part is the cause of the crashes under it."""
        for incarnation in self._crashes.pop(part, {}):
            self._explain_crash(incarnation)

    def list_suspects(self) -> list[PartId]:
        """Return the parts under which targets crash, mostly a single one.

        Crashes at the same moment have a common cause elsewhere; answers
        that VMs have not reported yet may still clear a part.
        """
        now = self._clock.monotonic()
        self._remove_expired(now)
        counts = Counter(
            {
                part: len(crashes)
                for part, crashes in self._crashes.items()
                if self._is_suspect(list(crashes.values()), now)
            }
        )
        if not counts:
            return []
        highest = max(counts.values())
        suspects = [part for part, count in counts.items() if count == highest]
        # Of parts that always come together, those that were answered before
        # are less likely to be the cause.
        never_answered = [p for p in suspects if p not in self._answered_parts]
        suspects = never_answered or suspects
        tie_limit = self._settings.quarantine_crashes + _TIE_CRASHES
        if len(suspects) == 1 or (
            len(suspects) <= _MAX_SUSPECTS and highest >= tie_limit
        ):
            return suspects
        return []

    def list_crashed_targets(self, part: PartId) -> list[TargetId]:
        """Return the targets that crashed under a part."""
        return [target for target, _ in self._crashes.get(part, ())]

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
        for part, crashes in list(self._crashes.items()):
            for incarnation, crashed_at in list(crashes.items()):
                if now - crashed_at > _CRASH_LIFETIME_S:
                    del crashes[incarnation]
            if not crashes:
                del self._crashes[part]
