"""Measures how sheets spread.

``python -m bench.sheet`` prints one JSON line for each measurement:

- ``in force``: nine daemons, a change every 2 s; the time until all have
  it in force, first undisturbed, then while one daemon is restarted again
  and again and a voter is stopped by SIGSTOP;
- ``slope``: CPU and bytes a second of the VMs without the log over the
  number of changes a day, of rows and of VMs.
"""

import argparse
from collections.abc import Iterator
import contextlib
from datetime import datetime
import json
from pathlib import Path
import tempfile
import time

import anyio
import httpx

from bench.daemons import DOMAINS
from bench.daemons import Daemons
from bench.state_group import StateGroup
from bench.state_group import find_percentile
from bench.state_group import print_result
from bench.state_group import silence_logs
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import create_clock
from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.ids import SheetNumber
from dotterelbridge.sheet.active_sheet import ActiveSheet
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.parser import format_sheet
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.storage import create_sheet_storage
from dotterelbridge.sheet.submission import SheetSubmitter

TARGET_ROWS = 1600
TARGET_CHANGES_A_DAY = 6900
SECONDS_A_DAY = 86_400
CHANGE_INTERVAL_S = 2.0
IN_FORCE_LIMIT_S = 5.0
START_LIMIT_S = 60


def make_sheet(rows: int, change: int) -> bytes:
    """Return a sheet whose content differs by one row for each change."""
    lines = (_make_row(number, change, rows) for number in range(rows))
    return format_sheet(lines).encode()


def _make_row(number: int, change: int, rows: int) -> SheetRow:
    changed = number == change % rows
    return SheetRow(
        kind=ItemKind.MODEL,
        business=Business("liffeyside"),
        name=ItemName(f"quote-model-{number:05}"),
        version=str(change + 2) if changed else "1",
        memory_mb=8000,
        priority=Priority.URGENT,
        deadline_ms=800,
        min_copies=2,
        callers_at=(Region("dublin"), Region("cork")),
    )


class InForceTrial:
    """Submits changes and reads when they came in force."""

    def __init__(self, daemons: Daemons, rows: int) -> None:
        self._daemons = daemons
        self._rows = rows
        self._change = 0
        self.submitted_at: dict[int, float] = {}

    def submit(self, vm: str) -> None:
        """Submit the next change and note its revision."""
        self._change += 1
        content = make_sheet(self._rows, self._change)
        started = time.time()
        with self._daemons.create_client(vm) as client:
            answer = client.put(
                "/operators/v1/sheet",
                params={"number": self._change},
                content=content,
            )
        answer.raise_for_status()
        self.submitted_at[answer.json()["revision"]] = started

    def submit_every(self, changes: int, vms: list[str], act) -> list[int]:
        """Submit changes at the interval; returns their revisions."""
        first = len(self.submitted_at) + 1
        for number in range(changes):
            due_at = time.time() + CHANGE_INTERVAL_S
            act(number)
            self.submit(vms[number % len(vms)])
            time.sleep(max(0.0, due_at - time.time()))
        return list(range(first, first + changes))

    def report(self, phase: str, revisions: list[int], names) -> None:
        """Print the times from submission to in force."""
        worst = {revision: 0.0 for revision in revisions}
        missed = 0
        for name in names:
            in_force = self._daemons.read_in_force(name)
            for revision in revisions:
                at = min(
                    (at for r, at in in_force.items() if r >= revision),
                    default=None,
                )
                if at is None:
                    missed += 1
                    continue
                taken = at - self.submitted_at[revision]
                worst[revision] = max(worst[revision], taken)
        values = list(worst.values())
        print_result(
            "in force",
            phase=phase,
            rows=self._rows,
            changes=len(revisions),
            vms=len(names),
            missed=missed,
            p50_s=round(find_percentile(values, 50), 3),
            max_s=round(max(values), 3),
            limit_s=IN_FORCE_LIMIT_S,
        )


def measure_in_force(rows: int, changes: int) -> None:
    """Run nine daemons through a calm and a disturbed phase."""
    with tempfile.TemporaryDirectory() as folder:
        daemons = Daemons(Path(folder))
        try:
            for name in daemons.names:
                daemons.start(name)
            _wait_until_ready(daemons)
            _run_phases(daemons, rows, changes)
        finally:
            daemons.kill_all()


