"""Decides which models go to which engines."""

from collections.abc import Iterator
import enum
import math

import msgspec

from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.layout import FleetLayout
from dotterelbridge.fleet.plan import HoldUp
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import EngineInfo
from dotterelbridge.routes.model import ModelInfo

HOT_ARRIVALS_PER_S = 1.0
"""Arrivals from which the work of a model is spread over engines."""
COPY_LOAD_MOST = 1.3
"""Work of one copy from which a further copy is loaded, in shares of what
an engine gets when all get the same."""
COPY_LOAD_LEAST = 0.7
"""The same below which a copy may give way."""
SETTLED_S = 2.0
"""Time from a service's first request until the shares of its models are
known."""
EVICTION_DELAY_S = 1.0
"""Time from the first request before which nothing is evicted: a busy
model that is not asked for yet looks like an idle one."""
START_COPIES = 3
"""Copies found at the start that stay until the demand is known."""
HOT_LOAD = 0.2
"""Work below which a model is not spread, and may give way to one that is,
in shares of what an engine gets when all get the same."""
EVICTION_GAIN = 10.0
"""Requests that a load must be for, to each one that uses the model which
gives way: it has to wait for a load in its turn."""
LONG_LOAD_S = 2.0
"""Load from which a further copy must be for much."""
LONG_LOAD_SHARE = 2.0
"""Share of each engine that serves a model, in equal shares of all, from
which it is."""
PRESSING_REQUESTS = 10.0
"""Requests from which a load does not wait for a better place: until that
is free, another model may need it more."""
BUSY_SLOTS = 0.25
"""Share of all slots in use from which engines are kept level: streams
pause where prompts come faster than others let them be read."""
BUSY_SHARE = 1.15
"""Share of an engine, in equal shares of all, from which its models then
get further copies although each by itself would not need one."""
IDLE_SHARE = 0.6
"""The same of an engine that has room for such a copy."""
BUSY_COPY_LOAD_LEAST = 0.35
"""COPY_LOAD_LEAST while the engines are kept level."""
_RUNS_LEFT_S = 1.0
"""Time until the last requests of a model in use end: half a stream."""
_BUSY_COST = 1.5
"""Cost of a place at an engine that gets an equal share of the arrivals,
in requests."""
_LOAD_COST = 1.0
"""Cost of each second that a load takes: who waits for it is late."""
_OCCUPIED_COST = 1.0
"""Cost of each second for which a load keeps its engine from others: who
waits for those is late too."""
_MOVE_LEFT_S = 1.5
"""Time that a move of which no order was accepted yet is taken to last
on: half of one from the disk, with its unload."""
_BLOCKED_SHARE = 0.05
"""Part of the requests with an adapter whose adapter is not there yet."""
_UNKNOWN_LOSS = 0.5
_LONG_IDLE_S = 1000.0
IDLE_S = 1.0
"""Time without a request after which a model's last copy may give way."""
PLACES_FOR_FURTHER = 16
"""Engines, the least used first, among which a further copy is placed."""
LOADING_SHARE = 0.8
"""Most engines that load from the store at a time: the others are there
for adapters and for models that are on their disks."""
PLACES_COMPARED = 8
"""Engines that are rated for a model beside those that have it on disk,
the least used first: the others are hardly better."""


class _Urgency(enum.IntEnum):
    """Which wants go first."""

    NOW = 0
    WANTED_LATELY = 1
    HELD_NOWHERE = 2


class _Want(msgspec.Struct, frozen=True):
    """A model that should have one more copy."""

    urgency: _Urgency
    weight: float
    """Requests that it is for: those that wait, and a second's arrivals
    for each copy."""
    model: ModelInfo
    reason: str


