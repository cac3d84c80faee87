"""The log lines about plans show slow plans and why items wait."""

from collections import Counter
from datetime import timedelta

import structlog

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.plan import DelayReason
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan_reporter import PlanReporter
from tests.fleet.support import create_engine_state
from tests.fleet.support import key
from tests.routes.support import LLM

WAITING = {key("m3"): Demand(waiting=2), key("m0"): Demand(running=1)}


def record_plans(record, clock, count, duration_s=0.01, delays=()):
    """Record plans 0.125 s apart; return the log lines."""
    with structlog.testing.capture_logs() as lines:
        for _ in range(count):
            plan = ServicePlan(delays=Counter(delays))
            states = [create_engine_state("e1", ["m0"], now=clock.monotonic())]
            record.record(LLM, plan, duration_s, states, WAITING, 4)
            clock.advance(timedelta(milliseconds=125))
    return [line for line in lines if line["event"] == "planned"]


def test_a_line_per_second_shows_the_longest_plan_and_the_delay_reasons():
    clock = ManualClock()
    record = PlanReporter(clock)
    record_plans(record, clock, 5, duration_s=0.7)
    lines = record_plans(record, clock, 10, delays=[DelayReason.STORE_LIMIT])
    assert len(lines) == 1
    assert lines[0]["longest_ms"] == 700.0
    assert lines[0]["held_up"] == {"store_limit": 4}
    assert lines[0]["waiting_items"] == 1
    assert lines[0]["waiting_requests"] == 2


def test_the_line_shows_how_long_an_item_has_been_waited_for():
    clock = ManualClock()
    record = PlanReporter(clock)
    first, *_, last = record_plans(record, clock, 45)
    assert first["longest_wait_s"] == 0.0
    assert last["longest_wait_s"] > 2.0
