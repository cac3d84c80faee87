"""A randomised run of a replicated log that a seed reproduces.

Clients propose and read through all VMs while VMs are killed, started and
wiped, links are cut, and messages are lost, duplicated and delayed.
Invariants in the program and the checks here assert that:

- a command that was acknowledged is in every member's history;
- a command that was refused as not committed is in no history;
- no index ever holds two different commands;
- a read holds every command acknowledged before it began;
- once the faults end, the group serves requests and all members become
  equal.
"""

import contextlib
import random

import anyio
import msgspec

from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.replication.settings import ReplicationSettings
from standins.network import NetworkConditions
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import TIMEOUT
from tests.replication_support import Group
from tests.replication_support import run_group

_CLIENT_COUNT = 4
_MAX_DRIFT_SHARE = 0.04


class Outcome(msgspec.Struct):
    """Counts of what a run did; with zeros it would have tested nothing."""

    acknowledged: int = 0
    refused: int = 0
    unknown: int = 0
    reads: int = 0
    kills: int = 0
    transfers: int = 0
    wipes: int = 0
    cuts: int = 0


class Trial:
    """One randomised run."""

    def __init__(self, group: Group, seed: int) -> None:
        self.outcome = Outcome()
        self._group = group
        self._random = random.Random(seed)
        self._acknowledged: set[bytes] = set()
        self._refused: set[bytes] = set()
        self._command_count = 0
        self._stopping = False

    async def run(self, steps: int) -> None:
        """Inject a number of faults, then remove them and check the state."""
        await self._group.wait_leader()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for _ in range(_CLIENT_COUNT):
                tasks.start_soon(self._run_client)
            for _ in range(steps):
                self._inject_fault()
                await anyio.sleep(self._random.uniform(0.05, 1.5))
            self._remove_faults()
            self._stopping = True
        await self._check_final_state()

    async def _run_client(self) -> None:
        while not self._stopping:
            await anyio.sleep(self._random.uniform(0.0, 0.2))
            running = sorted(self._group.nodes)
            if not running:
                continue
            vm = self._random.choice(running)
            if vm != "client" and self._random.random() < 0.2:
                await self._check_read(vm)
            else:
                await self._propose_command(vm)

    async def _propose_command(self, vm: str) -> None:
        self._command_count += 1
        command = b"%d" % self._command_count
        try:
            await self._group.propose(vm, command)
        except NotCommitted:
            self._refused.add(command)
            self.outcome.refused += 1
        except CommitUnknown:
            self.outcome.unknown += 1
        else:
            self._acknowledged.add(command)
            self.outcome.acknowledged += 1

    async def _check_read(self, vm: str) -> None:
        node = self._group.nodes[vm]
        before = set(self._acknowledged)
        with contextlib.suppress(NotCommitted):
            await node.log.read_barrier(TIMEOUT)
            missing = before - set(node.machine.commands)
            assert not missing, f"a read through {vm} missed {missing}"
            self.outcome.reads += 1

    def _inject_fault(self) -> None:
        faults = [
            self._kill_vm,
            self._transfer_leadership,
            self._start_stopped_vms,
            self._start_stopped_vms,
            self._wipe_vm,
            self._cut_link_one_way,
            self._isolate_vms,
            self._heal_links,
            self._heal_links,
            self._change_conditions,
        ]
        self._random.choice(faults)()

    def _kill_vm(self) -> None:
        running = [vm for vm in self._group.vms if vm in self._group.nodes]
        if running:
            self._group.kill(self._random.choice(running))
            self.outcome.kills += 1

    def _transfer_leadership(self) -> None:
        leader = self._group.find_leader()
        if leader:
            node = self._group.nodes[leader]
            self._tasks.start_soon(node.log.transfer_leadership, TIMEOUT)
            self.outcome.transfers += 1

    def _start_stopped_vms(self) -> None:
        for vm in self._group.vms:
            if vm not in self._group.nodes:
                self._group.start(vm, self._create_clock())

    def _wipe_vm(self) -> None:
        """Lose one disk, unless the last lost disk is not yet replaced.

        Losing another one earlier could exceed what the group tolerates.
        """
        if self._group.has_only_current_members():
            vm = self._random.choice(self._group.vms)
            self._group.wipe(vm)
            self._group.start(vm, self._create_clock())
            self.outcome.wipes += 1

    def _cut_link_one_way(self) -> None:
        source, sink = self._random.sample(self._group.network.vms, 2)
        self._group.network.block_link(source, sink)
        self.outcome.cuts += 1

    def _isolate_vms(self) -> None:
        count = self._random.randint(1, len(self._group.vms) // 2)
        vms = self._random.sample(self._group.vms, count)
        self._group.network.isolate(vms)
        self.outcome.cuts += 1

    def _heal_links(self) -> None:
        self._group.network.restore_links()

    def _change_conditions(self) -> None:
        conditions = self._group.network.conditions
        conditions.loss_share = self._random.choice([0, 0, 0.02, 0.2])
        conditions.duplicate_share = self._random.choice([0, 0.1, 0.5])
        conditions.straggler_share = self._random.choice([0, 0.05, 0.3])
        conditions.delay_max_s = self._random.choice([0.002, 0.02, 0.1])

    def _create_clock(self) -> LoopClock:
        rate = self._random.uniform(1 - _MAX_DRIFT_SHARE, 1 + _MAX_DRIFT_SHARE)
        return LoopClock(self._random.uniform(0, 1e6), rate)

    def _remove_faults(self) -> None:
        self._group.network.restore_links()
        self._group.network.conditions = NetworkConditions()
        self._start_stopped_vms()

    async def _check_final_state(self) -> None:
        await self._group.wait_leader()
        await self._group.propose_until_committed("client", b"last")
        await self._group.wait_until(self._group.has_only_current_members)
        commands = set(await self._group.wait_until_equal())
        lost = self._acknowledged - commands
        assert not lost, f"acknowledged and lost: {lost}"
        for vm in self._group.vms:
            await self._check_read(vm)
        wrongly_refused = self._refused & commands
        assert not wrongly_refused, f"refused and committed: {wrongly_refused}"


def run_trial(seed: int, steps: int, size: int = 3) -> Outcome:
    """Run one trial in virtual time.

    :raises AssertionError: a guarantee was violated.
    """
    return run_in_virtual_time(_run_trial, seed, steps, size)


async def _run_trial(seed: int, steps: int, size: int) -> Outcome:
    settings = ReplicationSettings(
        snapshot_entries=40, tail_entries=10, snapshot_chunk_kb=1
    )
    async with run_group(size, seed, settings) as group:
        group.start_client()
        trial = Trial(group, seed)
        await trial.run(steps)
    return trial.outcome