class ModelPlacement:
    """Adds the steps for models to a plan."""

    def __init__(
        self,
        layout: FleetLayout,
        engine: EngineInfo,
        plan: ServicePlan,
        store_loads: int,
        asked_s: float,
        now: float,
    ) -> None:
        self._layout = layout
        self._engine = engine
        self._plan = plan
        loading = sum(a.loading_from_store for a in layout.accounts)
        most_loading = math.ceil(LOADING_SHARE * len(layout.accounts))
        self._store_loads = min(store_loads, most_loading - loading)
        self._asked_s = asked_s
        self._now = now
        self._is_settled = asked_s > SETTLED_S
        slots = engine.slots * len(layout.accounts)
        self._is_busy = layout.running > BUSY_SLOTS * slots
        self._has_idle_engine: bool | None = None
        """Whether an engine has little work; None until it is known."""
        self._places: list[EngineState] | None = None
        """Engines by what a load from the store costs there, roughly."""
        self._refused: _Want | None = None
        """The last first copy that found no room: one that is for less
        finds none either."""
        self._roomiest_mb: float | None = None
        """Most memory that is free on an engine; None until it is known."""

    def place_all(self) -> None:
        """Serve the wants, the most pressing first."""
        for want in sorted(
            self._list_wants(), key=lambda w: (w.urgency, -w.weight)
        ):
            self._serve(want)

    def _list_wants(self) -> Iterator[_Want]:
        for model in self._engine.models:
            demand = self._layout.demand_of(model.name)
            copies = self._layout.count_copies(model.name)
            wanted = self._find_wanted(model.name, copies)
            if not copies and demand.waiting:
                weight = demand.waiting + demand.arrivals_per_s
                yield _Want(_Urgency.NOW, weight, model, "requests wait")
            elif copies < wanted and wanted > 1 and self._is_settled:
                weight = demand.arrivals_per_s / max(1, copies)
                reason = f"{copies} of {wanted} copies"
                yield _Want(_Urgency.NOW, weight, model, reason)
            elif not copies and demand.arrivals_per_s > 0.05:
                yield _Want(
                    _Urgency.WANTED_LATELY,
                    demand.arrivals_per_s,
                    model,
                    "wanted lately",
                )
            elif not copies:
                yield _Want(_Urgency.HELD_NOWHERE, 0.0, model, "held nowhere")

    def _find_wanted(self, model: str, copies: int) -> int:
        """Return how many copies the demand for a model calls for."""
        wanted = self._scale_copies(model, copies, COPY_LOAD_MOST)
        if 0 < copies >= wanted and self._is_overloaded(model):
            return min(copies + 1, self._find_kept(model, copies))
        return wanted

    def _is_overloaded(self, model: str) -> bool:
        """Whether the engines that serve a model have too much work.

        And another one that could serve it has little.
        """
        return (
            self._is_busy
            and all(
                self._layout.rate_share(account) > BUSY_SHARE
                for account in self._layout.list_holders(model)
            )
            and self._find_idle_engine()
        )

    def _find_idle_engine(self) -> bool:
        if self._has_idle_engine is None:
            self._has_idle_engine = any(
                self._layout.rate_share(account) < IDLE_SHARE
                for account in self._layout.accounts
            )
        return self._has_idle_engine

    def _find_kept(self, model: str, copies: int) -> int:
        """Return how many copies are kept: more than would be added.

        A move costs seconds; a share that wavers must not cause two.
        """
        least = BUSY_COPY_LOAD_LEAST if self._is_busy else COPY_LOAD_LEAST
        return self._scale_copies(model, copies, least)

    def _scale_copies(self, model: str, copies: int, load: float) -> int:
        """Return the copies of which each has the given load.

        :param load: in shares of what an engine gets when all get the
            same.
        """
        count = 1
        engines = len(self._layout.accounts)
        arrivals_per_s = self._layout.demand_of(model).arrivals_per_s
        if self._is_hot(arrivals_per_s):
            # Prompts that are read hold up the other streams of an
            # engine, long before its slots are taken: spread the work.
            share = arrivals_per_s / self._layout.arrivals_per_s
            count = math.ceil(share * engines / load)
            if self._engine.find_model(model).adapters:
                # While one engine loads a model, it loads no adapters.
                count = max(count, 2)
        if not self._is_settled:
            # What stands on many engines at the start is what its owners
            # take for busy.
            count = max(count, min(copies, START_COPIES))
        return min(count, engines)

    def _is_hot(self, arrivals_per_s: float) -> bool:
        least = HOT_LOAD * self._layout.fair_arrivals_per_s
        return arrivals_per_s >= max(HOT_ARRIVALS_PER_S, least)

    # Places.

    def _serve(self, want: _Want) -> None:
        choices = self._list_choices(want)
        if not choices:
            if want.urgency == _Urgency.NOW:
                self._note_held_up(want)
            return
        if want.weight >= PRESSING_REQUESTS:
            free = [c for c in choices if c[-1].takes_model_moves]
            choices = free or choices
        _, _, account = min(choices, key=lambda choice: choice[:2])
        if account.takes_model_moves:
            self._place(account, want)
        elif want.urgency == _Urgency.NOW:
            # The best place is busy for a moment, and worth waiting for:
            # it has the model on its disk.
            self._plan.held_up[HoldUp.ENGINES_BUSY] += 1

    def _list_choices(
        self, want: _Want
    ) -> list[tuple[tuple[float, float], TargetId, EngineState]]:
        """Return places for a model, each with how bad it is."""
        is_first = not self._layout.count_copies(want.model.name)
        if want.urgency == _Urgency.NOW and self._is_like_refused(want):
            return []
        choices = []
        cheap = self._layout.list_cheap(want.model.name)
        for account in cheap:
            self._add_choice(choices, account, want)
        if self._store_loads > 0:
            self._add_store_choices(choices, want)
            if not choices and is_first and want.urgency == _Urgency.NOW:
                self._refused = want
        return choices

    def _is_like_refused(self, want: _Want) -> bool:
        """Whether a model that finds no room needs less, for more."""
        refused = self._refused
        return (
            refused is not None
            and want.weight <= refused.weight
            and want.model.memory_mb >= refused.model.memory_mb
        )

    def _add_store_choices(self, choices: list, want: _Want) -> None:
        """Add the first places that a load from the store may go to."""
        if (
            want.urgency > _Urgency.NOW
            and want.model.memory_mb > self._find_roomiest_mb()
        ):
            return
        is_long = want.model.store_load_s > LONG_LOAD_S
        if is_long and not self._deserves_long_load(want):
            return
        most = len(choices) + PLACES_COMPARED
        is_pressing = want.weight >= PRESSING_REQUESTS
        places = self._list_places()
        if self._layout.count_copies(want.model.name):
            # A further copy is of no use at an engine that is used much.
            places = places[:PLACES_FOR_FURTHER]
        for account in places:
            if len(choices) >= most:
                return
            if self._is_cheap(account, want.model) or (
                is_pressing and not account.takes_model_moves
            ):
                continue
            self._add_choice(choices, account, want)

    def _add_choice(
        self, choices: list, account: EngineState, want: _Want
    ) -> None:
        rating = self._rate_place(account, want)
        if rating is not None:
            choices.append((rating, account.target.target, account))

    def _list_places(self) -> list[EngineState]:
        """Return the engines, those first that are used least."""
        if self._places is None:
            self._places = sorted(
                (a for a in self._layout.accounts if a.is_known),
                key=self._rate_use,
            )
        return self._places

    def _rate_use(self, account: EngineState) -> tuple[float, TargetId]:
        """Return how bad a place is whatever the model."""
        cost = self._layout.rate_share(account) * _BUSY_COST
        cost += self._layout.rate_adapter_use(account) * _BLOCKED_SHARE
        if not account.takes_model_moves:
            cost += _UNKNOWN_LOSS + self._estimate_move_left_s(account)
        elif account.models:
            cost += min(map(self._rate_loss, account.models))
        return (cost, account.target.target)

    def _find_roomiest_mb(self) -> float:
        if self._roomiest_mb is None:
            self._roomiest_mb = max(
                (
                    account.engine.memory_mb - account.used_mb
                    for account in self._list_places()
                    if account.takes_model_moves
                ),
                default=0.0,
            )
        return self._roomiest_mb

    def _note_held_up(self, want: _Want) -> None:
        is_limited = self._store_loads <= 0
        reason = HoldUp.STORE_LIMIT if is_limited else HoldUp.NO_ROOM
        self._plan.held_up[reason] += 1
        if not self._layout.count_copies(want.model.name):
            key = ItemKey(self._layout.service, want.model.name)
            self._plan.blocked.append(key)

    def _rate_place(
        self, account: EngineState, want: _Want
    ) -> tuple[float, float] | None:
        """Return how bad a place is; None where the model can't go."""
        model = want.model
        if not account.is_known or model.name in account.models:
            return None
        if not self._is_cheap(account, model) and self._store_loads <= 0:
            return None
        loss = 0.0
        wait_s = 0.0
        if not account.takes_model_moves:
            # What will be there after the present move is not known yet.
            loss = _UNKNOWN_LOSS
        elif not account.has_room(model.name):
            victim = self._find_victim(account, want)
            if victim is None:
                return None
            loss = self._rate_loss(victim)
            wait_s = (
                _RUNS_LEFT_S if self._layout.demand_of(victim).running else 0.0
            )
        load_s = estimate_load_s(account, model)
        if load_s > LONG_LOAD_S and not self._deserves_long_load(want):
            return None
        busy = self._layout.rate_share(account)
        blocked = (
            load_s * self._layout.rate_adapter_use(account) * _BLOCKED_SHARE
        )
        if not account.takes_model_moves:
            wait_s += self._estimate_move_left_s(account)
        cost = loss + blocked + busy * _BUSY_COST
        cost += (wait_s + load_s) * _LOAD_COST + load_s * _OCCUPIED_COST
        return (cost, wait_s + load_s)

    def _estimate_move_left_s(self, account: EngineState) -> float:
        """Return how long the present move of an engine lasts on."""
        if account.loading is None or account.loading.ready_at is None:
            return _MOVE_LEFT_S
        return max(0.0, account.loading.ready_at - self._now)

    def _deserves_long_load(self, want: _Want) -> bool:
        """Whether a model may keep an engine from all others for long.

        A first copy may. A further one is there when half of the time is
        over for which its model is busy, and rare models, which wait for
        the engine meanwhile, are served by nobody.
        """
        return all(
            self._layout.rate_share(account) > LONG_LOAD_SHARE
            for account in self._layout.list_holders(want.model.name)
        )

    def _place(self, account: EngineState, want: _Want) -> None:
        model = want.model
        evicted = None
        if not account.has_room(model.name):
            victim = self._find_victim(account, want)
            evicted = ItemKey(self._layout.service, victim)
            # At once, so that the next want does not count on this copy.
            self._layout.start_dropping(account, victim)
        self._layout.start_moving(account, model.name)
        self._roomiest_mb = None
        from_store = not self._is_cheap(account, model)
        self._store_loads -= from_store
        self._plan.steps.append(
            Step(
                target=account.target.target,
                item=ItemKey(self._layout.service, model.name),
                evicted=evicted,
                reason=want.reason,
                from_store=from_store,
            )
        )

    def _is_cheap(self, account: EngineState, model: ModelInfo) -> bool:
        """Whether a load needs nothing from the weight store."""
        return model.name in account.in_memory or model.name in account.on_disk

    def _find_victim(self, account: EngineState, want: _Want) -> str | None:
        """Return the model whose loss costs least, if that is allowed."""
        allowed = [
            model
            for model in account.models
            if account.has_room(want.model.name, without=model)
            and self._may_drop(model, want)
        ]
        return min(allowed, key=self._rate_loss, default=None)

    def _may_drop(self, model: str, want: _Want) -> bool:
        """Whether a copy may give way to another model.

        A surplus copy may. The only copy of a model may if nobody uses
        it, or few against those that the other model is for: what is held
        nowhere loads in seconds, while one copy of a busy model slows all
        of its streams for as long as it stays the only one.
        """
        if want.urgency > _Urgency.NOW or self._asked_s < EVICTION_DELAY_S:
            return False
        copies = self._layout.count_copies(model)
        demand = self._layout.demand_of(model)
        if copies > max(1, self._find_kept(model, copies)):
            return True
        if copies > 1 or self._is_hot(demand.arrivals_per_s):
            return False
        is_idle = self._now - demand.last_arrival_at > IDLE_S
        if is_idle and not demand.in_hand:
            return True
        users = demand.in_hand + demand.arrivals_per_s + (not is_idle)
        return users * EVICTION_GAIN < want.weight

    def _rate_loss(self, model: str) -> float:
        """Return how much it costs to drop one copy of a model."""
        copies = self._layout.count_copies(model)
        demand = self._layout.demand_of(model)
        idle_s = min(self._now - demand.last_arrival_at, _LONG_IDLE_S)
        soon = 1 / (1 + idle_s)
        return (demand.in_hand + demand.arrivals_per_s + soon) / max(copies, 1)


def estimate_load_s(account: EngineState, model: ModelInfo) -> float:
    """Return how long a load of a model takes at an engine."""
    if model.name in account.in_memory:
        return model.memory_load_s
    if model.name in account.on_disk:
        return model.disk_load_s
    return model.store_load_s
