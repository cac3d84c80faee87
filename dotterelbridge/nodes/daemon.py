"""Runs an entry or control VM until it is stopped."""

from collections.abc import Callable

import anyio

from dotterelbridge import metrics
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.clock import Clock
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.lifecycle import Drainable
from dotterelbridge.lifecycle import run_until_drained
from dotterelbridge.log_stream import QueuedStream
from dotterelbridge.logs import configure_logs
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.nodes.settings import load_node_settings

PROGRAM = "dotterelbridged"

NodeFactory = Callable[[NodeSettings, str, Clock], Drainable]


def run_node(
    settings_path: str, create_node: NodeFactory, env: Environment
) -> ExitStatus:
    """Run the node that a settings file describes.

    :param create_node: called with the settings, their path and the clock.
    """
    stream = QueuedStream(env.stdout)
    try:
        settings = load_node_settings(settings_path)
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
    except OSError as error:
        env.print_error(PROGRAM, f"{error}; check addresses and files")
        return ExitStatus.ERROR
    finally:
        stream.close()
    return ExitStatus.OK
