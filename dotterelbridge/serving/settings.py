"""Settings of the listener for callers."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Natural = Annotated[int, msgspec.Meta(ge=0)]


class ServingSettings(Section, frozen=True, kw_only=True):
    """Section ``[serving]``."""

    host: str = "127.0.0.1"
    """IP address that the listener for callers binds to."""
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 8080
    """0 lets the operating system choose."""
    backlog: _Positive = 2048
    connections_limit: _Positive = 20000
    """Limit on open connections; further ones are closed at once."""
    idle_limit_s: _Positive = 75
    """Time after which an idle connection is closed."""
    head_limit_kb: _Positive = 32
    """Limit on the size of the request line and headers."""
    body_limit_kb: _Positive = 4096
    """Limit on the size of a request body."""
    body_timeout_s: _Positive = 30
    """Timeout for receiving the head and body of a request."""
    answer_limit_kb: _Positive = 16384
    """Limit on the size of a response that isn't a stream."""
    event_limit_kb: _Positive = 1024
    """Limit on the size of one server-sent event."""
    write_buffer_kb: _Positive = 64
    """Data buffered for a slow caller before the relay pauses."""
    memory_limit_mb: _Positive = 24
    """Limit on what all connections together hold: heads, bodies, pipelined
    requests, responses that are received, and unsent responses. Beyond it,
    idle connections and the largest holders are closed. The memory of the
    process grows by up to twice as much."""
    stall_limit_s: _Positive = 60
    """Time without progress after which a slow caller is disconnected."""
    stop_grace_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    """Time from the signal to stop until the process is killed; 0 if it is
    not killed. Late in it only requests are passed on that are answered
    before its end."""
    balancer_lead_s: _Natural = 5
    """Time between /readyz failing and the end of new connections."""
