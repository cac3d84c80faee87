"""Measures the replicated log with real voter processes on loopback.

``python -m bench.replication`` prints one JSON line for each measurement:
commands a second and their delay at several concurrencies, the cost at
230 commands of 1 KB a second, idle cost, and the time from the leader's
death to the next acknowledged write.
"""

import argparse
from collections.abc import Iterator
import contextlib
from datetime import timedelta
import json
import logging
from pathlib import Path
import random
import secrets
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import anyio
import msgspec
import structlog

from dotterelbridge.clock import create_clock
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.settings import ReplicationSettings
from tests.replication_node import InspectReply
from tests.replication_node import InspectRequest
from tests.replication_node import NodeSettings

COMMAND_BYTES = 1024
TARGET_RATE = 230
"""Commands a second of one group at the target size."""
LINK_COUNTS = (1, 100, 200, 330)
TIMEOUT = timedelta(seconds=10)
_SECRET = secrets.token_bytes(32)
"""Of this run alone: another run may use a port that was free just now."""
_POLL_S = 0.005


class Bench:
    """Voter processes, and a client VM in this process."""

    def __init__(
        self,
        voters: int,
        folder: Path,
        settings: ReplicationSettings,
        vms: list[VmInfo] | None = None,
    ) -> None:
        self.settings = settings
        self.vms = vms or list(_create_vms(voters + 1))
        self.voters = [info.vm for info in self.vms[:voters]]
        self.network = create_peer_network(
            PeersSettings(),
            self.vms[voters],
            self.vms,
            create_clock(),
            _SECRET,
            self.voters,
        )
        self.log = create_replicated_log(
            settings,
            self.network,
            None,
            create_clock(),
            self.voters,
            random.Random(0),
        )
        self._folder = folder
        self._processes: dict[VmId, subprocess.Popen] = {}

    def start(self, vm: VmId) -> None:
        """Start one voter's process."""
        settings = NodeSettings(
            vm=vm,
            vms=self.vms,
            voters=self.voters,
            folder=str(self._folder / vm),
            secret=_SECRET,
            replication=self.settings,
            keep_commands=False,
        )
        argument = msgspec.json.encode(settings).decode()
        self._processes[vm] = subprocess.Popen(
            [sys.executable, "-m", "tests.replication_node", argument],
            stdout=subprocess.DEVNULL,
        )

    def kill(self, vm: VmId) -> None:
        """End one voter's process without warning."""
        process = self._processes.pop(vm)
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        """End all voters."""
        for vm in list(self._processes):
            self.kill(vm)

    async def inspect(self) -> dict[VmId, InspectReply]:
        """Return the state of the voters that answer."""
        replies = {}
        for vm in self.voters:
            with contextlib.suppress(PeerError):
                replies[vm] = await self.network.request(
                    vm, InspectRequest(), TIMEOUT
                )
        return replies

    async def wait_ready(self) -> VmId:
        """Wait until all voters agree on a leader; return it."""
        while True:
            replies = await self.inspect()
            leaders = {reply.dump["leader"] for reply in replies.values()}
            if (
                len(replies) == len(self.voters)
                and len(leaders) == 1
                and None not in leaders
            ):
                return leaders.pop()
            await anyio.sleep(0.05)

    async def propose(self) -> float:
        """Commit one command and return its delay in seconds."""
        started = time.perf_counter()
        await self.log.propose("history", bytes(COMMAND_BYTES), TIMEOUT)
        return time.perf_counter() - started


async def measure_throughput(
    bench: Bench, writers: int, duration_s: float
) -> dict:
    """Let a number of writers each send one command after the other."""
    await bench.wait_ready()
    delays: list[float] = []
    before = await bench.inspect()
    started = time.perf_counter()

    async def write() -> None:
        while time.perf_counter() - started < duration_s:
            delays.append(await bench.propose())

    async with anyio.create_task_group() as group:
        for _ in range(writers):
            group.start_soon(write)
    elapsed = time.perf_counter() - started
    after = await bench.inspect()
    return {"writers": writers} | _summarize(delays, elapsed, before, after)


