"""Output of the command-line tool: tables for people, JSON for scripts."""

from collections.abc import Sequence
import json
from typing import Any

from dotterelbridge.cli.environment import Environment

COLUMN_SEPARATOR = "  "


def print_rows(
    env: Environment,
    output: str,
    columns: Sequence[str],
    rows: Sequence[dict[str, Any]],
) -> None:
    """Print rows as a table with the given columns, or as JSON."""
    if output == "json":
        print_json(env, list(rows))
        return
    table_rows = [
        [_format_value(row.get(name)) for name in columns] for row in rows
    ]
    header_row = [name.replace("_", " ").upper() for name in columns]
    widths = [
        max(len(table_row[i]) for table_row in [header_row, *table_rows])
        for i in range(len(columns))
    ]
    for table_row in [header_row, *table_rows]:
        padded = (
            cell.ljust(width)
            for cell, width in zip(table_row, widths, strict=True)
        )
        env.stdout.write(COLUMN_SEPARATOR.join(padded).rstrip() + "\n")


def print_record(env: Environment, output: str, record: dict) -> None:
    """Print one record with a name and a value on each line, or as JSON."""
    if output == "json":
        print_json(env, record)
        return
    width = max((len(name) for name in record), default=0)
    for name, value in record.items():
        env.stdout.write(f"{name.ljust(width)}  {_format_value(value)}\n")


def print_json(env: Environment, value: Any) -> None:
    """Print a value as indented JSON."""
    json.dump(value, env.stdout, indent=2, default=str)
    env.stdout.write("\n")


def _format_value(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(_format_value(part) for part in value) or "-"
    if isinstance(value, dict):
        return json.dumps(value, default=str)
    return str(value)
