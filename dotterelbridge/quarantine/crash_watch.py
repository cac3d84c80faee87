"""Notes which requests a target was beginning to answer when it crashed."""

from collections.abc import Container
from collections.abc import Iterable
import math

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.events import QuarantineEvent
from dotterelbridge.quarantine.messages import CrashReport
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind

_log = structlog.get_logger(__name__)

_CRASH_WINDOW_S = 2.0
"""Time between the end of an attempt and the failed probe, or the news of a
new incarnation, that shows that the target has crashed. A probe takes up to
1 s."""
_SOUND_AFTER_S = 1.0
"""Time after its first event from which a stream is not suspected."""
_ANSWER_LIFETIME_S = 60.0
"""Time for which a request that was answered is not suspected."""
_MAX_ANSWERED_REQUESTS = 4096
_MS_PER_S = 1000


class _ClosedAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection the target closed before its answer."""

    closed_at: float
    """Monotonic time in seconds."""
    traits: tuple[TraitId, ...]
    started_at: float
    """Monotonic time in seconds."""


class Crash(msgspec.Struct, frozen=True):
    """A crash of a target, as one VM saw it."""

    incarnation: Incarnation
    attempts: tuple[tuple[TraitId, ...], ...]
    """Traits of each request that the target was beginning to answer."""
    closed_at: float
    """Monotonic time in seconds of the first connection that it closed."""
    started_at: tuple[float, ...] = ()
    """Monotonic times in seconds at which these attempts began, if known."""

    @property
    def traits(self) -> list[TraitId]:
        """Traits of any of these requests."""
        return sorted({t for traits in self.attempts for t in traits})

    def create_report(self, now: float) -> CrashReport:
        """Return the message that reports it, if it is sent now."""
        target, born = self.incarnation
        return CrashReport(
            target=target,
            born=born,
            traits=tuple(self.traits),
            closed_ms_ago=int((now - self.closed_at) * _MS_PER_S),
            attempts=self.attempts,
        )


class CrashWatch:
    """Collects reports of crashes, and traits that were answered."""

    def __init__(self, clock: Clock, reports_all_parts: bool = True) -> None:
        """Create a watch.

        :param reports_all_parts: whether answers to all prompt parts are
            reported, also of those that nobody watches.
        """
        self._clock = clock
        self._reports_all_parts = reports_all_parts
        self._closed_attempts: dict[Incarnation, list[_ClosedAttempt]] = {}
        self._crashed_at: dict[Incarnation, float] = {}
        self._answered_traits: set[TraitId] = set()
        self._answered_requests: dict[TraitId, float] = {}
        """Monotonic times of complete answers to single requests, the latest
        last. Such a request is not the cause of a crash soon after."""
        self._crashes: list[Crash] = []
        self._has_crashes = anyio.Event()

    def record_answered(
        self, traits: Iterable[TraitId], watched: Container[TraitId] = ()
    ) -> None:
        """Record a complete answer to a request with these traits.

        :param watched: traits other than prompt parts of which complete
            answers are reported.
        """
        for trait in traits:
            kind = get_kind(trait)
            is_reported = kind is TraitKind.PART and self._reports_all_parts
            if is_reported or trait in watched:
                self._answered_traits.add(trait)
            if kind is TraitKind.REQUEST:
                self._answered_requests.pop(trait, None)
                self._answered_requests[trait] = self._clock.monotonic()
        while len(self._answered_requests) > _MAX_ANSWERED_REQUESTS:
            del self._answered_requests[next(iter(self._answered_requests))]

    def _was_answered(self, trait: TraitId, now: float) -> bool:
        """Whether this VM got a complete answer to the same request lately."""
        answered_at = self._answered_requests.get(trait, -math.inf)
        return now - answered_at < _ANSWER_LIFETIME_S

    def record_closed_attempt(
        self,
        incarnation: Incarnation,
        traits: tuple[TraitId, ...],
        first_event_at: float | None,
        started_at: float = -math.inf,
    ) -> None:
        """Record that a target ended a connection instead of its answer.

        :param traits: traits of the request.
        :param first_event_at: monotonic time of the stream's first event.
        :param started_at: monotonic time at which the attempt began.
        """
        now = self._clock.monotonic()
        if (
            first_event_at is not None
            and now - first_event_at > _SOUND_AFTER_S
        ):
            self._answered_traits.update(
                t for t in traits if get_kind(t) is TraitKind.PART
            )
            return
        self._remove_old(now)
        attempts = self._closed_attempts.setdefault(incarnation, [])
        suspected = tuple(t for t in traits if not self._was_answered(t, now))
        attempts.append(_ClosedAttempt(now, suspected, started_at))
        if incarnation in self._crashed_at:
            self._report(incarnation)

    def record_crash(self, incarnation: Incarnation) -> None:
        """Record that a target ended without a notice, if it did so now."""
        now = self._clock.monotonic()
        self._remove_old(now)
        if incarnation in self._closed_attempts:
            self._crashed_at[incarnation] = now
            self._report(incarnation)

    def read_answered_traits(self) -> tuple[TraitId, ...]:
        """Return the traits answered since the previous call."""
        traits, self._answered_traits = self._answered_traits, set()
        return tuple(sorted(traits))

    async def wait_for_crash(self) -> Crash:
        """Return the oldest crash that was not returned before."""
        while not self._crashes:
            self._has_crashes = anyio.Event()
            await self._has_crashes.wait()
        return self._crashes.pop(0)

    def _report(self, incarnation: Incarnation) -> None:
        attempts = self._closed_attempts.pop(incarnation)
        suspected = [attempt for attempt in attempts if attempt.traits]
        crash = Crash(
            incarnation,
            tuple(attempt.traits for attempt in suspected),
            min(attempt.closed_at for attempt in attempts),
            tuple(attempt.started_at for attempt in suspected),
        )
        target, born = incarnation
        events.log(
            _log,
            QuarantineEvent.TARGET_CRASHED,
            target=target,
            born=born,
            attempts=len(attempts),
            traits=crash.traits,
        )
        if crash.attempts:
            self._crashes.append(crash)
            self._has_crashes.set()

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
