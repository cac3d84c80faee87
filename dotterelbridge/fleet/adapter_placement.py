"""Decides which adapters are loaded on which engines."""

from collections.abc import Iterator
import math

from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.placement_index import PlacementIndex
from dotterelbridge.fleet.plan import DelayReason
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.routes.model import EngineInfo

IDLE_ADAPTER_S = 0.3
"""Time without a request after which an adapter may be evicted; the load
of another adapter takes some ms."""


class AdapterPlacement:
    """Adds the steps for adapters to a plan."""

    def __init__(
        self,
        index: PlacementIndex,
        engine: EngineInfo,
        plan: ServicePlan,
        now: float,
    ) -> None:
        self._index = index
        self._engine = engine
        self._plan = plan
        self._now = now
        self._missing: dict[str, Iterator[str]] = {}
        """For each model, an iterator over adapters that no engine holds."""

    def place_waiting(self) -> None:
        """Place the adapters that requests wait for, most requests first."""
        waiting = [
            (key, demand)
            for key, demand in self._index.demand.items()
            if key.adapter and demand.waiting
        ]
        for key, demand in sorted(waiting, key=lambda e: -e[1].waiting):
            self._place_adapter(key, demand)

    def fill_free_places(self) -> None:
        """Fill free places with adapters that no engine holds.

        A load before the first request costs an order, but delays nobody.
        """
        if any(state.incoming_model for state in self._index.states):
            return
        for state in self._index.states:
            self._fill_free_place(state)

    def _place_adapter(self, key: ItemKey, demand: Demand) -> None:
        index = self._index
        if index.is_adapter_in_transit(key.model, key.adapter):
            return
        if index.is_adapter_held(key.model, key.adapter):
            return
        holders = [
            state
            for state in index.list_holders(key.model)
            if state.serves(key.model)
        ]
        candidates = [s for s in holders if s.takes_adapter_moves]
        if not candidates:
            if holders:
                self._plan.delays[DelayReason.ENGINES_BUSY] += 1
            return
        free = [s for s in candidates if _has_room(s, key.model)]
        if free:
            state = min(free, key=_rank_engine)
            self._add_step(state, key, None, "requests wait")
            return
        victim = self._find_idle_adapter(candidates)
        if victim is None:
            self._plan.delays[DelayReason.NO_ROOM] += 1
            self._plan.items_without_room.append(key)
            return
        state, evicted = victim
        self._add_step(state, key, evicted, "requests wait")

    def _fill_free_place(self, state: EngineState) -> None:
        if state.incoming_adapters or not state.takes_adapter_moves:
            return
        names = [
            name
            for name in state.ready
            if state.serves(name) and _has_room(state, name)
        ]
        for name in sorted(names, key=self._rank_model, reverse=True):
            adapter = next(self._list_missing(name), None)
            if adapter is not None:
                key = ItemKey(self._index.service, name, adapter)
                self._add_step(state, key, None, "place is free")
                return

    def _list_missing(self, model: str) -> Iterator[str]:
        """Yield each adapter that is neither held nor in transit, once."""
        if model not in self._missing:
            self._missing[model] = self._find_missing(model)
        return self._missing[model]

    def _find_missing(self, model: str) -> Iterator[str]:
        index = self._index
        for number in range(1, self._engine.find_model(model).adapters + 1):
            name = f"a{number}"
            if not index.is_adapter_held(
                model, name
            ) and not index.is_adapter_in_transit(model, name):
                yield name

    def _rank_model(self, name: str) -> tuple[float, int]:
        """Return how likely requests for a model's adapters are."""
        arrivals = self._index.get_demand(name).arrivals_per_s
        return (arrivals, self._index.count_copies(name))

    def _find_idle_adapter(
        self, engines: list[EngineState]
    ) -> tuple[EngineState, ItemKey] | None:
        """Return the adapter to evict, the longest idle one, if any."""
        candidates = [
            (self._compute_idle_s(key), key, state)
            for state in engines
            for key in self._list_adapters(state)
            if not self._count_open_requests(key)
            and (key.model, key.adapter) not in state.evicting_adapters
        ]
        candidates = [c for c in candidates if c[0] > IDLE_ADAPTER_S]
        if not candidates:
            return None
        _, key, state = max(candidates, key=lambda c: c[:2])
        return state, key

    def _list_adapters(self, state: EngineState) -> Iterator[ItemKey]:
        for model, adapters in state.ready.items():
            for adapter in adapters:
                yield ItemKey(self._index.service, model, adapter)

    def _compute_idle_s(self, key: ItemKey) -> float:
        demand = self._index.demand.get(key)
        return self._now - (demand.last_arrival_at if demand else -math.inf)

    def _count_open_requests(self, key: ItemKey) -> int:
        demand = self._index.demand.get(key)
        return demand.open_requests if demand else 0

    def _add_step(
        self,
        state: EngineState,
        key: ItemKey,
        evicted: ItemKey | None,
        reason: str,
    ) -> None:
        self._index.add_incoming_adapter(state, key.model, key.adapter)
        if evicted is not None:
            state.evicting_adapters.add((evicted.model, evicted.adapter))
        self._plan.steps.append(
            Step(
                target=state.target.target,
                item=key,
                evicted=evicted,
                reason=reason,
            )
        )


def _has_room(state: EngineState, model: str) -> bool:
    """Whether a place is free that is not planned for another adapter."""
    planned = len(state.incoming_adapters) - len(state.evicting_adapters)
    return state.has_adapter_room(model, planned=max(0, planned))


def _rank_engine(state: EngineState) -> tuple[int, int]:
    load = state.target.load
    return (state.adapter_count, load.running + load.waiting)
