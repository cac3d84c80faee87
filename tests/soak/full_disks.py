"""Full disks of control VMs, one after another, on real processes.

Each control VM in turn, drawn at random, can write nothing for some seconds:

- ``full``: while it runs, whether it leads or follows;
- ``restart``: and is killed and started again meanwhile;
- ``join``: it has lost its disk before, and joins the group anew.

Meanwhile an operator sends large configurations, so that segments of the log
end, and snapshots are taken and sent. Once all disks have room again, a
configuration has to be acknowledged in time, and each control VM has to read
it back. Each run prints one JSON object; run by hand::

    python -m tests.soak.full_disks --seeds 1 2 3 --turns 12

The limit on file sizes stands for a full disk. It concerns all files of a
process, so that logs go through a pipe.
"""

import argparse
import asyncio
from collections import Counter
import enum
import json
import os
from pathlib import Path
import random
import resource
import shutil
import subprocess
import tempfile
import threading
import time

from tests.soak.callers import Operator
from tests.soak.callers import Record
from tests.soak.callers import create_configuration
from tests.soak.processes import ProcessGroup
from tests.soak.processes import VmProcess
from tests.soak.replicas import Replica
from tests.soak.replicas import ReplicaList

FULL_S = (0.3, 4.0)
GAP_S = (0.2, 3.0)
REJOIN_S = 6.0
"""Time in which a VM without a disk joins and becomes a voter."""
CALM_S = 8.0
ACKNOWLEDGED_S = 5.0
READ_S = 15.0
START_LIMIT_S = 60.0
ROUTES = 3000
INTERVAL_S = (0.05, 0.4)


class Turn(enum.Enum):
    """What happens to one control VM."""

    FULL = "full"
    RESTART = "restart"
    JOIN = "join"


class FullDiskVm(VmProcess):
    """A process whose disk can be full."""

    is_full = False

    def set_full(self, is_full: bool) -> None:
        """Refuse all writes of the process to files, or none."""
        self.is_full = is_full
        limit = 0 if is_full else resource.RLIM_INFINITY
        if self.exit_code is None:
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_FSIZE,
                (limit, resource.RLIM_INFINITY),
            )

    def start(self) -> None:
        super().start()
        self.set_full(self.is_full)

    def wipe(self) -> None:
        """Empty the data folder; the process does not run."""
        folder = Path(self.fields["data_dir"])
        shutil.rmtree(folder)
        folder.mkdir()

    def _spawn(self, log: int) -> subprocess.Popen:
        read_end, write_end = os.pipe()
        process = super()._spawn(write_end)
        os.close(write_end)
        copier = threading.Thread(target=_copy, args=(read_end, os.dup(log)))
        copier.start()
        return process


def _copy(source: int, destination: int) -> None:
    while data := os.read(source, 65536):
        os.write(destination, data)
    os.close(source)
    os.close(destination)


def create_large_configuration(version: int) -> dict:
    """Return a configuration of some 1 MB that hardly compresses."""
    configuration = create_configuration(version)
    rng = random.Random(version)
    template = configuration["routes"][0]
    configuration["routes"] += [
        template
        | {"name": f"n{number}", "path_prefix": f"/{rng.randbytes(60).hex()}/"}
        for number in range(ROUTES)
    ]
    return configuration


class Run:
    """One deployment, and the turns of its control VMs."""

    def __init__(self, seed: int, turns: int) -> None:
        self._seed = seed
        self._turns = turns
        self._random = random.Random(seed)
        self.result: dict = {"seed": seed}

    async def play(self, folder: Path) -> None:
        """Play the run and end all its processes."""
        targets = ReplicaList()
        replica = Replica("jobs", Counter(), self._random)
        await replica.start()
        targets.replicas.append(replica)
        group = self._group = ProcessGroup(
            folder, 1, await targets.start(), self._seed
        )
        for control in group.controls:
            control.__class__ = FullDiskVm
        self._operator = Operator(
            group, Record(), self._random, create_large_configuration
        )
        supervisor = asyncio.create_task(group.supervise())
        try:
            group.start()
            async with asyncio.timeout(START_LIMIT_S):
                await self._operator.submit(1)
            await self._play_turns()
            await self._check_end()
        finally:
            supervisor.cancel()
            group.stop()
            replica.crash()
            targets.stop()
            # The transports close their sockets in the next cycles.
            await asyncio.sleep(0.2)
        self._count_events()

    async def _play_turns(self) -> None:
        sender = asyncio.create_task(self._send())
        turns = Counter()
        for _ in range(self._turns):
            turn = self._random.choice([Turn.FULL, *Turn])
            turns[turn.value] += 1
            await self._play_turn(turn)
            await asyncio.sleep(self._random.uniform(*GAP_S))
        sender.cancel()
        await asyncio.gather(sender, return_exceptions=True)
        self.result["turns"] = turns
        self.result["acknowledged"] = self._operator.acknowledged

    async def _send(self) -> None:
        while True:
            await self._operator.submit(self._operator.acknowledged + 1)
            await asyncio.sleep(self._random.uniform(*INTERVAL_S))

    async def _play_turn(self, turn: Turn) -> None:
        control = self._random.choice(self._group.controls)
        full_s = self._random.uniform(*FULL_S)
        match turn:
            case Turn.FULL:
                control.set_full(True)
                await asyncio.sleep(full_s)
            case Turn.RESTART:
                control.set_full(True)
                await asyncio.sleep(self._random.uniform(0, full_s))
                control.kill()
                control.start()
                await asyncio.sleep(full_s)
            case Turn.JOIN:
                control.kill()
                control.wipe()
                control.start()
                await asyncio.sleep(self._random.uniform(0, 3))
                control.set_full(True)
                await asyncio.sleep(full_s)
        control.set_full(False)
        if turn is Turn.JOIN:
            await asyncio.sleep(REJOIN_S)

    async def _check_end(self) -> None:
        await asyncio.sleep(CALM_S)
        operator = self._operator
        version = operator.acknowledged + 1
        started_at = time.monotonic()
        faults = self.result["faults"] = list(operator._record.faults)
        try:
            async with asyncio.timeout(ACKNOWLEDGED_S):
                await operator.submit(version)
        except TimeoutError:
            faults.append("not acknowledged")
        self.result["last_s"] = round(time.monotonic() - started_at, 2)
        for control in self._group.controls:
            ends_at = time.monotonic() + READ_S
            while (read := await operator._read(control)) is None:
                if time.monotonic() > ends_at:
                    break
                await asyncio.sleep(0.2)
            if read is None or read < operator.acknowledged:
                faults.append(f"{control.name} reads {read}")

    def _count_events(self) -> None:
        counts: Counter = Counter()
        for control in self._group.controls:
            for line in control.read_log().splitlines():
                if line.startswith("{"):
                    counts[json.loads(line)["event"]] += 1
        wanted = (
            "storage_failed",
            "storage_reopened",
            "reopen_failed",
            "member_failed",
            "part_failed",
            "leader_elected",
            "snapshot_taken",
        )
        self.result["events"] = {name: counts[name] for name in wanted}
        self.result["ends"] = self._group.own_ends


def main() -> None:
    """Play runs and print their results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--turns", type=int, default=12)
    parser.add_argument("--keep", type=Path, help="folder for logs and data")
    options = parser.parse_args()
    for seed in options.seeds:
        run = Run(seed, options.turns)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            if options.keep:
                path = options.keep / f"seed-{seed}"
                path.mkdir(parents=True)
            asyncio.run(run.play(path))
        print(json.dumps(run.result), flush=True)


if __name__ == "__main__":
    main()
