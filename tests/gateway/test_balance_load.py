"""Strategies of load balancing under the load patterns of hard days.

No network and no real time: tests/gateway/engine_model.py. Run with ``-s``
for the table.
"""

import pytest

from tests.gateway.engine_model import Pattern
from tests.gateway.engine_model import Simulation

UNEVEN_SPEEDS = (0.6, 0.6, 1.0, 1.0, 1.6, 1.6, 2.5)
PATTERNS = {
    "uneven engines": Pattern(speeds=UNEVEN_SPEEDS, publishes_speed=True),
    "uneven, not published": Pattern(speeds=UNEVEN_SPEEDS),
    "uneven, 12 models": Pattern(
        speeds=UNEVEN_SPEEDS,
        publishes_speed=True,
        requests_per_s=70,
        models=tuple((pace / 10, 1) for pace in (10, 8, 7, 6, 5, 4) * 2),
    ),
    "slow for seconds": Pattern(slow_s=4.0, requests_per_s=60),
    "long among short": Pattern(long_share=0.05, requests_per_s=60),
    "prefix reuse": Pattern(sessions=40, kv_tokens=60_000, requests_per_s=40),
    "late reports of 90": Pattern(
        vm_count=90, speeds=(1.0,) * 10, slots=12, requests_per_s=90
    ),
    "scarce memory": Pattern(kv_tokens=14_000, pace=0.7, requests_per_s=60),
}
STRATEGIES = (
    "requests",
    "least outstanding",
    "shortest work",
    "two choices",
    "work",
)
SEEDS = (1, 2)


def play(pattern, strategy) -> tuple[float, float]:
    """Return the shares of streams not in time, and preemptions."""
    runs = [Simulation(pattern, strategy, seed).run() for seed in SEEDS]
    total = sum(run.requests for run in runs)
    late = sum(run.late + run.refused for run in runs)
    return late / total, sum(run.preempted for run in runs) / total


# Guards against late streams on slow engines, long prompts that delay the
# streams of all engines, prompts that are processed again at each engine,
# VMs that choose the same engine by the same old report, and engines whose
# memory is filled while others have room.
@pytest.mark.parametrize("name", PATTERNS)
def test_fewer_streams_are_late_by_work_than_by_requests(name):
    results = {s: play(PATTERNS[name], s) for s in STRATEGIES}
    for strategy, (late, preempted) in results.items():
        print(
            f"{name:22} {strategy:18} late {late:6.1%}  "
            f"preempted {preempted:6.1%}"
        )
    late, preempted = results["work"]
    assert late <= results["requests"][0]
    assert preempted <= results["requests"][1]
    assert late < min(results["shortest work"][0], results["two choices"][0])
    if name.startswith("uneven"):
        assert late <= results["least outstanding"][0] / 2
