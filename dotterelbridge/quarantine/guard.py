"""Protects targets from requests under which they crash, on one VM."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TraitId
from dotterelbridge.ids import VmId
from dotterelbridge.quarantine.crash_tracker import create_local_crash_tracker
from dotterelbridge.quarantine.crash_watch import Crash
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.reporter import CrashReporter
from dotterelbridge.quarantine.reporter import LeaderLink
from dotterelbridge.quarantine.settings import QuarantineSettings


class CrashGuard(Dumpable):
    """Collects evidence of crashes, and knows what is quarantined.

    Reports go to the leader of the log. Where no leader takes them, this VM
    quarantines by its own evidence, for itself.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        link: LeaderLink,
        settings: QuarantineSettings,
        clock: Clock,
    ) -> None:
        self.quarantine = quarantine
        self._clock = clock
        self._watch = CrashWatch(clock, reports_all_parts=False)
        self._reporter = CrashReporter(
            self._watch, link, clock, self._record_unreported
        )
        self._own_tracker = create_local_crash_tracker(settings, clock)
        self._watched: frozenset[TraitId] = frozenset()

    # Requests.

    @property
    def is_alert(self) -> bool:
        """Whether traits of requests matter: some crash is not explained."""
        return bool(self._list_watched() or self.quarantine.count_traits())

    def find_blocked(
        self, list_traits: Callable[[], Collection[TraitId]]
    ) -> set[TraitId]:
        """Return the traits of a request that are quarantined."""
        if not self.quarantine.count_traits():
            return set()
        return self.quarantine.find_blocked(list_traits())

    def find_retry_after(self, blocked: Iterable[TraitId]) -> timedelta:
        """Return the time after which a caller may ask again."""
        return self.quarantine.find_retry_after(blocked)

    def is_suspected(self, request_trait: TraitId) -> bool:
        """Whether several targets may have crashed under a request."""
        return request_trait in self._list_watched()

    # Evidence.

    def set_watched(self, traits: Iterable[TraitId]) -> None:
        """Replace the traits of which complete answers are reported."""
        self._watched = frozenset(traits)

    def record_answered(self, traits: Collection[TraitId]) -> None:
        """Record a complete answer to a request with these traits."""
        self._own_tracker.record_answered(traits)
        watched = self._watched | self.quarantine.find_blocked(traits)
        self._watch.record_answered(traits, watched)

    def record_closed_attempt(
        self,
        incarnation: Incarnation,
        traits: tuple[TraitId, ...],
        started_at: float,
        first_event_at: float | None,
    ) -> None:
        """Record that a target ended a connection instead of its answer.

        :param started_at: monotonic time at which the attempt began.
        :param first_event_at: monotonic time of the stream's first event.
        """
        self._watch.record_closed_attempt(
            incarnation, traits, first_event_at, started_at
        )

    def record_crash(self, incarnation: Incarnation) -> None:
        """Record that nobody listens at a target's address any more."""
        self._watch.record_crash(incarnation)

    async def run(self) -> None:
        """Report crashes and answers until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._reporter.run)

    def dump(self) -> dict[str, Any]:
        return {
            "quarantined": sorted(self.quarantine.list_traits()),
            "watched": sorted(self._list_watched()),
        }

    def _list_watched(self) -> frozenset[TraitId]:
        return self._watched | self._own_tracker.list_watched()

    def _record_unreported(self, crash: Crash) -> None:
        """Use a crash that no leader took as evidence for this VM."""
        self._own_tracker.record_crash(
            crash.incarnation,
            crash.attempts,
            self.quarantine.list_traits(),
            self._clock.monotonic() - crash.closed_at,
            crash.started_at,
        )
        for trait in self._own_tracker.list_suspects():
            self._own_tracker.record_cause(trait)
            self.quarantine.block_locally(trait)


def create_lone_crash_guard(clock: Clock) -> CrashGuard:
    """Return the guard of a VM that shares targets with no other VM."""
    settings = QuarantineSettings()
    quarantine = Quarantine(VmId(""), settings, clock)
    return CrashGuard(quarantine, NoLeaderLink(), settings, clock)


class NoLeaderLink(LeaderLink):
    """Leaves a VM to its own evidence."""

    async def send_crash(self, crash: Crash) -> bool:
        return False

    def send_answered(self, traits: tuple[TraitId, ...]) -> None:
        pass
