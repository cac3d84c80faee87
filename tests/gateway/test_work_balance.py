"""Prediction of costs, and the choice of targets by remaining work."""

from datetime import timedelta
import random

import msgspec
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.balance import PressureCurve
from dotterelbridge.gateway.balance import SmoothPicker
from dotterelbridge.gateway.balance import WorkCandidate
from dotterelbridge.gateway.balance import WorkDemand
from dotterelbridge.gateway.balance import weigh_by_work
from dotterelbridge.gateway.calibration import Calibration
from dotterelbridge.gateway.calibration import Observation
from dotterelbridge.gateway.calibration import Prediction
from dotterelbridge.gateway.cost import CostEstimator
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.request import PromptPart
from dotterelbridge.gateway.request import create_gateway_request
from dotterelbridge.gateway.settings import BalanceMode
from dotterelbridge.gateway.workload import Workload
from dotterelbridge.teams.model import Team
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_target
from tests.gateway.support import HEADER_NAMES
from tests.gateway.test_router import RouterHarness
from tests.routes.support import LLM

CURVE = PressureCurve([20.0 + 3 * count for count in range(30)])
VM_COUNT = 57


def create_call(harness, model="m0", team=None, **fields):
    call = harness.create_call(model)
    call.request = msgspec.structs.replace(
        call.request, **({"tokens_in": 700, "tokens_out": 1000} | fields)
    )
    call.team = team
    return call


def create_estimator():
    """Return an estimator, its clock and a harness for calls."""
    clock = ManualClock()
    return CostEstimator(clock), clock, RouterHarness()


def in_virtual_time(test):
    def run():
        run_in_virtual_time(test)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@in_virtual_time
async def test_lengths_are_learned_and_follow_a_change_within_seconds():
    estimator, clock, harness = create_estimator()
    call = create_call(harness)
    for events in (10, 40):
        for _ in range(40):
            clock.advance(timedelta(seconds=0.5))
            estimator.record(call, events, 30.0, 1.0)
        assert estimator.predict(call).events == pytest.approx(events, rel=0.4)


@in_virtual_time
async def test_prediction_never_exceeds_what_the_caller_allows():
    estimator, _, harness = create_estimator()
    for _ in range(20):
        estimator.record(create_call(harness), 90, 30.0, 1.0)
    call = create_call(harness, tokens_out=50, length_hint=5000)
    cost = estimator.predict(call)
    assert cost.output_tokens <= cost.output_tokens_high <= 50


@in_virtual_time
async def test_hint_moves_the_prediction():
    estimator, _, harness = create_estimator()
    short, long = (
        estimator.predict(create_call(harness, length_hint=hint)).events
        for hint in (50, 900)
    )
    assert long > 2 * short


@in_virtual_time
async def test_memory_of_the_estimator_is_bounded():
    """Guards against growth with 1,600 models of 16 teams."""
    estimator, _, harness = create_estimator()
    for number in range(1600):
        for name in ("t1", "t2", "t3", "t4"):
            call = create_call(
                harness,
                f"m{number}",
                Team(name=name),
                prompt_parts=(PromptPart(f"p{number}{name}", 10),),
            )
            estimator.record(call, 10, 30.0, 1.0)
            estimator.record_prompt(call, ("e1", 1))
    sizes = estimator.dump()
    assert sizes["distributions"] <= 4096
    assert sizes["prompt_parts"] <= 4000


@in_virtual_time
async def test_prompt_parts_count_as_held_for_some_seconds():
    estimator, clock, harness = create_estimator()
    parts = (PromptPart("a", 300), PromptPart("b", 400))
    call = create_call(harness, prompt_parts=parts)
    estimator.record_prompt(call, ("e1", 1))
    other = create_call(harness, prompt_parts=(parts[0], PromptPart("c", 400)))
    assert estimator.count_held_tokens(other, ("e1", 1)) == 300
    assert estimator.count_held_tokens(other, ("e1", 2)) == 0
    clock.advance(timedelta(seconds=60))
    assert estimator.count_held_tokens(other, ("e1", 1)) == 0


def test_speed_is_learned_beyond_the_published_one_and_forgotten():
    workload = Workload()
    workload.record_report(TargetLoad(speed_percent=200), 0.0)
    for _ in range(20):
        workload.record_gap(120.0, 30.0, 0.0)
    assert workload.read_speed(0.0) == pytest.approx(3.6, rel=0.15)
    assert workload.read_speed(200.0) == pytest.approx(2.0, rel=0.05)


def weigh(units, speeds, vm_count=VM_COUNT, free_tokens=None, expected=40.0):
    candidates = [
        WorkCandidate(
            units=load,
            speed=speed,
            free_tokens=free_tokens[index] if free_tokens else 1e9,
        )
        for index, (load, speed) in enumerate(zip(units, speeds, strict=True))
    ]
    demand = WorkDemand(
        units=1.0,
        memory_tokens=1000.0,
        expected_units=expected,
        vm_count=vm_count,
        stays=1.0,
    )
    return weigh_by_work(candidates, CURVE, demand)


