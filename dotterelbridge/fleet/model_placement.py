"""Decides which models go to which engines."""

from collections.abc import Iterator
import enum
import math

import msgspec

from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.placement_index import PlacementIndex
from dotterelbridge.fleet.plan import DelayReason
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import EngineInfo
from dotterelbridge.routes.model import ModelInfo

HOT_ARRIVALS_PER_S = 1.0
"""Arrivals from which the work of a model is spread over engines."""
MAX_COPY_LOAD_SHARE = 1.3
"""Work of one copy from which a further copy is loaded, in shares of what
an engine gets when all get the same."""
MIN_COPY_LOAD_SHARE = 0.7
"""The same below which a copy may give way."""
DEMAND_WARMUP_S = 2.0
"""Time from a service's first request until the shares of its models are
known."""
EVICTION_DELAY_S = 1.0
"""Time from the first request before which nothing is evicted: a busy
model that is not asked for yet looks like an idle one."""
STARTUP_COPY_COUNT = 3
"""Copies found at the start that stay until the demand is known."""
HOT_LOAD_SHARE = 0.2
"""Work below which a model is not spread, and may give way to one that is,
in shares of what an engine gets when all get the same."""
EVICTION_GAIN_RATIO = 10.0
"""Requests that a load must be for, to each one that uses the model which
gives way: it has to wait for a load in its turn."""
LONG_LOAD_S = 2.0
"""Load from which a further copy must be for much."""
LONG_LOAD_MIN_SHARE = 2.0
"""Share of each engine that serves a model, in equal shares of all, from
which it is."""
URGENT_REQUEST_COUNT = 10.0
"""Requests from which a load does not wait for a better place: until that
is free, another model may need it more."""
BUSY_SLOT_SHARE = 0.25
"""Share of all slots in use from which engines are kept level: streams
pause where prompts come faster than others let them be read."""
OVERLOADED_SHARE = 1.15
"""Share of an engine, in equal shares of all, from which its models then
get further copies although each by itself would not need one."""
UNDERLOADED_SHARE = 0.6
"""The same of an engine that has room for such a copy."""
BUSY_MIN_COPY_LOAD_SHARE = 0.35
"""COPY_LOAD_LEAST while the engines are kept level."""
_RUNNING_REQUESTS_LEFT_S = 1.0
"""Time until the last requests of a model in use end: half a stream."""
_EQUAL_SHARE_COST = 1.5
"""Cost of a place at an engine that gets an equal share of the arrivals,
in requests."""
_WAIT_COST_PER_S = 1.0
"""Cost of each second that a load takes: who waits for it is late."""
_BLOCKING_COST_PER_S = 1.0
"""Cost of each second for which a load keeps its engine from others: who
waits for those is late too."""
_UNACCEPTED_MOVE_S = 1.5
"""Time that a move of which no order was accepted yet is taken to last
on: half of one from the disk, with its unload."""
_MISSING_ADAPTER_SHARE = 0.05
"""Part of the requests with an adapter whose adapter is not there yet."""
_UNKNOWN_EVICTION_COST = 0.5
_MAX_IDLE_S = 1000.0
IDLE_MODEL_S = 1.0
"""Time without a request after which a model's last copy may give way."""
FURTHER_COPY_ENGINE_COUNT = 16
"""Engines, the least used first, among which a further copy is placed."""
MAX_LOADING_SHARE = 0.8
"""Most engines that load from the store at a time: the others are there
for adapters and for models that are on their disks."""
COMPARED_ENGINE_COUNT = 8
"""Engines that are rated for a model beside those that have it on disk,
the least used first: the others are hardly better."""


class _Urgency(enum.IntEnum):
    """Which wants go first."""

    NOW = 0
    RECENTLY_REQUESTED = 1
    NOT_LOADED = 2


class _WantedCopy(msgspec.Struct, frozen=True):
    """A model that should have one more copy."""

    urgency: _Urgency
    request_weight: float
    """Requests that it is for: those that wait, and a second's arrivals
    for each copy."""
    model: ModelInfo
    reason: str


