"""The callers' listener: serves the application until it is drained."""

from datetime import timedelta
import socket

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.run import worker_serve
from hypercorn.config import Config
from hypercorn.config import Sockets
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.serving.callers import CallerApp
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.settings import ServingSettings

_log = structlog.get_logger(__name__)
_NEVER_S = 10 * 365 * 24 * 60 * 60


class CallerListener:
    """Binds at once, so that the port is known before ``run``."""

    def __init__(
        self, app: CallerApp, settings: ServingSettings, clock: Clock
    ) -> None:
        self._app = app
        self._settings = settings
        self._clock = clock
        self._stop = anyio.Event()
        self._stopped = anyio.Event()
        self._socket = _create_socket(settings)

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return self._socket.getsockname()[1]

    async def run(self) -> None:
        """Serve until cancelled, or until ``drain`` has finished."""
        config = Config()
        config.graceful_timeout = _NEVER_S
        config.keep_alive_timeout = self._settings.idle_limit_s
        config.read_timeout = None
        try:
            await worker_serve(
                ASGIWrapper(self._app),
                config,
                sockets=Sockets([], [self._socket], []),
                shutdown_trigger=self._stop.wait,
            )
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Turn /readyz false, then answer all that is in flight."""
        self._app.start_draining()
        lead = timedelta(seconds=self._settings.balancer_lead_s)
        await self._clock.sleep(lead)
        self._stop.set()
        await self._app.wait_until_answered()
        await self._stopped.wait()
        events.log(_log, ServingEvent.DRAIN_FINISHED)


def _create_socket(settings: ServingSettings) -> socket.socket:
    family = socket.AF_INET6 if ":" in settings.host else socket.AF_INET
    listening = socket.socket(
        family, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((settings.host, settings.port))
    listening.listen(settings.backlog)
    listening.setblocking(False)
    return listening


def create_caller_listener(
    app: CallerApp, settings: ServingSettings, clock: Clock
) -> CallerListener:
    """Return a listener that is bound and not yet accepting."""
    return CallerListener(app, settings, clock)
