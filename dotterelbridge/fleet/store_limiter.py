"""Limits the rate and the concurrency of loads from the weight store."""

from collections import deque
import statistics

from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.routes.model import EngineInfo

_SLOW_LOAD_RATIO = 1.5
"""Ratio of actual to documented load time above which the concurrency is
reduced. It leaves room for the time of the order and its confirmation."""
_FAST_LOAD_RATIO = 1.2
"""Ratio of actual to documented load time below which the concurrency may
grow by one."""
_MIN_CONCURRENT_LOADS = 2
_BURST_LOAD_COUNT = 3
"""Loads that the platform's rule allows in addition to the rate."""


class StoreLoadLimiter:
    """Counts the loads from the weight store that this VM has ordered.

    Aggregate. The store's rate is documented, but not how many concurrent
    loads it serves at full speed. At the documented rate, rate times
    duration loads are in progress; that many are allowed until loads take
    longer than documented.
    """

    def __init__(self, settings: FleetSettings, now: float) -> None:
        """Start counting.

        :param now: when this VM may send orders. Before that, the previous
            controller is assumed to have used the full rate.
        """
        self._window_s = settings.store_burst_s
        self._began_at = now
        self._starts: deque[float] = deque()
        self._concurrent_loads: float | None = None

    def count_allowed(
        self, engine: EngineInfo, running: int, now: float
    ) -> int:
        """Return how many loads may start now.

        :param running: loads from the store that are in progress.
        """
        while self._starts and self._starts[0] < now - self._window_s:
            self._starts.popleft()
        in_window = min(
            int(engine.loads_per_s * self._window_s),
            int(engine.loads_per_s * (now - self._began_at))
            + _BURST_LOAD_COUNT,
        )
        return max(
            0,
            min(
                in_window - len(self._starts),
                int(self._get_concurrent_loads(engine)) - running,
            ),
        )

    def record_start(self, now: float) -> None:
        """Count a load that starts."""
        self._starts.append(now)

    def record_end(
        self, engine: EngineInfo, running: int, load_s: float, took_s: float
    ) -> None:
        """Adapt the concurrency limit to the duration of a load.

        :param running: loads that were in progress, this one included.
        :param load_s: documented duration.
        :param took_s: actual duration.
        """
        concurrent_loads = self._get_concurrent_loads(engine)
        ratio = took_s / load_s
        if ratio > _SLOW_LOAD_RATIO:
            # Above the concurrency that the store serves at full speed,
            # the duration of loads grows in proportion.
            self._concurrent_loads = max(
                _MIN_CONCURRENT_LOADS, min(concurrent_loads, running / ratio)
            )
        elif ratio < _FAST_LOAD_RATIO and running >= int(concurrent_loads):
            self._concurrent_loads = concurrent_loads + 1

    def _get_concurrent_loads(self, engine: EngineInfo) -> float:
        if self._concurrent_loads is not None:
            return self._concurrent_loads
        if not engine.models:
            return _MIN_CONCURRENT_LOADS
        load_s = statistics.fmean(m.store_load_s for m in engine.models)
        return max(_MIN_CONCURRENT_LOADS, engine.loads_per_s * load_s)
