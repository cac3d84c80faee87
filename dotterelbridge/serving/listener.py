"""Listeners; the one for callers is drained before it stops."""

from collections.abc import Callable
from datetime import timedelta
import errno
import socket

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.routes.model import CallerLimits
from dotterelbridge.serving.callers import CallerApp
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.server import HttpServer
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.sockets import bind_when_free
from dotterelbridge.sockets import create_listening_socket
from dotterelbridge.targets.memory_account import MemoryAccount

_log = structlog.get_logger(__name__)


class Listener:
    """HTTP listener; binds at once, so that the port is known before run.

    An address that is in use is bound later, by ``run``.
    """

    sweep_interval = timedelta(seconds=1)
    """Interval of the checks for idle and stalled connections."""

    def __init__(
        self,
        app,
        settings: ServingSettings,
        clock: Clock,
        account: MemoryAccount | None = None,
        read_limits: Callable[[], CallerLimits | None] = lambda: None,
    ) -> None:
        """Create a listener; ``HttpServer`` explains the parameters."""
        self._clock = clock
        self._listener_settings = settings
        self._server = HttpServer(app, settings, clock, account, read_limits)
        self._socket: socket.socket | None = None
        try:
            self._socket = self._bind()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise

    @property
    def port(self) -> int:
        """Port that the listener is bound to, or will be."""
        if self._socket is None:
            return self._listener_settings.port
        return self._socket.getsockname()[1]

    def _bind(self) -> socket.socket:
        settings = self._listener_settings
        return create_listening_socket(
            settings.host, settings.port, settings.backlog
        )

    async def run(self) -> None:
        """Serve until cancelled.

        :raises OSError: the address stays in use.
        """
        if self._socket is None:
            self._socket = await bind_when_free(
                f"{self._listener_settings.host}:{self.port}",
                self._bind,
                self._clock,
            )
        await self._server.start(self._socket)
        try:
            while True:
                await self._clock.sleep(self.sweep_interval)
                self._server.sweep()
        finally:
            with anyio.CancelScope(shield=True):
                await self._server.abort()


class CallerListener(Listener):
    """Serves callers until it is drained."""

    def __init__(
        self,
        app: CallerApp,
        settings: ServingSettings,
        clock: Clock,
        account: MemoryAccount | None = None,
        read_limits: Callable[[], CallerLimits | None] = lambda: None,
    ) -> None:
        super().__init__(app, settings, clock, account, read_limits)
        self._app = app
        self._settings = settings

    @property
    def connections(self) -> int:
        """Open connections."""
        return self._server.connections

    async def drain(self) -> None:
        """Fail /readyz, stop accepting, and finish the requests in flight."""
        self._app.start_draining()
        self._server.announce_close()
        lead_time = timedelta(seconds=self._settings.balancer_lead_s)
        await self._clock.sleep(lead_time)
        await self._server.stop_accepting()
        await self._app.wait_until_idle()
        await self._server.wait_closed()
        events.log(_log, ServingEvent.DRAIN_FINISHED)


def create_caller_listener(
    app: CallerApp,
    settings: ServingSettings,
    clock: Clock,
    account: MemoryAccount | None = None,
    read_limits: Callable[[], CallerLimits | None] = lambda: None,
) -> CallerListener:
    """Return a listener that is bound but doesn't accept connections yet."""
    return CallerListener(app, settings, clock, account, read_limits)
