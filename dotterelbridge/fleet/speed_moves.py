"""Moves busy models from slow engines to fast ones, and light ones back.

The order of steps keeps a copy of each model at every time: a model is only
evicted where another copy of it serves. One move is in progress at a time, in
large services one for each ten engines.
"""

from collections.abc import Collection
from collections.abc import Iterator
import heapq
import math

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.model_placement import ModelPlacement
from dotterelbridge.fleet.model_placement import estimate_load_s
from dotterelbridge.fleet.placement_index import PlacementIndex
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import EngineInfo
from dotterelbridge.routes.model import ModelInfo

MIN_SPEED_RATIO = 1.3
"""Ratio of two engines' speeds from which a model moves between them."""
MIN_GAIN_PER_S = 0.3
"""Streams a second that a move has to save from being late."""
GAIN_HORIZON_S = 30.0
"""Time for which a gain is expected to last, after which demand and speeds
may have changed."""
LOAD_COST_PER_S = 3.0
"""Cost of each second of a load, in late streams: the engine takes no other
model, and rare models wait for it."""
LASTING_S = 3.0
"""Time for which moves of a model have to promise a gain."""
SEARCH_INTERVAL_S = 0.5
"""Time between two searches for moves."""
SEARCHED_ENGINES_PER_S = 500
"""Engines per second of that time, in larger services."""
INTERRUPTION_INTERVALS = 2.5
"""Intervals without a promised gain after which its time begins anew: the
arrival rates of single searches differ by chance."""
ENGINES_PER_MOVE = 10
"""Engines for each move in progress."""
PAUSE_S = 1.0
"""Time between two moves, in which requests and measurements follow."""
HOLD_S = 20.0
"""Time for which a copy that was moved is not evicted by another move."""
MAX_LOAD_SHARE = 1.3
"""Load of an engine, as a multiple of the equal share, up to which it takes a
further model; more if the engine that the requests leave has more."""
COMPARED_COPIES = 4
"""Copies with the most late streams that moves are sought for."""
COMPARED_ENGINES = 8
"""Engines that are compared for each step of a move."""


class _Move(msgspec.Struct, frozen=True):
    """A load, after an eviction, because of the speeds of engines."""

    model: str
    """The model whose streams are late."""
    loaded: ModelInfo
    state: EngineState
    victim: str | None
    gain_per_s: float
    """Late streams a second that the move, or the next one, avoids."""
    value: float
    """The gain over its time, less the cost of the loads."""
    kind: str
    source: EngineState
    """The slow engine that the model has a copy on."""


class _SlowCopy(msgspec.Struct, frozen=True):
    """A copy with late streams."""

    model: ModelInfo
    state: EngineState
    arrivals_per_s: float
    late_share: float