async def measure_rate(bench: Bench, rate: int, duration_s: float) -> dict:
    """Send commands at a fixed rate, whether or not they are answered."""
    await bench.wait_ready()
    delays: list[float] = []
    before = await bench.inspect()
    started = time.perf_counter()

    async def write() -> None:
        delays.append(await bench.propose())

    async with anyio.create_task_group() as group:
        for number in range(int(rate * duration_s)):
            due = started + number / rate
            await anyio.sleep(max(0, due - time.perf_counter()))
            group.start_soon(write)
    elapsed = time.perf_counter() - started
    after = await bench.inspect()
    return {"rate": rate} | _summarize(delays, elapsed, before, after)


async def measure_idle(bench: Bench, duration_s: float) -> dict:
    """Measure what the voters spend without commands."""
    await bench.wait_ready()
    before = await bench.inspect()
    started = time.perf_counter()
    await anyio.sleep(duration_s)
    elapsed = time.perf_counter() - started
    after = await bench.inspect()
    return {"idle": True} | _summarize_nodes(elapsed, before, after)


async def measure_failover(bench: Bench, kills: int) -> dict:
    """Kill the leader again and again; time to the next acknowledgement.

    Counts from the kill to the answer of a command sent after it.
    """
    gaps = []
    for _ in range(kills):
        leader = await bench.wait_ready()
        await bench.propose()
        bench.kill(leader)
        killed = time.perf_counter()
        while True:
            try:
                await bench.propose()
            except DotterelbridgeError:
                await anyio.sleep(_POLL_S)
            else:
                break
        gaps.append(time.perf_counter() - killed)
        bench.start(leader)
    return {
        "kills": kills,
        "gap_p50_s": round(statistics.median(gaps), 3),
        "gap_max_s": round(max(gaps), 3),
    }


async def measure_links(options: "Options") -> None:
    """Measure what an idle link costs the voter that VMs dial."""
    vms = list(_create_vms(max(LINK_COUNTS) + 1))
    bench = Bench(1, options.folder, options.settings, vms)
    bench.start(bench.voters[0])
    clients = [
        create_peer_network(
            PeersSettings(),
            # Nobody dials these; any free port will do.
            msgspec.structs.replace(info, port=0),
            vms,
            create_clock(),
            _SECRET,
            bench.voters,
        )
        for info in vms[2:]
    ]
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(bench.network.run)
            await bench.wait_ready()
            started = 0
            for count in LINK_COUNTS:
                while started < count - 1:
                    group.start_soon(clients[started].run)
                    started += 1
                await _wait_connected(clients[:started], bench.voters[0])
                result = await _measure_hub(bench, options.duration_s)
                print(json.dumps({"links": count} | result), flush=True)
            group.cancel_scope.cancel()
    finally:
        bench.kill_all()


async def _wait_connected(networks: list, hub: VmId) -> None:
    while not all(network.is_connected(hub) for network in networks):
        await anyio.sleep(0.05)


async def _measure_hub(bench: Bench, duration_s: float) -> dict:
    hub = bench.voters[0]
    before = (await bench.inspect())[hub]
    started = time.perf_counter()
    await anyio.sleep(duration_s)
    elapsed = time.perf_counter() - started
    after = (await bench.inspect())[hub]
    received = sum(
        traffic["received_bytes"] - before.traffic[vm]["received_bytes"]
        for vm, traffic in after.traffic.items()
    )
    return {
        "cpu_percent": round(100 * (after.cpu_s - before.cpu_s) / elapsed, 2),
        "resident_mb": round(after.resident_kb / 1024, 1),
        "received_bytes_per_s": round(received / elapsed),
    }


