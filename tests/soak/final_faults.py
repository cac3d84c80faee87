"""Faults of a whole deployment of real processes, and the reads after them.

A deployment of 6 control and 57 entry VMs in 6 failure domains has control
VMs replaced by empty ones at other addresses. Then a configuration is
acknowledged and at once followed by a fault:

- ``all``: all processes are killed;
- ``wipe``: the same, and two control VMs, drawn at random, lose their disks;
- ``oldest``: the same, and the two control VMs that have run longest do.

All start again within a second. An operator reads the configuration back, at
one control VM after another; at the end each control VM has to answer, with
the acknowledged version. Each run prints one JSON object.

Run by hand, as 64 processes start at once, which takes 8 cores some 15 s::

    python -m tests.soak.final_faults --fault oldest --seeds stale --runs 3

The options ``--entry-vms 114`` and ``--freeze``, which suspends two control
VMs for a second after they have started, are harder variants.
"""

import argparse
import asyncio
from collections import Counter
import contextlib
import enum
import json
import os
from pathlib import Path
import random
import shutil
import statistics
import tempfile
import time

from tests.soak.callers import Operator
from tests.soak.callers import Record
from tests.soak.processes import VmProcess
from tests.soak.processes import choose_ports
from tests.soak.replicas import Replica
from tests.soak.replicas import ReplicaList

CONTROL_COUNT = 6
LOSSES_TOLERATED = 2
SEED_COUNT = 3
REGIONS = ("dub", "cork", "gal")
ZONES = {f"{region}-{part}": region for part in "ab" for region in REGIONS}
BOUNDS = {
    "grace_s": 8,
    "config_apply_ms": 2500,
    "budget_extra": 56,
    "budget_window_s": 10,
    "ceiling_window_s": 5,
}
CATCH_UP_S = 4.0
START_LIMIT_S = 90.0
RESTART_S = (0.2, 1.0)
READ_S = 10.0
CALM_S = 40.0
"""Time after which a control VM that still gives no version is a fault."""
BACK_OFF_S = (0.1, 1.0)
FREEZE_S = 1.0


class Fault(enum.Enum):
    """What happens right after the acknowledgement."""

    ALL = "all"
    WIPE = "wipe"
    OLDEST = "oldest"


class Seeds(enum.Enum):
    """Which addresses a control VM that starts again is given."""

    CURRENT = "current"
    STALE = "stale"
    """Of an older list: two that are gone, and the VM's own or another."""


class GrownGroup:
    """The processes of a deployment whose control VMs can be replaced."""

    def __init__(
        self,
        folder: Path,
        entry_count: int,
        spare_count: int,
        list_address: str,
        seed: int,
    ) -> None:
        self._folder = folder
        self._random = random.Random(f"{seed}-{os.getpid()}")
        self._list_address = list_address
        prefix = f"127.{self._random.randrange(16, 240)}"
        count = CONTROL_COUNT + entry_count + spare_count
        self._ips = [
            f"{prefix}.{number // 200}.{number % 200 + 1}"
            for number in range(count)
        ]
        (
            self.peer_port,
            self.operator_port,
            self.caller_port,
            self.ready_port,
        ) = choose_ports(4, self._ips, self._random)
        self._free_ips = iter(self._ips)
        first_seeds = self.list_addresses(self._ips[:SEED_COUNT])
        self.controls = [
            self._create_control(number, first_seeds, True)
            for number in range(CONTROL_COUNT)
        ]
        self.entries = [
            self._create_entry(number, first_seeds)
            for number in range(entry_count)
        ]
        self.removed: list[VmProcess] = []
        """Control VMs that were replaced, the first one first."""
        self._control_count = CONTROL_COUNT

    @property
    def all(self) -> list[VmProcess]:
        """All processes."""
        return [*self.controls, *self.entries]

    def list_addresses(self, ips) -> list[str]:
        """Return addresses as they stand in the seeds."""
        return [f"{ip}:{self.operator_port}" for ip in ips]

    def choose_seeds(self) -> list[str]:
        """Return the addresses of three current control VMs."""
        ips = [control.ip for control in self.controls]
        return self.list_addresses(self._random.sample(ips, SEED_COUNT))

    def choose_stale_seeds(self) -> list[str]:
        """Return addresses of which only one is still in use."""
        ips = [control.ip for control in self.removed[-SEED_COUNT + 1 :]]
        ips.append(self._random.choice(self.controls).ip)
        return self.list_addresses(ips)

    def replace_control(self, control: VmProcess) -> VmProcess:
        """Kill a control VM for good; start an empty one elsewhere."""
        control.kill()
        self.removed.append(control)
        position = self.controls.index(control)
        zone = list(ZONES).index(control.fields["zone"])
        # The list of the operator still names the one that is gone.
        seeds = self.choose_seeds()
        number = self._control_count - self._control_count % len(ZONES) + zone
        self._control_count += len(ZONES)
        replacement = self._create_control(number, seeds, False)
        self.controls[position : position + 1] = []
        self.controls.append(replacement)
        replacement.start()
        return replacement

    def wipe(self, control: VmProcess) -> None:
        """Empty the data folder of a process that does not run."""
        folder = Path(control.fields["data_dir"])
        shutil.rmtree(folder)
        folder.mkdir()

    def stop(self) -> None:
        """End all processes with SIGKILL."""
        for process in [*self.all, *self.removed]:
            process.kill()

    def _create_control(
        self, number: int, seeds: list[str], bootstrap: bool
    ) -> VmProcess:
        name = f"core-{number}"
        ip = next(self._free_ips)
        data_folder = self._folder / f"{name}-data"
        data_folder.mkdir()
        listen = {"control": f"{ip}:{self.operator_port}"}
        return self._create_process(
            name, ip, number, listen, seeds, bootstrap, str(data_folder)
        )

    def _create_entry(self, number: int, seeds: list[str]) -> VmProcess:
        ip = next(self._free_ips)
        listen = {
            "front": f"{ip}:{self.caller_port}",
            "ready": f"{ip}:{self.ready_port}",
        }
        return self._create_process(
            f"front-{number}", ip, number, listen, seeds, True, None
        )

    def _create_process(
        self, name, ip, number, listen, seeds, bootstrap, data_dir
    ) -> VmProcess:
        fields = {
            "node_id": name,
            "ip": ip,
            "zone": list(ZONES)[number % len(ZONES)],
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "data_dir": data_dir,
            "fault_tolerance": {"machines": LOSSES_TOLERATED},
            "bounds": BOUNDS,
            "cloud": {"address": self._list_address},
        }
        return VmProcess(name, fields, self._folder)


