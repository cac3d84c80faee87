"""Measures how late the event loop runs what is due."""

from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)

_INTERVAL = timedelta(milliseconds=500)
"""Time between two measurements: few wake-ups on an idle VM, and at most
two log lines a second."""
_LATE_S = 0.1
"""Lag from which a line is logged: the time between two plans."""
_MS = 1000

_lag = metrics.create_latency_histogram(
    "dotterelbridge.loop.lag",
    "Time from when a timer is due until the event loop runs it",
)


class LoopMonitor:
    """A process that is busy, stalled or suspended shows as lag."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self._clock.monotonic() + _INTERVAL.total_seconds()
            await self._clock.sleep(_INTERVAL)
            lag_s = max(0.0, self._clock.monotonic() - due_at)
            _lag.record(lag_s)
            if lag_s > _LATE_S:
                events.log(
                    _log, CoreEvent.LOOP_LATE, lag_ms=round(lag_s * _MS)
                )
