"""Entry point of the ``dotterelbridge`` tool."""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import sys

from dotterelbridge.cli import config_commands
from dotterelbridge.cli import explain_command
from dotterelbridge.cli import sheet_commands
from dotterelbridge.cli import state_commands
from dotterelbridge.cli.argument_parsers import create_tool_parser
from dotterelbridge.cli.client import CommandFailed
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.errors import DotterelbridgeError

PROGRAM = "dotterelbridge"

Command = Callable[[argparse.Namespace, Environment], ExitStatus]

COMMANDS: dict[tuple[str, str | None], Command] = {
    ("config", "check"): config_commands.check_config,
    ("config", "options"): config_commands.list_options,
    ("sheet", "check"): sheet_commands.check_sheet,
    ("sheet", "submit"): sheet_commands.submit_sheet,
    ("sheet", "show"): sheet_commands.show_sheet,
    ("sheet", "diff"): sheet_commands.diff_sheet,
    ("sheet", "status"): sheet_commands.show_sheet_status,
    ("status", None): state_commands.show_status,
    ("targets", None): state_commands.list_targets,
    ("models", None): state_commands.list_models,
    ("dump", None): state_commands.dump_state,
    ("metrics", None): state_commands.print_metrics,
    ("events", None): state_commands.list_events,
    ("explain", None): explain_command.explain_request,
    ("drain", None): state_commands.begin_drain,
    ("undrain", None): state_commands.end_drain,
    ("moves", "pause"): state_commands.pause_moves,
    ("moves", "resume"): state_commands.pause_moves,
}


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command; ``args`` does not include the program name."""
    parser = create_tool_parser()
    try:
        parsed = parser.parse_args(args)
    except SystemExit as stop:
        return ExitStatus(stop.code or 0)
    command = COMMANDS[parsed.command, getattr(parsed, "subcommand", None)]
    try:
        return command(parsed, env)
    except CommandFailed as error:
        env.print_error(PROGRAM, str(error))
        return error.status
    except DotterelbridgeError as error:
        env.print_error(PROGRAM, str(error))
        return ExitStatus.ERROR
    except OSError as error:
        env.print_error(PROGRAM, f"{error.filename}: {error.strerror}")
        return ExitStatus.ERROR


def run() -> None:
    """Console script: run with ``sys.argv`` and exit."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
