"""HTTP endpoints for the balancer's readiness probe and for metrics."""

from collections.abc import Callable
from datetime import timedelta

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.nodes.settings import NodeSettings
from dotterelbridge.serving.listener import Listener
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import write_response
from dotterelbridge.targets.memory_account import MemoryAccount

METRICS_PATH = "/metrics"
_PROMETHEUS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class ReadinessApp:
    """Responds on any path: 200 while the VM is ready, otherwise 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        status = 200 if self._is_ready() else 503
        await write_response(sink, status, [], b"{}")


class MetricsApp:
    """Serves the metrics of this process in the Prometheus text format."""

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] != METRICS_PATH:
            await write_response(sink, 404, [], b"")
            return
        headers = [(b"content-type", _PROMETHEUS_CONTENT_TYPE)]
        await write_response(
            sink, 200, headers, metrics.render_prometheus_text()
        )


class AuxiliaryListener(Listener):
    """Serves an application until the process ends, also during a drain."""

    sweep_interval = timedelta(seconds=5)


def create_metrics_listeners(
    settings: NodeSettings, clock: Clock, account: MemoryAccount
) -> list[AuxiliaryListener]:
    """Return the metrics listener; none if no address is configured."""
    address = settings.node.metrics_address
    if not address:
        return []
    return [
        AuxiliaryListener(
            MetricsApp(),
            settings.create_listener_settings(address),
            clock,
            account,
        )
    ]
