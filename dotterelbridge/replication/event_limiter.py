"""Limits how often an event that repeats is logged."""

from collections.abc import Hashable
from datetime import timedelta

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.replication.events import ReplicationEvent

_log = structlog.get_logger(__name__)

_SHORTEST_INTERVAL = timedelta(milliseconds=500)
_LONGEST_INTERVAL = timedelta(minutes=1)


class _Repetition(msgspec.Struct):
    """When one event may be logged again."""

    due_at: float
    interval: timedelta
    omitted: int = 0


class EventLimiter:
    """Logs a repeated event at intervals that double up to a minute.

    The first occurrence is logged at once, also after a pause of a minute.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._repetitions: dict[Hashable, _Repetition] = {}

    def log(
        self, event: ReplicationEvent, key: Hashable, **fields: object
    ) -> None:
        """Log the event unless it was logged shortly before.

        :param key: occurrences with equal keys are repetitions.
        """
        now = self._clock.monotonic()
        self._drop_ended_repetitions(now)
        repetition = self._repetitions.get((event, key))
        if repetition is not None and now < repetition.due_at:
            repetition.omitted += 1
            return
        interval = _SHORTEST_INTERVAL
        omitted = 0
        if repetition is not None:
            interval = min(repetition.interval * 2, _LONGEST_INTERVAL)
            omitted = repetition.omitted
        self._repetitions[event, key] = _Repetition(
            due_at=now + interval.total_seconds(), interval=interval
        )
        events.log(_log, event, omitted_before=omitted, **fields)

    def _drop_ended_repetitions(self, now: float) -> None:
        pause_s = _LONGEST_INTERVAL.total_seconds()
        self._repetitions = {
            key: repetition
            for key, repetition in self._repetitions.items()
            if now < repetition.due_at + pause_s
        }
