"""The records of streams that one VM holds in memory."""

from datetime import timedelta
import math

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.resumption.events import ResumptionEvent
from dotterelbridge.resumption.keys import StreamKey
from dotterelbridge.resumption.recorder import StreamOrigin

_log = structlog.get_logger(__name__)

_MAX_SHARED_ORIGINS = 1000
_DROPPED_LOG_INTERVAL_S = 60.0


class KnownStream(msgspec.Struct, gc=False):
    """A record; ``origin`` is None if two records conflicted."""

    origin: StreamOrigin | None
    expires_at: float
    """Monotonic time in seconds."""


class StreamTable:
    """Records by key, bounded in number and in time."""

    def __init__(
        self, limit: int, longest_keep: timedelta, clock: Clock
    ) -> None:
        """Create an empty table.

        :param limit: the number of records; the oldest are dropped first.
        :param longest_keep: bounds the time that a record is kept.
        """
        self.dropped_count = 0
        """Records dropped because of the limit."""
        self._longest_keep = longest_keep
        self._limit = limit
        self._clock = clock
        self._streams: dict[StreamKey, KnownStream] = {}
        """In the order of their latest change."""
        self._keys_by_second: dict[int, list[StreamKey]] = {}
        """Keys by the second in which their record expires, or did before it
        was renewed."""
        self._swept_second = math.floor(clock.monotonic())
        self._shared_origins: dict[StreamOrigin, StreamOrigin] = {}
        self._drop_logged_at = -math.inf

    def __len__(self) -> int:
        return len(self._streams)

    def add(
        self, key: StreamKey, origin: StreamOrigin, keep: timedelta
    ) -> bool:
        """Add a record; return whether it changes what the table knows.

        A second record with another origin makes both unusable. The same
        record again changes something if it is kept for a second longer.
        """
        now = self._clock.monotonic()
        expires_at = now + min(keep, self._longest_keep).total_seconds()
        known = self._find(key, now)
        if known is None:
            self._store(key, KnownStream(self._share(origin), expires_at))
            return True
        is_conflict = known.origin not in (None, origin)
        if is_conflict:
            known.origin = None
        is_later = expires_at >= known.expires_at + 1
        if is_later:
            known.expires_at = expires_at
        if is_conflict or is_later:
            del self._streams[key]
            self._store(key, known)
        return is_conflict or is_later

    def find(self, key: StreamKey) -> KnownStream | None:
        """Return a record that has not expired, or None."""
        return self._find(key, self._clock.monotonic())

    def remove_expired(self) -> None:
        """Drop the records that have expired."""
        now = self._clock.monotonic()
        second = math.floor(now)
        for due in range(self._swept_second, second):
            for key in self._keys_by_second.pop(due, ()):
                known = self._streams.get(key)
                if known is not None and known.expires_at <= now:
                    del self._streams[key]
        self._swept_second = second

    def _find(self, key: StreamKey, now: float) -> KnownStream | None:
        known = self._streams.get(key)
        if known is None or known.expires_at <= now:
            return None
        return known

    def _store(self, key: StreamKey, known: KnownStream) -> None:
        self._streams[key] = known
        second = math.floor(known.expires_at)
        self._keys_by_second.setdefault(second, []).append(key)
        if len(self._streams) > self._limit:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        del self._streams[next(iter(self._streams))]
        self.dropped_count += 1
        now = self._clock.monotonic()
        if now >= self._drop_logged_at + _DROPPED_LOG_INTERVAL_S:
            self._drop_logged_at = now
            events.log(
                _log,
                ResumptionEvent.RECORDS_DROPPED,
                limit=self._limit,
                dropped=self.dropped_count,
            )

    def _share(self, origin: StreamOrigin) -> StreamOrigin:
        """Return an equal origin that other records use too."""
        if len(self._shared_origins) >= _MAX_SHARED_ORIGINS:
            self._shared_origins.clear()
        return self._shared_origins.setdefault(origin, origin)
