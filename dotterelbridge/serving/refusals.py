"""Counts and logs requests that the listener itself refuses or cuts off."""

import enum

import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.serving.events import ServingEvent

_log = structlog.get_logger(__name__)

LOG_INTERVAL_S = 10.0
"""Time in which one kind is logged at most once, so that callers cannot fill
the log."""

refusals = metrics.meter.create_counter(
    "dotterelbridge.serving.refusals",
    description="Requests refused and connections closed by the listener "
    "itself, by kind",
)


class RefusalKind(enum.Enum):
    """Why the listener refused a request or closed a connection."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    TRAILERS_TOO_LARGE = "trailers_too_large"
    CHUNK_LINES = "chunk_extensions_too_large"
    EMPTY_LINES = "empty_lines"
    PIPELINE_TOO_LONG = "pipeline_too_long"
    CONNECTIONS_LIMIT = "connections_limit"
    RECEIVE_TIMEOUT = "receive_timeout"
    STALLED = "stalled"
    MEMORY_IDLE = "memory_idle"
    """An idle connection was closed to free memory."""
    MEMORY_HOLDER = "memory_holder"
    """One of the connections that held most was closed to free memory."""


class RefusalRecorder:
    """Counts refusals, and logs each kind at a bounded rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged_at: dict[RefusalKind, float] = {}
        self._unlogged: dict[RefusalKind, int] = {}

    def record(self, kind: RefusalKind, problem: str) -> None:
        """Count one refusal; log it unless its kind was logged lately."""
        refusals.add(1, {"kind": kind.value})
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(kind)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
            return
        self._logged_at[kind] = now
        events.log(
            _log,
            ServingEvent.CONNECTION_REFUSED,
            kind=kind.value,
            problem=problem,
            not_logged=self._unlogged.pop(kind, 0),
        )
