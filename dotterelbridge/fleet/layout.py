"""Index of what the engines of one service hold and what is asked for."""

from collections import defaultdict
from collections.abc import Iterator

from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId

_NO_DEMAND = Demand()


class FleetLayout:
    """Built once for a plan, and kept up to date through it.

    Each question costs no more than its answer is long, so that a plan
    does not walk over all engines for each model.
    """

    def __init__(
        self,
        service: ItemName,
        accounts: list[EngineState],
        demand: dict[ItemKey, Demand],
    ) -> None:
        self.service = service
        self.accounts = [
            account
            for account in accounts
            if account.target.takes_new_work and not account.is_silent
        ]
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
        self.fair_arrivals_per_s = self.arrivals_per_s / max(
            1, len(self.accounts)
        )
        self._holders: dict[str, dict[TargetId, EngineState]] = defaultdict(
            dict
        )
        self._cheap: dict[str, list[EngineState]] = defaultdict(list)
        self._adapter_holders: dict[tuple[str, str], int] = defaultdict(int)
        self._coming_adapters: set[tuple[str, str]] = set()
        self._shares: dict[TargetId, float] = {}
        self._adapter_arrivals: dict[str, float] = defaultdict(float)
        for account in self.accounts:
            self._add(account)
        for key, entry in self.demand.items():
            if key.adapter:
                self._adapter_arrivals[key.model] += entry.arrivals_per_s

    def _add(self, account: EngineState) -> None:
        for model in self.list_models(account):
            self._holders[model][account.target.target] = account
        if account.moving_model is not None:
            moving = self._holders[account.moving_model]
            moving[account.target.target] = account
        for model in account.in_memory | account.on_disk:
            self._cheap[model].append(account)
        for model, adapters in account.ready.items():
            if account.serves(model):
                for adapter in adapters:
                    if account.serves(model, adapter):
                        self._adapter_holders[model, adapter] += 1
        self._coming_adapters |= account.moving_adapters
        self._coming_adapters |= account.leaving_adapters

    # Models.

    def demand_of(self, model: str) -> Demand:
        """Return the demand for a model and all of its adapters."""
        return self._demand_by_model.get(model, _NO_DEMAND)

    def list_holders(self, model: str) -> list[EngineState]:
        """Return the engines that serve a model or will serve it soon."""
        return list(self._holders.get(model, {}).values())

    def count_copies(self, model: str) -> int:
        """Return the copies that serve or will serve soon."""
        return len(self._holders.get(model, ()))

    def list_cheap(self, model: str) -> list[EngineState]:
        """Return the engines that have a model in memory or on disk."""
        return self._cheap.get(model, [])

    def list_models(self, account: EngineState) -> Iterator[str]:
        """Yield the models there that serve or will serve soon."""
        for model in account.models:
            if account.serves(model) or model == account.moving_model:
                yield model

    def rate_share(self, account: EngineState) -> float:
        """Return an engine's arrivals, in equal shares of all."""
        name = account.target.target
        if name not in self._shares:
            self._shares[name] = self._compute_share(account)
        return self._shares[name]

    def _compute_share(self, account: EngineState) -> float:
        if not self.fair_arrivals_per_s:
            return 0.0
        arrivals_per_s = sum(
            self.demand_of(model).arrivals_per_s / self.count_copies(model)
            for model in self.list_models(account)
        )
        return arrivals_per_s / self.fair_arrivals_per_s

    def start_moving(self, account: EngineState, model: str) -> None:
        """Count a model that is to be brought to an engine."""
        account.moving_model = model
        self._holders[model][account.target.target] = account
        self._forget_shares(model)

    def start_dropping(self, account: EngineState, model: str) -> None:
        """Count a model no more that is to give way at an engine."""
        self._forget_shares(model)
        for adapter in account.ready.get(model, ()):
            if account.serves(model, adapter):
                self._adapter_holders[model, adapter] -= 1
        account.start_dropping(model)
        self._holders[model].pop(account.target.target, None)

    def _forget_shares(self, model: str) -> None:
        for name in self._holders[model]:
            self._shares.pop(name, None)

    # Adapters.

    def rate_adapter_use(self, account: EngineState) -> float:
        """Return arrivals a second that need an adapter of a model here."""
        return sum(
            self._adapter_arrivals[model] / self.count_copies(model)
            for model in self.list_models(account)
            if model in self._adapter_arrivals and account.serves(model)
        )

    def is_adapter_held(self, model: str, adapter: str) -> bool:
        """Whether an engine serves an adapter."""
        return self._adapter_holders.get((model, adapter), 0) > 0

    def is_adapter_coming(self, model: str, adapter: str) -> bool:
        """Whether an order for an adapter is planned or under way."""
        return (model, adapter) in self._coming_adapters

    def start_moving_adapter(
        self, account: EngineState, model: str, adapter: str
    ) -> None:
        """Count an adapter that is to be brought to an engine."""
        account.moving_adapters.add((model, adapter))
        self._coming_adapters.add((model, adapter))


def _sum_by_model(demand: dict[ItemKey, Demand]) -> dict[str, Demand]:
    """Return the demand for each model with all of its adapters."""
    totals: dict[str, Demand] = {}
    for key, entry in demand.items():
        total = totals.setdefault(key.model, Demand())
        total.running += entry.running
        total.waiting += entry.waiting
        total.arrivals_per_s += entry.arrivals_per_s
        total.last_arrival_at = max(
            total.last_arrival_at, entry.last_arrival_at
        )
    return totals
