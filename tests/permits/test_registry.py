"""The leader lifts a limit only by an answer that is newer than it."""

from dotterelbridge.clock import ManualClock
from dotterelbridge.ids import TargetId
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.registry import RateLimitRegistry
from tests.permits.support import advance

TARGET = ("e1", 1)


def create_notice(requests_per_s, sent_ms_ago=10) -> RateLimitNotice:
    return RateLimitNotice(
        target=TargetId("e1"),
        born=1,
        requests_per_s=requests_per_s,
        sent_ms_ago=sent_ms_ago,
    )


def test_named_limit_is_recorded_and_replaced():
    registry = RateLimitRegistry(ManualClock())
    limits = registry.apply(create_notice(2.9), {})
    assert limits == {TARGET: 2.9}
    assert registry.apply(create_notice(0.5), limits) == {TARGET: 0.5}


def test_newer_answer_without_a_limit_lifts_it():
    clock = ManualClock(100)
    registry = RateLimitRegistry(clock)
    limits = registry.apply(create_notice(2.9), {})
    advance(clock, 1)
    assert registry.apply(create_notice(None), limits) == {}


# Guards against an answer that was on its way when the limit was named.
def test_older_answer_without_a_limit_does_not_lift_it():
    clock = ManualClock(100)
    registry = RateLimitRegistry(clock)
    limits = registry.apply(create_notice(2.9), {})
    advance(clock, 1)
    late = create_notice(None, sent_ms_ago=1500)
    assert registry.apply(late, limits) == limits


def test_new_leader_lifts_limits_that_it_took_over():
    registry = RateLimitRegistry(ManualClock(100))
    assert registry.apply(create_notice(None), {TARGET: 2.9}) == {}
