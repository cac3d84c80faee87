"""Soak of real processes: signals, restarts and changes that overlap.

CI plays one short seeded run; ``make soak`` plays more and longer ones.
Nothing here depends on how fast the machine is: a run fails only by an answer
or an end that is wrong whenever it comes.
"""

import asyncio
import os
from pathlib import Path
import random
import signal
import time

import pytest

from tests.soak.callers import Caller
from tests.soak.callers import Operator
from tests.soak.callers import Record
from tests.soak.processes import ProcessGroup
from tests.soak.processes import VmProcess
from tests.soak.replicas import Replica
from tests.soak.replicas import ReplicaList
from tests.soak.streams import StreamCaller
from tests.soak.streams import StreamReplica

CI_SEED = 1
CI_TROUBLE_S = 30.0
LONG_TROUBLE_S = 60.0
LONG_SEEDS = range(100, 150)
CALM_S = 12.0
"""Time after the trouble in which changes have to be in force in time."""
SETTLE_LIMIT_S = 60.0
REPLICA_COUNT = 3
STREAM_VERSIONS = ("v1", "v1", "v2", "v2")
STREAM_CALLER_COUNT = 6
CALLERS_PER_ENTRY = 6
FREEZE_S = (0.5, 3.0)
RESTART_S = (0.0, 1.0)
GAP_S = (0.1, 1.5)


