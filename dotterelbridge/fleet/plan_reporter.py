"""Logs and measures what plans cost and what delays wanted items."""

from collections import Counter
from collections.abc import Iterable

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet import instruments
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.plan import DelayReason
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName

_log = structlog.get_logger(__name__)

_LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines for a service; limits their number."""
_MS_PER_S = 1000


class _PlanStats(msgspec.Struct):
    """Statistics of one service's plans since its last log line."""

    started_at: float
    plans: int = 0
    longest_s: float = 0.0
    steps: int = 0
    delays: Counter[DelayReason] = msgspec.field(default_factory=Counter)


class PlanReporter:
    """Measures each plan and logs one line per service and second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stats: dict[ItemName, _PlanStats] = {}
        self._waiting_since: dict[ItemKey, float] = {}

    def record(
        self,
        service: ItemName,
        plan: ServicePlan,
        duration_s: float,
        states: list[EngineState],
        demand: dict[ItemKey, Demand],
        store_loads_left: int,
    ) -> None:
        """Record a plan and the time that it took.

        :param store_loads_left: loads from the weight store that the plan
            was allowed to start.
        """
        now = self._clock.monotonic()
        instruments.plans.record(duration_s, {"service": service})
        stats = self._stats.setdefault(service, _PlanStats(started_at=now))
        stats.plans += 1
        stats.longest_s = max(stats.longest_s, duration_s)
        stats.steps += len(plan.steps)
        stats.delays.update(plan.delays)
        if now - stats.started_at < _LOG_INTERVAL_S:
            return
        del self._stats[service]
        waiting = {
            key: entry.waiting
            for key, entry in demand.items()
            if key.service == service and entry.waiting
        }
        self._update_waiting(service, waiting, now)
        oldest_s = max(
            (now - self._waiting_since[key] for key in waiting), default=0.0
        )
        events.log(
            _log,
            FleetEvent.PLANNED,
            service=service,
            plans=stats.plans,
            longest_ms=round(stats.longest_s * _MS_PER_S, 1),
            steps=stats.steps,
            held_up={
                reason.value: count for reason, count in stats.delays.items()
            },
            engines=len(states),
            oldest_report_s=round(_find_oldest_report_age_s(states, now), 3),
            moving_models=sum(1 for s in states if s.incoming_model),
            store_loads_left=store_loads_left,
            waiting_items=len(waiting),
            waiting_requests=sum(waiting.values()),
            longest_wait_s=round(oldest_s, 1),
        )

    def _update_waiting(
        self, service: ItemName, waiting: Iterable[ItemKey], now: float
    ) -> None:
        """Update since when requests have waited for each item."""
        for key in list(self._waiting_since):
            if key.service == service and key not in waiting:
                del self._waiting_since[key]
        for key in waiting:
            self._waiting_since.setdefault(key, now)


def _find_oldest_report_age_s(
    states: Iterable[EngineState], now: float
) -> float:
    """Return the age of the oldest report in use."""
    return max(
        (now - s.reported_at for s in states if s.has_report), default=0.0
    )
