"""Which prompt traits are suspected of crashing targets."""

from datetime import timedelta

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.quarantine.crash_tracker import CrashTracker
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import create_request_trait

SETTINGS = FleetSettings()
FIRST_PART = "a0"
CALLER_PART = "c0"
BAD_PART = "bad0"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def tracker(clock):
    return CrashTracker(SETTINGS, clock)


def crash(tracker, number, *traits) -> None:
    tracker.record_crash((f"e{number}", 1), [traits])


def crash_repeatedly(tracker, clock, count, *traits, first=0) -> None:
    """Crash one target a second and wait for reports of answers."""
    for number in range(first, first + count):
        crash(tracker, number, *traits)
        clock.advance(timedelta(seconds=1.0))


def test_part_common_to_all_crashes_is_suspected(tracker, clock):
    for number in range(3):
        crash(tracker, number, FIRST_PART, BAD_PART, f"rare{number}")
        tracker.record_answered([FIRST_PART])
        clock.advance(timedelta(seconds=1.0))
    assert tracker.list_suspects() == [BAD_PART]
    assert tracker.list_crashed_targets(BAD_PART) == ["e0", "e1", "e2"]


def test_two_crashes_are_no_evidence(tracker, clock):
    crash_repeatedly(tracker, clock, 2, BAD_PART)
    assert tracker.list_suspects() == []


def test_reports_of_several_vms_on_one_crash_count_once(tracker, clock):
    for _ in range(8):
        crash_repeatedly(tracker, clock, 1, BAD_PART)
    assert tracker.list_suspects() == []


def test_part_that_was_answered_in_between_is_not_suspected(tracker, clock):
    crash_repeatedly(tracker, clock, 2, CALLER_PART)
    tracker.record_answered([CALLER_PART])
    crash_repeatedly(tracker, clock, 2, CALLER_PART, first=2)
    assert tracker.list_suspects() == []


# Guards against refusing everything after a rack has lost power.
def test_targets_that_crash_together_are_no_evidence(tracker, clock):
    for number in range(20):
        crash(tracker, number, FIRST_PART, CALLER_PART)
    clock.advance(timedelta(seconds=1.0))
    assert tracker.list_suspects() == []


def test_answers_may_still_be_reported_after_the_decisive_crash(
    tracker, clock
):
    crash_repeatedly(tracker, clock, 2, CALLER_PART)
    crash(tracker, 2, CALLER_PART)
    clock.advance(timedelta(seconds=0.5))
    assert tracker.list_suspects() == []
    clock.advance(timedelta(seconds=0.2))
    assert tracker.list_suspects() == [CALLER_PART]


def test_crashes_go_on_while_answers_are_awaited(tracker, clock):
    for number in range(40):
        crash(tracker, number, BAD_PART)
        clock.advance(timedelta(seconds=0.1))
    assert tracker.list_suspects() == [BAD_PART]


def test_part_with_most_crashes_is_suspected_first(tracker, clock):
    crash_repeatedly(tracker, clock, 1, BAD_PART)
    crash_repeatedly(tracker, clock, 3, BAD_PART, CALLER_PART, first=1)
    assert tracker.list_suspects() == [BAD_PART]


# Guards against refusing sound requests when nothing at all is answered.
def test_parts_that_cannot_be_told_apart_wait_for_another_crash(
    tracker, clock
):
    traits = [f"p{number}" for number in range(10)]
    crash_repeatedly(tracker, clock, 3, BAD_PART, *traits)
    assert tracker.list_suspects() == []
    crash_repeatedly(tracker, clock, 1, BAD_PART, *traits[:1], first=3)
    assert tracker.list_suspects() == []
    crash_repeatedly(tracker, clock, 1, BAD_PART, *traits[:1], first=4)
    assert tracker.list_suspects() == [BAD_PART, traits[0]]


# Guards against refusing a caller that also sends the crashing requests.
def test_of_parts_that_come_together_the_unanswered_one_is_suspected(
    tracker, clock
):
    tracker.record_answered([CALLER_PART])
    crash_repeatedly(tracker, clock, 3, CALLER_PART, BAD_PART)
    assert tracker.list_suspects() == [BAD_PART]