def _wait_until_ready(daemons: Daemons) -> None:
    """Wait until a daemon in the last domain reaches all others."""
    ends_at = time.time() + START_LIMIT_S
    while time.time() < ends_at:
        with contextlib.suppress(httpx.HTTPError):
            if _is_ready(daemons):
                return
        time.sleep(0.5)
    raise SystemExit("the daemons did not become ready")


def _is_ready(daemons: Daemons) -> bool:
    with daemons.create_client(daemons.names[-1]) as client:
        status = client.get("/operators/v1/sheet/status")
        dump = client.get("/operators/v1/dump/sheet")
    status.raise_for_status()
    dump.raise_for_status()
    reachable = [row["reachable"] for row in status.json()]
    return all(reachable) and dump.json()["source"] is not None


def _run_phases(daemons: Daemons, rows: int, changes: int) -> None:
    trial = InForceTrial(daemons, rows)
    vms = ["galway-2", "cork-1", "dublin-2"]
    revisions = trial.submit_every(changes, vms, lambda number: None)
    time.sleep(IN_FORCE_LIMIT_S)
    trial.report("calm", revisions, daemons.names)
    leader = _find_leader(daemons)
    frozen = leader
    domain = frozen.partition("-")[0]
    restarted = next(
        f"{d}-1" for d in DOMAINS if d != domain and f"{d}-1" not in vms
    )
    daemons.freeze(frozen)

    def restart(number: int) -> None:
        if number % 3 == 0:
            daemons.kill(restarted)
            daemons.start(restarted)

    vms = [vm for vm in vms if vm != restarted]
    revisions = trial.submit_every(changes, vms, restart)
    time.sleep(IN_FORCE_LIMIT_S)
    steady = [n for n in daemons.names if n not in (frozen, restarted)]
    trial.report("leader stopped, one restarting", revisions, steady)
    _report_restarts(daemons, restarted, max(revisions))


def _find_leader(daemons: Daemons) -> str:
    with daemons.create_client("galway-0") as client:
        return client.get("/operators/v1/dump/replication").json()["leader"]


def _report_restarts(daemons: Daemons, name: str, newest: int) -> None:
    """Print how long a restarted daemon had no sheet in force."""
    starts = daemons.read_starts(name)[1:]
    in_force = []
    for line in daemons.log_path(name).read_text().splitlines():
        with contextlib.suppress(ValueError):
            record = json.loads(line)
            if record.get("event") == "sheet_in_force":
                at = datetime.fromisoformat(record["timestamp"]).timestamp()
                in_force.append((at, record["revision"]))
    delays = [
        min(at for at, _ in in_force if at > start - 1) - start
        for start in starts
        if any(at > start - 1 for at, _ in in_force)
    ]
    print_result(
        "restarted VM",
        restarts=len(starts),
        newest_revision=in_force[-1][1],
        expected_revision=newest,
        max_s_from_start=round(max(delays, default=0.0), 3),
    )


async def measure_slope(
    vms: int, rows: int, changes_a_day: float, duration_s: float
) -> None:
    """Measure VMs without the log in one domain, by lean processes."""
    domains = {"dublin": 3, "galway": vms}
    voters = [f"dublin-{number:02}" for number in range(3)]
    with tempfile.TemporaryDirectory() as folder:
        group = StateGroup(
            domains,
            voters,
            Path(folder),
            claims=ClaimsSettings(tick_interval_s=3600),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.network.run)
            try:
                group.start()
                await group.wait_ready()
                await _run_slope(group, rows, changes_a_day, duration_s)
            finally:
                group.stop_all()
                tasks.cancel_scope.cancel()


