"""What the leader issues."""

from datetime import timedelta

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.issuer import CreditIssuer
from dotterelbridge.quotas.limits import derive_limits
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import CreditPart
from dotterelbridge.quotas.messages import TeamDemand
from tests.quotas.support import SETTINGS
from tests.quotas.support import create_team

TEAM = create_team()
LIMITS = derive_limits(TEAM.quota, SETTINGS)


class Harness:
    """An issuer with a full bucket, on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.quotas = {TEAM.name: TEAM.quota}
        self.share = 1.0
        self.issuer = CreditIssuer(
            self.clock,
            SETTINGS,
            self.quotas.get,
            self.quotas.__contains__,
            lambda: self.share,
        )
        self.advance(60)

    def advance(self, seconds: float) -> None:
        self.clock.advance(timedelta(seconds=seconds))

    def ask(self, *needs, max_wait_ms=0, team=TEAM.name, **fields):
        needs = tuple(CreditNeed(units, max_wait_ms) for units in needs)
        return self.issuer.decide(TeamDemand(team, needs, **fields))

    def drain(self) -> float:
        """Take all that is issued at once, in single units."""
        return sum(wait >= 0 for wait in self.ask(*[1] * 2000).waits_ms)


# A rate or burst above the quota in the bucket would break the bound.
def test_bucket_issues_its_capacity_then_the_rate():
    harness = Harness()
    assert harness.drain() == int(LIMITS.capacity)
    harness.advance(1)
    assert harness.drain() == pytest.approx(100, abs=1)


def test_need_is_met_later_if_it_can_wait():
    harness = Harness()
    harness.drain()
    harness.advance(0.01)
    (wait_ms,) = harness.ask(10, max_wait_ms=150).waits_ms
    assert 80 <= wait_ms <= 100
    (next_wait_ms,) = harness.ask(10, max_wait_ms=200).waits_ms
    assert next_wait_ms == pytest.approx(wait_ms + 100, abs=1)


# Refused callers that all come back at the same time are refused again.
def test_refused_needs_are_spread():
    harness = Harness()
    harness.ask(LIMITS.capacity)
    waits_ms = harness.ask(10, 10, 10).waits_ms
    assert all(wait_ms < 0 for wait_ms in waits_ms)
    assert waits_ms[0] - waits_ms[1] == pytest.approx(100, abs=1)
    assert waits_ms[1] - waits_ms[2] == pytest.approx(100, abs=1)


# A request larger than the bucket would otherwise never run.
def test_request_larger_than_the_bucket_needs_a_full_one():
    harness = Harness()
    units = LIMITS.capacity + 50
    assert harness.ask(units).waits_ms == (0,)
    assert harness.ask(1).waits_ms[0] < 0


# Credit of requests that ended without running may come back long after it was
# issued; issued at once, it would add to what was issued meanwhile.
def test_credit_that_comes_back_late_keeps_the_window_within_its_limit():
    harness = Harness()
    issued = harness.drain()
    for _ in range(75):
        harness.advance(0.1)
        issued += harness.drain()
    harness.ask(returned=(CreditPart(100, 9000),))
    issued += harness.drain()
    assert issued <= LIMITS.window_units


def test_credit_that_comes_back_can_be_issued_again():
    harness = Harness()
    harness.drain()
    harness.ask(returned=(CreditPart(50, 100),))
    assert harness.drain() == 50


# Credit ahead of requests must not use up what waiting requests need.
def test_credit_ahead_leaves_half_of_the_bucket():
    harness = Harness()
    credit = harness.ask(ahead_units=1000)
    assert 0 < credit.ahead_units <= LIMITS.ahead_units
    assert harness.drain() >= LIMITS.capacity / 2


def test_new_leader_starts_with_a_part_of_the_bucket():
    harness = Harness()
    harness.issuer.restart()
    assert harness.drain() <= LIMITS.capacity / 4


def test_lowered_quota_holds_at_once():
    harness = Harness()
    harness.ask(1)
    lowered = create_team(rate=10, burst=10).quota
    harness.quotas[TEAM.name] = lowered
    assert harness.drain() <= derive_limits(lowered, SETTINGS).capacity


# VMs that are cut off use their part of the rate on their own.
def test_leader_leaves_out_the_part_of_vms_that_it_does_not_hear_of():
    harness = Harness()
    harness.share = 0.5
    harness.drain()
    harness.advance(1)
    assert harness.drain() == pytest.approx(50, abs=1)


# What ran without a leader's credit must not be issued again by the next one.
def test_overdraft_is_taken_off_the_bucket():
    harness = Harness()
    assert harness.ask(overdrawn_units=60).waits_ms == ()
    assert harness.drain() == int(LIMITS.capacity) - 60


def test_team_that_the_leader_does_not_know_gets_nothing():
    assert Harness().ask(1, team=TeamName("x")).waits_ms[0] < 0


# A new leader that ignored the time without a leader refused requests of
# teams that used half of their quota: 190 in two seconds of a hard day.
def test_new_leader_counts_what_the_time_without_a_leader_brings():
    harness = Harness()
    harness.issuer.restart(leaderless_s=0.5)
    expected = LIMITS.first_units + 0.5 * TEAM.quota.units_per_s
    assert harness.drain() == int(expected)
