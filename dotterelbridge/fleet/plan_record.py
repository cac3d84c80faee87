"""Tells what plans cost and what holds wanted items up."""

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
from dotterelbridge.fleet.plan import HoldUp
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName

_log = structlog.get_logger(__name__)

_INTERVAL_S = 1.0
"""Time between two lines for a service: bounds their number."""
_MS = 1000


class _Tally(msgspec.Struct):
    """What was seen of one service since its last line."""

    began_at: float
    plans: int = 0
    longest_s: float = 0.0
    steps: int = 0
    held_up: Counter[HoldUp] = msgspec.field(default_factory=Counter)


class PlanRecord:
    """Measures each plan; logs a line for each service and second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tallies: dict[ItemName, _Tally] = {}
        self._waits_since: dict[ItemKey, float] = {}

    def note(
        self,
        service: ItemName,
        plan: ServicePlan,
        duration_s: float,
        accounts: list[EngineState],
        demand: dict[ItemKey, Demand],
        store_loads_left: int,
    ) -> None:
        """Take a plan that took the given time.

        :param store_loads_left: loads from the weight store that the
            plan was allowed.
        """
        now = self._clock.monotonic()
        instruments.plans.record(duration_s, {"service": service})
        tally = self._tallies.setdefault(service, _Tally(began_at=now))
        tally.plans += 1
        tally.longest_s = max(tally.longest_s, duration_s)
        tally.steps += len(plan.steps)
        tally.held_up.update(plan.held_up)
        if now - tally.began_at < _INTERVAL_S:
            return
        del self._tallies[service]
        waiting = {
            key: entry.waiting
            for key, entry in demand.items()
            if key.service == service and entry.waiting
        }
        self._note_waiting(service, waiting, now)
        oldest_s = max(
            (now - self._waits_since[key] for key in waiting), default=0.0
        )
        events.log(
            _log,
            FleetEvent.PLANNED,
            service=service,
            plans=tally.plans,
            longest_ms=round(tally.longest_s * _MS, 1),
            steps=tally.steps,
            held_up={
                reason.value: count for reason, count in tally.held_up.items()
            },
            engines=len(accounts),
            oldest_report_s=round(_find_oldest_s(accounts, now), 3),
            moving_models=sum(1 for a in accounts if a.moving_model),
            store_loads_left=store_loads_left,
            waiting_items=len(waiting),
            waiting_requests=sum(waiting.values()),
            longest_wait_s=round(oldest_s, 1),
        )

    def _note_waiting(
        self, service: ItemName, waiting: Iterable[ItemKey], now: float
    ) -> None:
        """Remember since when requests wait for each item."""
        for key in list(self._waits_since):
            if key.service == service and key not in waiting:
                del self._waits_since[key]
        for key in waiting:
            self._waits_since.setdefault(key, now)


def _find_oldest_s(accounts: Iterable[EngineState], now: float) -> float:
    """Return the age of the oldest report that is used."""
    return max(
        (now - a.reported_at for a in accounts if a.is_known), default=0.0
    )
