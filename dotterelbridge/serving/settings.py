"""Settings of the callers' listener."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Natural = Annotated[int, msgspec.Meta(ge=0)]


class ServingSettings(Section, frozen=True, kw_only=True):
    """Section ``[serving]``."""

    host: str = "127.0.0.1"
    """IP number that the callers' listener is bound to."""
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 8080
    """0 lets the operating system choose."""
    backlog: _Positive = 2048
    connections_limit: _Positive = 20000
    """Open connections; further ones are closed at once."""
    idle_limit_s: _Positive = 75
    """Age at which a connection without a request is closed."""
    head_limit_kb: _Positive = 32
    """Size of a request's line and headers."""
    body_limit_kb: _Positive = 4096
    """Size of a request's body."""
    body_timeout_s: _Positive = 30
    """Time in which a request's head and body must arrive."""
    answer_limit_kb: _Positive = 16384
    """Size of an answer that isn't a stream."""
    event_limit_kb: _Positive = 1024
    """Size of one server-sent event."""
    write_buffer_kb: _Positive = 64
    """Bytes held for a caller that reads slowly, before the relay waits."""
    stall_limit_s: _Positive = 60
    """Time without progress after which such a caller is cut off."""
    balancer_lead_s: _Natural = 5
    """Time between /readyz turning false and the end of new connections."""
