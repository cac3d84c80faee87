"""Settings of the links between daemons."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]


class PeersSettings(Section, frozen=True, kw_only=True):
    """Section ``[peers]``."""

    ping_interval_ms: _Milliseconds = 2000
    """Longest time without sending anything on a link."""
    silence_limit_ms: _Milliseconds = 5000
    """A link that delivers nothing for so long, and at most one ping
    interval more, is closed and dialled again."""
    handshake_timeout_ms: _Milliseconds = 3000
    reconnect_min_ms: _Milliseconds = 100
    reconnect_max_ms: _Milliseconds = 5000
    message_limit_mb: Annotated[int, Meta(ge=1, le=64)] = 4
    """Largest message; a larger one closes the link."""
    queue_limit_messages: Annotated[int, Meta(ge=1)] = 1024
    queue_limit_mb: Annotated[int, Meta(ge=1)] = 8
    """Bound of the messages that wait to be sent on one link."""
    requests_limit: Annotated[int, Meta(ge=1)] = 512
    """Requests of one peer that are handled at a time."""
