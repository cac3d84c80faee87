"""A randomised run of a replicated log, repeatable by its seed.

Clients propose and read through all VMs while VMs are killed, started and
wiped, links are cut, and messages are lost, doubled and delayed. The
rules are asserted inside the program and by the checks here:

- a command that was acknowledged is in every member's history;
- a command that was refused as not committed is in none;
- no index ever carries two commands;
- a read holds every command acknowledged before it began;
- once the faults end, the group serves and all members are equal.
"""

import contextlib
import random

import anyio
import msgspec

from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.replication.settings import ReplicationSettings
from standins.network import Conditions
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import TIMEOUT
from tests.replication_support import Group
from tests.replication_support import run_group

_CLIENTS = 4
_MAX_DRIFT = 0.04


class Outcome(msgspec.Struct):
    """What a run did; all zero would mean that it tested nothing."""

    acknowledged: int = 0
    refused: int = 0
    unknown: int = 0
    reads: int = 0
    kills: int = 0
    hand_overs: int = 0
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
        self._number = 0
        self._stopping = False

    async def run(self, steps: int) -> None:
        """Run a number of faults, then heal and check."""
        await self._group.wait_leader()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for _ in range(_CLIENTS):
                tasks.start_soon(self._use)
            for _ in range(steps):
                self._break_something()
                await anyio.sleep(self._random.uniform(0.05, 1.5))
            self._heal()
            self._stopping = True
        await self._check()

    async def _use(self) -> None:
        while not self._stopping:
            await anyio.sleep(self._random.uniform(0.0, 0.2))
            running = sorted(self._group.nodes)
            if not running:
                continue
            vm = self._random.choice(running)
            if vm != "client" and self._random.random() < 0.2:
                await self._read(vm)
            else:
                await self._write(vm)

    async def _write(self, vm: str) -> None:
        self._number += 1
        command = b"%d" % self._number
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

    async def _read(self, vm: str) -> None:
        node = self._group.nodes[vm]
        before = set(self._acknowledged)
        with contextlib.suppress(NotCommitted):
            await node.log.read_barrier(TIMEOUT)
            missing = before - set(node.machine.commands)
            assert not missing, f"a read through {vm} missed {missing}"
            self.outcome.reads += 1

    def _break_something(self) -> None:
        faults = [
            self._kill,
            self._hand_over,
            self._start,
            self._start,
            self._wipe,
            self._cut_one_way,
            self._isolate,
            self._mend_links,
            self._mend_links,
            self._change_conditions,
        ]
        self._random.choice(faults)()

    def _kill(self) -> None:
        running = [vm for vm in self._group.vms if vm in self._group.nodes]
        if running:
            self._group.kill(self._random.choice(running))
            self.outcome.kills += 1

    def _hand_over(self) -> None:
        leader = self._group.find_leader()
        if leader:
            node = self._group.nodes[leader]
            self._tasks.start_soon(node.log.transfer_leadership, TIMEOUT)
            self.outcome.hand_overs += 1

    def _start(self) -> None:
        for vm in self._group.vms:
            if vm not in self._group.nodes:
                self._group.start(vm, self._create_clock())

    def _wipe(self) -> None:
        """Lose one disk; not before the one lost earlier was replaced."""
        if self._group.is_whole():
            vm = self._random.choice(self._group.vms)
            self._group.wipe(vm)
            self._group.start(vm, self._create_clock())
            self.outcome.wipes += 1

    def _cut_one_way(self) -> None:
        source, sink = self._random.sample(self._group.network.vms, 2)
        self._group.network.cut(source, sink)
        self.outcome.cuts += 1

    def _isolate(self) -> None:
        count = self._random.randint(1, len(self._group.vms) // 2)
        group = self._random.sample(self._group.vms, count)
        self._group.network.isolate(group)
        self.outcome.cuts += 1

    def _mend_links(self) -> None:
        self._group.network.heal()

    def _change_conditions(self) -> None:
        conditions = self._group.network.conditions
        conditions.loss = self._random.choice([0, 0, 0.02, 0.2])
        conditions.duplication = self._random.choice([0, 0.1, 0.5])
        conditions.straggling = self._random.choice([0, 0.05, 0.3])
        conditions.delay_max_s = self._random.choice([0.002, 0.02, 0.1])

    def _create_clock(self) -> LoopClock:
        rate = self._random.uniform(1 - _MAX_DRIFT, 1 + _MAX_DRIFT)
        return LoopClock(self._random.uniform(0, 1e6), rate)

    def _heal(self) -> None:
        self._group.network.heal()
        self._group.network.conditions = Conditions()
        self._start()

    async def _check(self) -> None:
        await self._group.wait_leader()
        await self._group.propose_until_committed("client", b"last")
        await self._group.wait_until(self._group.is_whole)
        commands = set(await self._group.wait_equal())
        lost = self._acknowledged - commands
        assert not lost, f"acknowledged and lost: {lost}"
        for vm in self._group.vms:
            await self._read(vm)
        untrue = self._refused & commands
        assert not untrue, f"refused and committed: {untrue}"


def run_trial(seed: int, steps: int, size: int = 3) -> Outcome:
    """Run one trial in virtual time; AssertionError when a rule broke."""
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
