"""Decides which models are loaded on which engines.

Loads of copies and engines are compared with the equal share: the arrival
rate that each engine gets if all get the same.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import enum
import heapq
import math
import statistics

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
"""Arrival rate from which the load of a model is spread over engines."""
MAX_COPY_LOAD_SHARE = 1.3
"""Load of one copy above which a further copy is loaded, as a multiple of
the equal share."""
MIN_COPY_LOAD_SHARE = 0.7
"""Load per copy below which a copy may be evicted, in the same unit."""
DEMAND_WARMUP_S = 2.0
"""Time from a service's first request until the arrival rates of its
models are known."""
EVICTION_DELAY_S = 1.0
"""Time from the first request before which nothing is evicted: a busy
model that has had no request yet looks like an idle one."""
STARTUP_COPY_COUNT = 3
"""Copies found at the start that are kept until the demand is known."""
HOT_LOAD_SHARE = 0.2
"""Load below which a model is not spread, and may be evicted for one that
is, as a multiple of the equal share."""
EVICTION_GAIN_RATIO = 10.0
"""Minimum ratio of the requests that a load is for to the requests that
use the evicted model: those have to wait for a load in turn."""
LONG_LOAD_S = 2.0
"""Load time above which a further copy needs LONG_LOAD_MIN_SHARE, or less
while most slots are in use."""
LONG_LOAD_MIN_SHARE = 2.0
"""Load of each engine that serves a model above which a further copy may
take a long load, as a multiple of the equal share."""
LONG_LOAD_SLOT_SHARE = 0.9
"""Expected share of slots in use from which it may do so at a lower load."""
BUSY_LONG_LOAD_MIN_SHARE = 1.6
"""Lowest such load: below it, rare models need the engine more."""
MAX_EXPECTED_GROWTH = 0.6
"""Largest growth that is expected until a load ends, as a share of the
current rate: a burst looks like a rise at first."""
URGENT_REQUEST_COUNT = 10.0
"""Requests from which a first copy does not wait for a better engine: by
the time that one is free, another model may need it more. Further copies
never do."""
BUSY_SLOT_SHARE = 0.25
"""Share of all slots in use from which the load of engines is balanced:
streams stall on an engine that receives prompts faster than it can process
them beside the running streams."""
OVERLOADED_SHARE = 1.15
"""Load of an engine, as a multiple of the equal share, above which its
models get further copies while engines are balanced, although no single
model would need one."""
UNDERLOADED_SHARE = 0.6
"""Load below which an engine can take such a copy, in the same unit."""
BUSY_MIN_COPY_LOAD_SHARE = 0.35
"""MIN_COPY_LOAD_SHARE while the load of engines is balanced."""
_RUNNING_REQUESTS_LEFT_S = 1.0
"""Expected time until the last requests of a model in use end: half the
duration of a stream."""
_EQUAL_SHARE_COST = 1.5
"""Cost of a load on an engine that gets an equal share of the arrivals, in
requests."""
_WAIT_COST_PER_S = 1.0
"""Cost of each second until a model is loaded: its requests are late."""
_BLOCKING_COST_PER_S = 1.0
"""Cost of each second in which a load blocks its engine: requests for
other models that need the engine are late."""
_UNACCEPTED_MOVE_S = 1.5
"""Assumed time left of a move whose order is not accepted yet: half of a
load from disk, with its unload."""
_LATE_STREAM_COST = 10.0
"""Cost of each stream a second that an engine's speed makes late: a copy stays
for tens of seconds."""
_FAST_ENGINE_COST = 1.0
"""Cost of a copy that gains nothing from an engine of twice the usual speed,
where other models would gain."""
_MISSING_ADAPTER_SHARE = 0.05
"""Share of requests with an adapter whose adapter is not loaded yet."""
_UNKNOWN_EVICTION_COST = 0.5
"""Eviction cost assumed for an engine that is still moving a model."""
_MAX_IDLE_S = 1000.0
IDLE_MODEL_S = 1.0
"""Time without a request after which the last copy of a model may be
evicted."""
FURTHER_COPY_ENGINE_COUNT = 16
"""Number of engines, the cheapest first, that a further copy may go to."""
MAX_LOADING_SHARE = 0.8
"""Largest share of engines that load from the store at a time: the others
stay available for adapters and for models on their disks."""
COMPARED_ENGINE_COUNT = 8
"""Number of engines, the cheapest first, that are compared for a model in
addition to those that have it cached: further ones are hardly better."""


class _Urgency(enum.IntEnum):
    """Order in which wanted copies are placed."""

    NOW = 0
    RECENTLY_REQUESTED = 1
    NOT_LOADED = 2


class _WantedCopy(msgspec.Struct, frozen=True):
    """One more copy that a model should have."""

    urgency: _Urgency
    request_weight: float
    """Requests that the copy is for: those that wait, plus the arrivals of
    one second per copy."""
    model: ModelInfo
    reason: str
    max_speed: float = math.inf
    """Slowest engine that relieves the model's other engines."""


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
        loading = sum(s.is_loading_from_store for s in index.states)
        max_loading = math.ceil(MAX_LOADING_SHARE * len(index.states))
        self._store_loads = min(store_loads, max_loading - loading)
        self._since_first_request_s = since_first_request_s
        self._now = now
        self._is_demand_known = since_first_request_s > DEMAND_WARMUP_S
        slots = engine.slots * len(index.states)
        self._are_engines_busy = index.running > BUSY_SLOT_SHARE * slots
        self._long_load_min_share = LONG_LOAD_MIN_SHARE
        if index.running and slots:
            slot_limit_share = LONG_LOAD_SLOT_SHARE * slots / index.running
            self._long_load_min_share = min(
                LONG_LOAD_MIN_SHARE,
                max(BUSY_LONG_LOAD_MIN_SHARE, slot_limit_share),
            )
        self._underloaded_engine_found: dict[
            Callable[[EngineState], float], bool
        ] = {}
        """Whether an engine is underloaded, by how its load counts."""
        self._engines_by_cost: list[EngineState] | None = None
        """Engines by the approximate cost of a load from the store there."""
        self.barred_copies: Collection[tuple[TargetId, str]] = ()
        """Engines and models that a move by speed has just separated; only a
        first copy may be loaded there."""
        self._speed_gain_known: bool | None = None
        """Whether a busy model gains from fast engines; None until known."""
        self._speed_range: tuple[float, float] | None = None
        """Lowest and highest known speed."""
        if index.speeds is not None and index.speeds.speeds:
            known = index.speeds.speeds.values()
            self._speed_range = (min(known), max(known))
        self._fastest_engines: list[EngineState] | None = None
        self._rejected_copy: _WantedCopy | None = None
        """The latest first copy that found no room; one for fewer requests
        and no less memory finds none either."""
        self._max_free_mb: float | None = None
        """Largest free memory of an engine; None until computed."""

    def place_all(self) -> None:
        """Place the wanted copies, the most urgent first."""
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
                yield _WantedCopy(
                    _Urgency.NOW,
                    request_weight,
                    model,
                    reason,
                    self._find_max_speed(model.name, copies),
                )
            elif not copies and demand.arrivals_per_s > 0.05:
                yield _WantedCopy(
                    _Urgency.RECENTLY_REQUESTED,
                    demand.arrivals_per_s,
                    model,
                    "requested recently",
                )
            elif not copies:
                yield _WantedCopy(
                    _Urgency.NOT_LOADED, 0.0, model, "not loaded on any engine"
                )

    def _count_wanted_copies(self, model: str, copies: int) -> int:
        """Return how many copies the demand for a model requires."""
        wanted_count = self._count_copies_for_load(
            model, copies, MAX_COPY_LOAD_SHARE
        )
        if 0 < copies >= wanted_count and self._is_overloaded(model):
            return min(copies + 1, self._count_copies_to_keep(model, copies))
        return wanted_count

    def _find_max_speed(self, model: str, copies: int) -> float:
        """Return the slowest engine for a further copy.

        A copy that only relieves overloaded engines makes more streams late
        on an engine slower than those.
        """
        if not copies or not self._gains_from_speed(model):
            return math.inf
        if copies < self._count_copies_for_load(
            model, copies, MAX_COPY_LOAD_SHARE
        ):
            return math.inf
        speeds = self._index.speeds
        return statistics.fmean(
            speeds.find_speed(state.target.target)
            for state in self._index.list_holders(model)
        )

    def _is_overloaded(self, model: str) -> bool:
        """Whether all engines that serve a model are overloaded.

        Only true while engines are busy and another engine is underloaded.
        While busy models gain from fast engines, only they get such copies:
        others would fill the fast engines, and take them from each other.
        """
        if not self._gains_from_speed(model) and self._does_any_model_gain():
            return False
        get_share = self._find_share_function(model)
        return (
            self._are_engines_busy
            and all(
                get_share(state) > OVERLOADED_SHARE
                for state in self._index.list_holders(model)
            )
            and self._has_underloaded_engine(get_share)
        )

    def _find_share_function(
        self, model: str
    ) -> Callable[[EngineState], float]:
        """Return how the load of engines counts for a model."""
        if self._gains_from_speed(model):
            return self._index.get_load_share
        return self._index.get_arrival_share

    def _has_underloaded_engine(
        self, get_share: Callable[[EngineState], float]
    ) -> bool:
        if get_share not in self._underloaded_engine_found:
            self._underloaded_engine_found[get_share] = any(
                get_share(state) < UNDERLOADED_SHARE
                for state in self._index.states
            )
        return self._underloaded_engine_found[get_share]

    def _count_copies_to_keep(self, model: str, copies: int) -> int:
        """Return how many copies are kept: more than would be loaded.

        The difference is a hysteresis: a move takes seconds, and a share
        that fluctuates must not cause two.
        """
        min_share = (
            BUSY_MIN_COPY_LOAD_SHARE
            if self._are_engines_busy
            else MIN_COPY_LOAD_SHARE
        )
        return self._count_copies_for_load(model, copies, min_share)

    def _estimate_arrivals_per_s(self, model: str) -> float:
        """Return the rate to expect when a load that starts now ends."""
        arrivals_per_s = self._index.get_demand(model).arrivals_per_s
        return arrivals_per_s + self._estimate_growth_per_s(model)

    def _estimate_growth_per_s(self, model: str) -> float:
        """Return by how much the rate of a model grows during a load."""
        demand = self._index.get_demand(model)
        info = self._engine.find_model(model)
        return min(
            demand.growth_per_s * (info.store_load_s if info else 0.0),
            MAX_EXPECTED_GROWTH * demand.arrivals_per_s,
        )

    def _count_copies_for_load(
        self, model: str, copies: int, load: float
    ) -> int:
        """Return how many copies each get the given load.

        :param load: as a multiple of the equal share.
        """
        count = 1
        engines = len(self._index.states)
        if self._is_hot(self._index.get_demand(model).arrivals_per_s):
            # Spread the load: an engine that processes prompts delays its
            # running streams long before all of its slots are in use.
            needed = self._compute_needed_capacity(model, load)
            held = self._index.count_copies(model)
            if held and self._gains_from_speed(model):
                needed /= self._index.sum_capacity(model) / held
            count = math.ceil(needed)
            if self._engine.find_model(model).adapters:
                # An engine cannot load adapters while it loads a model.
                count = max(count, 2)
        if not self._is_demand_known:
            # Models on many engines at the start are those that their
            # owners expect to be busy.
            count = max(count, min(copies, STARTUP_COPY_COUNT))
        return min(count, engines)

    def _compute_needed_capacity(self, model: str, load: float) -> float:
        """Return the capacity that gets the given load, in mean engines."""
        expected_per_s = self._estimate_arrivals_per_s(model)
        share = expected_per_s / self._index.arrivals_per_s
        return share * len(self._index.states) / load

    def suffices_without(self, model: str, state: EngineState) -> bool:
        """Whether a model would get no further copy without the one there.

        With a margin, so that chance does not bring it back.
        """
        rest = [s for s in self._index.list_holders(model) if s is not state]
        if not any(s.serves(model) for s in rest):
            return False
        if not self._is_hot(self._index.get_demand(model).arrivals_per_s):
            return True
        if len(rest) < 2 and self._engine.find_model(model).adapters:
            return False
        get_share = self._find_share_function(model)
        if self._gains_from_speed(model):
            held = self._index.sum_capacity(model)
            capacity = held - self._index.get_capacity(state)
        else:
            held, capacity = len(rest) + 1, len(rest)
        arrivals_per_s = self._index.get_demand(model).arrivals_per_s
        added_per_s = arrivals_per_s / capacity - arrivals_per_s / held
        added_share = added_per_s / self._index.equal_share_per_s
        if self._are_engines_busy and all(
            get_share(s) + added_share > OVERLOADED_SHARE for s in rest
        ):
            return False
        return capacity >= self._compute_needed_capacity(model, 1.0)

    def _is_hot(self, arrivals_per_s: float) -> bool:
        min_arrivals_per_s = HOT_LOAD_SHARE * self._index.equal_share_per_s
        return arrivals_per_s >= max(HOT_ARRIVALS_PER_S, min_arrivals_per_s)

    # Engines for a wanted copy.

    def _place_copy(self, copy: _WantedCopy) -> None:
        candidates = self._list_candidates(copy)
        if not candidates:
            if copy.urgency == _Urgency.NOW:
                self._record_delay(copy)
            return
        is_further = self._index.count_copies(copy.model.name) > 0
        if is_further or copy.request_weight >= URGENT_REQUEST_COUNT:
            free = [c for c in candidates if c[-1].takes_model_moves]
            candidates = free or candidates
        _, _, state = min(candidates, key=lambda candidate: candidate[:2])
        if state.takes_model_moves:
            self._add_step(state, copy)
        elif copy.urgency == _Urgency.NOW:
            # The best engine is busy now, but worth waiting for: it has
            # the model on disk.
            self._plan.delays[DelayReason.ENGINES_BUSY] += 1

    def _list_candidates(
        self, copy: _WantedCopy
    ) -> list[tuple[tuple[float, float], TargetId, EngineState]]:
        """Return (cost, target, engine) for each engine that can load it."""
        is_first = not self._index.count_copies(copy.model.name)
        if copy.urgency == _Urgency.NOW and self._resembles_rejected(copy):
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

    def _resembles_rejected(self, copy: _WantedCopy) -> bool:
        """Whether a rejected copy was no larger, and for as many requests."""
        rejected = self._rejected_copy
        return (
            rejected is not None
            and copy.request_weight <= rejected.request_weight
            and copy.model.memory_mb >= rejected.model.memory_mb
        )

    def _add_store_candidates(
        self, candidates: list, copy: _WantedCopy
    ) -> None:
        """Add the cheapest engines for a load from the store."""
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
            # A further copy is useless on an engine with a high load.
            engines = engines[:FURTHER_COPY_ENGINE_COUNT]
        if self._gains_from_speed(copy.model.name):
            fast = self._list_fastest_engines()
            max_count += len(fast)
            engines = dict.fromkeys((*fast, *engines))
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
        """Return the engines, the cheapest first for any model."""
        if self._engines_by_cost is None:
            self._engines_by_cost = sorted(
                (s for s in self._index.states if s.has_report),
                key=self._compute_base_cost,
            )
        return self._engines_by_cost

    def _list_fastest_engines(self) -> list[EngineState]:
        """Return a few engines, the fastest and then the cheapest first."""
        if self._fastest_engines is None:
            speeds = self._index.speeds
            self._fastest_engines = heapq.nsmallest(
                COMPARED_ENGINE_COUNT,
                self._list_engines_by_cost(),
                key=lambda state: speeds.find_speed(state.target.target),
            )
        return self._fastest_engines

    def _compute_base_cost(self, state: EngineState) -> tuple[float, TargetId]:
        """Return the cost of a load on an engine, whatever the model."""
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
        """Return the cost of a load; None if the engine cannot load it."""
        model = copy.model
        if not state.has_report or model.name in state.models:
            return None
        if not math.isinf(copy.max_speed) and (
            self._index.speeds.find_speed(state.target.target) > copy.max_speed
        ):
            return None
        if (
            state.target.target,
            model.name,
        ) in self.barred_copies and self._index.count_copies(model.name):
            return None
        if not self._is_cached(state, model) and self._store_loads <= 0:
            return None
        eviction_cost = 0.0
        wait_s = 0.0
        if not state.takes_model_moves:
            # What the engine holds after its current move is unknown.
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
        cost += self._compute_speed_cost(state, model.name)
        cost += (
            wait_s + load_s
        ) * _WAIT_COST_PER_S + load_s * _BLOCKING_COST_PER_S
        return (cost, wait_s + load_s)

    # Speeds of engines.

    def _compute_speed_cost(self, state: EngineState, model: str) -> float:
        """Return the cost of a copy because of the engine's speed."""
        speeds = self._index.speeds
        if speeds is None:
            return 0.0
        speed = speeds.find_speed(state.target.target)
        if not self._gains_from_speed(model):
            if speed < 1.0 and self._does_any_model_gain():
                return _FAST_ENGINE_COST * (1 / speed - 1)
            return 0.0
        arrivals_per_s = self._index.get_demand(model).arrivals_per_s
        copies = self._index.count_copies(model) + 1
        late_share = speeds.find_late_share(model, speed)
        return _LATE_STREAM_COST * late_share * arrivals_per_s / copies

    def _gains_from_speed(self, model: str) -> bool:
        """Whether more streams of a model are late on slow engines."""
        if self._speed_range is None:
            return False
        fastest, slowest = self._speed_range
        speeds = self._index.speeds
        return speeds.find_late_share(model, slowest) > (
            speeds.find_late_share(model, fastest)
        )

    def _does_any_model_gain(self) -> bool:
        if self._index.speeds is None:
            return False
        if self._speed_gain_known is None:
            self._speed_gain_known = any(
                self._gains_from_speed(model)
                and self._is_hot(self._index.get_demand(model).arrivals_per_s)
                for model in self._index.speeds.gaps_ms
            )
        return self._speed_gain_known

    def _estimate_move_time_left_s(self, state: EngineState) -> float:
        """Return the expected time left of an engine's current move."""
        if (
            state.executing_order is None
            or state.executing_order.ready_at is None
        ):
            return _UNACCEPTED_MOVE_S
        return max(0.0, state.executing_order.ready_at - self._now)

    def _justifies_long_load(self, copy: _WantedCopy) -> bool:
        """Whether a copy may block an engine for a long load.

        A first copy may. A further copy is ready only when half of its
        model's busy period is over, and meanwhile rare models that wait
        for the engine are not served at all. What counts is the load at the
        time when the copy is ready.
        """
        model = copy.model.name
        holders = self._index.list_holders(model)
        if not holders:
            return True
        growth = self._estimate_growth_per_s(model) / len(holders)
        growth_share = growth / max(self._index.equal_share_per_s, 1e-9)
        get_share = self._find_share_function(model)
        return all(
            get_share(state) + growth_share > self._long_load_min_share
            for state in holders
        )

    @property
    def store_loads_left(self) -> int:
        """Loads from the weight store that may still start now."""
        return self._store_loads

    @property
    def is_demand_known(self) -> bool:
        """Whether the arrival rates of models are known."""
        return self._is_demand_known

    def _add_step(self, state: EngineState, copy: _WantedCopy) -> None:
        victim = None
        if not state.has_room(copy.model.name):
            victim = self._find_victim(state, copy)
        self.add_load(state, copy.model, victim, copy.reason)

    def add_load(
        self,
        state: EngineState,
        model: ModelInfo,
        victim: str | None,
        reason: str,
    ) -> None:
        """Add the load of a model to the plan, after an eviction."""
        evicted = None
        if victim is not None:
            evicted = ItemKey(self._index.service, victim)
            # Update the index now, so that the next wanted copy does not
            # rely on the evicted one.
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
                reason=reason,
                from_store=from_store,
            )
        )

    def _is_cached(self, state: EngineState, model: ModelInfo) -> bool:
        """Whether a model loads without the weight store."""
        return model.name in state.in_memory or model.name in state.on_disk

    def _find_victim(
        self, state: EngineState, copy: _WantedCopy
    ) -> str | None:
        """Return the model whose eviction is allowed and costs least."""
        allowed = [
            model
            for model in state.models
            if state.has_room(copy.model.name, without=model)
            and self._may_evict(model, copy)
        ]
        return min(allowed, key=self._compute_eviction_cost, default=None)

    def _may_evict(self, model: str, copy: _WantedCopy) -> bool:
        """Whether a copy may be evicted for another model.

        A surplus copy may. The only copy of a model may if it is unused,
        or used by few requests compared with those that the new copy is
        for: a model without a copy loads again in seconds, while a single
        copy of a busy model slows down all of its streams for as long as
        it stays the only one.
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
        """Return the cost of evicting one copy of a model."""
        copies = self._index.count_copies(model)
        demand = self._index.get_demand(model)
        idle_s = min(self._now - demand.last_arrival_at, _MAX_IDLE_S)
        recency = 1 / (1 + idle_s)
        return (demand.open_requests + demand.arrivals_per_s + recency) / max(
            copies, 1
        )


def estimate_load_s(state: EngineState, model: ModelInfo) -> float:
    """Return how long the load of a model takes on an engine."""
    if model.name in state.in_memory:
        return model.memory_load_s
    if model.name in state.on_disk:
        return model.disk_load_s
    return model.store_load_s
