"""Measures the lag of the event loop: how late it runs timers."""

from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.events import CoreEvent

_log = structlog.get_logger(__name__)

_INTERVAL = timedelta(milliseconds=500)
"""Time between two measurements: few wake-ups on an idle VM, and at most
two log lines per second."""
_LAG_WARNING_THRESHOLD_S = 0.1
"""Lag above which an event is logged: the interval between two plans."""
_MS_PER_S = 1000

_lag_histogram = metrics.create_latency_histogram(
    "dotterelbridge.loop.lag",
    "Time from when a timer is due until the event loop runs it",
)


class LoopMonitor:
    """Measures the lag that a busy, stalled or suspended process causes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self._clock.monotonic() + _INTERVAL.total_seconds()
            await self._clock.sleep(_INTERVAL)
            lag_s = max(0.0, self._clock.monotonic() - due_at)
            _lag_histogram.record(lag_s)
            if lag_s > _LAG_WARNING_THRESHOLD_S:
                events.log(
                    _log, CoreEvent.LOOP_LATE, lag_ms=round(lag_s * _MS_PER_S)
                )
