"""Decides which models and adapters the engines should hold.

Plans one service at a time, from the contents of its engines, the demand
of callers and the load limit of the weight store. A plan moves at most one
model per engine; the next plan continues from the state that results.
"""

from dotterelbridge.fleet.adapter_placement import AdapterPlacement
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.model_placement import ModelPlacement
from dotterelbridge.fleet.placement_index import PlacementIndex
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.speed_moves import SpeedMoves
from dotterelbridge.ids import ItemName
from dotterelbridge.routes.model import EngineInfo


def plan_service(
    service: ItemName,
    engine: EngineInfo,
    states: list[EngineState],
    demand: dict[ItemKey, Demand],
    store_loads: int,
    since_first_request_s: float,
    now: float,
    speeds: PlacementSpeeds | None = None,
    speed_moves: SpeedMoves | None = None,
) -> ServicePlan:
    """Return the steps to take now for one service.

    :param store_loads: loads from the weight store that may start now.
    :param asked_s: seconds since the service's first request, 0 before.
    :param now: monotonic time.
    :param speeds: None if all engines count as equally fast.
    :param speed_moves: adds moves between slow and fast engines.
    """
    plan = ServicePlan()
    index = PlacementIndex(service, states, demand, speeds)
    models = ModelPlacement(
        index, engine, plan, store_loads, since_first_request_s, now
    )
    if speed_moves is not None:
        models.barred_copies = speed_moves.list_separated(now)
    models.place_all()
    if speed_moves is not None and speeds is not None:
        speed_moves.plan(models, index, engine, plan, speeds, now)
    adapters = AdapterPlacement(index, engine, plan, now)
    adapters.place_waiting()
    adapters.fill_free_places()
    return plan
