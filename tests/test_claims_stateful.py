"""Property test: Hypothesis checks the claim table against a model."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import consumes
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
import pytest

from dotterelbridge.claims import tombstones
from dotterelbridge.claims.commands import Abandon
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Release
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.commands import Tick
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.keys import hash_key
from dotterelbridge.claims.table import ClaimTable

HOUR_MS = 3_600_000
START_MS = 500_000 * HOUR_MS
LIMITS = ClaimLimits(
    attempt_limit_ms=60_000,
    answer_age_ms=300_000,
    answers_bytes=200,
    answers=4,
    attempts=100,
    dated_key_age_ms=6 * HOUR_MS,
    undated_key_age_ms=100_000 * HOUR_MS,
    remembered=10_000,
    clock_quorum=2,
    key_skew_ms=60_000,
    volatile=False,
)
VMS = ("vm-1", "vm-2", "vm-3")
TEST_PARTITION_COUNT = 4
KEYS = st.sampled_from(["k1", "k2", "k3", "k4", "k5", "k6"])


class ClaimTableMachine(RuleBasedStateMachine):
    """Entry VMs that claim keys, run calls, record, release and die.

    A granted attempt may run the booking at any later time until it has
    released the key. Old commands may be committed again at any time. Keys
    with an odd number are dated, with the time of their first use.
    """

    granted = Bundle("granted")

    def __init__(self) -> None:
        super().__init__()
        # Few partitions, so that a few commands sweep all of them.
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(tombstones, "PARTITION_COUNT", TEST_PARTITION_COUNT)
        self.table = ClaimTable()
        self.now_ms = START_MS
        self.created_ms: dict[str, int] = {}
        self.history = []
        self.attempts = 0
        self.runs: dict[str, int] = {}
        self.responses: dict[str, bytes] = {}
        for vm in VMS:
            self._apply(Tick(Stamp(vm, self.now_ms, LIMITS)))

    def teardown(self):
        self.patch.undo()

    @rule(target=granted, vm=st.sampled_from(VMS), key=KEYS)
    def begin(self, vm, key):
        """A new attempt claims a key; it runs only when granted."""
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        result = self._apply(
            Begin(
                stamp=self._create_stamp(vm),
                key=hash_key("b", key),
                key_time_ms=self._get_key_time(key),
                digest=key.encode(),
                attempt=attempt,
            )
        )
        if result.verdict is Verdict.RECORDED:
            assert result.response == self.responses[key]
        if result.verdict is Verdict.GRANTED:
            return (vm, key, attempt)
        return None

    @rule(claim=consumes(granted), outcome=st.sampled_from("rrrruxa"))
    def finish(self, claim, outcome):
        """The attempt runs and records, or releases, abandons or dies."""
        if claim is None:
            return
        vm, key, attempt = claim
        fields = {
            "stamp": self._create_stamp(vm),
            "key": hash_key("b", key),
            "attempt": attempt,
        }
        if outcome == "u":
            self._apply(Release(**fields))
            return
        self.runs[key] = self.runs.get(key, 0) + 1
        if outcome == "r":
            self.responses[key] = attempt.encode() * 3
            self._apply(Record(**fields, response=self.responses[key]))
        elif outcome == "a":
            self._apply(Abandon(**fields))

    @rule(vm=st.sampled_from(VMS), key=KEYS)
    def give_up(self, vm, key):
        """A claim was lost: only its release arrives."""
        self.attempts += 1
        self._apply(
            Release(
                stamp=self._create_stamp(vm),
                key=hash_key("b", key),
                attempt=f"attempt-{self.attempts}",
            )
        )

    @rule(choice=st.integers(min_value=0))
    def repeat(self, choice):
        """An earlier command is committed again; its result is ignored."""
        if self.history:
            self.table.apply(self.history[choice % len(self.history)])

    @rule(
        duration_ms=st.sampled_from([1, 30_000, 70_000, 400_000, 7 * HOUR_MS])
    )
    def pass_time(self, duration_ms):
        """Time passes on all VMs; the clock of one more is far ahead."""
        self.now_ms += duration_ms
        for vm in ("vm-1", "vm-2") * TEST_PARTITION_COUNT:
            self.table.apply(Tick(Stamp(vm, self.now_ms, LIMITS)))
        future_ms = self.now_ms + 1_000_000 * HOUR_MS
        self._apply(Tick(Stamp("vm-ahead", future_ms, LIMITS)))

    @rule()
    def restart(self):
        """The table is restored from its snapshot."""
        snapshot = self.table.take_snapshot()
        self.table = ClaimTable()
        self.table.restore_snapshot(snapshot)
        assert self.table.take_snapshot() == snapshot

    @invariant()
    def no_key_ran_twice(self):
        """No key ran more than once."""
        assert all(count == 1 for count in self.runs.values())

    def _create_stamp(self, vm: str) -> Stamp:
        return Stamp(vm, self.now_ms, LIMITS)

    def _get_key_time(self, key: str) -> int | None:
        if int(key[1:]) % 2 == 0:
            return None
        return self.created_ms.setdefault(key, self.now_ms)

    def _apply(self, command):
        self.history.append(command)
        return self.table.apply(command)


TestClaimTable = ClaimTableMachine.TestCase
TestClaimTable.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
