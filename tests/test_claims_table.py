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
from dotterelbridge.claims.keys import read_key_time
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
    """Applies commands to one table at a time that the test sets."""

    def __init__(self, limits: ClaimLimits = LIMITS) -> None:
        self.table = ClaimTable()
        self.limits = limits
        self.now_ms = START_MS

    def begin(self, key, attempt, digest="d", made_ms=None):
        """Claim a key and return the result."""
        return self.table.apply(
            Begin(
                stamp=self._stamp(),
                key=hash_key("b", key),
                key_time_ms=made_ms,
                digest=digest.encode(),
                attempt=attempt,
            )
        )

    def try_begin(self, key, attempt, **fields) -> Verdict:
        """Claim a key and return the verdict."""
        return self.begin(key, attempt, **fields).verdict

    def record(self, key, attempt, answer: bytes | None = b"answer"):
        """Record an answer."""
        return self.table.apply(
            Record(
                stamp=self._stamp(),
                key=hash_key("b", key),
                attempt=attempt,
                answer=answer,
            )
        ).verdict

    def release(self, key, attempt):
        """Free a key."""
        command = Release(
            stamp=self._stamp(), key=hash_key("b", key), attempt=attempt
        )
        return self.table.apply(command).verdict

    def abandon(self, key, attempt):
        """Mark a key unknown."""
        command = Abandon(
            stamp=self._stamp(), key=hash_key("b", key), attempt=attempt
        )
        return self.table.apply(command).verdict

    def pass_time(self, duration_ms: int, ticks: int = 1) -> None:
        """Move time forward and report it."""
        self.now_ms += duration_ms
        for _ in range(ticks):
            self.table.apply(Tick(stamp=self._stamp()))

    def sweep_all(self) -> None:
        """Let every part of the remembered keys be swept."""
        self.pass_time(0, ticks=2 * tombstone_module.PARTITIONS)

    def _stamp(self) -> Stamp:
        return Stamp("vm", self.now_ms, self.limits)


def test_a_key_goes_from_granted_to_recorded():
    caller = Caller()
    assert caller.try_begin("k", "a1") is Verdict.GRANTED
    assert caller.try_begin("k", "a2") is Verdict.IN_PROGRESS
    assert caller.try_begin("k", "a1") is Verdict.GRANTED
    assert caller.record("k", "a1") is Verdict.DONE
    again = caller.begin("k", "a2")
    assert again.verdict is Verdict.RECORDED
    assert again.answer == b"answer"
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


def test_a_release_may_overtake_its_claim():
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


