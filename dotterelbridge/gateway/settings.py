"""Settings of the gateway."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]
_Percent = Annotated[int, Meta(ge=1, le=1000)]


class GatewaySettings(Section, frozen=True, kw_only=True):
    """Section ``[gateway]``."""

    retry_percent: _Percent = 20
    """Further arrivals at a service's targets, in percent of its requests;
    together with retry_extra the platform's bound."""
    retry_extra: Annotated[float, Meta(ge=0)] = 56
    """Further arrivals beside that part, over all entry VMs; fractions
    count."""
    retry_window_s: Annotated[float, Meta(gt=0)] = 10
    """Window over which both are counted."""
    retry_use_percent: Annotated[int, Meta(ge=1, le=100)] = 80
    """Part of the bound that is used: the VMs' windows and counts of each
    other are not exactly alike."""
    overfill_requests: Annotated[int, Meta(ge=0)] = 6
    """Requests beyond its slots that are sent to an engine, which queues
    them: reports are late, and a free slot is worth more than a short
    wait."""
    absent_grace_ms: _Milliseconds = 4500
    """Time that a request waits to hear when an absent item will be
    loaded: another VM takes over the orders in 3.2 s, and an engine is
    busy with another load for a second or two."""
    absent_percent: Annotated[int, Meta(ge=1, le=100)] = 60
    """The same as a part of the time that its caller waits at most."""
    routes_wait_ms: _Milliseconds = 2000
    """Time that a request waits at a VM that has just started and knows
    no routes yet; at most half of the request's own time."""
    stream_patience_ms: _Milliseconds = 2000
    """Time without a first event after which callers give a stream up, as
    the platform's page says; the longest of the three counts."""
    stream_patience_aims: _Count = 4
    """The same, in aims of the route."""
    stream_patience_gaps: _Count = 8
    """The same, in the route's longest pauses between events."""
    wait_percent: Annotated[int, Meta(ge=1, le=100)] = 40
    """Part of its time that a request waits for a place at a target."""
    lacking_ms: _Milliseconds = 150
    """Time for which a target gets no requests for an item that it has
    just said it lacks; the way of its next report."""
    ejection_failures: _Count = 1
    """Failures in a row after which a target is probed, and used only
    where there is no other: each VM has to find out by itself."""
    ejection_ms: _Milliseconds = 100
    """Time until the first probe."""
    ejection_limit_ms: _Milliseconds = 2000
    """Longest time between two probes; shorter than most disruptions."""
    answer_grace_ms: _Milliseconds = 150
    """Time beyond a request's own for the target's last word on it."""
    silent_answer_ms: _Milliseconds = 1500
    """Silence after which a repeatable call is given up at a target."""