class ReadingOperator(Operator):
    """An operator that records each of its reads."""

    def __init__(self, group: GrownGroup, rng: random.Random) -> None:
        super().__init__(group, Record(), rng)
        self.reads: list[tuple[float, str, str, int]] = []
        """Time since the fault, VM, status and latency in ms."""
        self.first_answers: dict[str, float] = {}

    async def read(self, control: VmProcess, fault_at: float) -> int | None:
        """Read once and return the version; None without one."""
        started_at = time.monotonic()
        answer = await self._call(control, "GET", b"")
        status = "none" if answer is None else answer.line.split()[1]
        latency_ms = round((time.monotonic() - started_at) * 1000)
        since_fault_s = round(started_at - fault_at, 2)
        self.reads.append((since_fault_s, control.name, status, latency_ms))
        if status != "200":
            return None
        self.first_answers.setdefault(control.name, since_fault_s)
        return json.loads(answer.body)["version"]

    async def read_until_answered(self, fault_at: float) -> int | None:
        """Read as operators do, for a limited time."""
        delay_s = BACK_OFF_S[0]
        controls = list(self._group.controls)
        self._random.shuffle(controls)
        number = 0
        while time.monotonic() - fault_at < READ_S:
            control = controls[number % len(controls)]
            number += 1
            version = await self.read(control, fault_at)
            if version is not None:
                return version
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, BACK_OFF_S[1])
        return None


