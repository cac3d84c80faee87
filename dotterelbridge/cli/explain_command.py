"""Shows a request's course from the logs of one or more VMs."""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from dotterelbridge.cli import output
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus

COLUMNS = ("timestamp", "event", "target", "details")
_PLAIN_FIELDS = ("timestamp", "event", "event_number", "level", "target")
_TARGET_EVENTS = (
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
"""What VMs believed and did, beside the request's own lines."""


class LogReader:
    """Reads lines; counts those that are no JSON object."""

    def __init__(self) -> None:
        self.unreadable = 0

    def read(self, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
        """Yield the log lines, whatever stands before their object."""
        for line in lines:
            start = line.find("{")
            if not line.strip():
                continue
            try:
                entry = msgspec.json.decode(line[max(start, 0) :])
            except (msgspec.MsgspecError, UnicodeEncodeError):
                self.unreadable += 1
                continue
            if isinstance(entry, dict) and "event" in entry:
                yield entry
            else:
                self.unreadable += 1


def explain_request(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print what happened to a request, in order of time."""
    reader = LogReader()
    entries = list(reader.read(_read_lines(args.files, env)))
    own = [e for e in entries if e.get("request") == args.request]
    rows = [
        _create_row(entry)
        for entry in sorted(
            [*own, *_find_context(entries, own)],
            key=lambda entry: str(entry.get("timestamp", "")),
        )
    ]
    output.print_rows(env, args.output, COLUMNS, rows)
    if reader.unreadable:
        env.print_error(
            "dotterelbridge",
            f"{reader.unreadable} lines were no log lines and were left out",
        )
    if not own:
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


def _find_context(
    entries: list[dict[str, Any]], own: list[dict[str, Any]]
) -> Iterator[dict[str, Any]]:
    """Yield what was believed of the request's targets and model."""
    if not own:
        return
    ends_at = max(str(entry.get("timestamp", "")) for entry in own)
    targets = {entry.get("target") for entry in own} - {None}
    models = {entry.get("model") for entry in own} - {None, ""}
    for entry in entries:
        if entry["event"] not in _TARGET_EVENTS or entry in own:
            continue
        if str(entry.get("timestamp", "")) > ends_at:
            continue
        concerns = (
            entry.get("target") in targets
            or entry.get("model") in models
            or entry.get("evicted_model") in models
            or "target" not in entry
        )
        if concerns:
            yield entry


def _create_row(entry: dict[str, Any]) -> dict[str, Any]:
    details = {k: v for k, v in entry.items() if k not in _PLAIN_FIELDS}
    return {
        "timestamp": entry.get("timestamp"),
        "event": entry["event"],
        "target": entry.get("target"),
        "details": details,
    }
