"""Listener for operators, served by hypercorn."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import anyio
from anyio.lowlevel import checkpoint
from hypercorn.asyncio import serve
from hypercorn.config import Config

SHUTDOWN_GRACE_S = 5.0
"""Limit on the time to finish requests in flight after a stop."""

MAX_HEAD_BYTES = 32 * 1024
KEEP_ALIVE_S = 75.0
REQUEST_READ_TIMEOUT_S = 30

ASGIApp = Callable[..., Awaitable[None]]


class OperatorListener:
    """Serves an ASGI application until it is drained."""

    def __init__(self, app: ASGIApp, address: str, port: int) -> None:
        self._app = app
        self._bind = f"{address}:{port}"
        self._stop = anyio.Event()
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Serve until drained or cancelled."""
        try:
            await serve(
                self._app,
                self._create_config(),
                shutdown_trigger=self._stop.wait,
                mode="asgi",
            )
        except asyncio.InvalidStateError:
            # Hypercorn raises this when cancelled; the checkpoint raises
            # the cancellation instead.
            await checkpoint()
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Stop listening and finish the requests in flight."""
        self._stop.set()
        await self._stopped.wait()

    def _create_config(self) -> Config:
        config = Config()
        config.bind = [self._bind]
        config.h11_max_incomplete_size = MAX_HEAD_BYTES
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.read_timeout = REQUEST_READ_TIMEOUT_S
        config.graceful_timeout = SHUTDOWN_GRACE_S
        config.include_server_header = False
        config.errorlog = logging.getLogger("hypercorn.error")
        config.accesslog = None
        return config


def create_operator_listener(
    app: ASGIApp, address: str, port: int
) -> OperatorListener:
    """Return a listener for the operators' application."""
    return OperatorListener(app, address, port)
