"""Runs the operators' ASGI app on its address with hypercorn."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import anyio
from anyio.lowlevel import checkpoint
from hypercorn.asyncio import serve
from hypercorn.config import Config

GRACE_S = 5.0
"""Longest time that an operator's request may take after a stop."""

MAX_HEAD_BYTES = 32 * 1024
KEEP_ALIVE_S = 75.0
READ_TIMEOUT_S = 30

ASGIApp = Callable[..., Awaitable[None]]


class OperatorListener:
    """The operators' listener; stops when it is drained."""

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
            # Hypercorn's answer to a cancellation; let it through here.
            await checkpoint()
        finally:
            self._stopped.set()

    async def drain(self) -> None:
        """Answer what is in flight, then stop listening."""
        self._stop.set()
        await self._stopped.wait()

    def _create_config(self) -> Config:
        config = Config()
        config.bind = [self._bind]
        config.h11_max_incomplete_size = MAX_HEAD_BYTES
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.read_timeout = READ_TIMEOUT_S
        config.graceful_timeout = GRACE_S
        config.include_server_header = False
        config.errorlog = logging.getLogger("hypercorn.error")
        config.accesslog = None
        return config


def create_operator_listener(
    app: ASGIApp, address: str, port: int
) -> OperatorListener:
    """Return a listener for the operators' app."""
    return OperatorListener(app, address, port)
