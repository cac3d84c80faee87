"""Listener for operators."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.serving.listener import Listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.targets.memory_account import MemoryAccount

SHUTDOWN_GRACE_S = 5.0
"""Limit on the time to finish requests in flight after a stop."""

ASGIApp = Callable[..., Awaitable[None]]


class OperatorListener(Listener):
    """Serves an ASGI application until it is drained."""

    async def drain(self) -> None:
        """Stop listening and finish the requests in flight."""
        await self._server.stop_accepting()
        with anyio.move_on_after(SHUTDOWN_GRACE_S):
            await self._server.wait_closed()


def create_operator_listener(
    app: ASGIApp,
    address: str,
    port: int,
    clock: Clock,
    account: MemoryAccount,
) -> OperatorListener:
    """Return a listener for the operators' application."""
    settings = ServingSettings(host=address, port=port)
    return OperatorListener(app, settings, clock, account)
