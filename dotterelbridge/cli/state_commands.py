"""Commands that read a daemon's state, drain VMs or pause moves."""

import argparse
import logging
from typing import Any

from dotterelbridge import catalogue
from dotterelbridge.cli import output
from dotterelbridge.cli.client import create_client
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus

TARGET_COLUMNS = (
    "target",
    "failure_domain",
    "state",
    "memory_mb",
    "committed_mb",
    "items",
    "ordered",
    "running",
    "fencing_number",
)
MODEL_COLUMNS = ("name", "business", "kind", "reachable", "ready_at", "reason")


def show_status(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print a summary of each part of the daemon."""
    record = create_client(args, env).fetch_json("/operators/v1/status")
    output.print_record(env, args.output, record)
    return ExitStatus.OK


def list_targets(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the targets with their memory and state."""
    rows = create_client(args, env).fetch_json("/operators/v1/targets")
    if args.output == "table":
        rows = [_replace_lists_by_counts(row) for row in rows]
    output.print_rows(env, args.output, TARGET_COLUMNS, rows)
    return ExitStatus.OK


def list_models(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the models and adapters and where they are ready."""
    rows = create_client(args, env).fetch_json("/operators/v1/models")
    output.print_rows(env, args.output, MODEL_COLUMNS, rows)
    return ExitStatus.OK


def dump_state(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the state of one part or of all parts, always as JSON."""
    path = "/operators/v1/dump"
    if args.part:
        path += f"/{args.part}"
    output.print_json(env, create_client(args, env).fetch_json(path))
    return ExitStatus.OK


def print_metrics(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the metrics in the Prometheus text format."""
    env.stdout.write(
        create_client(args, env).send_request("GET", "/metrics").text
    )
    return ExitStatus.OK


def list_events(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the event catalogue, or the latest events of a daemon."""
    if args.recent:
        lines = create_client(args, env).fetch_json("/operators/v1/events")
        columns = ("timestamp", "event_number", "level", "event")
        output.print_rows(env, args.output, columns, lines)
        return ExitStatus.OK
    if args.markdown:
        env.stdout.write(catalogue.render_markdown())
        return ExitStatus.OK
    rows = [
        {
            "number": event.number,
            "name": event.name.lower(),
            "level": logging.getLevelName(event.level).lower(),
            "meaning": event.meaning,
        }
        for event in catalogue.list_events()
    ]
    columns = ("number", "name", "level", "meaning")
    output.print_rows(env, args.output, columns, rows)
    return ExitStatus.OK


def begin_drain(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Drain a VM or target: it gets no new work."""
    return _send_drain_request(args, env, "POST")


def end_drain(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """End a drain that an operator began."""
    return _send_drain_request(args, env, "DELETE")


def pause_moves(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Pause or resume the loads and unloads of placement."""
    path = f"/operators/v1/moves/{args.subcommand}"
    record = create_client(args, env).send_request("POST", path).json()
    output.print_record(env, args.output, record)
    return ExitStatus.OK


def _replace_lists_by_counts(row: dict[str, Any]) -> dict[str, Any]:
    """Return the row with lists replaced by their lengths, for a table."""
    counts = {
        name: len(row[name])
        for name in ("items", "ordered")
        if isinstance(row.get(name), list)
    }
    return {**row, **counts}


def _send_drain_request(
    args: argparse.Namespace, env: Environment, method: str
) -> ExitStatus:
    path = f"/operators/v1/drain/{args.name}"
    record = create_client(args, env).send_request(method, path).json()
    output.print_record(env, args.output, record)
    return ExitStatus.OK