class Soak:
    """One run: a deployment, its callers, and trouble drawn from a seed."""

    def __init__(self, folder: Path, seed: int, entry_count: int) -> None:
        self._folder = folder
        self._seed = seed
        self._entry_count = entry_count
        self._random = random.Random(seed)
        self._replica_random = random.Random(seed + 1)
        self.record = Record()
        self._list = ReplicaList()
        self._tasks: set[asyncio.Task] = set()
        self.troubles = [
            self._kill_entry,
            self._kill_control,
            self._kill_core,
            self._stop_entry,
            self._stop_control,
            self._reload_all,
            self._freeze,
            self._show_odd_entry,
            self._replace_replica,
            self._replace_stream_replica,
        ]

    async def run(self, trouble_s: float) -> None:
        """Play the run; raise an error if the deployment never settles."""
        address = await self._list.start()
        for _ in range(REPLICA_COUNT):
            await self._add_replica()
        for version in STREAM_VERSIONS:
            await self._add_stream_replica(version)
        self.group = ProcessGroup(
            self._folder, self._entry_count, address, self._seed
        )
        self.operator = Operator(self.group, self.record, self._random)
        try:
            self.group.start()
            await self._play(trouble_s)
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self.group.stop()
            for replica in self._list.replicas:
                replica.crash()
            self._list.stop()
            # The transports close their sockets in the next cycles.
            await asyncio.sleep(0.1)

    async def _play(self, trouble_s: float) -> None:
        self._spawn(self.group.supervise())
        operator = self._spawn(self.operator.run())
        callers = [
            self._spawn(self._create_caller(entry).run())
            for entry in self.group.entries
            for _ in range(CALLERS_PER_ENTRY)
        ]
        callers += [
            self._spawn(self._create_stream_caller().run())
            for _ in range(STREAM_CALLER_COUNT)
        ]
        await self._settle(1)
        troubles = []
        ends_at = time.monotonic() + trouble_s
        while time.monotonic() < ends_at:
            trouble = self._random.choice(self.troubles)
            troubles.append(self._spawn(trouble()))
            await asyncio.sleep(self._random.uniform(*GAP_S))
        await asyncio.gather(*troubles)
        self._list.odd_entries.clear()
        await asyncio.sleep(CALM_S)
        await self._settle(self.record.statuses[200] + 50)
        operator.cancel()
        for caller in callers:
            caller.cancel()
        await self._check_end()

    async def _settle(self, answers: int) -> None:
        """Wait until callers have had so many successful answers."""
        async with asyncio.timeout(SETTLE_LIMIT_S):
            while self.record.statuses[200] < answers:
                await asyncio.sleep(0.1)

    async def _check_end(self) -> None:
        """Wait until the newest configuration is read back."""
        newest = self.operator.acknowledged
        async with asyncio.timeout(SETTLE_LIMIT_S):
            read = None
            while read is None:
                await asyncio.sleep(0.2)
                read = await self.operator.read_back()
        if read < newest:
            self.record.faults.append(f"read back {read} after {newest}")

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _create_caller(self, entry: VmProcess) -> Caller:
        rng = random.Random(self._random.random())
        return Caller(entry, self.group, self.record, rng)

    def _create_stream_caller(self) -> StreamCaller:
        rng = random.Random(self._random.random())
        return StreamCaller(self.group, self.record, rng)

    async def _add_stream_replica(self, version: str) -> None:
        replica = StreamReplica(
            "texts", self.record.runs, self._replica_random, version
        )
        await replica.start()
        self._list.replicas.append(replica)

    async def _add_replica(self) -> None:
        replica = Replica("jobs", self.record.runs, self._replica_random)
        await replica.start()
        self._list.replicas.append(replica)

    # Trouble.

    async def _kill(self, process: VmProcess) -> None:
        if process.is_stopping:
            return
        process.kill()
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        process.start()

    async def _stop(self, process: VmProcess) -> None:
        if process.is_stopping or process.is_frozen:
            return
        # A process that is just starting has nothing to finish yet.
        is_started = process.handles(signal.SIGTERM)
        code = await process.terminate()
        if code != 0 and is_started:
            self.record.faults.append(f"{process.name} stopped with {code}")
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        process.start()

    async def _kill_entry(self) -> None:
        await self._kill(self._random.choice(self.group.entries))

    async def _kill_control(self) -> None:
        await self._kill(self._random.choice(self.group.controls))

    async def _kill_core(self) -> None:
        await asyncio.gather(*(self._kill(c) for c in self.group.controls))

    async def _stop_entry(self) -> None:
        await self._stop(self._random.choice(self.group.entries))

    async def _stop_control(self) -> None:
        await self._stop(self._random.choice(self.group.controls))

    async def _reload_all(self) -> None:
        """Replace all settings and send SIGHUP, several times."""
        for _ in range(self._random.randrange(1, 5)):
            for process in self.group.all:
                process.write_settings()
                if process.handles(signal.SIGHUP):
                    process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0, 0.3))

    async def _freeze(self) -> None:
        process = self._random.choice(self.group.all)
        if not process.is_stopping and not process.is_frozen:
            await process.freeze(self._random.uniform(*FREEZE_S))

    async def _show_odd_entry(self) -> None:
        self._list.odd_entries[:] = [
            self._random.choice(ReplicaList.ODD_ENTRIES)
        ]
        await asyncio.sleep(self._random.uniform(1, 5))
        self._list.odd_entries.clear()

    async def _replace_replica(self) -> None:
        replica = self._random.choice(
            [r for r in self._list.replicas if r.service == "jobs"]
        )
        if self._random.random() < 0.5:
            replica.crash()
        await self._add_replica()
        self._list.replicas.remove(replica)

    async def _replace_stream_replica(self) -> None:
        replica = self._random.choice(
            [r for r in self._list.replicas if r.service == "texts"]
        )
        replica.crash()
        await self._add_stream_replica(self._random.choice(STREAM_VERSIONS))
        self._list.replicas.remove(replica)


def play(folder: Path, seed: int, entry_count: int, trouble_s: float) -> None:
    """Play a run and fail with everything that broke a promise."""
    soak = Soak(folder, seed, entry_count)
    asyncio.run(soak.run(trouble_s))
    faults = soak.record.list_faults()
    ends = soak.group.own_ends
    print(
        f"seed {seed}: answers {dict(soak.record.statuses)}, "
        f"configurations {soak.operator.acknowledged}, "
        f"checks of routes {soak.operator.checks}"
    )
    assert not ends, ends
    assert not faults, faults[:20]


def test_processes_keep_their_promises_in_a_short_soak(tmp_path):
    # Guards against processes that end, or requests that run though refused,
    # while signals, restarts and changes overlap.
    play(tmp_path, CI_SEED, 3, CI_TROUBLE_S)


@pytest.mark.soak
@pytest.mark.parametrize("seed", LONG_SEEDS)
def test_processes_keep_their_promises_in_a_long_soak(tmp_path, seed):
    entry_count = int(os.environ.get("SOAK_ENTRY_VMS", "5"))
    play(tmp_path, seed, entry_count, LONG_TROUBLE_S)
