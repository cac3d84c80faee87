"""Decides which models and adapters the engines should hold.

Works on one service at a time, from what its engines hold, what callers
want, and how fast the weight store allows loads. At most one step for an
engine is returned; the next round goes on from what has changed.
"""

from dotterelbridge.fleet.adapter_placement import AdapterPlacement
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.layout import FleetLayout
from dotterelbridge.fleet.model_placement import ModelPlacement
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.routes.model import EngineInfo


def plan_service(
    service: ItemName,
    engine: EngineInfo,
    accounts: list[EngineState],
    demand: dict[ItemKey, Demand],
    store_loads: int,
    asked_s: float,
    now: float,
) -> ServicePlan:
    """Return the steps to take now for one service.

    :param store_loads: loads from the weight store that may start now.
    :param asked_s: seconds since the service's first request, 0 before.
    :param now: monotonic time.
    """
    plan = ServicePlan()
    layout = FleetLayout(service, accounts, demand)
    models = ModelPlacement(layout, engine, plan, store_loads, asked_s, now)
    models.place_all()
    adapters = AdapterPlacement(layout, engine, plan, now)
    adapters.serve_waiting()
    adapters.fill_places()
    return plan
