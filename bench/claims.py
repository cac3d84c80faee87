"""Measures claims through the real log, with voter processes on loopback.

``python -m bench.claims`` prints one JSON line for each measurement:
keyed calls (a claim and a record) a second and their delay with 3 and 5
voters, syncs for each call, the cost at the target rate, and the memory
and snapshot size of the table.
"""

import argparse
from datetime import timedelta
from pathlib import Path
import random
import tempfile
import time
import tracemalloc

import anyio

from bench.state_group import StateGroup
from bench.state_group import find_percentile
from bench.state_group import print_result
from bench.state_group import silence_logs
from bench.state_node import RunClaims
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.table import ClaimTable

TARGET_RATE = 230
"""Keyed calls a second of one group at the target size."""
ANSWER_BYTES = 1024
CLIENTS = ["client-00", "client-01"]
START_MS = 1_800_000_000_000


async def run_load(
    group: StateGroup, workers: int, rate: float, duration_s: float
) -> dict[str, float]:
    """Let all client VMs book; return rates, delays and costs."""
    before = await group.inspect()
    started = time.monotonic()
    results = []

    async def ask(client: str) -> None:
        request = RunClaims(
            workers=workers // len(CLIENTS),
            rate=rate / len(CLIENTS),
            duration_s=duration_s,
            answer_bytes=ANSWER_BYTES,
        )
        timeout = timedelta(seconds=duration_s + 30)
        results.append(await group.network.request(client, request, timeout))

    async with anyio.create_task_group() as tasks:
        for client in CLIENTS:
            tasks.start_soon(ask, client)
    elapsed = time.monotonic() - started
    after = await group.inspect()
    begins = [s for result in results for s in result.begin_s]
    records = [s for result in results for s in result.record_s]
    leader = after[group.voters[0]].log["leader"]
    return {
        "calls_per_s": round(len(begins) / elapsed, 1),
        "failures": sum(result.failures for result in results),
        "begin_p50_ms": round(find_percentile(begins, 50) * 1000, 2),
        "begin_p99_ms": round(find_percentile(begins, 99) * 1000, 2),
        "record_p50_ms": round(find_percentile(records, 50) * 1000, 2),
        "record_p99_ms": round(find_percentile(records, 99) * 1000, 2),
        "leader_syncs_per_call": round(
            _subtract_syncs(after[leader], before[leader]) / len(begins), 3
        ),
        **_describe_costs(group, before, after, elapsed, leader),
    }


def _subtract_syncs(after, before) -> int:
    return after.log["syncs"] - before.log["syncs"]


def _describe_costs(group, before, after, elapsed, leader):
    followers = [vm for vm in group.voters if vm != leader]

    def cpu_percent(vm) -> float:
        spent = after[vm].cpu_s - before[vm].cpu_s
        return round(100 * spent / elapsed, 1)

    def kb_per_s(vm) -> float:
        moved = (
            after[vm].sent_bytes
            + after[vm].received_bytes
            - before[vm].sent_bytes
            - before[vm].received_bytes
        )
        return round(moved / elapsed / 1000, 1)

    return {
        "leader_cpu_percent": cpu_percent(leader),
        "follower_cpu_percent": max(map(cpu_percent, followers)),
        "client_cpu_percent": max(map(cpu_percent, CLIENTS)),
        "leader_kb_per_s": kb_per_s(leader),
        "follower_kb_per_s": max(map(kb_per_s, followers)),
        "resident_mb": round(after[leader].resident_kb / 1024, 1),
    }


async def measure_group(voters: int, duration_s: float) -> None:
    """Measure one group from idle to as much as it can."""
    names = [f"voter-{number:02}" for number in range(voters)]
    with tempfile.TemporaryDirectory() as folder:
        group = StateGroup(
            {"voter": voters, "client": len(CLIENTS)}, names, Path(folder)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.network.run)
            try:
                group.start()
                await group.wait_ready()
                await anyio.sleep(2)
                for workers, rate in (
                    (40, TARGET_RATE),
                    (2, 0),
                    (16, 0),
                    (64, 0),
                ):
                    result = await run_load(group, workers, rate, duration_s)
                    print_result(
                        "keyed calls",
                        voters=voters,
                        workers=workers,
                        asked_per_s=rate or None,
                        **result,
                    )
            finally:
                group.stop_all()
                tasks.cancel_scope.cancel()


def measure_memory(claims: int, answer_bytes: int) -> None:
    """Measure the table's memory and snapshot with answers or without."""
    keeps = answer_bytes > 0
    limits = ClaimLimits(
        attempt_limit_ms=600_000,
        answer_age_ms=3_600_000,
        answers_bytes=1 << 40,
        answers=claims if keeps else 0,
        attempts=claims,
        dated_key_age_ms=86_400_000,
        undated_key_age_ms=30 * 86_400_000,
        remembered=10 * claims,
        clock_quorum=1,
        key_skew_ms=60_000,
        volatile=False,
    )
    generator = random.Random(1)
    tracemalloc.start()
    start_bytes = tracemalloc.get_traced_memory()[0]
    table = ClaimTable()
    started = time.perf_counter()
    for number in range(claims):
        stamp = Stamp("vm", START_MS + number, limits)
        key = generator.randbytes(16)
        attempt = f"attempt-{number:020}"
        table.apply(Begin(stamp, key, None, generator.randbytes(16), attempt))
        table.apply(Record(stamp, key, attempt, bytes(answer_bytes)))
    apply_s = time.perf_counter() - started
    used_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
    tracemalloc.stop()
    started = time.perf_counter()
    snapshot = table.take_snapshot()
    snapshot_s = time.perf_counter() - started
    print_result(
        "table",
        claims=claims,
        kept="answers" if keeps else "tombstones",
        answer_bytes=answer_bytes,
        bytes_per_claim=round(used_bytes / claims, 1),
        snapshot_bytes_per_claim=round(len(snapshot) / claims, 1),
        snapshot_ms=round(snapshot_s * 1000, 1),
        traced_us_per_call=round(apply_s / claims * 1e6, 1),
    )


def main() -> None:
    """Run all measurements, or the named one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=10.0)
    parser.add_argument("--only", choices=("memory", "3", "5"))
    args = parser.parse_args()
    silence_logs()
    if args.only in (None, "memory"):
        for claims in (10_000, 20_000, 40_000):
            measure_memory(claims, ANSWER_BYTES)
        for claims in (50_000, 100_000, 200_000, 400_000):
            measure_memory(claims, 0)
    for voters in (3, 5):
        if args.only in (None, str(voters)):
            anyio.run(measure_group, voters, args.duration)


if __name__ == "__main__":
    main()
