"""Loads from the weight store: its stated rate, and what it serves at once."""

import pytest

from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.store_limiter import StoreLoadLimiter
from tests.routes.support import create_engine

SETTINGS = FleetSettings(store_burst_s=5.0)
LATER = 100.0


def create_budget(started_at=0.0) -> StoreLoadLimiter:
    return StoreLoadLimiter(SETTINGS, started_at)


def start_loads(budget, count, now=LATER):
    for _ in range(count):
        budget.record_start(now)


# Guards against SHORT of the grown deployments: four loads at a time, what
# five engines need, left 45 engines with 0.6 loads a second of 13 allowed.
@pytest.mark.parametrize(
    ("loads_per_s", "allowed"), [(1.2, 6), (13.0, 65), (26.0, 130)]
)
def test_loads_at_once_follow_the_rate_of_the_store(loads_per_s, allowed):
    engine = create_engine(loads_per_s=loads_per_s)
    assert create_budget().count_allowed(engine, 0, LATER) == allowed


def test_loads_under_way_count_against_those_at_once():
    engine = create_engine(loads_per_s=2.0)
    assert create_budget().count_allowed(engine, 11, LATER) == 1
    assert create_budget().count_allowed(engine, 40, LATER) == 0


def test_the_stated_rate_holds_in_every_window():
    engine = create_engine(loads_per_s=2.0)
    budget = create_budget()
    start_loads(budget, 9)
    assert budget.count_allowed(engine, 0, LATER + 4.9) == 1
    assert budget.count_allowed(engine, 0, LATER + 5.1) == 10


# Guards against CEILING: a VM that takes the orders over does not know how
# many loads the one before has just started.
def test_a_new_holder_starts_with_what_the_rule_allows_beside_the_rate():
    engine = create_engine(loads_per_s=2.0)
    budget = create_budget(started_at=LATER)
    allowed = [
        budget.count_allowed(engine, 0, LATER + seconds)
        for seconds in (0.0, 1.0, 5.0, 9.0)
    ]
    assert allowed == [3, 5, 10, 10]


def test_loads_that_take_longer_than_stated_lower_how_many_run_at_once():
    engine = create_engine(loads_per_s=2.0)
    budget = create_budget()
    budget.record_end(engine, running=12, load_s=6.0, took_s=24.0)
    assert budget.count_allowed(engine, 0, LATER) == 3


def test_loads_in_stated_time_raise_how_many_run_at_once_again():
    engine = create_engine(loads_per_s=2.0)
    budget = create_budget()
    budget.record_end(engine, running=12, load_s=6.0, took_s=24.0)
    for _ in range(3):
        budget.record_end(engine, running=9, load_s=6.0, took_s=6.2)
    assert budget.count_allowed(engine, 0, LATER) == 6


def test_a_few_loads_in_stated_time_raise_nothing():
    engine = create_engine(loads_per_s=1.0)
    budget = create_budget()
    for _ in range(9):
        budget.record_end(engine, running=1, load_s=6.0, took_s=6.1)
    assert budget.count_allowed(engine, 0, LATER) == 5


def test_an_engine_without_models_loads_nothing():
    engine = create_engine(models=(), loads_per_s=1.0)
    assert create_budget().count_allowed(engine, 2, LATER) == 0
