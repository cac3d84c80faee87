"""Answers the balancer's question whether this VM is ready."""

from collections.abc import Callable
from datetime import timedelta

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.serving.listener import Listener
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import write_response

METRICS_PATH = "/metrics"
_TEXT_FORMAT = b"text/plain; version=0.0.4; charset=utf-8"


class ProbeApp:
    """200 while the condition holds, 503 otherwise; on any path."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        status = 200 if self._is_ready() else 503
        await write_response(sink, status, [], b"{}")


class MetricsApp:
    """The metrics of this process in the Prometheus text format."""

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] != METRICS_PATH:
            await write_response(sink, 404, [], b"")
            return
        headers = [(b"content-type", _TEXT_FORMAT)]
        await write_response(
            sink, 200, headers, metrics.render_prometheus_text()
        )


class AuxiliaryListener(Listener):
    """Serves an application until the process ends, also while draining."""

    sweep_interval = timedelta(seconds=5)


def create_metrics_listeners(
    settings: NodeSettings, clock: Clock
) -> list[AuxiliaryListener]:
    """Return the listener for metrics, if the settings name an address."""
    address = settings.node.metrics_address
    if not address:
        return []
    return [
        AuxiliaryListener(MetricsApp(), settings.listen_at(address), clock)
    ]
