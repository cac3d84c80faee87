"""The table grants each key to at most one attempt."""

import random

import msgspec
import pytest

from dotterelbridge.claims import tombstones as tombstone_module
from dotterelbridge.claims.commands import Abandon
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Release
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.commands import Tick
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.keys import hash_key
from dotterelbridge.claims.keys import parse_key_time_ms
from dotterelbridge.claims.log_time import LogTime
from dotterelbridge.claims.table import ClaimTable
from dotterelbridge.claims.tombstones import TombstoneKind
from dotterelbridge.claims.tombstones import Tombstones

SECOND_MS = 1000
HOUR_MS = 3600 * SECOND_MS
DAY_MS = 24 * HOUR_MS
START_MS = 500_000 * HOUR_MS
LIMITS = ClaimLimits(
    attempt_limit_ms=60 * SECOND_MS,
    answer_age_ms=600 * SECOND_MS,
    answers_bytes=1000,
    answers=10,
    attempts=10,
    dated_key_age_ms=DAY_MS,
    undated_key_age_ms=30 * DAY_MS,
    remembered=1000,
    clock_quorum=1,
    key_skew_ms=60_000,
    volatile=False,
)


class Caller:
    """Applies commands to one table, at a time that the test sets."""

    def __init__(self, limits: ClaimLimits = LIMITS) -> None:
        self.table = ClaimTable()
        self.limits = limits
        self.now_ms = START_MS

    def begin(self, key, attempt, digest="d", created_ms=None):
        """Claim a key and return the result."""
        return self.table.apply(
            Begin(
                stamp=self._create_stamp(),
                key=hash_key("b", key),
                key_time_ms=created_ms,
                digest=digest.encode(),
                attempt=attempt,
            )
        )

    def try_begin(self, key, attempt, **fields) -> Verdict:
        """Claim a key and return the verdict."""
        return self.begin(key, attempt, **fields).verdict

    def record(self, key, attempt, response: bytes | None = b"answer"):
        """Record a response."""
        return self.table.apply(
            Record(
                stamp=self._create_stamp(),
                key=hash_key("b", key),
                attempt=attempt,
                response=response,
            )
        ).verdict

    def release(self, key, attempt):
        """Release a key."""
        command = Release(
            stamp=self._create_stamp(), key=hash_key("b", key), attempt=attempt
        )
        return self.table.apply(command).verdict

    def abandon(self, key, attempt):
        """Mark a key unknown."""
        command = Abandon(
            stamp=self._create_stamp(), key=hash_key("b", key), attempt=attempt
        )
        return self.table.apply(command).verdict

    def pass_time(self, duration_ms: int, ticks: int = 1) -> None:
        """Advance the time and report it."""
        self.now_ms += duration_ms
        for _ in range(ticks):
            self.table.apply(Tick(stamp=self._create_stamp()))

    def sweep_all(self) -> None:
        """Sweep every partition of the tombstones."""
        self.pass_time(0, ticks=2 * tombstone_module.PARTITION_COUNT)

    def _create_stamp(self) -> Stamp:
        return Stamp("vm", self.now_ms, self.limits)


def test_a_key_goes_from_granted_to_recorded():
    caller = Caller()
    assert caller.try_begin("k", "a1") is Verdict.GRANTED
    assert caller.try_begin("k", "a2") is Verdict.IN_PROGRESS
    assert caller.try_begin("k", "a1") is Verdict.GRANTED
    assert caller.record("k", "a1") is Verdict.DONE
    replay = caller.begin("k", "a2")
    assert replay.verdict is Verdict.RECORDED
    assert replay.response == b"answer"
    assert caller.try_begin("k", "a3", digest="e") is Verdict.MISMATCH
    assert caller.try_begin("other", "a4") is Verdict.GRANTED


def test_a_released_key_can_run_and_its_old_attempt_cannot():
    caller = Caller()
    caller.begin("k", "a1")
    assert caller.release("k", "a1") is Verdict.DONE
    assert caller.release("k", "a1") is Verdict.DONE
    assert caller.try_begin("k", "a1") is Verdict.RELEASED
    assert caller.try_begin("k", "a2", digest="e") is Verdict.GRANTED
    assert caller.release("k", "a1") is Verdict.NOT_OWNER
    assert caller.record("k", "a1") is Verdict.NOT_OWNER
    assert caller.abandon("k", "a1") is Verdict.NOT_OWNER
    assert caller.try_begin("k", "a1", digest="e") is Verdict.RELEASED
    assert caller.try_begin("k", "a3", digest="e") is Verdict.IN_PROGRESS


def test_a_release_may_be_committed_before_its_claim():
    caller = Caller()
    assert caller.release("k", "a1") is Verdict.DONE
    assert caller.try_begin("k", "a1") is Verdict.RELEASED
    assert caller.try_begin("k", "a2") is Verdict.GRANTED


