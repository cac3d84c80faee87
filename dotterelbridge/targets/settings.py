"""Settings of the connections to targets."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class TargetsSettings(Section, frozen=True, kw_only=True):
    """Section ``[targets]``."""

    connect_timeout_ms: _Positive = 1000
    first_byte_limit_ms: _Positive = 30000
    """Silence before the first byte of an answer that ends the exchange."""
    silence_limit_ms: _Positive = 5000
    """Silence within an answer that ends the exchange."""
    idle_limit_ms: _Positive = 30000
    """Age at which an unused connection is closed."""
    connections_limit: _Positive = 512
    """Open connections to one target."""
    idle_connections_limit: _Positive = 32
    """Unused connections kept to one target."""
    request_id_header: str = "x-request-id"
    """Header that carries an attempt's id and comes back in its answer."""
    skip_foreign_answers: bool = False
    """Whether an answer with another id is passed over, as the late second
    one of an earlier exchange; otherwise it ends the exchange."""
    keep_alive_margin_ms: _Positive = 500
    """Time before the end that a target states for an unused connection
    from which it is not used again: a request must not cross the close."""
    head_limit_kb: _Positive = 64
    """Size of an answer's status line and headers."""
    buffer_limit_kb: _Positive = 128
    """Body bytes held for a caller that reads slowly."""
    control_answer_limit_kb: _Positive = 65536
    """Size of an answer to a control call; an exported prefix is one."""
