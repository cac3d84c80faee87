"""Runs one ASGI app on one address with hypercorn."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

MAX_HEAD_BYTES = 32 * 1024
KEEP_ALIVE_S = 75.0
READ_TIMEOUT_S = 30
BACKLOG = 1024


async def serve_app(
    app: Callable[..., Awaitable[None]],
    address: str,
    port: int,
    stop: anyio.Event,
    grace_s: float,
) -> None:
    """Serve until ``stop`` is set, then finish the requests in flight.

    :param grace_s: longest time that requests in flight may take after
        ``stop``, in seconds.
    """
    config = Config()
    config.bind = [f"{address}:{port}"]
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.read_timeout = READ_TIMEOUT_S
    config.graceful_timeout = grace_s
    config.backlog = BACKLOG
    config.include_server_header = False
    config.errorlog = logging.getLogger("hypercorn.error")
    config.accesslog = None
    await serve(app, config, shutdown_trigger=stop.wait, mode="asgi")