def test_a_recorded_or_abandoned_key_is_not_released():
    caller = Caller()
    caller.begin("k", "a1")
    caller.record("k", "a1")
    assert caller.release("k", "a1") is Verdict.NOT_OWNER
    caller.begin("l", "a2")
    caller.abandon("l", "a2")
    assert caller.release("l", "a2") is Verdict.NOT_OWNER
    assert caller.try_begin("l", "a3") is Verdict.UNKNOWN


def test_an_attempt_without_outcome_becomes_unknown():
    caller = Caller()
    caller.begin("k", "a1")
    caller.pass_time(LIMITS.attempt_limit_ms - 1)
    assert caller.try_begin("k", "a2") is Verdict.IN_PROGRESS
    caller.pass_time(1)
    assert caller.try_begin("k", "a2") is Verdict.UNKNOWN
    assert caller.try_begin("k", "a1") is Verdict.UNKNOWN
    assert caller.record("k", "a1") is Verdict.DONE
    assert caller.try_begin("k", "a2") is Verdict.RECORDED


def test_a_lost_attempt_stays_unknown_after_it_left_the_table():
    caller = Caller()
    caller.begin("k", "a1")
    caller.pass_time(LIMITS.attempt_limit_ms + LIMITS.answer_age_ms)
    assert caller.table.describe()["claims"] == 0
    assert caller.try_begin("k", "a2") is Verdict.UNKNOWN
    assert caller.record("k", "a1") is Verdict.NOT_OWNER


def test_an_old_response_expires_and_its_key_never_runs_again():
    caller = Caller()
    caller.begin("k", "a1")
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    assert caller.try_begin("k", "a2") is Verdict.EXPIRED
    assert caller.record("k", "a1") is Verdict.DONE
    caller.pass_time(29 * DAY_MS)
    caller.sweep_all()
    assert caller.try_begin("k", "a2") is Verdict.EXPIRED


def test_an_undated_key_is_forgotten_after_its_stated_age():
    caller = Caller()
    caller.begin("k", "a1")
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    caller.pass_time(LIMITS.undated_key_age_ms + HOUR_MS)
    caller.sweep_all()
    assert caller.try_begin("k", "a2") is Verdict.GRANTED


