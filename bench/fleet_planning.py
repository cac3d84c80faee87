"""Measures plans of the fleet: time as engines and models grow.

Run with ``python -m bench.fleet_planning``; prints a Markdown table. Each
row plans one service whose engines hold three models each, with demand
for two thirds of its models and adapters.
"""

import argparse
import random
import statistics
import time

import msgspec

from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.engine import EngineReport
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.policy import plan_service
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.fleet.speed_moves import SpeedMoves
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import EngineInfo
from dotterelbridge.routes.model import ModelInfo

SIZES = ((5, 18), (15, 60), (45, 196), (90, 392), (173, 600))
"""Engines and models: today's, three and nine times as many, and those of
one failure domain of 15 at the target size."""
RUNS = 5
MODELS_HELD = 3
ADAPTERS = 3
STORE_LOADS = 9
NOW = 100.0
SERVICE = ItemName("llm")


class PlanningWorld(msgspec.Struct):
    """What a plan is made from."""

    engine: EngineInfo
    accounts: list[EngineState]
    demand: dict[ItemKey, Demand]
    speeds: PlacementSpeeds | None = None

    def plan(self) -> ServicePlan:
        """Return the plan of a service that was asked for long ago."""
        return plan_service(
            SERVICE,
            self.engine,
            self.accounts,
            self.demand,
            STORE_LOADS,
            NOW,
            NOW,
            self.speeds,
            SpeedMoves(),
        )


def create_world(engines: int, models: int, seed: int) -> PlanningWorld:
    """Return engines that hold the first models, and demand for others."""
    rng = random.Random(seed)
    names = [f"m{number}" for number in range(models)]
    engine = EngineInfo(
        slots=12,
        kv_tokens=100_000,
        memory_mb=310,
        adapter_places=8,
        loads_per_s=13.0,
        models=tuple(
            ModelInfo(
                name=name,
                memory_mb=100,
                store_load_s=6.0,
                disk_load_s=1.0,
                memory_load_s=0.5,
                adapters=ADAPTERS,
                adapter_mb=1,
            )
            for name in names
        ),
    )
    accounts = [
        _create_account(number, engine, names, rng)
        for number in range(engines)
    ]
    demand = {}
    for _ in range(2 * models // 3):
        adapter = rng.choice(("", "", "a1", "a2", "a3"))
        demand[ItemKey(SERVICE, rng.choice(names), adapter)] = Demand(
            running=rng.randrange(3),
            waiting=rng.randrange(2),
            arrivals_per_s=rng.random() * 2,
            last_arrival_at=NOW - rng.random() * 5,
        )
    return PlanningWorld(engine, accounts, demand)


def _create_account(
    number: int, engine: EngineInfo, names: list[str], rng: random.Random
) -> EngineState:
    first = number * MODELS_HELD
    held = [names[(first + i) % len(names)] for i in range(MODELS_HELD)]
    models = tuple(HeldModel(name) for name in held)
    target = FleetTarget(
        target=TargetId(f"e{number}"),
        born=1,
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        failure_domain=FailureDomain("a"),
        slots=engine.slots,
        phase=TargetPhase.READY,
        held=models,
    )
    account = EngineState(target, engine)
    report = EngineReport(
        born=1,
        held=models,
        loading_adapters=(),
        is_busy=False,
        orders_accepted=0,
        load=TargetLoad(),
        on_disk=frozenset(held + rng.sample(names, MODELS_HELD)),
    )
    account.apply_report(report, 0.0)
    return account


def measure_ms(engines: int, models: int) -> float:
    """Return the median processor time of a plan, in milliseconds."""
    times = []
    for seed in range(RUNS):
        world = create_world(engines, models, seed)
        began = time.process_time()
        world.plan()
        times.append((time.process_time() - began) * 1000)
    return statistics.median(times)


def main() -> None:
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| engines | models | one plan, ms | ms an engine |")
    print("|---|---|---|---|")
    for engines, models in SIZES:
        plan_ms = measure_ms(engines, models)
        print(
            f"| {engines} | {models} | {plan_ms:.1f} "
            f"| {plan_ms / engines:.2f} |"
        )


if __name__ == "__main__":
    main()
