"""Argument parsers of the daemon and of the command-line tool."""

import argparse
import textwrap

from dotterelbridge import __version__
from dotterelbridge.cli.exit_status import ExitStatus

DEFAULT_SERVER = "http://127.0.0.1:8001"
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_WAIT_TIMEOUT_S = 30.0

EXIT_STATUS_HELP = "exit statuses: " + ", ".join(
    f"{status.value} {status.name.lower()}" for status in ExitStatus
)

TOOL_EXAMPLES = """
examples:
  dotterelbridge config check /etc/dotterelbridge.ini
  dotterelbridge sheet submit morning.csv --number 412 --wait
  dotterelbridge --output json targets
  dotterelbridge drain liffey-dublin-engine-1
"""


def create_daemon_parser() -> argparse.ArgumentParser:
    """Return the parser of ``dotterelbridged``."""
    parser = _create_parser(
        "dotterelbridged",
        "Serve callers on this entry VM.",
        "\nexample:\n  dotterelbridged --config /etc/dotterelbridge.ini\n",
    )
    parser.add_argument(
        "--config",
        metavar="FILE",
        required=True,
        help="settings file (INI)",
    )
    return parser


def create_tool_parser() -> argparse.ArgumentParser:
    """Return the parser of ``dotterelbridge``."""
    parser = _create_parser(
        "dotterelbridge",
        "Operate a dotterelbridge deployment.",
        TOOL_EXAMPLES,
    )
    _add_common_arguments(parser)
    commands = parser.add_subparsers(
        dest="command", metavar="COMMAND", required=True
    )
    _add_config_commands(commands)
    _add_sheet_commands(commands)
    _add_state_commands(commands)
    _add_drain_commands(commands)
    _add_explain_command(commands)
    return parser


def _create_parser(
    program: str, description: str, examples: str
) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=textwrap.dedent(examples) + "\n" + EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"{program} {__version__}"
    )
    return parser


def _add_common_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--server",
        metavar="URL",
        help="operators' listener of a daemon; by default "
        f"$DOTTERELBRIDGE_SERVER or {DEFAULT_SERVER}",
    )
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="file with the bearer token; by default "
        "$DOTTERELBRIDGE_TOKEN_FILE",
    )
    parser.add_argument(
        "--timeout",
        metavar="SECONDS",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        help="timeout of one request (default: %(default)s)",
    )
    parser.add_argument(
        "--output",
        choices=("table", "json"),
        default="table",
        help="output format (default: %(default)s)",
    )


def _add_command_group(commands, name: str, summary: str):
    group = commands.add_parser(name, help=summary, description=summary)
    return group.add_subparsers(
        dest="subcommand", metavar="COMMAND", required=True
    )


def _add_config_commands(commands) -> None:
    config = _add_command_group(commands, "config", "Check settings files.")
    check = config.add_parser("check", help="report every fault in a file")
    check.add_argument("file", metavar="FILE")
    options = config.add_parser("options", help="list all settings")
    options.add_argument(
        "section",
        metavar="SECTION",
        nargs="?",
        help="section to list (default: all)",
    )
    options.add_argument(
        "--markdown",
        action="store_true",
        help="in the format of docs/SETTINGS.md",
    )


def _add_sheet_commands(commands) -> None:
    sheet = _add_command_group(
        commands, "sheet", "Check, submit and show sheets."
    )
    check = sheet.add_parser(
        "check", help="report every fault of a CSV file, without a daemon"
    )
    check.add_argument("file", metavar="FILE")
    submit = sheet.add_parser(
        "submit", help="submit a CSV file as the intended state"
    )
    submit.add_argument("file", metavar="FILE")
    submit.add_argument(
        "--number",
        type=int,
        required=True,
        help="number that the planners gave the sheet",
    )
    submit.add_argument(
        "--wait",
        action="store_true",
        help="return when the sheet is in force on all reachable VMs",
    )
    submit.add_argument(
        "--wait-timeout",
        metavar="SECONDS",
        type=float,
        default=DEFAULT_WAIT_TIMEOUT_S,
        help="timeout of --wait (default: %(default)s)",
    )
    sheet.add_parser("show", help="print the sheet in force")
    diff = sheet.add_parser(
        "diff", help="compare a CSV file with the sheet in force"
    )
    diff.add_argument("file", metavar="FILE")
    sheet.add_parser("status", help="show the sheet revision on each VM")


def _add_state_commands(commands) -> None:
    commands.add_parser("status", help="summarise the parts of a daemon")
    commands.add_parser("targets", help="list targets and their memory")
    commands.add_parser("models", help="list models and where they are ready")
    dump = commands.add_parser("dump", help="print the state of a daemon")
    dump.add_argument(
        "part", metavar="PART", nargs="?", help="part to print (default: all)"
    )
    commands.add_parser("metrics", help="print the metrics of a daemon")
    events = commands.add_parser("events", help="list the log events")
    events.add_argument(
        "--recent",
        action="store_true",
        help="the latest events of a daemon instead of the catalogue",
    )
    events.add_argument(
        "--markdown",
        action="store_true",
        help="the catalogue in the format of docs/EVENTS.md",
    )


def _add_explain_command(commands) -> None:
    explain = commands.add_parser(
        "explain", help="show what happened to a request, from log files"
    )
    explain.add_argument("request", metavar="REQUEST-ID")
    explain.add_argument(
        "files",
        metavar="FILE",
        nargs="*",
        help="logs of one or more VMs (default: standard input)",
    )


def _add_drain_commands(commands) -> None:
    drain = commands.add_parser(
        "drain", help="send no new work to a VM or target"
    )
    drain.add_argument("name", metavar="VM|TARGET")
    undrain = commands.add_parser(
        "undrain", help="end a drain that an operator began"
    )
    undrain.add_argument("name", metavar="VM|TARGET")
    moves = _add_command_group(
        commands, "moves", "Pause or resume model moves."
    )
    moves.add_parser("pause", help="start no new load or unload")
    moves.add_parser("resume", help="let placement move models again")