def test_a_dated_key_is_refused_after_it_was_forgotten():
    caller = Caller()
    created_ms = caller.now_ms
    caller.begin("k", "a1", created_ms=created_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    assert caller.table.describe()["remembered"] == 1
    caller.pass_time(2 * DAY_MS)
    caller.sweep_all()
    assert caller.table.describe()["remembered"] == 0
    verdict = caller.try_begin("k", "a2", created_ms=created_ms)
    assert verdict is Verdict.EXPIRED


def test_raising_the_age_of_dated_keys_grants_no_key_again():
    """The tombstones of keys between both ages may already be removed."""
    generator = random.Random(11)
    caller = Caller()
    created = {}
    for step in range(200):
        created_ms = caller.now_ms - generator.randint(0, DAY_MS)
        key = f"k{step}"
        if (
            caller.try_begin(key, "a1", created_ms=created_ms)
            is Verdict.GRANTED
        ):
            caller.record(key, "a1")
            created[key] = created_ms
        caller.pass_time(generator.randint(0, HOUR_MS), ticks=3)
        if step == 100:
            caller.limits = msgspec.structs.replace(
                LIMITS, dated_key_age_ms=3 * DAY_MS
            )
    caller.sweep_all()
    for key, created_ms in created.items():
        verdict = caller.try_begin(key, "a2", created_ms=created_ms)
        assert verdict in (Verdict.EXPIRED, Verdict.RECORDED)


def test_a_late_release_makes_no_expired_key_available():
    caller = Caller()
    created_ms = caller.now_ms
    caller.begin("k", "a1", created_ms=created_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    caller.pass_time(2 * DAY_MS)
    caller.sweep_all()
    # The claim of a resend was lost; only its release arrives.
    assert caller.release("k", "a2") is Verdict.DONE
    verdict = caller.try_begin("k", "a3", created_ms=created_ms)
    assert verdict is Verdict.EXPIRED


def test_a_volatile_table_refuses_keys_that_a_lost_one_may_have_held():
    limits = msgspec.structs.replace(LIMITS, volatile=True)
    first = Caller(limits)
    first.pass_time(0)
    first.pass_time(HOUR_MS)
    future_ms = first.now_ms + LIMITS.key_skew_ms
    assert first.try_begin("k", "a", created_ms=future_ms) is Verdict.GRANTED
    assert first.try_begin("l", "a", created_ms=future_ms + 1) is Verdict.AHEAD
    assert first.try_begin("m", "a") is Verdict.UNDATED
    second = Caller(limits)
    second.now_ms = first.now_ms - LIMITS.key_skew_ms
    second.pass_time(0)
    second.pass_time(HOUR_MS)
    assert second.try_begin("k", "b", created_ms=future_ms) is Verdict.UNKNOWN
    trusted_ms = future_ms + 1
    assert second.try_begin("k", "b", created_ms=trusted_ms) is Verdict.GRANTED


def test_a_key_from_the_future_counts_as_undated():
    caller = Caller()
    created_ms = caller.now_ms + 10 * DAY_MS
    caller.begin("k", "a1", created_ms=created_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    caller.pass_time(9 * DAY_MS)
    caller.sweep_all()
    verdict = caller.try_begin("k", "a2", created_ms=created_ms)
    assert verdict is Verdict.EXPIRED


def test_recorded_responses_are_bounded_in_number_and_bytes():
    caller = Caller()
    for number in range(12):
        caller.begin(f"k{number}", "a")
        caller.record(f"k{number}", "a", b"x" * 50)
    states = [caller.try_begin(f"k{n}", "a") for n in range(12)]
    assert states == [Verdict.EXPIRED] * 2 + [Verdict.RECORDED] * 10
    caller.begin("big", "a")
    caller.record("big", "a", b"x" * 900)
    assert caller.table.describe()["answer_bytes"] <= 1000
    assert caller.try_begin("big", "a") is Verdict.RECORDED
    caller.begin("huge", "a")
    caller.record("huge", "a", None)
    assert caller.try_begin("huge", "a") is Verdict.EXPIRED


def test_a_full_table_refuses_claims_and_keeps_all_keys():
    caller = Caller()
    for number in range(10):
        assert caller.try_begin(f"k{number}", "a") is Verdict.GRANTED
    assert caller.try_begin("k10", "a") is Verdict.FULL
    caller.record("k0", "a", None)
    assert caller.try_begin("k10", "a") is Verdict.GRANTED
    small = Caller(msgspec.structs.replace(LIMITS, remembered=3))
    for number in range(3):
        small.begin(f"k{number}", "a")
        small.record(f"k{number}", "a", None)
    assert small.try_begin("k3", "a") is Verdict.FULL
    assert small.try_begin("k0", "b") is Verdict.EXPIRED


def test_one_clock_that_is_ahead_makes_nothing_expire():
    time = LogTime()
    time.add_report("vm-1", START_MS, 2)
    assert time.now_ms == 0
    time.add_report("vm-2", START_MS + 5, 2)
    assert time.now_ms == START_MS
    time.add_report("vm-3", START_MS + 400 * DAY_MS, 2)
    assert time.now_ms == START_MS + 5
    time.add_report("vm-1", START_MS - DAY_MS, 2)
    assert time.now_ms == START_MS + 5
    time.add_report("vm-1", START_MS + 10, 2)
    assert time.now_ms == START_MS + 10


def test_nothing_is_granted_before_log_time_is_known():
    caller = Caller(msgspec.structs.replace(LIMITS, clock_quorum=2))
    assert caller.try_begin("k", "a") is Verdict.NOT_READY
    assert caller.table.describe()["claims"] == 0


def test_keys_of_two_businesses_are_different_keys():
    assert hash_key("ab", "c") != hash_key("a", "bc")


@pytest.mark.parametrize(
    ("key", "created_ms"),
    [
        ("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 1645557742000),
        ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", None),
        ("017f22e2-79b0-7cc3-18c4-dc0c0c07398f", None),
        ("booking-42", None),
        ("~cork~017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000),
    ],
)
def test_only_a_uuid7_contains_its_creation_time(key, created_ms):
    assert parse_key_time_ms(key) == created_ms


def test_tombstones_match_a_dict_through_snapshots():
    generator = random.Random(3)
    tombstones = Tombstones()
    expected = {}
    for step in range(5000):
        key = generator.randbytes(16)
        kind = generator.choice(list(TombstoneKind))
        tombstones.add_undated(key, kind, step * SECOND_MS)
        expected[key] = kind
        if step % 1000 == 0:
            tombstones = Tombstones.unpack(tombstones.pack())
    assert len(tombstones) == len(expected)
    assert all(tombstones.find(k) is kind for k, kind in expected.items())
    assert tombstones.find(generator.randbytes(16)) is None


def test_a_restored_table_decides_like_the_original():
    generator = random.Random(17)
    caller = Caller()
    copy = Caller()
    for step in range(3000):
        key = f"k{generator.randrange(40)}"
        attempt = f"a{generator.randrange(60)}"
        action = generator.choice(["begin", "begin", "record", "release"])
        if generator.random() < 0.05:
            action = "abandon"
        results = [
            getattr(one, action)(key, attempt) for one in (caller, copy)
        ]
        assert results[0] == results[1], step
        duration_ms = generator.choice([0, 0, SECOND_MS, 400 * SECOND_MS])
        for one in (caller, copy):
            one.now_ms += duration_ms
        if step % 100 == 0:
            copy.table = ClaimTable()
            copy.table.restore_snapshot(caller.table.take_snapshot())
    assert copy.table.take_snapshot() == caller.table.take_snapshot()
