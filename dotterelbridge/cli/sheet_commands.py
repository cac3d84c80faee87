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
WAIT_PAUSE_S = 0.25
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
    """Report every fault of a CSV file; needs no daemon."""
    rows = _read_file(args, env)
    if rows is None:
        return ExitStatus.REFUSED
    env.stdout.write(f"{args.file}: no faults; {len(rows)} rows\n")
    return ExitStatus.OK


def submit_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Submit a CSV file under its number."""
    client = create_client(args, env)
    content = Path(args.file).read_bytes()
    query = {"number": args.number}
    outcome = client.call("PUT", SHEET_PATH, query, content).json()
    if not args.wait:
        output.print_record(env, args.output, outcome)
        return ExitStatus.OK
    return _wait_in_force(args, env, client, outcome)


def show_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the sheet in force, as CSV or JSON."""
    client = create_client(args, env)
    if args.output == "json":
        output.print_json(env, client.get(SHEET_PATH))
        return ExitStatus.OK
    answer = client.call("GET", SHEET_PATH, {"format": "csv"})
    env.stdout.write(answer.text)
    return ExitStatus.OK


def diff_sheet(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print what a CSV file would change."""
    rows = _read_file(args, env)
    if rows is None:
        return ExitStatus.REFUSED
    record = create_client(args, env).get(SHEET_PATH)
    in_force = msgspec.convert(record, SheetRevision)
    changes = compute_changes(in_force.rows, rows)
    lines = list(_describe_changes(in_force, changes))
    output.print_rows(env, args.output, DIFF_COLUMNS, lines)
    return ExitStatus.OK


def show_sheet_status(
    args: argparse.Namespace, env: Environment
) -> ExitStatus:
    """Print the revision that is in force on each VM."""
    rows = create_client(args, env).get(STATUS_PATH)
    output.print_rows(env, args.output, STATUS_COLUMNS, rows)
    return ExitStatus.OK


def _read_file(
    args: argparse.Namespace, env: Environment
) -> tuple[SheetRow, ...] | None:
    """Return the rows of a file; None after its faults were printed."""
    content = Path(args.file).read_bytes()
    try:
        return parse_sheet(content, KnownNames(), SheetSettings())
    except SheetInvalid as error:
        env.print_error("dotterelbridge", f"{args.file}: {error}")
        return None


def _wait_in_force(
    args: argparse.Namespace,
    env: Environment,
    client: OperatorClient,
    outcome: dict[str, Any],
) -> ExitStatus:
    """Wait until every reachable VM has the accepted revision."""
    revision = outcome["revision"]
    deadline = env.clock.monotonic() + args.wait_timeout
    while True:
        rows = client.get(STATUS_PATH)
        late = [
            row["vm"]
            for row in rows
            if row["reachable"] and row["revision"] < revision
        ]
        if not late or env.clock.monotonic() >= deadline:
            break
        _sleep(env.clock)
    unreachable = [row["vm"] for row in rows if not row["reachable"]]
    record = {**outcome, "late": late, "unreachable": unreachable}
    output.print_record(env, args.output, record)
    if not late:
        return ExitStatus.OK
    env.print_error(
        "dotterelbridge",
        f"accepted, but not in force on {', '.join(late)} after "
        f"{args.wait_timeout:g} s; look again with 'dotterelbridge sheet "
        "status', the sheet is not lost",
    )
    return ExitStatus.TIMEOUT


def _sleep(clock: Clock) -> None:
    anyio.run(clock.sleep, timedelta(seconds=WAIT_PAUSE_S))


def _describe_changes(
    in_force: SheetRevision, changes: RowChanges
) -> Iterator[dict[str, Any]]:
    held = in_force.index()
    for name in changes.removed:
        yield {"change": "removed", "name": name}
    for row in changes.changed:
        before = held.get(row.name)
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
