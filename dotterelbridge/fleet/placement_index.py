"""Index of the contents of one service's engines and of its demand."""

from collections import defaultdict
from collections.abc import Iterator
import math

from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId

_NO_DEMAND = Demand()

_MAX_FAILING_PART = 0.25
"""Largest part of the engines that count as failing; if more fail, other
engines would not do better."""


class PlacementIndex:
    """Built once for each plan and updated as steps are added.

    The cost of each lookup is proportional to the size of its result, so
    that a plan does not iterate over all engines for each model.
    """

    def __init__(
        self,
        service: ItemName,
        states: list[EngineState],
        demand: dict[ItemKey, Demand],
        speeds: PlacementSpeeds | None = None,
    ) -> None:
        """Index the engines that are available.

        :param speeds: None if all engines count as equally fast.
        """
        self.service = service
        self.states = _list_usable(states)
        self.speeds = speeds
        self.demand = {
            key: entry
            for key, entry in demand.items()
            if key.service == service
        }
        self._demand_by_model = _sum_by_model(self.demand)
        self.arrivals_per_s = sum(
            entry.arrivals_per_s for entry in self._demand_by_model.values()
        )
        self.running = sum(d.running for d in self._demand_by_model.values())
        self.equal_share_per_s = self.arrivals_per_s / max(1, len(self.states))
        self._holders: dict[str, dict[TargetId, EngineState]] = defaultdict(
            dict
        )
        self._caching_engines: dict[str, list[EngineState]] = defaultdict(list)
        self._adapter_holders: dict[tuple[str, str], int] = defaultdict(int)
        self._adapters_in_transit: set[tuple[str, str]] = set()
        self._capacities: dict[TargetId, float] = {}
        """Relative capacity of each engine; empty if all are equal."""
        if speeds is not None and speeds.speeds:
            self._capacities = _compute_capacities(self.states, speeds)
        self._load_shares: dict[TargetId, float] = {}
        self._adapter_arrivals: dict[str, float] = defaultdict(float)
        for state in self.states:
            self._add(state)
        for key, entry in self.demand.items():
            if key.adapter:
                self._adapter_arrivals[key.model] += entry.arrivals_per_s

    def _add(self, state: EngineState) -> None:
        for model in self.list_models(state):
            self._holders[model][state.target.target] = state
        if state.incoming_model is not None:
            moving = self._holders[state.incoming_model]
            moving[state.target.target] = state
        for model in state.in_memory | state.on_disk:
            self._caching_engines[model].append(state)
        for model, adapters in state.ready.items():
            if state.serves(model):
                for adapter in adapters:
                    if state.serves(model, adapter):
                        self._adapter_holders[model, adapter] += 1
        self._adapters_in_transit |= state.incoming_adapters
        self._adapters_in_transit |= state.draining_adapters

    # Models.

    def get_demand(self, model: str) -> Demand:
        """Return the demand for a model and all of its adapters."""
        return self._demand_by_model.get(model, _NO_DEMAND)

    def list_holders(self, model: str) -> list[EngineState]:
        """Return the engines that serve a model or are loading it."""
        return list(self._holders.get(model, {}).values())

    def count_copies(self, model: str) -> int:
        """Return the number of copies that are loaded or loading."""
        return len(self._holders.get(model, ()))

    def list_caching_engines(self, model: str) -> list[EngineState]:
        """Return the engines with a copy in host memory or on disk."""
        return self._caching_engines.get(model, [])

    def list_models(self, state: EngineState) -> Iterator[str]:
        """Yield the models that an engine serves or is loading."""
        for model in state.models:
            if state.serves(model) or model == state.incoming_model:
                yield model

    def get_capacity(self, state: EngineState) -> float:
        """Return an engine's part of the work, relative to the mean."""
        if not self._capacities:
            return 1.0
        return self._capacities[state.target.target]

    def sum_capacity(self, model: str) -> float:
        """Return the capacity of the engines that hold a model."""
        if not self._capacities:
            return self.count_copies(model)
        return sum(
            self._capacities[target] for target in self._holders.get(model, ())
        )

    def get_arrival_share(self, state: EngineState) -> float:
        """Return an engine's arrival rate relative to an equal share.

        1.0 means what each engine gets if all get the same.
        """
        if not self._capacities:
            return self.get_load_share(state)
        if not self.equal_share_per_s:
            return 0.0
        arrivals_per_s = sum(
            self.get_demand(model).arrivals_per_s / self.count_copies(model)
            for model in self.list_models(state)
        )
        return arrivals_per_s / self.equal_share_per_s

    def get_load_share(self, state: EngineState) -> float:
        """Return an engine's work relative to an equal share.

        Without speeds, this is the arrival share. With speeds, it is the
        engine's time for the arrivals, which are divided among copies by
        speed, relative to the time if all engines are busy alike.
        """
        name = state.target.target
        if name not in self._load_shares:
            self._load_shares[name] = self._compute_load_share(state)
        return self._load_shares[name]

    def _compute_load_share(self, state: EngineState) -> float:
        if not self.equal_share_per_s:
            return 0.0
        arrivals_per_s = sum(
            self.get_demand(model).arrivals_per_s / self.sum_capacity(model)
            for model in self.list_models(state)
        )
        return arrivals_per_s / self.equal_share_per_s

    def add_incoming_model(self, state: EngineState, model: str) -> None:
        """Add a model whose load on an engine is planned."""
        state.incoming_model = model
        self._holders[model][state.target.target] = state
        self._invalidate_load_shares(model)

    def start_draining(self, state: EngineState, model: str) -> None:
        """Remove a model whose eviction from an engine is planned."""
        self._invalidate_load_shares(model)
        for adapter in state.ready.get(model, ()):
            if state.serves(model, adapter):
                self._adapter_holders[model, adapter] -= 1
        state.start_draining(model)
        self._holders[model].pop(state.target.target, None)

    def _invalidate_load_shares(self, model: str) -> None:
        for name in self._holders[model]:
            self._load_shares.pop(name, None)

    # Adapters.

    def compute_adapter_arrivals_per_s(self, state: EngineState) -> float:
        """Return the rate of requests for adapters of the engine's models."""
        return sum(
            self._adapter_arrivals[model] / self.count_copies(model)
            for model in self.list_models(state)
            if model in self._adapter_arrivals and state.serves(model)
        )

    def is_adapter_held(self, model: str, adapter: str) -> bool:
        """Whether an engine serves an adapter."""
        return self._adapter_holders.get((model, adapter), 0) > 0

    def is_adapter_in_transit(self, model: str, adapter: str) -> bool:
        """Whether an order for an adapter is planned or in progress."""
        return (model, adapter) in self._adapters_in_transit

    def add_incoming_adapter(
        self, state: EngineState, model: str, adapter: str
    ) -> None:
        """Add an adapter whose load on an engine is planned."""
        state.incoming_adapters.add((model, adapter))
        self._adapters_in_transit.add((model, adapter))


