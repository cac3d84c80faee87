"""Decides which adapters go to which engines."""

from collections.abc import Iterator
import math

from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.layout import FleetLayout
from dotterelbridge.fleet.plan import HoldUp
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.routes.model import EngineInfo

IDLE_ADAPTER_S = 0.3
"""Time without a request after which an adapter may give way to another,
whose load takes some ms."""


class AdapterPlacement:
    """Adds the steps for adapters to a plan."""

    def __init__(
        self,
        layout: FleetLayout,
        engine: EngineInfo,
        plan: ServicePlan,
        now: float,
    ) -> None:
        self._layout = layout
        self._engine = engine
        self._plan = plan
        self._now = now
        self._missing: dict[str, Iterator[str]] = {}
        """Adapters of a model that no engine holds, as far as needed."""

    def serve_waiting(self) -> None:
        """Bring the adapters that requests wait for, most of them first."""
        waiting = [
            (key, demand)
            for key, demand in self._layout.demand.items()
            if key.adapter and demand.waiting
        ]
        for key, demand in sorted(waiting, key=lambda e: -e[1].waiting):
            self._serve(key, demand)

    def fill_places(self) -> None:
        """Bring adapters that are held nowhere to free places.

        Before they are asked for, a load costs an order and nobody's time.
        """
        if any(account.moving_model for account in self._layout.accounts):
            return
        for account in self._layout.accounts:
            self._fill_place(account)

    def _serve(self, key: ItemKey, demand: Demand) -> None:
        layout = self._layout
        if layout.is_adapter_coming(key.model, key.adapter):
            return
        if layout.is_adapter_held(key.model, key.adapter):
            return
        holders = [
            account
            for account in layout.list_holders(key.model)
            if account.serves(key.model)
        ]
        choices = [a for a in holders if a.takes_adapter_moves]
        if not choices:
            if holders:
                self._plan.held_up[HoldUp.ENGINES_BUSY] += 1
            return
        free = [a for a in choices if _has_room(a, key.model)]
        if free:
            account = min(free, key=_rate_place)
            self._add_step(account, key, None, "requests wait")
            return
        victim = self._find_idle(choices)
        if victim is None:
            self._plan.held_up[HoldUp.NO_ROOM] += 1
            self._plan.blocked.append(key)
            return
        account, evicted = victim
        self._add_step(account, key, evicted, "requests wait")

    def _fill_place(self, account: EngineState) -> None:
        if account.moving_adapters or not account.takes_adapter_moves:
            return
        names = [
            name
            for name in account.ready
            if account.serves(name) and _has_room(account, name)
        ]
        for name in sorted(names, key=self._rate_model, reverse=True):
            adapter = next(self._list_missing(name), None)
            if adapter is not None:
                key = ItemKey(self._layout.service, name, adapter)
                self._add_step(account, key, None, "place free")
                return

    def _list_missing(self, model: str) -> Iterator[str]:
        """Yield each adapter that is neither held nor coming, once."""
        if model not in self._missing:
            self._missing[model] = self._find_missing(model)
        return self._missing[model]

    def _find_missing(self, model: str) -> Iterator[str]:
        layout = self._layout
        for number in range(1, self._engine.find_model(model).adapters + 1):
            name = f"a{number}"
            if not layout.is_adapter_held(
                model, name
            ) and not layout.is_adapter_coming(model, name):
                yield name

    def _rate_model(self, name: str) -> tuple[float, int]:
        """Return how likely a model's adapters are to be asked for."""
        arrivals = self._layout.demand_of(name).arrivals_per_s
        return (arrivals, self._layout.count_copies(name))

    def _find_idle(
        self, choices: list[EngineState]
    ) -> tuple[EngineState, ItemKey] | None:
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

    def _list_adapters(self, account: EngineState) -> Iterator[ItemKey]:
        for model, adapters in account.ready.items():
            for adapter in adapters:
                yield ItemKey(self._layout.service, model, adapter)

    def _idle_s(self, key: ItemKey) -> float:
        demand = self._layout.demand.get(key)
        return self._now - (demand.last_arrival_at if demand else -math.inf)

    def _in_hand(self, key: ItemKey) -> int:
        demand = self._layout.demand.get(key)
        return demand.in_hand if demand else 0

    def _add_step(
        self,
        account: EngineState,
        key: ItemKey,
        evicted: ItemKey | None,
        reason: str,
    ) -> None:
        self._layout.start_moving_adapter(account, key.model, key.adapter)
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


def _has_room(account: EngineState, model: str) -> bool:
    """Whether a place is free that no other adapter is to take."""
    planned = len(account.moving_adapters) - len(account.evicting)
    return account.has_adapter_room(model, planned=max(0, planned))


def _rate_place(account: EngineState) -> tuple[int, int]:
    load = account.target.load
    return (account.adapter_count, load.running + load.waiting)