class SpeedMoves:
    """Plans the moves of one service, and remembers the latest ones."""

    def __init__(self) -> None:
        self._gains: dict[str, tuple[float, float]] = {}
        """When each model would first and last have gained from a move."""
        self._moving: set[tuple[TargetId, str]] = set()
        self._changed_at = -math.inf
        """Monotonic time at which a move last began or ended."""
        self._searched_at = -math.inf
        self._moved_at: dict[tuple[TargetId, str], float] = {}
        self._separated_at: dict[tuple[TargetId, str], float] = {}

    def plan(
        self,
        placement: ModelPlacement,
        index: PlacementIndex,
        engine: EngineInfo,
        plan: ServicePlan,
        speeds: PlacementSpeeds,
        now: float,
    ) -> None:
        """Add at most one step to a plan."""
        self._update_moving(index, now)
        max_moves = max(1, len(index.states) // ENGINES_PER_MOVE)
        if len(self._moving) >= max_moves or not placement.is_demand_known:
            # Gains are not sought now, but not forgotten either.
            self._gains = {
                model: (first_at, now)
                for model, (first_at, _) in self._gains.items()
            }
            return
        if not speeds.speeds or not speeds.gap_aim_ms:
            self._gains.clear()
            return
        interval_s = max(
            SEARCH_INTERVAL_S, len(index.states) / SEARCHED_ENGINES_PER_S
        )
        if now - self._searched_at < interval_s:
            return
        self._searched_at = now
        _forget_old(self._moved_at, now)
        search = _MoveSearch(
            placement,
            index,
            engine,
            speeds,
            held=self._moved_at.keys(),
            separated=self.list_separated(now),
        )
        moves = [move for move in search.list_moves() if move.value > 0]
        self._record_gains({move.model for move in moves}, now, interval_s)
        lasting = [
            move
            for move in moves
            if now - self._gains[move.model][0] >= LASTING_S
        ]
        if not lasting or now - self._changed_at < PAUSE_S:
            return
        # A relocation only prepares a gain, so others go first.
        move = max(
            lasting,
            key=lambda m: (
                m.kind != "relocate",
                m.value,
                m.state.target.target,
            ),
        )
        self._start(move, placement, speeds, now)

    def _record_gains(
        self, models: set[str], now: float, interval_s: float
    ) -> None:
        kept_s = INTERRUPTION_INTERVALS * interval_s
        self._gains = {
            model: gain
            for model, gain in self._gains.items()
            if now - gain[1] <= kept_s
        }
        for model in models:
            first_at, _ = self._gains.get(model, (now, now))
            self._gains[model] = (first_at, now)

    def _update_moving(self, index: PlacementIndex, now: float) -> None:
        if not self._moving:
            return
        incoming = {
            (state.target.target, state.incoming_model)
            for state in index.states
        }
        if self._moving - incoming:
            self._moving &= incoming
            self._changed_at = now

    def list_separated(self, now: float) -> Collection[tuple[TargetId, str]]:
        """Return the copies that moves have evicted recently."""
        _forget_old(self._separated_at, now)
        return self._separated_at.keys()

    def _start(
        self,
        move: _Move,
        placement: ModelPlacement,
        speeds: PlacementSpeeds,
        now: float,
    ) -> None:
        target = move.state.target.target
        source = move.source.target.target
        events.log(
            _log,
            FleetEvent.MOVED_BY_SPEED,
            kind=move.kind,
            model=move.model,
            loaded_model=move.loaded.name,
            evicted_model=move.victim,
            target=target,
            speed=speeds.find_speed(target),
            slow_target=source,
            slow_speed=speeds.find_speed(source),
            late_streams_per_s=round(move.gain_per_s, 2),
        )
        placement.add_load(
            move.state, move.loaded, move.victim, f"speed: {move.kind}"
        )
        self._moving.add((target, move.loaded.name))
        self._changed_at = now
        self._moved_at[target, move.loaded.name] = now
        self._separated_at.pop((target, move.loaded.name), None)
        if move.victim is not None:
            self._separated_at[target, move.victim] = now


def _forget_old(times: dict[tuple[TargetId, str], float], now: float) -> None:
    for copy, at in list(times.items()):
        if now - at > HOLD_S:
            del times[copy]


_log = structlog.get_logger(__name__)


class _MoveSearch:
    """Finds the moves that one plan could begin with."""

    def __init__(
        self,
        placement: ModelPlacement,
        index: PlacementIndex,
        engine: EngineInfo,
        speeds: PlacementSpeeds,
        held: Collection[tuple[TargetId, str]],
        separated: Collection[tuple[TargetId, str]],
    ) -> None:
        """Prepare the search.

        :param held: copies that may not be evicted.
        :param separated: copies that may not be loaded.
        """
        self._held = held
        self._separated = separated
        self._placement = placement
        self._index = index
        self._engine = engine
        self._speeds = speeds
        self._least_loaded: list[EngineState] | None = None
        """Engines with the least work; None until computed."""

    def list_moves(self) -> Iterator[_Move]:
        """Yield moves, with or without a gain."""
        gaining = set()
        copies = self._list_slow_copies()
        for copy in copies:
            for move in self._list_moves_to_fast_engines(copy):
                if move.value > 0:
                    gaining.add(copy.model.name)
                yield move
        for copy in copies:
            # A fast copy is added first, as it takes part of the load.
            if copy.model.name not in gaining:
                yield from self._list_retirements(copy)

    def _list_slow_copies(self) -> list[_SlowCopy]:
        """Return the copies with the most late streams a second."""
        copies = []
        for name in self._speeds.gaps_ms:
            demand = self._index.get_demand(name)
            model = self._engine.find_model(name)
            if demand.arrivals_per_s < MIN_GAIN_PER_S or model is None:
                continue
            capacity = self._index.sum_capacity(name)
            for state in self._index.list_holders(name):
                part = self._index.get_capacity(state) / capacity
                copy = _SlowCopy(
                    model,
                    state,
                    demand.arrivals_per_s * part,
                    self._find_late_share(name, state),
                )
                if (
                    copy.arrivals_per_s * copy.late_share >= MIN_GAIN_PER_S
                    and self._speeds.is_known(state.target.target)
                ):
                    copies.append(copy)
        copies.sort(key=lambda c: -c.arrivals_per_s * c.late_share)
        return copies[:COMPARED_COPIES]

    def _find_late_share(self, model: str, state: EngineState) -> float:
        speed = self._speeds.find_speed(state.target.target)
        return self._speeds.find_late_share(model, speed)

    # Further copies on fast engines.

    def _list_moves_to_fast_engines(self, copy: _SlowCopy) -> Iterator[_Move]:
        model = copy.model
        for state in self._list_fast_engines(copy):
            gain = copy.arrivals_per_s * (
                copy.late_share - self._find_late_share(model.name, state)
            )
            if not self._has_time_for(state, copy):
                continue
            load_s = estimate_load_s(state, model)
            if state.has_room(model.name):
                yield self._create_move(
                    "to_fast", copy, model, state, None, gain, load_s
                )
                continue
            for victim in self._list_victims(state, model):
                loss = self._estimate_eviction_loss(victim, state)
                if self._may_evict(victim, state):
                    yield self._create_move(
                        "to_fast",
                        copy,
                        model,
                        state,
                        victim,
                        gain - loss,
                        load_s,
                    )
                else:
                    yield from self._list_relocations(
                        copy, victim, state, gain, load_s
                    )

    def _list_fast_engines(self, copy: _SlowCopy) -> list[EngineState]:
        """Return the fastest engines that could load a slow copy's model."""
        slow_speed = self._speeds.find_speed(copy.state.target.target)
        max_speed = slow_speed / MIN_SPEED_RATIO
        model = copy.model
        return heapq.nsmallest(
            COMPARED_ENGINES,
            (
                state
                for state in self._index.states
                if self._speeds.is_known(state.target.target)
                and self._speeds.find_speed(state.target.target) <= max_speed
                and model.name not in state.models
                and state.takes_model_moves
                and self._can_load(state, model)
            ),
            key=lambda state: (
                self._speeds.find_speed(state.target.target),
                self._index.get_load_share(state),
                state.target.target,
            ),
        )

    def _has_time_for(self, state: EngineState, copy: _SlowCopy) -> bool:
        """Whether an engine can take a copy without being overloaded."""
        index = self._index
        name = copy.model.name
        arrivals_per_s = index.get_demand(name).arrivals_per_s
        capacity = index.sum_capacity(name) + index.get_capacity(state)
        added = arrivals_per_s / capacity / index.equal_share_per_s
        return index.get_load_share(state) + added <= max(
            MAX_LOAD_SHARE, index.get_load_share(copy.state)
        )

    def _list_victims(
        self, state: EngineState, model: ModelInfo
    ) -> Iterator[str]:
        for victim in state.models:
            if (
                state.has_room(model.name, without=victim)
                and state.serves(victim)
                and (state.target.target, victim) not in self._held
            ):
                yield victim

    def _estimate_eviction_loss(
        self, victim: str, state: EngineState
    ) -> float:
        """Return the streams a second that an eviction may make late.

        They may all move to the slowest of the other copies, or to an engine
        of usual speed if there is none.
        """
        index = self._index
        arrivals_per_s = index.get_demand(victim).arrivals_per_s
        part = index.get_capacity(state) / index.sum_capacity(victim)
        others = [s for s in index.list_holders(victim) if s is not state]
        late_share = self._speeds.find_late_share(victim, 1.0)
        if others:
            late_share = max(self._find_late_share(victim, s) for s in others)
        rise = late_share - self._find_late_share(victim, state)
        return max(0.0, rise) * arrivals_per_s * part

    def _may_evict(self, model: str, state: EngineState) -> bool:
        return (
            state.takes_model_moves
            and state.serves(model)
            and (state.target.target, model) not in self._held
            and self._placement.suffices_without(model, state)
        )

    def _list_relocations(
        self,
        copy: _SlowCopy,
        victim: str,
        fast: EngineState,
        gain: float,
        next_load_s: float,
    ) -> Iterator[_Move]:
        """Yield loads of a fast engine's model elsewhere.

        The copy on the fast engine is evicted by the next move.
        """
        info = self._engine.find_model(victim)
        if info is None or self._index.count_copies(victim) != 1:
            return
        arrivals_per_s = self._index.get_demand(victim).arrivals_per_s
        for state in self._list_relocation_engines(victim, copy):
            if (
                state is fast
                or victim in state.models
                or not self._can_load(state, info)
            ):
                continue
            rise = self._find_late_share(victim, state)
            rise -= self._find_late_share(victim, fast)
            gain_left = gain - max(0.0, rise) * arrivals_per_s
            load_s = estimate_load_s(state, info)
            for evicted, loss in self._list_places(state, info, copy):
                yield self._create_move(
                    "relocate",
                    copy,
                    info,
                    state,
                    evicted,
                    gain_left - loss,
                    load_s + next_load_s,
                )

    def _list_relocation_engines(
        self, model: str, copy: _SlowCopy
    ) -> list[EngineState]:
        """Return engines that could take a light model."""
        if self._least_loaded is None:
            self._least_loaded = heapq.nsmallest(
                COMPARED_ENGINES,
                (s for s in self._index.states if s.takes_model_moves),
                key=lambda state: (
                    self._index.get_load_share(state),
                    state.target.target,
                ),
            )
        caching = [
            state
            for state in self._index.list_caching_engines(model)
            if state.takes_model_moves
        ]
        engines = [*caching[:COMPARED_ENGINES], *self._least_loaded]
        if copy.state.takes_model_moves:
            engines.append(copy.state)
        by_target = {state.target.target: state for state in engines}
        return list(by_target.values())

    def _list_places(
        self, state: EngineState, model: ModelInfo, copy: _SlowCopy
    ) -> Iterator[tuple[str | None, float]]:
        """Yield (evicted model, loss) for each way to make room."""
        if state.has_room(model.name):
            yield None, 0.0
            return
        for evicted in state.models:
            if not state.has_room(model.name, without=evicted):
                continue
            is_slow_copy = (
                state is copy.state
                and evicted == copy.model.name
                and self._is_third_copy(evicted)
                and (state.target.target, evicted) not in self._held
            )
            if is_slow_copy:
                # Its own late streams end too, as far as the others have
                # capacity for them.
                yield evicted, -0.5 * copy.arrivals_per_s * copy.late_share
            elif self._may_evict(evicted, state):
                yield evicted, self._estimate_eviction_loss(evicted, state)

    def _is_third_copy(self, model: str) -> bool:
        """Whether two copies serve while one moves."""
        serving = [
            s for s in self._index.list_holders(model) if s.serves(model)
        ]
        return len(serving) >= 3

    # Slow copies that others can replace.

    def _list_retirements(self, copy: _SlowCopy) -> Iterator[_Move]:
        """Yield loads of light models in place of a slow copy.

        Only if the other copies, which serve the requests then, are faster.
        """
        index = self._index
        state, name = copy.state, copy.model.name
        if not self._may_evict(name, state):
            return
        rest = [s for s in index.list_holders(name) if s is not state]
        late_share = sum(self._find_late_share(name, s) for s in rest)
        gain = copy.arrivals_per_s * (copy.late_share - late_share / len(rest))
        if any(index.get_load_share(s) > MAX_LOAD_SHARE for s in rest):
            return
        for light in self._engine.models:
            load_s = estimate_load_s(state, light)
            if (
                light.name in state.models
                or light.name not in self._speeds.gaps_ms
                or not state.has_room(light.name, without=name)
                or not self._can_load(state, light)
                or self._find_late_share(light.name, state) > 0
            ):
                continue
            yield self._create_move(
                "replace", copy, light, state, name, gain, load_s
            )

    def _can_load(self, state: EngineState, model: ModelInfo) -> bool:
        if (state.target.target, model.name) in self._separated:
            return False
        is_cached = model.name in state.in_memory or (
            model.name in state.on_disk
        )
        return is_cached or self._placement.store_loads_left > 0

    def _create_move(
        self,
        kind: str,
        copy: _SlowCopy,
        loaded: ModelInfo,
        state: EngineState,
        victim: str | None,
        gain_per_s: float,
        load_s: float,
    ) -> _Move:
        value = -math.inf
        if gain_per_s >= MIN_GAIN_PER_S:
            value = gain_per_s * GAIN_HORIZON_S - load_s * LOAD_COST_PER_S
        return _Move(
            copy.model.name,
            loaded,
            state,
            victim,
            gain_per_s,
            value,
            kind,
            copy.state,
        )
