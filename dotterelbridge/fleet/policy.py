"""Decides which models and adapters the engines should hold.

Works on one service at a time, from what its engines hold, what callers
want, and how fast the weight store allows loads. At most one step for an
engine is returned; the next round goes on from what has changed.
"""

from collections import Counter
from collections.abc import Iterator
import enum
import math

import msgspec

from dotterelbridge.fleet.account import EngineAccount
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
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
HOT_SHARE = 0.04
"""Share of a service's arrivals below which a model is not spread, and may
give way to one that is."""
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
IDLE_ADAPTER_S = 0.3
"""The same for an adapter, whose load takes some ms."""


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One item to bring to an engine, perhaps in the place of another."""

    target: TargetId
    item: ItemKey
    evicted: ItemKey | None = None
    """What is unloaded first, to make room."""
    reason: str
    from_store: bool = False
    """Whether the load takes part of the weight store's rate."""


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


class HoldUp(enum.Enum):
    """Why an item that requests wait for is not brought to an engine."""

    NO_ROOM = "no_room"
    """Nothing may give way."""
    STORE_LIMIT = "store_limit"
    """The weight store allows no further load."""
    ENGINES_BUSY = "engines_busy"
    """The engines that could take it carry out other orders."""


class ServicePlan(msgspec.Struct):
    """The steps to take now, and what no engine has room for."""

    steps: list[Step] = []
    blocked: list[ItemKey] = []
    held_up: Counter[HoldUp] = msgspec.field(default_factory=Counter)
    """What wants were not served for."""


