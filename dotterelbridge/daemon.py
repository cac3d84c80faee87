"""Entry point of ``dotterelbridged``: wires the parts and runs them."""

from collections.abc import Sequence
import sys

import anyio

from dotterelbridge import metrics
from dotterelbridge.assembly import Assembly
from dotterelbridge.assembly import create_assembly
from dotterelbridge.cli.argument_parsers import create_daemon_parser
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.lifecycle import run_until_drained
from dotterelbridge.logs import configure_logs
from dotterelbridge.settings import LogSettings
from dotterelbridge.settings import MetricsSettings
from dotterelbridge.settings import Settings
from dotterelbridge.settings import load_settings

PROGRAM = "dotterelbridged"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the daemon; ``args`` are without the program's name."""
    try:
        parsed = create_daemon_parser().parse_args(args)
    except SystemExit as stop:
        return ExitStatus(stop.code or 0)
    try:
        settings = load_settings(parsed.config)
        assembly = prepare(settings, env)
        anyio.run(run_until_drained, assembly)
    except DotterelbridgeError as error:
        env.print_error(PROGRAM, str(error))
        return ExitStatus.ERROR
    except OSError as error:
        env.print_error(PROGRAM, f"{error}; check addresses and files")
        return ExitStatus.ERROR
    return ExitStatus.OK


def prepare(settings: Settings, env: Environment) -> Assembly:
    """Set up logs and metrics and make the parts."""
    logs = settings.get_section(LogSettings)
    recent = configure_logs(logs.level.value, logs.format.value, env.stderr)
    metrics.start(settings.get_section(MetricsSettings).otlp_endpoint)
    return create_assembly(settings, env.clock, recent)


def run() -> None:
    """Run as a console program."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