async def _run_slope(
    group: StateGroup, rows: int, changes_a_day: float, duration_s: float
) -> None:
    submitter = _create_submitter(group)
    await submitter.submit(SheetNumber(1), make_sheet(rows, 0))
    # The VMs settle on their preferred sources meanwhile.
    await anyio.sleep(12)
    before = await group.inspect()
    started = time.monotonic()
    submitted_at = await _submit_changes(
        submitter, rows, changes_a_day, duration_s
    )
    after = await group.inspect()
    elapsed = time.monotonic() - started
    leaves = [vm for vm in group.names if vm not in group.voters]
    relay = "galway-00"
    cpu = {
        vm: 100 * (after[vm].cpu_s - before[vm].cpu_s) / elapsed
        for vm in group.names
    }
    moved = {
        vm: (
            after[vm].sent_bytes
            + after[vm].received_bytes
            - before[vm].sent_bytes
            - before[vm].received_bytes
        )
        / elapsed
        / 1000
        for vm in group.names
    }
    delays = [
        max(after[vm].in_force_at[str(r)] for vm in leaves) - at
        for r, at in submitted_at.items()
        if all(str(r) in after[vm].in_force_at for vm in leaves)
    ]
    others = [vm for vm in leaves if vm != relay]
    print_result(
        "slope",
        vms_in_domain=len(leaves),
        rows=rows,
        changes_a_day=round(changes_a_day),
        changes=len(submitted_at),
        relay_cpu_percent=round(cpu[relay], 2),
        relay_kb_per_s=round(moved[relay], 2),
        vm_cpu_percent=round(sum(cpu[v] for v in others) / len(others), 2),
        vm_cpu_percent_max=round(max(cpu[v] for v in others), 2),
        vm_kb_per_s=round(sum(moved[v] for v in others) / len(others), 2),
        vm_kb_per_s_max=round(max(moved[v] for v in others), 2),
        voter_cpu_percent_max=round(max(cpu[v] for v in group.voters), 2),
        voter_kb_per_s_max=round(max(moved[v] for v in group.voters), 2),
        in_force_max_s=round(max(delays, default=0.0), 3),
        vm_resident_mb=round(after[relay].resident_kb / 1024, 1),
    )


def _create_submitter(group: StateGroup) -> SheetSubmitter:
    """Return a submitter that forwards whole sheets to the voters."""
    return SheetSubmitter(
        None,
        group.network,
        group.voters,
        ActiveSheet(create_sheet_storage(None), 1),
        KnownNames(),
        SheetSettings(),
        create_clock(),
    )


async def _submit_changes(
    submitter: SheetSubmitter,
    rows: int,
    changes_a_day: float,
    duration_s: float,
) -> dict[int, float]:
    """Submit for a while; returns the times by revision."""
    submitted_at: dict[int, float] = {}
    ends_at = time.monotonic() + duration_s
    interval_s = SECONDS_A_DAY / changes_a_day if changes_a_day else duration_s
    for number in _count_from(2):
        wait_s = min(interval_s, ends_at - time.monotonic())
        await anyio.sleep(max(0.0, wait_s))
        if time.monotonic() >= ends_at:
            return submitted_at
        started = time.monotonic()
        outcome = await submitter.submit(
            SheetNumber(number), make_sheet(rows, number)
        )
        submitted_at[outcome.revision] = started
    return submitted_at


def _count_from(start: int) -> Iterator[int]:
    number = start
    while True:
        yield number
        number += 1


SLOPES = (
    # VMs in the domain, rows, changes a day
    (9, TARGET_ROWS, 0),
    (9, TARGET_ROWS, TARGET_CHANGES_A_DAY),
    (9, TARGET_ROWS, 6 * TARGET_CHANGES_A_DAY),
    (9, 400, 6 * TARGET_CHANGES_A_DAY),
    (9, 6400, 6 * TARGET_CHANGES_A_DAY),
    (5, TARGET_ROWS, TARGET_CHANGES_A_DAY),
    (21, TARGET_ROWS, TARGET_CHANGES_A_DAY),
)


def main() -> None:
    """Run all measurements, or the named kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=("in-force", "slopes"))
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--duration", type=float, default=30.0)
    args = parser.parse_args()
    silence_logs()
    if args.only in (None, "in-force"):
        measure_in_force(TARGET_ROWS, args.changes)
    if args.only in (None, "slopes"):
        for vms, rows, changes_a_day in SLOPES:
            anyio.run(measure_slope, vms, rows, changes_a_day, args.duration)


if __name__ == "__main__":
    main()
