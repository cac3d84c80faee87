"""Entry point of ``dotterelbridged``: creates the components and runs them."""

from collections.abc import Sequence
import sys

import anyio

from dotterelbridge import early_signals
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
    """Run the daemon; ``args`` exclude the program name."""
    try:
        arguments = create_daemon_parser().parse_args(args)
    except SystemExit as parser_exit:
        return ExitStatus(parser_exit.code or 0)
    try:
        settings = load_settings(arguments.config)
        assembly = initialize_daemon(settings, env)
        anyio.run(run_until_drained, assembly)
    except DotterelbridgeError as error:
        env.print_error(PROGRAM, str(error))
        return ExitStatus.ERROR
    except OSError as error:
        env.print_error(PROGRAM, f"{error}; check addresses and files")
        return ExitStatus.ERROR
    return ExitStatus.OK


def initialize_daemon(settings: Settings, env: Environment) -> Assembly:
    """Set up logs and metrics and create the components."""
    log_settings = settings.get_section(LogSettings)
    recent_events = configure_logs(
        log_settings.level.value, log_settings.format.value, env.stderr
    )
    metrics.install_meter_provider(
        settings.get_section(MetricsSettings).otlp_endpoint
    )
    return create_assembly(settings, env.clock, recent_events)


def run() -> None:
    """Run ``main`` with the command line of the process."""
    early_signals.hold_reload_signal()
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