def test_vms_do_not_all_choose_the_least_loaded_target():
    """Guards against a herd: all VMs act on the same late report."""
    units, speeds = (3, 5, 6, 6, 7, 7, 8, 8, 9, 9), (1.0,) * 10
    weights = weigh(units, speeds)
    targets = [(f"e{index}", 1) for index in range(10)]
    loads = list(units)
    for seed in range(VM_COUNT):
        picker = SmoothPicker(random.Random(seed))
        loads[picker.pick(targets, weights)] += 1
    assert max(loads) <= 1.5 * sum(loads) / len(loads) + 2


def test_slow_target_gets_work_only_once_the_others_are_loaded():
    speeds = (1.0, 1.0, 4.0)
    assert weigh((2, 2, 0), speeds, expected=4.0)[2] == 0
    assert weigh((2, 2, 0), speeds, expected=400.0)[2] > 0


def test_target_without_memory_is_left_out_while_another_has_room():
    weights = weigh((1, 9), (1.0, 1.0), free_tokens=(500, 5000))
    assert weights[0] == 0
    assert weights[1] > 0
    assert any(weigh((1, 9), (1.0, 1.0), free_tokens=(500, 400)))


def update_speeds(harness, percents) -> None:
    for number, percent in enumerate(percents):
        name = f"e{number}"
        for running in (0, 1):
            load = TargetLoad(running=running, speed_percent=percent)
            harness.fleet_state.update(
                [create_target(name, held=["m0"], load=load)]
            )


@in_virtual_time
async def test_auto_balances_by_work_while_speeds_differ():
    harness = RouterHarness(balance=BalanceMode.AUTO)

    async def is_by_work(percents, team=None) -> bool:
        update_speeds(harness, percents)
        for _ in range(20):
            await harness.clock.sleep(timedelta(seconds=1))
            call = create_call(harness, team=team)
            slot = await harness.router.acquire(call)
            harness.router.release(slot, AttemptOutcome.CANCELLED)
        dump = harness.router.dump()["balance"]
        return dump["by_work"] == [LLM]

    assert not await is_by_work((100, 100, 110, 120))
    assert await is_by_work((60, 100, 100, 160))
    assert await is_by_work((100, 100, 110, 125))
    assert not await is_by_work((100, 100, 100, 110))
    # A choice by work costs more CPU time, so that teams alone are no reason.
    assert not await is_by_work((100, 100, 100, 110), Team(name="t1"))


@in_virtual_time
async def test_only_a_prompt_beyond_an_engines_whole_memory_is_refused():
    harness = RouterHarness(balance=BalanceMode.WORK)
    harness.update_target("e1", slots=8)
    harness.update_target("e2", slots=8)
    large = create_call(harness, tokens_in=99_000, tokens_out=50_000)
    for _ in range(2):
        await harness.router.acquire(large)
    with pytest.raises(NoTargetAvailable):
        await harness.router.acquire(create_call(harness, tokens_in=100_001))


@in_virtual_time
async def test_dump_shows_the_estimates_of_targets():
    harness = RouterHarness(balance=BalanceMode.WORK)
    update_speeds(harness, (100, 160))
    slot = await harness.router.acquire(create_call(harness))
    dump = harness.router.dump()
    assert dump["balance"]["mode"] == "work"
    assert dump["balance"]["mean_requests"][LLM]["prompt_tokens"] == 700
    assert dump["targets"]["e1"]["speed"] == 1.6
    estimates = dump["targets"][slot.view.target]
    assert estimates["sent_units"] == 1.0
    assert estimates["free_tokens"] < 100_000


def test_accuracy_is_logged_once_in_some_seconds(capsys):
    clock = ManualClock()
    calibration = Calibration(clock)
    predicted = Prediction(
        first_event_ms=100, events=10, events_high=20, stay_ms=500, gap_ms=50
    )
    for number in range(100):
        clock.advance(timedelta(seconds=0.25))
        seen = Observation(first_event_ms=200, events=number, stay_ms=500)
        calibration.record("llm", predicted, seen)
    assert capsys.readouterr().out.count("cost_accuracy") == 2
    assert calibration.dump()["llm"]["first_event"] == [2.0, 2.0, 2.0]


def test_length_hint_is_read_and_forwarded():
    hint = (b"dotterelbridge-length-hint", b"120")
    scope = {
        "headers": [hint],
        "raw_path": b"/",
        "query_string": b"",
        "method": "POST",
    }
    request = create_gateway_request(scope, HEADER_NAMES, b"")
    assert request.length_hint == 120
    assert hint in request.headers
