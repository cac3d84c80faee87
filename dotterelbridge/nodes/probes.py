"""Answers the balancer's question whether this VM is ready."""

from collections.abc import Callable
from datetime import timedelta

import anyio

from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.serving.answer import SINK_EXTENSION
from dotterelbridge.serving.answer import write_whole
from dotterelbridge.serving.listener import create_listening_socket
from dotterelbridge.serving.server import HttpServer
from dotterelbridge.serving.settings import ServingSettings

_SWEEP_INTERVAL = timedelta(seconds=5)
_METRICS_PATH = "/metrics"


class ProbeApp:
    """200 while the condition holds, 503 otherwise; any path but one."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        status, body = 200, b"{}"
        if scope["path"] == _METRICS_PATH:
            body = metrics.render()
        elif not self._is_ready():
            status = 503
        await write_whole(sink, status, [], body)


class ProbeListener:
    """Serves an application until the process ends, also while draining."""

    def __init__(self, app, settings: ServingSettings, clock: Clock) -> None:
        self._server = HttpServer(app, settings, clock)
        self._socket = create_listening_socket(settings)
        self._clock = clock

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return self._socket.getsockname()[1]

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.start(self._socket)
        try:
            while True:
                await self._clock.sleep(_SWEEP_INTERVAL)
                self._server.sweep()
        finally:
            with anyio.CancelScope(shield=True):
                await self._server.abort()
