"""Shows what happened to a request, from the logs of one or more VMs."""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from dotterelbridge.cli import output
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus

COLUMNS = ("timestamp", "event", "target", "details")
_FIELDS_OUTSIDE_DETAILS = (
    "timestamp",
    "event",
    "event_number",
    "level",
    "target",
)
_CONTEXT_EVENTS = (
    "target_seen",
    "target_leaving",
    "target_gone",
    "target_ejected",
    "move_planned",
    "order_sent",
    "order_answered",
    "order_overdue",
    "ordering_waits",
    "ordering_started",
    "ordering_ended",
    "routes_in_force",
)
"""Shown in addition to the entries of the request itself: what the VMs knew of
targets and did with them until the request ended."""


class LogReader:
    """Parses log lines and counts those that are not log entries."""

    def __init__(self) -> None:
        self.invalid_line_count = 0

    def read(self, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
        """Yield the JSON object of each line, ignoring any prefix."""
        for line in lines:
            start = line.find("{")
            if not line.strip():
                continue
            try:
                entry = msgspec.json.decode(line[max(start, 0) :])
            except (msgspec.MsgspecError, UnicodeEncodeError):
                self.invalid_line_count += 1
                continue
            if isinstance(entry, dict) and "event" in entry:
                yield entry
            else:
                self.invalid_line_count += 1


def explain_request(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print what happened to a request, in chronological order."""
    reader = LogReader()
    entries = list(reader.read(_read_lines(args.files, env)))
    request_entries = [e for e in entries if e.get("request") == args.request]
    rows = [
        _create_row(entry)
        for entry in sorted(
            [
                *request_entries,
                *_find_context_entries(entries, request_entries),
            ],
            key=lambda entry: str(entry.get("timestamp", "")),
        )
    ]
    output.print_rows(env, args.output, COLUMNS, rows)
    if reader.invalid_line_count:
        env.print_error(
            "dotterelbridge",
            f"{reader.invalid_line_count} lines were no log lines and were "
            "left out",
        )
    if not request_entries:
        env.print_error(
            "dotterelbridge",
            f"no line names the request {args.request!r}; read the logs of "
            "all entry VMs of the caller's failure domain",
        )
        return ExitStatus.ERROR
    return ExitStatus.OK


def _read_lines(files: list[str], env: Environment) -> Iterator[str]:
    if not files:
        yield from env.stdin
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


def _find_context_entries(
    entries: list[dict[str, Any]], request_entries: list[dict[str, Any]]
) -> Iterator[dict[str, Any]]:
    """Yield earlier events that concern the request's targets or models."""
    if not request_entries:
        return
    last_timestamp = max(
        str(entry.get("timestamp", "")) for entry in request_entries
    )
    targets = {entry.get("target") for entry in request_entries} - {None}
    models = {entry.get("model") for entry in request_entries} - {None, ""}
    for entry in entries:
        if entry["event"] not in _CONTEXT_EVENTS or entry in request_entries:
            continue
        if str(entry.get("timestamp", "")) > last_timestamp:
            continue
        is_relevant = (
            entry.get("target") in targets
            or entry.get("model") in models
            or entry.get("evicted_model") in models
            or "target" not in entry
        )
        if is_relevant:
            yield entry


def _create_row(entry: dict[str, Any]) -> dict[str, Any]:
    details = {
        k: v for k, v in entry.items() if k not in _FIELDS_OUTSIDE_DETAILS
    }
    return {
        "timestamp": entry.get("timestamp"),
        "event": entry["event"],
        "target": entry.get("target"),
        "details": details,
    }
