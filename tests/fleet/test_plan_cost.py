"""The cost of a plan as the fleet grows, in function calls, not in time."""

import sys

import pytest

from bench.fleet_planning import PlanningWorld
from bench.fleet_planning import create_world
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds

SEEDS = (1, 2, 3)
GROWTH_FACTOR = 4
GROWTH_TOLERANCE_RATIO = 1.25
"""Allowance above linear growth for sorting and for random demand."""


def count_calls(world: PlanningWorld) -> int:
    """Return the number of Python function calls that one plan makes."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        world.plan()
    finally:
        sys.setprofile(None)
    return calls


# Guards against plans that iterate over all engines for each model: at 45
# engines, one took 0.8 s of the leader's event loop and delayed orders,
# reports and state updates.
@pytest.mark.parametrize("seed", SEEDS)
def test_plan_cost_grows_linearly_with_the_fleet(seed):
    small = count_calls(create_world(12, 50, seed))
    large = count_calls(
        create_world(12 * GROWTH_FACTOR, 50 * GROWTH_FACTOR, seed)
    )
    assert large <= small * GROWTH_FACTOR * GROWTH_TOLERANCE_RATIO


# Guards against the same growth when callers wait for most models at once.
def test_plan_cost_grows_linearly_while_callers_wait_for_all_models():
    small = count_calls(create_world_with_waiting_callers(12, 50))
    large = count_calls(
        create_world_with_waiting_callers(
            12 * GROWTH_FACTOR, 50 * GROWTH_FACTOR
        )
    )
    assert large <= small * GROWTH_FACTOR * GROWTH_TOLERANCE_RATIO


# Guards against a search for moves between engines of different speed that
# compares all pairs of engines.
def test_plan_cost_grows_linearly_with_speeds():
    small = count_calls(create_world_with_speeds(12, 50))
    large = count_calls(
        create_world_with_speeds(12 * GROWTH_FACTOR, 50 * GROWTH_FACTOR)
    )
    assert large <= small * GROWTH_FACTOR * GROWTH_TOLERANCE_RATIO


def create_world_with_speeds(engines: int, models: int) -> PlanningWorld:
    world = create_world(engines, models, SEEDS[0])
    world.speeds = PlacementSpeeds(
        speeds={
            state.target.target: (0.6, 1.0, 1.6)[number % 3]
            for number, state in enumerate(world.accounts)
        },
        gaps_ms={model.name: 60.0 for model in world.engine.models},
        gap_aim_ms=200.0,
    )
    return world


def create_world_with_waiting_callers(
    engines: int, models: int
) -> PlanningWorld:
    world = create_world(engines, models, SEEDS[0])
    for entry in world.demand.values():
        entry.waiting = 3
    return world