class FleetPolicy:
    """Plans for one service."""

    def __init__(
        self,
        service: ItemName,
        engine: EngineInfo,
        accounts: list[EngineAccount],
        demand: dict[ItemKey, Demand],
        store_loads: int,
        asked_s: float,
        now: float,
    ) -> None:
        self._service = service
        self._engine = engine
        self._accounts = [
            account
            for account in accounts
            if account.target.takes_new_work and not account.is_silent
        ]
        self._demand = demand
        self._demand_by_model = _sum_by_model(service, demand)
        self._store_loads = store_loads
        self._now = now
        self._plan = ServicePlan()
        self._arrivals_per_s = sum(
            entry.arrivals_per_s for entry in self._demand_by_model.values()
        )
        self._fair_arrivals_per_s = self._arrivals_per_s / max(
            1, len(self._accounts)
        )
        running = sum(d.running for d in self._demand_by_model.values())
        slots = self._engine.slots * len(self._accounts)
        self._is_busy = running > BUSY_SLOTS * slots
        self._asked_s = asked_s
        self._is_settled = asked_s > SETTLED_S

    def plan(self) -> ServicePlan:
        """Return the steps to take now."""
        for want in sorted(
            self._list_wants(), key=lambda w: (w.urgency, -w.weight)
        ):
            self._serve_model(want)
        for key, demand in sorted(
            self._demand.items(), key=lambda entry: -entry[1].waiting
        ):
            if key.service == self._service and key.adapter:
                self._serve_adapter(key, demand)
        if not any(account.moving_model for account in self._accounts):
            for account in self._accounts:
                self._fill_adapter_places(account)
        return self._plan

    # Models.

    def _list_wants(self) -> Iterator[_Want]:
        for model in self._engine.models:
            demand = self._demand_of(model.name)
            copies = self._count_copies(model.name)
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

    def _demand_of(self, model: str) -> Demand:
        """Return the demand for a model and all of its adapters."""
        return self._demand_by_model.get(model) or Demand()

    def _count_copies(self, model: str) -> int:
        """Return the copies that serve or will serve soon."""
        return sum(1 for _ in self._list_holders(model))

    def _list_holders(self, model: str) -> Iterator[EngineAccount]:
        """Yield the engines that serve a model or will serve it soon."""
        for account in self._accounts:
            if _will_serve(account, model):
                yield account

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
        if not self._is_busy:
            return False
        holders = list(self._list_holders(model))
        return all(
            self._rate_share(account) > BUSY_SHARE for account in holders
        ) and any(
            self._rate_share(account) < IDLE_SHARE
            for account in self._accounts
            if account not in holders
        )

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
        demand = self._demand_of(model)
        if self._is_hot(demand):
            # Prompts that are read hold up the other streams of an
            # engine, long before its slots are taken: spread the work.
            share = demand.arrivals_per_s / self._arrivals_per_s
            count = math.ceil(share * len(self._accounts) / load)
            if self._engine.find_model(model).adapters:
                # While one engine loads a model, it loads no adapters.
                count = max(count, 2)
        if not self._is_settled:
            # What stands on many engines at the start is what its owners
            # take for busy.
            count = max(count, min(copies, START_COPIES))
        return min(count, len(self._accounts))

    def _is_hot(self, demand: Demand) -> bool:
        least = max(HOT_ARRIVALS_PER_S, HOT_SHARE * self._arrivals_per_s)
        return demand.arrivals_per_s >= least

    def _serve_model(self, want: _Want) -> None:
        choices = []
        for account in self._accounts:
            rating = self._rate_place(account, want)
            if rating is not None:
                choices.append((rating, account.target.target, account))
        if not choices:
            if want.urgency == _Urgency.NOW:
                self._note_held_up(want)
            return
        if want.weight >= PRESSING_REQUESTS:
            free = [c for c in choices if c[-1].takes_model_moves]
            choices = free or choices
        _, _, account = min(choices)
        if account.takes_model_moves:
            self._place_model(account, want)
        else:
            # The best place is busy for a moment, and worth waiting for:
            # it has the model on its disk.
            self._plan.held_up[HoldUp.ENGINES_BUSY] += 1

    def _note_held_up(self, want: _Want) -> None:
        is_limited = self._store_loads <= 0
        reason = HoldUp.STORE_LIMIT if is_limited else HoldUp.NO_ROOM
        self._plan.held_up[reason] += 1
        if not self._count_copies(want.model.name):
            self._plan.blocked.append(ItemKey(self._service, want.model.name))

    def _rate_place(
        self, account: EngineAccount, want: _Want
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
            wait_s = _RUNS_LEFT_S if self._demand_of(victim).running else 0.0
        load_s = estimate_load_s(account, model)
        if load_s > LONG_LOAD_S and not self._deserves_long_load(want):
            return None
        busy = self._rate_share(account)
        blocked = load_s * self._rate_adapter_use(account) * _BLOCKED_SHARE
        if not account.takes_model_moves:
            wait_s += self._estimate_move_left_s(account)
        cost = loss + blocked + busy * _BUSY_COST
        cost += (wait_s + load_s) * _LOAD_COST + load_s * _OCCUPIED_COST
        return (cost, wait_s + load_s)

    def _estimate_move_left_s(self, account: EngineAccount) -> float:
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
            self._rate_share(account) > LONG_LOAD_SHARE
            for account in self._list_holders(want.model.name)
        )

    def _rate_share(self, account: EngineAccount) -> float:
        """Return an engine's arrivals, in equal shares of all."""
        if not self._fair_arrivals_per_s:
            return 0.0
        arrivals_per_s = sum(
            self._demand_of(model).arrivals_per_s / self._count_copies(model)
            for model in self._list_models(account)
        )
        return arrivals_per_s / self._fair_arrivals_per_s

    def _list_models(self, account: EngineAccount) -> Iterator[str]:
        """Yield the models that an engine serves or will serve soon."""
        for model in account.models:
            if _will_serve(account, model):
                yield model

    def _rate_adapter_use(self, account: EngineAccount) -> float:
        """Return arrivals a second that may need an adapter loaded here.

        While an engine loads a model it loads no adapters.
        """
        return sum(
            demand.arrivals_per_s / max(1, self._count_copies(key.model))
            for key, demand in self._demand.items()
            if key.service == self._service
            and key.adapter
            and account.serves(key.model)
        )

    def _place_model(self, account: EngineAccount, want: _Want) -> None:
        account.moving_model = want.model.name
        model = want.model
        evicted = None
        if not account.has_room(model.name):
            victim = self._find_victim(account, want)
            evicted = ItemKey(self._service, victim)
            # At once, so that the next want does not count on this copy.
            account.start_dropping(victim)
        from_store = not self._is_cheap(account, model)
        self._store_loads -= from_store
        self._plan.steps.append(
            Step(
                target=account.target.target,
                item=ItemKey(self._service, model.name),
                evicted=evicted,
                reason=want.reason,
                from_store=from_store,
            )
        )

    def _is_cheap(self, account: EngineAccount, model: ModelInfo) -> bool:
        """Whether a load needs nothing from the weight store."""
        return model.name in account.in_memory or model.name in account.on_disk

    def _find_victim(self, account: EngineAccount, want: _Want) -> str | None:
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
        copies = self._count_copies(model)
        demand = self._demand_of(model)
        if copies > max(1, self._find_kept(model, copies)):
            return True
        if copies > 1 or self._is_hot(demand):
            return False
        is_idle = self._now - demand.wanted_at > IDLE_S
        if is_idle and not demand.in_hand:
            return True
        users = demand.in_hand + demand.arrivals_per_s + (not is_idle)
        return users * EVICTION_GAIN < want.weight

    def _rate_loss(self, model: str) -> float:
        """Return how much it costs to drop one copy of a model."""
        copies = self._count_copies(model)
        demand = self._demand_of(model)
        idle_s = min(self._now - demand.wanted_at, _LONG_IDLE_S)
        soon = 1 / (1 + idle_s)
        return (demand.in_hand + demand.arrivals_per_s + soon) / max(copies, 1)

    # Adapters.

    def _serve_adapter(self, key: ItemKey, demand: Demand) -> None:
        if not demand.waiting or self._is_coming(key):
            return
        holders = [a for a in self._accounts if a.serves(key.model)]
        if any(a.serves(key.model, key.adapter) for a in holders):
            return
        choices = [a for a in holders if a.takes_adapter_moves]
        if not choices:
            if holders:
                self._plan.held_up[HoldUp.ENGINES_BUSY] += 1
            return
        free = [a for a in choices if self._has_adapter_room(a, key.model)]
        if free:
            account = min(free, key=_rate_adapter_place)
            self._add_adapter_step(account, key, None, "requests wait")
            return
        victim = self._find_idle_adapter(choices)
        if victim is None:
            self._plan.held_up[HoldUp.NO_ROOM] += 1
            self._plan.blocked.append(key)
            return
        account, evicted = victim
        self._add_adapter_step(account, key, evicted, "requests wait")

    def _fill_adapter_places(self, account: EngineAccount) -> None:
        """Bring one adapter that is held nowhere to a free place.

        Before it is asked for, a load costs an order and nobody's time.
        """
        if account.moving_adapters or not account.takes_adapter_moves:
            return
        names = [
            name
            for name in account.ready
            if account.serves(name) and self._has_adapter_room(account, name)
        ]
        for name in sorted(names, key=self._rate_for_adapters, reverse=True):
            model = self._engine.find_model(name)
            for number in range(1, model.adapters + 1):
                key = ItemKey(self._service, name, f"a{number}")
                held = any(a.serves(name, key.adapter) for a in self._accounts)
                if not held and not self._is_coming(key):
                    self._add_adapter_step(account, key, None, "place free")
                    return

    def _rate_for_adapters(self, name: str) -> tuple[float, int]:
        """Return how likely a model's adapters are to be asked for."""
        arrivals = self._demand_of(name).arrivals_per_s
        return (arrivals, self._count_copies(name))

    def _is_coming(self, key: ItemKey) -> bool:
        place = (key.model, key.adapter)
        return any(
            place in account.moving_adapters
            or place in account.leaving_adapters
            for account in self._accounts
        )

    def _has_adapter_room(self, account: EngineAccount, model: str) -> bool:
        """Whether a place is free that no other adapter is to take."""
        planned = len(account.moving_adapters) - len(account.evicting)
        return account.has_adapter_room(model, planned=max(0, planned))

    def _find_idle_adapter(
        self, choices: list[EngineAccount]
    ) -> tuple[EngineAccount, ItemKey] | None:
        """Return the adapter that was idle longest, to make room."""
        candidates = [
            (self._idle_s(key), key, account)
            for account in choices
            for key in self._list_adapters(account)
            if not self._in_hand(key)
            and (key.model, key.adapter) not in account.evicting
        ]
        candidates = [c for c in candidates if c[0] > IDLE_ADAPTER_S]
        if not candidates:
            return None
        _, key, account = max(candidates, key=lambda c: c[:2])
        return account, key

    def _list_adapters(self, account: EngineAccount) -> Iterator[ItemKey]:
        for model, adapters in account.ready.items():
            for adapter in adapters:
                yield ItemKey(self._service, model, adapter)

    def _idle_s(self, key: ItemKey) -> float:
        demand = self._demand.get(key)
        return self._now - (demand.wanted_at if demand else -math.inf)

    def _in_hand(self, key: ItemKey) -> int:
        demand = self._demand.get(key)
        return demand.in_hand if demand else 0

    def _add_adapter_step(
        self,
        account: EngineAccount,
        key: ItemKey,
        evicted: ItemKey | None,
        reason: str,
    ) -> None:
        account.moving_adapters.add((key.model, key.adapter))
        if evicted is not None:
            account.evicting.add((evicted.model, evicted.adapter))
        self._plan.steps.append(
            Step(
                target=account.target.target,
                item=key,
                evicted=evicted,
                reason=reason,
            )
        )


def _sum_by_model(
    service: ItemName, demand: dict[ItemKey, Demand]
) -> dict[str, Demand]:
    """Return the demand for each model with all of its adapters."""
    totals: dict[str, Demand] = {}
    for key, entry in demand.items():
        if key.service != service:
            continue
        total = totals.setdefault(key.model, Demand())
        total.running += entry.running
        total.waiting += entry.waiting
        total.arrivals_per_s += entry.arrivals_per_s
        total.wanted_at = max(total.wanted_at, entry.wanted_at)
    return totals


def _will_serve(account: EngineAccount, model: str) -> bool:
    """Whether an engine serves a model or will serve it soon."""
    return account.serves(model) or account.moving_model == model


def _rate_adapter_place(account: EngineAccount) -> tuple[int, int]:
    load = account.target.load
    return (account.adapter_count, load.running + load.waiting)


def estimate_load_s(account: EngineAccount, model: ModelInfo) -> float:
    """Return how long a load of a model takes at an engine."""
    if model.name in account.in_memory:
        return model.memory_load_s
    if model.name in account.on_disk:
        return model.disk_load_s
    return model.store_load_s