# Guards against refusing the callers whose requests were broken off.
def test_crash_with_a_known_cause_is_no_evidence_against_others(
    tracker, clock
):
    crash_repeatedly(tracker, clock, 4, BAD_PART, CALLER_PART)
    crash_repeatedly(tracker, clock, 1, BAD_PART, first=4)
    assert tracker.list_suspects() == [BAD_PART]
    tracker.record_cause(BAD_PART)
    assert tracker.list_crashed_targets(CALLER_PART) == []
    # Reports of other VMs on the same crash, before and after.
    tracker.record_crash(("e5", 1), [CALLER_PART], [BAD_PART])
    tracker.record_crash(("e5", 1), [BAD_PART], [BAD_PART])
    tracker.record_crash(("e5", 1), [CALLER_PART], [BAD_PART])
    assert tracker.list_crashed_targets(CALLER_PART) == []


def test_old_crashes_are_forgotten(tracker, clock):
    crash_repeatedly(tracker, clock, 2, BAD_PART)
    clock.advance(timedelta(seconds=301.0))
    crash_repeatedly(tracker, clock, 1, BAD_PART, first=2)
    assert tracker.list_suspects() == []


def test_tracked_parts_are_bounded(tracker, clock):
    for number in range(6000):
        crash(tracker, number, f"p{number}")
    assert tracker.list_crashed_targets("p0") == []
    assert tracker.list_crashed_targets("p5999") == ["e5999"]


REQUEST = create_request_trait("bad")
CALLER = create_caller_trait("h0")


def crash_at(tracker, clock, number, seconds, *attempts, age_s=0.0) -> None:
    """Report a crash, and advance the clock."""
    tracker.record_crash((f"e{number}", 1), attempts, age_s=age_s)
    clock.advance(timedelta(seconds=seconds))


def test_same_request_is_suspected_before_what_comes_with_it(tracker, clock):
    attempt = (REQUEST, BAD_PART, CALLER)
    for number in range(3):
        crash_at(tracker, clock, number, 1.0, attempt)
    assert tracker.list_suspects() == [REQUEST]


# Guards against a request that our retries and a caller's copies carry to
# all targets within a second.
def test_same_request_is_suspected_even_if_targets_crash_fast(tracker, clock):
    for number in range(3):
        crash_at(tracker, clock, number, 0.1, (REQUEST, CALLER))
    assert tracker.list_suspects() == []
    clock.advance(timedelta(seconds=0.6))
    assert tracker.list_suspects() == [REQUEST]


# Guards against suspecting what was in progress when a rack lost power.
def test_targets_that_crash_at_the_same_moment_count_once(tracker, clock):
    for number in range(3):
        crash_at(tracker, clock, number, 0.02, (REQUEST,), age_s=number * 0.02)
    clock.advance(timedelta(seconds=5))
    assert tracker.list_suspects() == []


def test_part_that_other_requests_crash_with_too_is_suspected(tracker, clock):
    for number in range(3):
        crash_at(tracker, clock, number, 1.0, (REQUEST, BAD_PART))
    crash_at(tracker, clock, 4, 1.0, (create_request_trait("x"), BAD_PART))
    assert tracker.list_suspects() == [BAD_PART]


def test_request_and_foreign_part_are_told_apart_by_further_crashes(
    tracker, clock
):
    for number in range(3):
        crash_at(tracker, clock, number, 1.0, (REQUEST,), (BAD_PART,))
    assert tracker.list_suspects() == []
    crash_at(tracker, clock, 4, 1.0, (REQUEST,))
    assert tracker.list_suspects() == [REQUEST]


def test_caller_is_suspected_for_crashes_under_different_requests(
    tracker, clock
):
    for number in range(SETTINGS.quarantine_caller_crashes):
        assert tracker.list_suspects() == []
        request = create_request_trait(str(number))
        crash_at(tracker, clock, number, 1.0, (request, CALLER))
    assert tracker.list_suspects() == [CALLER]


def test_caller_of_a_crashing_request_is_not_suspected(tracker, clock):
    for number in range(SETTINGS.quarantine_caller_crashes + 1):
        crash_at(tracker, clock, number, 1.0, (REQUEST, CALLER))
    assert tracker.list_suspects() == [REQUEST]
    tracker.record_cause(REQUEST)
    assert tracker.list_suspects() == []


def test_answers_to_what_lacks_one_crash_are_asked_for(tracker, clock):
    crash_at(tracker, clock, 1, 1.0, (REQUEST, BAD_PART, CALLER))
    assert tracker.list_watched() == {CALLER}
    crash_at(tracker, clock, 2, 1.0, (REQUEST, BAD_PART, CALLER))
    assert tracker.list_watched() == {REQUEST, CALLER}
    tracker.record_answered([REQUEST, CALLER])
    assert tracker.list_watched() == set()
    crash_at(tracker, clock, 3, 1.0, (REQUEST, CALLER))
    assert tracker.list_suspects() == []
