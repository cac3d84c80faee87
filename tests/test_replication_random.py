"""Randomised runs of the replicated log, reproducible by seed.

``make soak SOAK=tests/test_replication_random.py`` runs the long ones;
SOAK_SEED sets the first seed and SOAK_RUNS their number.
"""

import os

import pytest

from tests.replication_trial import Outcome
from tests.replication_trial import run_trial

_SOAK_RUNS = int(os.environ.get("SOAK_RUNS", "200"))
_SOAK_SEED = int(os.environ.get("SOAK_SEED", "1000"))
_SOAK_STEPS = 100


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(6))
def test_guarantees_hold_under_random_faults(seed, size):
    outcome = run_trial(seed, steps=25, size=size)
    assert outcome.acknowledged > 0
    assert outcome.reads > 0


def test_same_seed_gives_the_same_run():
    assert run_trial(1, steps=10) == run_trial(1, steps=10)


@pytest.mark.soak
def test_guarantees_hold_in_long_runs():
    total = Outcome()
    for seed in range(_SOAK_SEED, _SOAK_SEED + _SOAK_RUNS):
        try:
            outcome = run_trial(seed, _SOAK_STEPS, size=3 + seed % 2 * 2)
        except BaseException:
            print(f"failed with seed {seed}")
            raise
        for name in Outcome.__struct_fields__:
            found = getattr(total, name) + getattr(outcome, name)
            setattr(total, name, found)
    print(f"{_SOAK_RUNS} runs from seed {_SOAK_SEED}: {total}")
    assert min(getattr(total, n) for n in Outcome.__struct_fields__) > 0
