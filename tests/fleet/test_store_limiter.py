"""Loads from the weight store: the documented rate and the concurrency."""

import pytest

from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.store_limiter import StoreLoadLimiter
from tests.routes.support import create_engine

SETTINGS = FleetSettings(store_burst_s=5.0)
NOW = 100.0


def create_limiter(started_at=0.0) -> StoreLoadLimiter:
    return StoreLoadLimiter(SETTINGS, started_at)


def start_loads(limiter, count, now=NOW):
    for _ in range(count):
        limiter.record_start(now)


# Guards against a fixed concurrency limit: four loads at a time suffice for
# five engines, but gave 45 engines 0.6 loads per second of 13 allowed.
@pytest.mark.parametrize(
    ("loads_per_s", "allowed"), [(1.2, 6), (13.0, 65), (26.0, 130)]
)
def test_concurrent_loads_follow_the_rate_of_the_store(loads_per_s, allowed):
    engine = create_engine(loads_per_s=loads_per_s)
    assert create_limiter().count_allowed(engine, 0, NOW) == allowed


def test_loads_in_progress_count_against_the_concurrency_limit():
    engine = create_engine(loads_per_s=2.0)
    assert create_limiter().count_allowed(engine, 11, NOW) == 1
    assert create_limiter().count_allowed(engine, 40, NOW) == 0


def test_the_documented_rate_holds_in_every_window():
    engine = create_engine(loads_per_s=2.0)
    limiter = create_limiter()
    start_loads(limiter, 9)
    assert limiter.count_allowed(engine, 0, NOW + 4.9) == 1
    assert limiter.count_allowed(engine, 0, NOW + 5.1) == 10


# Guards against exceeding the store's rate after a change of controller: the
# new one does not know how many loads the previous one has just started.
def test_a_new_controller_starts_with_the_burst_that_the_rule_allows():
    engine = create_engine(loads_per_s=2.0)
    limiter = create_limiter(started_at=NOW)
    allowed = [
        limiter.count_allowed(engine, 0, NOW + seconds)
        for seconds in (0.0, 1.0, 5.0, 9.0)
    ]
    assert allowed == [3, 5, 10, 10]


def test_slow_loads_lower_the_concurrency_limit():
    engine = create_engine(loads_per_s=2.0)
    limiter = create_limiter()
    limiter.record_end(engine, running=12, load_s=6.0, took_s=24.0)
    assert limiter.count_allowed(engine, 0, NOW) == 3


def test_fast_loads_raise_the_concurrency_limit_again():
    engine = create_engine(loads_per_s=2.0)
    limiter = create_limiter()
    limiter.record_end(engine, running=12, load_s=6.0, took_s=24.0)
    for _ in range(3):
        limiter.record_end(engine, running=9, load_s=6.0, took_s=6.2)
    assert limiter.count_allowed(engine, 0, NOW) == 6


def test_fast_loads_below_the_limit_do_not_raise_it():
    engine = create_engine(loads_per_s=1.0)
    limiter = create_limiter()
    for _ in range(9):
        limiter.record_end(engine, running=1, load_s=6.0, took_s=6.1)
    assert limiter.count_allowed(engine, 0, NOW) == 5


def test_an_engine_without_models_loads_nothing():
    engine = create_engine(models=(), loads_per_s=1.0)
    assert create_limiter().count_allowed(engine, 2, NOW) == 0
