"""Notes which requests a target was beginning to answer when it crashed."""

from collections.abc import Iterable

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.messages import CrashReport

_log = structlog.get_logger(__name__)

_CRASH_WINDOW_S = 2.0
"""Time between the end of an attempt and the failed probe, or the news of a
new incarnation, that shows that the target has crashed. A probe takes up to
1 s."""
_SOUND_AFTER_S = 1.0
"""Time after its first event from which a stream is not suspected."""


class _ClosedAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection the target closed before its answer."""

    closed_at: float
    """Monotonic time in seconds."""
    traits: tuple[TraitId, ...]


class CrashWatch:
    """Collects reports of crashes, and traits that were answered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._closed_attempts: dict[Incarnation, list[_ClosedAttempt]] = {}
        self._crashed_at: dict[Incarnation, float] = {}
        self._answered_traits: set[TraitId] = set()
        self._reports: list[CrashReport] = []
        self._has_reports = anyio.Event()

    def record_answered(self, traits: Iterable[TraitId]) -> None:
        """Record a complete answer to a request with these traits."""
        self._answered_traits.update(traits)

    def record_closed_attempt(
        self,
        target: FleetTarget,
        traits: tuple[TraitId, ...],
        first_event_at: float | None,
    ) -> None:
        """Record that a target ended a connection instead of its answer.

        :param traits: traits of the request.
        :param first_event_at: monotonic time of the stream's first event.
        """
        now = self._clock.monotonic()
        if (
            first_event_at is not None
            and now - first_event_at > _SOUND_AFTER_S
        ):
            self.record_answered(traits)
            return
        self._remove_old(now)
        incarnation = (target.target, target.born)
        attempts = self._closed_attempts.setdefault(incarnation, [])
        attempts.append(_ClosedAttempt(now, traits))
        if incarnation in self._crashed_at:
            self._report(incarnation)

    def record_crash(self, target: FleetTarget) -> None:
        """Record that a target ended without a notice, if it did so now."""
        if not target.takes_new_work:
            return
        now = self._clock.monotonic()
        self._remove_old(now)
        incarnation = (target.target, target.born)
        if incarnation in self._closed_attempts:
            self._crashed_at[incarnation] = now
            self._report(incarnation)

    def read_answered_traits(self) -> tuple[TraitId, ...]:
        """Return the traits answered since the previous call."""
        traits, self._answered_traits = self._answered_traits, set()
        return tuple(sorted(traits))

    async def wait_for_report(self) -> CrashReport:
        """Return the oldest report that was not returned before."""
        while not self._reports:
            self._has_reports = anyio.Event()
            await self._has_reports.wait()
        return self._reports.pop(0)

    def _report(self, incarnation: Incarnation) -> None:
        attempts = self._closed_attempts.pop(incarnation)
        traits = {trait for attempt in attempts for trait in attempt.traits}
        target, born = incarnation
        events.log(
            _log,
            GatewayEvent.TARGET_CRASHED,
            target=target,
            born=born,
            attempts=len(attempts),
            traits=sorted(traits),
        )
        if traits:
            report = CrashReport(
                target=target, born=born, traits=tuple(sorted(traits))
            )
            self._reports.append(report)
            self._has_reports.set()

    def _remove_old(self, now: float) -> None:
        oldest = now - _CRASH_WINDOW_S
        for incarnation, attempts in list(self._closed_attempts.items()):
            recent = [a for a in attempts if a.closed_at >= oldest]
            self._closed_attempts[incarnation] = recent
            if not recent:
                del self._closed_attempts[incarnation]
        for incarnation, crashed_at in list(self._crashed_at.items()):
            if crashed_at < oldest:
                del self._crashed_at[incarnation]