def test_an_old_answer_expires_and_its_key_never_runs_again():
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
    made_ms = caller.now_ms
    caller.begin("k", "a1", made_ms=made_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    assert caller.table.describe()["remembered"] == 1
    caller.pass_time(2 * DAY_MS)
    caller.sweep_all()
    assert caller.table.describe()["remembered"] == 0
    verdict = caller.try_begin("k", "a2", made_ms=made_ms)
    assert verdict is Verdict.EXPIRED


def test_raising_the_age_of_dated_keys_brings_no_key_back():
    """Keys between the two ages may have been forgotten already."""
    generator = random.Random(11)
    caller = Caller()
    made = {}
    for step in range(200):
        made_ms = caller.now_ms - generator.randint(0, DAY_MS)
        key = f"k{step}"
        if caller.try_begin(key, "a1", made_ms=made_ms) is Verdict.GRANTED:
            caller.record(key, "a1")
            made[key] = made_ms
        caller.pass_time(generator.randint(0, HOUR_MS), ticks=3)
        if step == 100:
            caller.limits = msgspec.structs.replace(
                LIMITS, dated_key_age_ms=3 * DAY_MS
            )
    caller.sweep_all()
    for key, made_ms in made.items():
        verdict = caller.try_begin(key, "a2", made_ms=made_ms)
        assert verdict in (Verdict.EXPIRED, Verdict.RECORDED)


def test_a_late_release_brings_no_forgotten_key_back():
    caller = Caller()
    made_ms = caller.now_ms
    caller.begin("k", "a1", made_ms=made_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    caller.pass_time(2 * DAY_MS)
    caller.sweep_all()
    # Of a resend whose claim was uncertain, only the release arrives.
    assert caller.release("k", "a2") is Verdict.DONE
    verdict = caller.try_begin("k", "a3", made_ms=made_ms)
    assert verdict is Verdict.EXPIRED


def test_a_volatile_table_refuses_keys_that_a_lost_one_may_have_held():
    limits = msgspec.structs.replace(LIMITS, volatile=True)
    lost = Caller(limits)
    lost.pass_time(0)
    lost.pass_time(HOUR_MS)
    ahead_ms = lost.now_ms + LIMITS.key_skew_ms
    assert lost.try_begin("k", "a", made_ms=ahead_ms) is Verdict.GRANTED
    assert lost.try_begin("l", "a", made_ms=ahead_ms + 1) is Verdict.AHEAD
    assert lost.try_begin("m", "a") is Verdict.UNDATED
    again = Caller(limits)
    again.now_ms = lost.now_ms - LIMITS.key_skew_ms
    again.pass_time(0)
    again.pass_time(HOUR_MS)
    assert again.try_begin("k", "b", made_ms=ahead_ms) is Verdict.UNKNOWN
    later_ms = ahead_ms + 1
    assert again.try_begin("k", "b", made_ms=later_ms) is Verdict.GRANTED


def test_a_key_from_the_future_counts_as_undated():
    caller = Caller()
    made_ms = caller.now_ms + 10 * DAY_MS
    caller.begin("k", "a1", made_ms=made_ms)
    caller.record("k", "a1")
    caller.pass_time(LIMITS.answer_age_ms)
    caller.pass_time(9 * DAY_MS)
    caller.sweep_all()
    verdict = caller.try_begin("k", "a2", made_ms=made_ms)
    assert verdict is Verdict.EXPIRED


def test_recorded_answers_are_bounded_in_number_and_bytes():
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


def test_a_full_table_refuses_and_forgets_nothing():
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
    time.report("vm-1", START_MS, 2)
    assert time.now_ms == 0
    time.report("vm-2", START_MS + 5, 2)
    assert time.now_ms == START_MS
    time.report("vm-3", START_MS + 400 * DAY_MS, 2)
    assert time.now_ms == START_MS + 5
    time.report("vm-1", START_MS - DAY_MS, 2)
    assert time.now_ms == START_MS + 5
    time.report("vm-1", START_MS + 10, 2)
    assert time.now_ms == START_MS + 10


def test_nothing_is_granted_before_log_time_is_known():
    caller = Caller(msgspec.structs.replace(LIMITS, clock_quorum=2))
    assert caller.try_begin("k", "a") is Verdict.NOT_READY
    assert caller.table.describe()["claims"] == 0


def test_keys_of_two_businesses_are_different_keys():
    assert hash_key("ab", "c") != hash_key("a", "bc")


@pytest.mark.parametrize(
    ("key", "made_ms"),
    [
        ("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 1645557742000),
        ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", None),
        ("017f22e2-79b0-7cc3-18c4-dc0c0c07398f", None),
        ("booking-42", None),
        ("~cork~017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1645557742000),
    ],
)
def test_only_a_uuid7_tells_its_time(key, made_ms):
    assert read_key_time(key) == made_ms


def test_tombstones_match_a_plain_set_through_snapshots():
    generator = random.Random(3)
    tombstones = Tombstones()
    plain = {}
    for step in range(5000):
        key = generator.randbytes(16)
        kind = generator.choice(list(TombstoneKind))
        tombstones.add_undated(key, kind, step * SECOND_MS)
        plain[key] = kind
        if step % 1000 == 0:
            tombstones = Tombstones.unpack(tombstones.pack())
    assert len(tombstones) == len(plain)
    assert all(tombstones.find(k) is kind for k, kind in plain.items())
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
