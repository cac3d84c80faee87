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
from dotterelbridge.ids import PartId
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
    parts: tuple[PartId, ...]


class CrashWatch:
    """Collects reports of crashes, and parts that were answered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._closed_attempts: dict[Incarnation, list[_ClosedAttempt]] = {}
        self._crashed_at: dict[Incarnation, float] = {}
        self._answered_parts: set[PartId] = set()
        self._reports: list[CrashReport] = []
        self._has_reports = anyio.Event()

    def record_answered(self, parts: Iterable[PartId]) -> None:
        """Record a complete answer to a request with these shared parts."""
        self._answered_parts.update(parts)

    def record_closed_attempt(
        self,
        target: FleetTarget,
        parts: tuple[PartId, ...],
        first_event_at: float | None,
    ) -> None:
        """Record that a target ended a connection instead of its answer.

        :param parts: shared parts of the request's prompt.
        :param first_event_at: monotonic time of the stream's first event.
        """
        now = self._clock.monotonic()
        if (
            first_event_at is not None
            and now - first_event_at > _SOUND_AFTER_S
        ):
            self.record_answered(parts)
            return
        self._remove_old(now)
        incarnation = (target.target, target.born)
        attempts = self._closed_attempts.setdefault(incarnation, [])
        attempts.append(_ClosedAttempt(now, parts))
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

    def read_answered_parts(self) -> tuple[PartId, ...]:
        """Return the parts answered since the previous call."""
        parts, self._answered_parts = self._answered_parts, set()
        return tuple(sorted(parts))

    async def wait_for_report(self) -> CrashReport:
        """Return the oldest report that was not returned before."""
        while not self._reports:
            self._has_reports = anyio.Event()
            await self._has_reports.wait()
        return self._reports.pop(0)

    def _report(self, incarnation: Incarnation) -> None:
        attempts = self._closed_attempts.pop(incarnation)
        parts = {part for attempt in attempts for part in attempt.parts}
        target, born = incarnation
        events.log(
            _log,
            GatewayEvent.TARGET_CRASHED,
            target=target,
            born=born,
            attempts=len(attempts),
            parts=sorted(parts),
        )
        if parts:
            report = CrashReport(
                target=target, born=born, parts=tuple(sorted(parts))
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