class Run:
    """One deployment, its day and its final fault."""

    def __init__(self, options: argparse.Namespace, seed: int) -> None:
        self._options = options
        self._random = random.Random(seed)
        self._seed = seed
        self.result: dict = {"seed": seed, "fault": options.fault.value}

    async def play(self, folder: Path) -> None:
        """Play the run and end all its processes."""
        targets = ReplicaList()
        replica = Replica("jobs", Counter(), self._random)
        await replica.start()
        targets.replicas.append(replica)
        options = self._options
        group = self._group = GrownGroup(
            folder,
            options.entry_vms,
            options.replacements,
            await targets.start(),
            self._seed,
        )
        self._operator = ReadingOperator(group, self._random)
        try:
            await self._play_day()
            await self._play_fault()
        finally:
            group.stop()
            replica.crash()
            targets.stop()
            # The transports close their sockets in the next cycles.
            await asyncio.sleep(0.1)

    async def _play_day(self) -> None:
        started_at = time.monotonic()
        for process in self._group.all:
            process.start()
        async with asyncio.timeout(START_LIMIT_S):
            await self._operator.submit(1)
            await self._wait_until_followed(Counter())
        self.result["start_s"] = round(time.monotonic() - started_at, 1)
        for version in range(2, 2 + self._options.replacements):
            oldest = self._group.controls[0]
            self._group.replace_control(oldest)
            await asyncio.sleep(CATCH_UP_S)
            async with asyncio.timeout(START_LIMIT_S):
                await self._operator.submit(version)
        await asyncio.sleep(CATCH_UP_S)

    async def _play_fault(self) -> None:
        group, operator = self._group, self._operator
        version = operator.acknowledged + 1
        async with asyncio.timeout(START_LIMIT_S):
            await operator.submit(version)
        for process in group.all:
            process.send_signal(9)
        for process in group.all:
            process.kill()
        sizes = {p.name: len(p.read_log()) for p in group.all}
        sources = self._count_sources()
        fault_at = time.monotonic()
        self._lose_disks()
        starts = [asyncio.create_task(self._restart(p)) for p in group.all]
        read = await operator.read_until_answered(fault_at)
        self.result["read_in_time"] = read == version
        await asyncio.gather(
            *starts,
            self._read_at_all(version, fault_at),
            self._measure_following(sources, fault_at),
        )
        self._settle_result(sizes)

    def _lose_disks(self) -> None:
        controls = self._group.controls
        match self._options.fault:
            case Fault.ALL:
                lost = []
            case Fault.WIPE:
                lost = self._random.sample(controls, LOSSES_TOLERATED)
            case Fault.OLDEST:
                lost = controls[:LOSSES_TOLERATED]
        for control in lost:
            self._group.wipe(control)
        self.result["lost_disks"] = [control.name for control in lost]

    async def _restart(self, process: VmProcess) -> None:
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        if self._options.seeds is Seeds.STALE and self._group.removed:
            process.fields["seeds"] = self._group.choose_stale_seeds()
        else:
            process.fields["seeds"] = self._group.choose_seeds()
        process.start()
        if self._options.freeze and process in self._group.controls[:2]:
            while not process.handles(15):
                await asyncio.sleep(0.02)
            await process.freeze(FREEZE_S)

    async def _read_at_all(self, version: int, fault_at: float) -> None:
        """Read at each control VM until it answers, or the calm ends."""

        async def read(control: VmProcess) -> None:
            while time.monotonic() - fault_at < CALM_S:
                found = await self._operator.read(control, fault_at)
                if found is not None:
                    if found < version:
                        self.result.setdefault("older", []).append(found)
                    return
                await asyncio.sleep(0.3)
            self.result.setdefault("no_answer", []).append(control.name)

        await asyncio.gather(*(read(c) for c in self._group.controls))

    async def _measure_following(
        self, sources: Counter, fault_at: float
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALM_S):
                await self._wait_until_followed(sources)
                followed_s = time.monotonic() - fault_at
                self.result["all_follow_s"] = round(followed_s, 1)

    def _settle_result(self, sizes: dict[str, int]) -> None:
        self.result["first_answers_s"] = self._operator.first_answers
        self.result["statuses"] = Counter(
            status for _, _, status, _ in self._operator.reads
        )
        latencies = [r[3] for r in self._operator.reads if r[2] == "200"]
        if latencies:
            self.result["median_ms"] = statistics.median(latencies)
        if self._options.show_reads:
            self.result["reads"] = self._operator.reads
        counts: Counter = Counter()
        lags = [0]
        for process in self._group.all:
            role = "control" if process.is_control else "entry"
            log = process.read_log()[sizes[process.name] :]
            for line in log.splitlines():
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    counts[f"{role} {event['event']}"] += 1
                    lags.append(event.get("lag_ms", 0))
        self.result["events"] = dict(sorted(counts.items()))
        self.result["largest_lag_ms"] = max(lags)

    def _count_sources(self) -> Counter:
        return Counter(
            {
                entry.name: entry.read_log().count('"source_changed"')
                for entry in self._group.entries
            }
        )

    async def _wait_until_followed(self, before: Counter) -> None:
        """Wait until each entry VM has chosen a source once more."""
        while any(
            count <= before[name]
            for name, count in self._count_sources().items()
        ):
            await asyncio.sleep(0.5)


def main() -> None:
    """Play runs with successive seeds and print their results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--fault", type=Fault, default=Fault.ALL)
    parser.add_argument("--seeds", type=Seeds, default=Seeds.CURRENT)
    parser.add_argument("--entry-vms", type=int, default=57)
    parser.add_argument("--replacements", type=int, default=2)
    parser.add_argument("--freeze", action="store_true")
    parser.add_argument("--show-reads", action="store_true")
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.runs):
        run = Run(options, seed)
        with contextlib.ExitStack() as stack:
            if options.keep is None:
                folder = Path(stack.enter_context(_create_folder()))
            else:
                folder = options.keep / str(seed)
                folder.mkdir(parents=True)
            try:
                asyncio.run(run.play(folder))
            except TimeoutError:
                run.result["not_started"] = True
            print(json.dumps(run.result), flush=True)


def _create_folder() -> tempfile.TemporaryDirectory:
    return tempfile.TemporaryDirectory(prefix="final-faults-")


if __name__ == "__main__":
    main()