def _summarize(
    delays: list[float],
    elapsed_s: float,
    before: dict[VmId, InspectReply],
    after: dict[VmId, InspectReply],
) -> dict:
    ranked = sorted(delays)
    syncs = {
        vm: after[vm].dump["syncs"] - before[vm].dump["syncs"] for vm in before
    }
    leader = _find_leader(after)
    return {
        "commands": len(delays),
        "commands_per_s": round(len(delays) / elapsed_s),
        "p50_ms": round(ranked[len(ranked) // 2] * 1000, 2),
        "p99_ms": round(ranked[len(ranked) * 99 // 100] * 1000, 2),
        "leader_syncs_per_command": round(syncs[leader] / len(delays), 3),
    } | _summarize_nodes(elapsed_s, before, after)


def _summarize_nodes(
    elapsed_s: float,
    before: dict[VmId, InspectReply],
    after: dict[VmId, InspectReply],
) -> dict:
    leader = _find_leader(after)
    cpu = {vm: after[vm].cpu_s - before[vm].cpu_s for vm in before}
    followers = [vm for vm in before if vm != leader]
    received = [
        _count_bytes(after[vm], leader, "received_bytes")
        - _count_bytes(before[vm], leader, "received_bytes")
        for vm in followers
    ]
    sent = [
        _count_bytes(after[vm], leader, "sent_bytes")
        - _count_bytes(before[vm], leader, "sent_bytes")
        for vm in followers
    ]
    return {
        "leader_cpu_percent": round(100 * cpu[leader] / elapsed_s, 1),
        "follower_cpu_percent": round(
            100 * statistics.mean(cpu[vm] for vm in followers) / elapsed_s, 1
        ),
        "follower_received_bytes_per_s": round(
            statistics.mean(received) / elapsed_s
        ),
        "follower_sent_bytes_per_s": round(statistics.mean(sent) / elapsed_s),
        "resident_mb": round(
            max(reply.resident_kb for reply in after.values()) / 1024, 1
        ),
    }


def _count_bytes(reply: InspectReply, peer: VmId, direction: str) -> int:
    return reply.traffic[peer][direction]


def _find_leader(replies: dict[VmId, InspectReply]) -> VmId:
    return next(
        vm for vm, reply in replies.items() if reply.dump["role"] == "leader"
    )


def _create_vms(count: int) -> Iterator[VmInfo]:
    with contextlib.ExitStack() as stack:
        ports = [
            stack.enter_context(
                socket.create_server(("127.0.0.1", 0))
            ).getsockname()[1]
            for _ in range(count)
        ]
    for number, port in enumerate(ports):
        yield VmInfo(
            vm=VmId(f"v{number}"),
            business=Business("bench"),
            failure_domain=FailureDomain("one"),
            region=Region("one"),
            host="127.0.0.1",
            port=port,
        )


class Options(msgspec.Struct, frozen=True):
    """What to measure."""

    voters: int
    folder: Path
    settings: ReplicationSettings
    duration_s: float
    kills: int
    only: str | None


async def run_bench(options: Options) -> None:
    """Run the measurements with a number of voters."""
    bench = Bench(options.voters, options.folder, options.settings)
    duration_s = options.duration_s
    measurements = {
        "idle": lambda: measure_idle(bench, duration_s),
        "rate": lambda: measure_rate(bench, TARGET_RATE, duration_s),
        "one": lambda: measure_throughput(bench, 1, duration_s),
        "some": lambda: measure_throughput(bench, 64, duration_s),
        "many": lambda: measure_throughput(bench, 256, duration_s),
        "failover": lambda: measure_failover(bench, options.kills),
    }
    for vm in bench.voters:
        bench.start(vm)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(bench.network.run)
            await bench.wait_ready()
            for name, measure in measurements.items():
                if options.only in (None, name):
                    result = {"voters": options.voters} | await measure()
                    print(json.dumps(result), flush=True)
            group.cancel_scope.cancel()
    finally:
        bench.kill_all()


def main() -> None:
    """Run as a program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--voters", type=int, nargs="+", default=[3, 5])
    parser.add_argument(
        "--folder", type=Path, help="where data folders are made"
    )
    parser.add_argument("--duration-s", type=float, default=10)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--only", help="name of the one measurement to run")
    parser.add_argument("--batch-interval-ms", type=int)
    parsed = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    settings = ReplicationSettings()
    if parsed.batch_interval_ms is not None:
        settings = msgspec.structs.replace(
            settings, batch_interval_ms=parsed.batch_interval_ms
        )
    if parsed.only == "links":
        parsed.voters = [1]
    for voters in parsed.voters:
        with tempfile.TemporaryDirectory(dir=parsed.folder) as folder:
            options = Options(
                voters=voters,
                folder=Path(folder),
                settings=settings,
                duration_s=parsed.duration_s,
                kills=parsed.kills,
                only=parsed.only,
            )
            run = measure_links if parsed.only == "links" else run_bench
            anyio.run(run, options)


if __name__ == "__main__":
    main()
