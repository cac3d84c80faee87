"""The leader quarantines traits, tries them again and releases them."""

from datetime import timedelta
import itertools
import random

import anyio

from dotterelbridge.errors import NotCommitted
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.quarantine.keeper import QuarantineKeeper
from dotterelbridge.quarantine.messages import CrashEvidence
from dotterelbridge.quarantine.messages import CrashReport
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import create_request_trait
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time

SETTINGS = FleetSettings(quarantine_s=60.0, quarantine_request_s=20.0)
CHECK_DELAY_LIMIT = timedelta(milliseconds=250)
"""Two checks and a margin for rounding."""


class FakeLog:
    """Applies commands at once, or fails."""

    def __init__(self, table) -> None:
        self.failures_left = 0
        self._table = table

    async def propose(self, machine_name, command, timeout: timedelta):
        if self.failures_left:
            self.failures_left -= 1
            raise NotCommitted("no majority", "try again")
        return self._table.apply(1, command)


class KeeperHarness:
    """A keeper on the leader, in virtual time."""

    def __init__(self, tasks) -> None:
        self.table = QuarantineTable()
        self.log = FakeLog(self.table)
        self.is_leader = True
        self.watched: list[frozenset[str]] = []
        self.evidence: list[CrashEvidence] = []
        self.clock = LoopClock()
        self.keeper = QuarantineKeeper(
            self.log,
            self.table,
            SETTINGS,
            self.clock,
            random.Random(1),
            lambda: self.is_leader,
            lambda: ["f1", "f2"],
            self.watched.append,
            self.evidence.append,
        )
        tasks.start_soon(self.keeper.run)

    async def crash_targets(self, count, *traits) -> None:
        for number in range(count):
            self.keeper.record_crash(
                CrashReport(target=f"e{number}", born=1, traits=traits)
            )
            await anyio.sleep(1.0)

    @property
    def entries(self):
        return self.table.snapshot.traits

    @property
    def traits(self) -> list[str]:
        return [entry.trait for entry in self.entries]


def in_virtual_time(test):
    def run():
        async def main():
            async with anyio.create_task_group() as tasks:
                await test(KeeperHarness(tasks))
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@in_virtual_time
async def test_part_is_quarantined_after_three_crashes(harness):
    await harness.crash_targets(2, "bad0")
    assert harness.traits == []
    await harness.crash_targets(3, "bad0")
    assert harness.traits == ["bad0"]


@in_virtual_time
async def test_change_that_is_not_committed_is_proposed_again(harness):
    harness.log.failures_left = 3
    await harness.crash_targets(4, "bad0")
    assert harness.traits == ["bad0"]


@in_virtual_time
async def test_only_the_leader_decides(harness):
    harness.is_leader = False
    await harness.crash_targets(4, "bad0")
    assert harness.traits == []


@in_virtual_time
async def test_trials_become_rarer(harness):
    changed_at = []
    harness.table.subscribe(lambda _: changed_at.append(harness.clock.now()))
    await harness.crash_targets(4, "bad0")
    await anyio.sleep(500.0)
    assert [entry.trial for entry in harness.entries] == [3]
    assert harness.entries[0].trial_vm in ("f1", "f2")
    intervals = [b - a for a, b in itertools.pairwise(changed_at)]
    for interval, seconds in zip(intervals, (60, 120, 240), strict=True):
        delay = interval - timedelta(seconds=seconds)
        assert timedelta(0) <= delay <= CHECK_DELAY_LIMIT


@in_virtual_time
async def test_part_is_released_after_a_trial_that_was_answered(harness):
    await harness.crash_targets(4, "bad0")
    harness.keeper.record_answered(["bad0"])
    await anyio.sleep(1.0)
    assert harness.traits == ["bad0"]
    await anyio.sleep(60.0)
    harness.keeper.record_answered(["bad0"])
    await anyio.sleep(1.0)
    assert harness.traits == []


@in_virtual_time
async def test_single_request_is_tried_again_sooner(harness):
    request = create_request_trait("bad")
    await harness.crash_targets(3, request)
    await anyio.sleep(CHECK_DELAY_LIMIT.total_seconds())
    assert harness.traits == [request]
    await anyio.sleep(SETTINGS.quarantine_request_s + 1)
    assert harness.entries[0].trial == 1


@in_virtual_time
async def test_report_of_an_older_build_counts(harness):
    """It names all traits together, and not those of each request."""
    await harness.crash_targets(3, "bad0")
    await anyio.sleep(CHECK_DELAY_LIMIT.total_seconds())
    assert harness.traits == ["bad0"]


@in_virtual_time
async def test_vms_are_told_what_answers_to_report(harness):
    caller = create_caller_trait("h0")
    await harness.crash_targets(1, caller)
    assert harness.watched[-1] == {caller}
    harness.keeper.record_answered([caller])
    await anyio.sleep(CHECK_DELAY_LIMIT.total_seconds())
    assert harness.watched[-1] == frozenset()


@in_virtual_time
async def test_evidence_outlasts_the_leader(harness):
    # Guards against a crashing request that reaches as many targets again
    # after each change of the leader.
    harness.is_leader = False
    await anyio.sleep(1.0)
    for number in range(2):
        report = CrashReport(target=f"e{number}", born=1, traits=("bad",))
        harness.keeper.apply_evidence(CrashEvidence(reports=(report,)))
        await anyio.sleep(1.0)
    harness.is_leader = True
    harness.keeper.record_crash(
        CrashReport(target="e2", born=1, traits=("bad",))
    )
    await anyio.sleep(3.0)
    assert harness.traits == ["bad"]


@in_virtual_time
async def test_answer_clears_the_evidence_of_a_follower(harness):
    harness.is_leader = False
    for number in range(2):
        report = CrashReport(target=f"e{number}", born=1, traits=("sound",))
        harness.keeper.apply_evidence(CrashEvidence(reports=(report,)))
    harness.keeper.apply_evidence(CrashEvidence(answered=("sound",)))
    harness.is_leader = True
    harness.keeper.record_crash(
        CrashReport(target="e2", born=1, traits=("sound",))
    )
    await anyio.sleep(3.0)
    assert not harness.traits


@in_virtual_time
async def test_leader_shares_crashes_and_the_answers_that_clear_them(harness):
    await harness.crash_targets(2, "part")
    harness.keeper.record_answered(["other", "part"])
    reports = [r.target for e in harness.evidence for r in e.reports]
    assert reports == ["e0", "e1"]
    assert [e.answered for e in harness.evidence if e.answered] == [("part",)]
