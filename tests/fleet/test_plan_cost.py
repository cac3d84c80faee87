"""What a plan costs as the fleet grows, counted in calls, not in time."""

import sys

import pytest

from bench.fleet_planning import PlanningWorld
from bench.fleet_planning import create_world

SEEDS = (1, 2, 3)
GROWTH = 4
SLACK = 1.25
"""Beyond linear growth: sorting, and how the seeds' demand falls."""


def count_calls(world: PlanningWorld) -> int:
    """Return the calls of Python functions that one plan makes."""
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


# Guards against SHORT of the grown deployments: a plan that walked over all
# engines for each model took 0.8 s of the leader's event loop at 45 engines,
# and orders, reports and views came late.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_plan_costs_in_proportion_to_the_fleet(seed):
    small = count_calls(create_world(12, 50, seed))
    large = count_calls(create_world(12 * GROWTH, 50 * GROWTH, seed))
    assert large <= small * GROWTH * SLACK


# Guards against the same where callers wait for most models at once.
def test_a_plan_costs_in_proportion_while_callers_wait_for_all_models():
    small = count_calls(create_rush(12, 50))
    large = count_calls(create_rush(12 * GROWTH, 50 * GROWTH))
    assert large <= small * GROWTH * SLACK


def create_rush(engines: int, models: int) -> PlanningWorld:
    world = create_world(engines, models, SEEDS[0])
    for entry in world.demand.values():
        entry.waiting = 3
    return world
