"""How many loads the weight store may serve, and how many at once."""

from collections import deque
import statistics

from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.routes.model import EngineInfo

_SLOW_LOAD_RATIO = 1.5
"""Duration of a load, in stated ones, from which too many are taken to run
at once: beyond the time that an order and its confirmation take."""
_FAST_LOAD_RATIO = 1.2
"""The same below which one more may run."""
_MIN_CONCURRENT_LOADS = 2
_BURST_LOAD_COUNT = 3
"""Loads that the platform's rule allows beside the rate."""


class StoreLoadLimiter:
    """Aggregate: the loads from the store that this VM has ordered.

    The store's rate is stated; how many loads it serves at once at full
    speed is not. At the stated rate, rate times duration are under way,
    which is what is allowed until loads turn out to take longer.
    """

    def __init__(self, settings: FleetSettings, now: float) -> None:
        """Start to count.

        :param now: from when this VM gives orders. Loads that another one
            ordered before are taken to have used the whole rate.
        """
        self._window_s = settings.store_burst_s
        self._began_at = now
        self._starts: deque[float] = deque()
        self._concurrent_loads: float | None = None

    def count_allowed(
        self, engine: EngineInfo, running: int, now: float
    ) -> int:
        """Return how many loads may start now.

        :param running: loads from the store that are under way.
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
        """Learn from how long a load took.

        :param running: loads that were under way, this one included.
        :param load_s: stated duration.
        """
        concurrent_loads = self._get_concurrent_loads(engine)
        ratio = took_s / load_s
        if ratio > _SLOW_LOAD_RATIO:
            # Beyond what the store serves at full speed, loads take
            # longer in proportion.
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