class ModelPlacement:
    """Adds the steps for models to a plan."""

    def __init__(
        self,
        index: PlacementIndex,
        engine: EngineInfo,
        plan: ServicePlan,
        store_loads: int,
        since_first_request_s: float,
        now: float,
    ) -> None:
        self._index = index
        self._engine = engine
        self._plan = plan
        loading = sum(a.is_loading_from_store for a in index.states)
        max_loading = math.ceil(MAX_LOADING_SHARE * len(index.states))
        self._store_loads = min(store_loads, max_loading - loading)
        self._since_first_request_s = since_first_request_s
        self._now = now
        self._is_demand_known = since_first_request_s > DEMAND_WARMUP_S
        slots = engine.slots * len(index.states)
        self._are_engines_busy = index.running > BUSY_SLOT_SHARE * slots
        self._underloaded_engine_found: bool | None = None
        """Whether an engine has little work; None until it is known."""
        self._engines_by_cost: list[EngineState] | None = None
        """Engines by what a load from the store costs there, roughly."""
        self._rejected_copy: _WantedCopy | None = None
        """The last first copy that found no room: one that is for less
        finds none either."""
        self._max_free_mb: float | None = None
        """Most memory that is free on an engine; None until it is known."""

    def place_all(self) -> None:
        """Serve the wants, the most pressing first."""
        for copy in sorted(
            self._list_wanted_copies(),
            key=lambda w: (w.urgency, -w.request_weight),
        ):
            self._place_copy(copy)

    def _list_wanted_copies(self) -> Iterator[_WantedCopy]:
        for model in self._engine.models:
            demand = self._index.get_demand(model.name)
            copies = self._index.count_copies(model.name)
            wanted_count = self._count_wanted_copies(model.name, copies)
            if not copies and demand.waiting:
                request_weight = demand.waiting + demand.arrivals_per_s
                yield _WantedCopy(
                    _Urgency.NOW, request_weight, model, "requests wait"
                )
            elif (
                copies < wanted_count
                and wanted_count > 1
                and self._is_demand_known
            ):
                request_weight = demand.arrivals_per_s / max(1, copies)
                reason = f"{copies} of {wanted_count} copies"
                yield _WantedCopy(_Urgency.NOW, request_weight, model, reason)
            elif not copies and demand.arrivals_per_s > 0.05:
                yield _WantedCopy(
                    _Urgency.RECENTLY_REQUESTED,
                    demand.arrivals_per_s,
                    model,
                    "wanted lately",
                )
            elif not copies:
                yield _WantedCopy(
                    _Urgency.NOT_LOADED, 0.0, model, "held nowhere"
                )

    def _count_wanted_copies(self, model: str, copies: int) -> int:
        """Return how many copies the demand for a model calls for."""
        wanted_count = self._count_copies_for_load(
            model, copies, MAX_COPY_LOAD_SHARE
        )
        if 0 < copies >= wanted_count and self._is_overloaded(model):
            return min(copies + 1, self._count_copies_to_keep(model, copies))
        return wanted_count

    def _is_overloaded(self, model: str) -> bool:
        """Whether the engines that serve a model have too much work.

        And another one that could serve it has little.
        """
        return (
            self._are_engines_busy
            and all(
                self._index.get_load_share(state) > OVERLOADED_SHARE
                for state in self._index.list_holders(model)
            )
            and self._has_underloaded_engine()
        )

    def _has_underloaded_engine(self) -> bool:
        if self._underloaded_engine_found is None:
            self._underloaded_engine_found = any(
                self._index.get_load_share(state) < UNDERLOADED_SHARE
                for state in self._index.states
            )
        return self._underloaded_engine_found

    def _count_copies_to_keep(self, model: str, copies: int) -> int:
        """Return how many copies are kept: more than would be added.

        A move costs seconds; a share that wavers must not cause two.
        """
        min_share = (
            BUSY_MIN_COPY_LOAD_SHARE
            if self._are_engines_busy
            else MIN_COPY_LOAD_SHARE
        )
        return self._count_copies_for_load(model, copies, min_share)

    def _count_copies_for_load(
        self, model: str, copies: int, load: float
    ) -> int:
        """Return the copies of which each has the given load.

        :param load: in shares of what an engine gets when all get the
            same.
        """
        count = 1
        engines = len(self._index.states)
        arrivals_per_s = self._index.get_demand(model).arrivals_per_s
        if self._is_hot(arrivals_per_s):
            # Prompts that are read hold up the other streams of an
            # engine, long before its slots are taken: spread the work.
            share = arrivals_per_s / self._index.arrivals_per_s
            count = math.ceil(share * engines / load)
            if self._engine.find_model(model).adapters:
                # While one engine loads a model, it loads no adapters.
                count = max(count, 2)
        if not self._is_demand_known:
            # What stands on many engines at the start is what its owners
            # take for busy.
            count = max(count, min(copies, STARTUP_COPY_COUNT))
        return min(count, engines)

    def _is_hot(self, arrivals_per_s: float) -> bool:
        min_share = HOT_LOAD_SHARE * self._index.fair_arrivals_per_s
        return arrivals_per_s >= max(HOT_ARRIVALS_PER_S, min_share)

    # Places.

    def _place_copy(self, copy: _WantedCopy) -> None:
        candidates = self._list_candidates(copy)
        if not candidates:
            if copy.urgency == _Urgency.NOW:
                self._record_delay(copy)
            return
        if copy.request_weight >= URGENT_REQUEST_COUNT:
            free = [c for c in candidates if c[-1].takes_model_moves]
            candidates = free or candidates
        _, _, state = min(candidates, key=lambda candidate: candidate[:2])
        if state.takes_model_moves:
            self._add_step(state, copy)
        elif copy.urgency == _Urgency.NOW:
            # The best place is busy for a moment, and worth waiting for:
            # it has the model on its disk.
            self._plan.delays[DelayReason.ENGINES_BUSY] += 1

    def _list_candidates(
        self, copy: _WantedCopy
    ) -> list[tuple[tuple[float, float], TargetId, EngineState]]:
        """Return places for a model, each with how bad it is."""
        is_first = not self._index.count_copies(copy.model.name)
        if copy.urgency == _Urgency.NOW and self._is_rejected_like(copy):
            return []
        candidates = []
        caching_engines = self._index.list_caching_engines(copy.model.name)
        for state in caching_engines:
            self._add_candidate(candidates, state, copy)
        if self._store_loads > 0:
            self._add_store_candidates(candidates, copy)
            if not candidates and is_first and copy.urgency == _Urgency.NOW:
                self._rejected_copy = copy
        return candidates

    def _is_rejected_like(self, copy: _WantedCopy) -> bool:
        """Whether a model that finds no room needs less, for more."""
        rejected = self._rejected_copy
        return (
            rejected is not None
            and copy.request_weight <= rejected.request_weight
            and copy.model.memory_mb >= rejected.model.memory_mb
        )

    def _add_store_candidates(
        self, candidates: list, copy: _WantedCopy
    ) -> None:
        """Add the first places that a load from the store may go to."""
        if (
            copy.urgency > _Urgency.NOW
            and copy.model.memory_mb > self._find_max_free_mb()
        ):
            return
        is_long_load = copy.model.store_load_s > LONG_LOAD_S
        if is_long_load and not self._justifies_long_load(copy):
            return
        max_count = len(candidates) + COMPARED_ENGINE_COUNT
        is_urgent = copy.request_weight >= URGENT_REQUEST_COUNT
        engines = self._list_engines_by_cost()
        if self._index.count_copies(copy.model.name):
            # A further copy is of no use at an engine that is used much.
            engines = engines[:FURTHER_COPY_ENGINE_COUNT]
        for state in engines:
            if len(candidates) >= max_count:
                return
            if self._is_cached(state, copy.model) or (
                is_urgent and not state.takes_model_moves
            ):
                continue
            self._add_candidate(candidates, state, copy)

    def _add_candidate(
        self, candidates: list, state: EngineState, copy: _WantedCopy
    ) -> None:
        cost = self._compute_placement_cost(state, copy)
        if cost is not None:
            candidates.append((cost, state.target.target, state))

    def _list_engines_by_cost(self) -> list[EngineState]:
        """Return the engines, those first that are used least."""
        if self._engines_by_cost is None:
            self._engines_by_cost = sorted(
                (a for a in self._index.states if a.has_report),
                key=self._compute_base_cost,
            )
        return self._engines_by_cost

    def _compute_base_cost(self, state: EngineState) -> tuple[float, TargetId]:
        """Return how bad a place is whatever the model."""
        cost = self._index.get_load_share(state) * _EQUAL_SHARE_COST
        cost += (
            self._index.compute_adapter_arrivals_per_s(state)
            * _MISSING_ADAPTER_SHARE
        )
        if not state.takes_model_moves:
            cost += _UNKNOWN_EVICTION_COST + self._estimate_move_time_left_s(
                state
            )
        elif state.models:
            cost += min(map(self._compute_eviction_cost, state.models))
        return (cost, state.target.target)

    def _find_max_free_mb(self) -> float:
        if self._max_free_mb is None:
            self._max_free_mb = max(
                (
                    state.engine.memory_mb - state.used_mb
                    for state in self._list_engines_by_cost()
                    if state.takes_model_moves
                ),
                default=0.0,
            )
        return self._max_free_mb

    def _record_delay(self, copy: _WantedCopy) -> None:
        is_limited = self._store_loads <= 0
        reason = DelayReason.STORE_LIMIT if is_limited else DelayReason.NO_ROOM
        self._plan.delays[reason] += 1
        if not self._index.count_copies(copy.model.name):
            key = ItemKey(self._index.service, copy.model.name)
            self._plan.items_without_room.append(key)

    def _compute_placement_cost(
        self, state: EngineState, copy: _WantedCopy
    ) -> tuple[float, float] | None:
        """Return how bad a place is; None where the model can't go."""
        model = copy.model
        if not state.has_report or model.name in state.models:
            return None
        if not self._is_cached(state, model) and self._store_loads <= 0:
            return None
        eviction_cost = 0.0
        wait_s = 0.0
        if not state.takes_model_moves:
            # What will be there after the present move is not known yet.
            eviction_cost = _UNKNOWN_EVICTION_COST
        elif not state.has_room(model.name):
            victim = self._find_victim(state, copy)
            if victim is None:
                return None
            eviction_cost = self._compute_eviction_cost(victim)
            wait_s = (
                _RUNNING_REQUESTS_LEFT_S
                if self._index.get_demand(victim).running
                else 0.0
            )
        load_s = estimate_load_s(state, model)
        if load_s > LONG_LOAD_S and not self._justifies_long_load(copy):
            return None
        load_share = self._index.get_load_share(state)
        blocking_cost = (
            load_s
            * self._index.compute_adapter_arrivals_per_s(state)
            * _MISSING_ADAPTER_SHARE
        )
        if not state.takes_model_moves:
            wait_s += self._estimate_move_time_left_s(state)
        cost = eviction_cost + blocking_cost + load_share * _EQUAL_SHARE_COST
        cost += (
            wait_s + load_s
        ) * _WAIT_COST_PER_S + load_s * _BLOCKING_COST_PER_S
        return (cost, wait_s + load_s)

    def _estimate_move_time_left_s(self, state: EngineState) -> float:
        """Return how long the present move of an engine lasts on."""
        if (
            state.executing_order is None
            or state.executing_order.ready_at is None
        ):
            return _UNACCEPTED_MOVE_S
        return max(0.0, state.executing_order.ready_at - self._now)

    def _justifies_long_load(self, copy: _WantedCopy) -> bool:
        """Whether a model may keep an engine from all others for long.

        A first copy may. A further one is there when half of the time is
        over for which its model is busy, and rare models, which wait for
        the engine meanwhile, are served by nobody.
        """
        return all(
            self._index.get_load_share(state) > LONG_LOAD_MIN_SHARE
            for state in self._index.list_holders(copy.model.name)
        )

    def _add_step(self, state: EngineState, copy: _WantedCopy) -> None:
        model = copy.model
        evicted = None
        if not state.has_room(model.name):
            victim = self._find_victim(state, copy)
            evicted = ItemKey(self._index.service, victim)
            # At once, so that the next want does not count on this copy.
            self._index.start_draining(state, victim)
        self._index.add_incoming_model(state, model.name)
        self._max_free_mb = None
        from_store = not self._is_cached(state, model)
        self._store_loads -= from_store
        self._plan.steps.append(
            Step(
                target=state.target.target,
                item=ItemKey(self._index.service, model.name),
                evicted=evicted,
                reason=copy.reason,
                from_store=from_store,
            )
        )

    def _is_cached(self, state: EngineState, model: ModelInfo) -> bool:
        """Whether a load needs nothing from the weight store."""
        return model.name in state.in_memory or model.name in state.on_disk

    def _find_victim(
        self, state: EngineState, copy: _WantedCopy
    ) -> str | None:
        """Return the model whose loss costs least, if that is allowed."""
        allowed = [
            model
            for model in state.models
            if state.has_room(copy.model.name, without=model)
            and self._may_evict(model, copy)
        ]
        return min(allowed, key=self._compute_eviction_cost, default=None)

    def _may_evict(self, model: str, copy: _WantedCopy) -> bool:
        """Whether a copy may give way to another model.

        A surplus copy may. The only copy of a model may if nobody uses
        it, or few against those that the other model is for: what is held
        nowhere loads in seconds, while one copy of a busy model slows all
        of its streams for as long as it stays the only one.
        """
        if (
            copy.urgency > _Urgency.NOW
            or self._since_first_request_s < EVICTION_DELAY_S
        ):
            return False
        copies = self._index.count_copies(model)
        demand = self._index.get_demand(model)
        if copies > max(1, self._count_copies_to_keep(model, copies)):
            return True
        if copies > 1 or self._is_hot(demand.arrivals_per_s):
            return False
        is_idle = self._now - demand.last_arrival_at > IDLE_MODEL_S
        if is_idle and not demand.open_requests:
            return True
        user_count = (
            demand.open_requests + demand.arrivals_per_s + (not is_idle)
        )
        return user_count * EVICTION_GAIN_RATIO < copy.request_weight

    def _compute_eviction_cost(self, model: str) -> float:
        """Return how much it costs to drop one copy of a model."""
        copies = self._index.count_copies(model)
        demand = self._index.get_demand(model)
        idle_s = min(self._now - demand.last_arrival_at, _MAX_IDLE_S)
        recency = 1 / (1 + idle_s)
        return (demand.open_requests + demand.arrivals_per_s + recency) / max(
            copies, 1
        )


def estimate_load_s(state: EngineState, model: ModelInfo) -> float:
    """Return how long a load of a model takes at an engine."""
    if model.name in state.in_memory:
        return model.memory_load_s
    if model.name in state.on_disk:
        return model.disk_load_s
    return model.store_load_s
