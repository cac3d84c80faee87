"""Settings of the connections to targets."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class TargetsSettings(Section, frozen=True, kw_only=True):
    """Section ``[targets]``."""

    connect_timeout_ms: _Positive = 1000
    first_byte_limit_ms: _Positive = 30000
    """Timeout of the first byte of a response."""
    silence_limit_ms: _Positive = 5000
    """Timeout between two bytes of a response."""
    progress_limit_ms: _Positive = 30000
    """Timeout between two parts of a response that can be used: complete
    events of a stream, or a kilobyte of another body. It ends responses that
    keep sending a byte now and then."""
    liveness_limit_ms: _Positive = 1000
    """Time in which a target has to show that it still runs, after an answer
    that ended with its connection. Otherwise the answer counts as cut."""
    idle_limit_ms: _Positive = 30000
    """Time after which an idle connection is closed."""
    connections_limit: _Positive = 512
    """Maximum number of connections in use to one target."""
    idle_connections_limit: _Positive = 32
    """Maximum number of idle connections to one target."""
    request_id_header: str = "x-request-id"
    """Header with an attempt's ID, which the target's response repeats."""
    leaving_header: str = "dotterelbridge-leaving"
    """Header with the value 1 in the answers of a target that leaves."""
    rate_limit_header: str = "dotterelbridge-rate-limit"
    """Header with the number of requests a second that a target takes from
    all VMs together."""
    skip_foreign_answers: bool = False
    """Whether a response with another ID is skipped, as a late second
    response of an earlier exchange; otherwise it ends the exchange."""
    keep_alive_margin_ms: _Positive = 500
    """Margin before the idle timeout that a target announces in Keep-Alive. A
    connection is not reused within it, as a request could arrive while the
    target closes the connection."""
    head_limit_kb: _Positive = 64
    """Maximum size of a response's status line and headers."""
    buffer_limit_kb: _Positive = 128
    """Maximum size of the body buffered for a caller that reads slowly."""
    answers_limit_mb: _Positive = 64
    """Limit on the memory for all responses that are being received. Beyond
    it the largest one that is incomplete is ended."""
    control_answer_limit_kb: _Positive = 65536
    """Maximum size of a response to a control call, such as an exported
    prefix."""