def _compute_capacities(
    states: list[EngineState], speeds: PlacementSpeeds
) -> dict[TargetId, float]:
    """Return capacities with a mean of 1.0."""
    rates = {
        state.target.target: 1 / speeds.find_speed(state.target.target)
        for state in states
    }
    mean = sum(rates.values()) / max(1, len(rates))
    return {target: rate / mean for target, rate in rates.items()}


def _sum_by_model(demand: dict[ItemKey, Demand]) -> dict[str, Demand]:
    """Return the demand for each model, including all of its adapters."""
    totals: dict[str, Demand] = {}
    for key, entry in demand.items():
        total = totals.setdefault(key.model, Demand())
        total.running += entry.running
        total.waiting += entry.waiting
        total.arrivals_per_s += entry.arrivals_per_s
        total.growth_per_s += entry.growth_per_s
        total.last_arrival_at = max(
            total.last_arrival_at, entry.last_arrival_at
        )
    return totals


def _list_usable(states: list[EngineState]) -> list[EngineState]:
    """Return the engines to which entry VMs send requests."""
    usable = [
        state
        for state in states
        if state.target.takes_new_work and not state.is_silent
    ]
    failing = sum(state.is_failing for state in usable)
    if failing > math.ceil(len(usable) * _MAX_FAILING_PART):
        return usable
    return [state for state in usable if not state.is_failing]
