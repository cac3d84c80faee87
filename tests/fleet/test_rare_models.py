"""Rarely requested models are served in time beside busy ones.

A few models get most requests and are never idle. Batch requests with a
long timeout occasionally need a hundred other models, of which the
engines can hold less than half at a time.
"""

import msgspec
import pytest

from tests.fleet.simulation import FleetSimulation
from tests.fleet.simulation import SimulatedCaller
from tests.routes.support import create_engine
from tests.routes.support import create_model

SEEDS = (1, 2, 3)
MIN_REQUEST_COUNT = 4
"""Requests from which a model that was never served counts."""
MAX_UNSERVED_SHARE = 0.1
"""Share of the models that may stay unserved, by the platform's rule."""
BATCH_TIMEOUT_S = 20.0
"""Timeout of a batch request."""


def create_simulation(engines, busy, rare, loads_per_s, seed):
    """Return a fleet with busy models and batch requests for rare ones."""
    names = [f"m{number}" for number in range(busy + rare)]
    engine = msgspec.structs.replace(
        create_engine(memory_mb=310, adapter_places=0),
        loads_per_s=loads_per_s,
        models=tuple(create_model(name, adapters=0) for name in names),
    )
    held = [
        [names[(3 * number + place) % len(names)] for place in range(3)]
        for number in range(engines)
    ]
    callers = [
        SimulatedCaller(name, requests_per_s=8.0 * engines / 45, timeout_s=2.4)
        for name in names[:busy]
    ]
    callers += [
        SimulatedCaller(name, requests_per_s=0.16, timeout_s=BATCH_TIMEOUT_S)
        for name in names[busy:]
    ]
    return FleetSimulation(engine, held, callers, seed)


# Guards against rare models that are never loaded: 15 of 73 models requested
# in a day were never served, although the store and the engines had capacity
# for ten times as many loads.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("engines", "busy", "rare", "loads_per_s"),
    [(12, 8, 60, 6.7), (45, 30, 166, 13.0)],
)
def test_requested_rare_models_are_served(
    engines, busy, rare, loads_per_s, seed
):
    simulation = create_simulation(engines, busy, rare, loads_per_s, seed)
    simulation.run(34)
    requested = [
        m
        for m, times in simulation.request_counts.items()
        if times >= MIN_REQUEST_COUNT
    ]
    unserved = simulation.list_unserved_models(MIN_REQUEST_COUNT)
    assert len(unserved) <= 1 + MAX_UNSERVED_SHARE * len(requested), (
        simulation.served_share,
        simulation.loads,
    )
