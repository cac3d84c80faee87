"""Commands on sheets."""

import argparse
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio
import msgspec

from dotterelbridge.cli import output
from dotterelbridge.cli.client import OperatorClient
from dotterelbridge.cli.client import create_client
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.clock import Clock
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.delta import RowChanges
from dotterelbridge.sheet.delta import compute_changes
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings

SHEET_PATH = "/operators/v1/sheet"
STATUS_PATH = f"{SHEET_PATH}/status"
POLL_INTERVAL_S = 0.25
STATUS_COLUMNS = (
    "vm",
    "failure_domain",
    "reachable",
    "revision",
    "number",
    "detached_ms",
)
DIFF_COLUMNS = ("change", "name", "column", "in_force", "in_file")


def check_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Report every fault in a CSV file; no daemon is needed."""
    rows = _read_file(args, env)
    if rows is None:
        return ExitStatus.REFUSED
    env.stdout.write(f"{args.file}: no faults; {len(rows)} rows\n")
    return ExitStatus.OK


def submit_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Submit a CSV file with its sheet number."""
    client = create_client(args, env)
    content = Path(args.file).read_bytes()
    query = {"number": args.number}
    outcome = client.send_request("PUT", SHEET_PATH, query, content).json()
    if not args.wait:
        output.print_record(env, args.output, outcome)
        return ExitStatus.OK
    return _wait_until_in_force(args, env, client, outcome)


def show_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the sheet in force, as CSV or JSON."""
    client = create_client(args, env)
    if args.output == "json":
        output.print_json(env, client.fetch_json(SHEET_PATH))
        return ExitStatus.OK
    response = client.send_request("GET", SHEET_PATH, {"format": "csv"})
    env.stdout.write(response.text)
    return ExitStatus.OK


def diff_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the changes between the sheet in force and a CSV file."""
    rows = _read_file(args, env)
    if rows is None:
        return ExitStatus.REFUSED
    record = create_client(args, env).fetch_json(SHEET_PATH)
    active_sheet = msgspec.convert(record, SheetRevision)
    changes = compute_changes(active_sheet.rows, rows)
    lines = list(_describe_changes(active_sheet, changes))
    output.print_rows(env, args.output, DIFF_COLUMNS, lines)
    return ExitStatus.OK


def show_sheet_status(
    args: argparse.Namespace, env: Environment
) -> ExitStatus:
    """Print the revision that is in force on each VM."""
    rows = create_client(args, env).fetch_json(STATUS_PATH)
    output.print_rows(env, args.output, STATUS_COLUMNS, rows)
    return ExitStatus.OK


def _read_file(
    args: argparse.Namespace, env: Environment
) -> tuple[SheetRow, ...] | None:
    """Return the rows of a file; print its faults and return None if any."""
    content = Path(args.file).read_bytes()
    try:
        return parse_sheet(content, KnownNames(), SheetSettings())
    except SheetInvalid as error:
        env.print_error("dotterelbridge", f"{args.file}: {error}")
        return None


def _wait_until_in_force(
    args: argparse.Namespace,
    env: Environment,
    client: OperatorClient,
    outcome: dict[str, Any],
) -> ExitStatus:
    """Wait until the accepted revision is in force on all reachable VMs."""
    revision = outcome["revision"]
    deadline = env.clock.monotonic() + args.wait_timeout
    while True:
        rows = client.fetch_json(STATUS_PATH)
        late_vms = [
            row["vm"]
            for row in rows
            if row["reachable"] and row["revision"] < revision
        ]
        if not late_vms or env.clock.monotonic() >= deadline:
            break
        _sleep(env.clock)
    unreachable_vms = [row["vm"] for row in rows if not row["reachable"]]
    record = {**outcome, "late": late_vms, "unreachable": unreachable_vms}
    output.print_record(env, args.output, record)
    if not late_vms:
        return ExitStatus.OK
    env.print_error(
        "dotterelbridge",
        f"accepted, but not in force on {', '.join(late_vms)} after "
        f"{args.wait_timeout:g} s; look again with 'dotterelbridge sheet "
        "status', the sheet is not lost",
    )
    return ExitStatus.TIMEOUT


def _sleep(clock: Clock) -> None:
    anyio.run(clock.sleep, timedelta(seconds=POLL_INTERVAL_S))


def _describe_changes(
    active_sheet: SheetRevision, changes: RowChanges
) -> Iterator[dict[str, Any]]:
    current_rows = active_sheet.index()
    for name in changes.removed:
        yield {"change": "removed", "name": name}
    for row in changes.changed:
        before = current_rows.get(row.name)
        if before is None:
            yield {"change": "added", "name": row.name}
            continue
        old, new = msgspec.to_builtins(before), msgspec.to_builtins(row)
        for column in old:
            if old[column] != new[column]:
                yield {
                    "change": "changed",
                    "name": row.name,
                    "column": column,
                    "in_force": old[column],
                    "in_file": new[column],
                }
