"""Settings of the links between daemons."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]


class PeersSettings(Section, frozen=True, kw_only=True):
    """Section ``[peers]``."""

    ping_interval_ms: _Milliseconds = 2000
    """Interval after which an idle link sends a ping."""
    silence_limit_ms: _Milliseconds = 5000
    """Time without a received frame after which a link is closed and dialled
    again; it is detected at most one ping interval later."""
    handshake_timeout_ms: _Milliseconds = 3000
    """Time to open a connection, and again for the handshake on it. The
    latter doubles, up to fourfold, while a peer answers later than that."""
    reconnect_min_ms: _Milliseconds = 100
    reconnect_max_ms: _Milliseconds = 5000
    message_limit_mb: Annotated[int, Meta(ge=1, le=64)] = 4
    """Maximum message size; a larger message closes the link."""
    queue_limit_messages: Annotated[int, Meta(ge=1)] = 1024
    queue_limit_mb: Annotated[int, Meta(ge=1)] = 8
    """Maximum size of the messages queued for sending on one link."""
    requests_limit: Annotated[int, Meta(ge=1)] = 512
    """Requests of one peer that are handled concurrently."""
