"""Runs an entry or control VM until it is stopped."""

from collections.abc import Callable
import contextlib
from datetime import timedelta

import anyio

from dotterelbridge import metrics
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.clock import Clock
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.errors import SettingsError
from dotterelbridge.lifecycle import Drainable
from dotterelbridge.lifecycle import run_until_drained
from dotterelbridge.log_stream import QueuedStream
from dotterelbridge.logs import configure_logs
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings

PROGRAM = "dotterelbridged"

_SETTINGS_READ_INTERVAL = timedelta(milliseconds=100)
_SETTINGS_READ_COUNT = 20
"""Reads of a settings file that has faults, before the process gives up."""

NodeFactory = Callable[[NodeSettings, str, Clock], Drainable]


def run_node(
    settings_path: str, create_node: NodeFactory, env: Environment
) -> ExitStatus:
    """Run the node that a settings file describes.

    :param create_node: called with the settings, their path and the clock.
    """
    stream = QueuedStream(env.stdout)
    try:
        settings = _load_settings(settings_path, env)
        configure_logs(
            settings.logs.level.value, settings.logs.format.value, stream
        )
        metrics.install_meter_provider(settings.metrics.otlp_endpoint)
        metrics.register_gauge(
            "dotterelbridge.log.dropped_lines",
            lambda: stream.dropped_total,
            "Log lines dropped since the start, for want of room",
        )
        node = create_node(settings, settings_path, env.clock)
        anyio.run(run_until_drained, node)
    except DotterelbridgeError as error:
        env.print_error(PROGRAM, str(error))
        return ExitStatus.ERROR
    except (OSError, ExceptionGroup) as error:
        env.print_error(PROGRAM, f"{error}; check addresses and files")
        return ExitStatus.ERROR
    finally:
        stream.close()
    return ExitStatus.OK


def _load_settings(path: str, env: Environment) -> NodeSettings:
    """Load the settings; read a file that has faults again for a time."""
    try:
        return load_node_settings(path)
    except SettingsError as error:
        env.print_error(PROGRAM, f"{error}; the file is read again")
    return anyio.run(_load_settings_again, path, env.clock)


async def _load_settings_again(path: str, clock: Clock) -> NodeSettings:
    """Load the settings of a file that may be being replaced.

    :raises SettingsError: the file still has faults after the last read.
    """
    for _ in range(_SETTINGS_READ_COUNT):
        await clock.sleep(_SETTINGS_READ_INTERVAL)
        with contextlib.suppress(SettingsError):
            return load_node_settings(path)
    return load_node_settings(path)
