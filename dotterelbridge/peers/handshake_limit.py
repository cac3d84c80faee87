"""Bounds what an end of a link may send before it is authenticated."""

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection

from dotterelbridge import metrics

HANDSHAKE_LIMIT_BYTES = 16384
"""The upgrade takes less than 1 KB, and each frame of the handshake a few
hundred bytes. Without this limit, an unknown peer may fill ``max_size``."""

refusals = metrics.meter.create_counter(
    "dotterelbridge.peers.handshakes_too_large",
    description="Connections closed because they sent too much before they "
    "were authenticated",
)


class _HandshakeLimit:
    """Counts what arrives, before it is parsed, until authentication."""

    is_authenticated = False
    opened_at = 0.0
    """When the connection was opened, in the time of the event loop."""
    _received_bytes = 0

    def connection_made(self, transport) -> None:
        self.opened_at = self.loop.time()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if not self.is_authenticated:
            self._received_bytes += len(data)
            if self._received_bytes > HANDSHAKE_LIMIT_BYTES:
                refusals.add(1)
                self.transport.abort()
                return
        super().data_received(data)


class LimitedServerConnection(_HandshakeLimit, ServerConnection):
    """The accepting end of a link."""


class LimitedClientConnection(_HandshakeLimit, ClientConnection):
    """The dialling end of a link."""
