"""Settings of the gateway."""

import enum
from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]
_Percent = Annotated[int, Meta(ge=1, le=1000)]


class BalanceMode(enum.Enum):
    """By what the load of targets is compared."""

    REQUESTS = "requests"
    """Their number of requests."""
    WORK = "work"
    """The work that their requests still cause."""
    AUTO = "auto"
    """By work where targets differ in speed, otherwise by requests."""


class GatewaySettings(Section, frozen=True, kw_only=True):
    """Section ``[gateway]``."""

    retry_percent: _Percent = 20
    """Retries that may be sent to a service's targets, in percent of its
    requests; together with retry_extra, the limit that the platform sets."""
    retry_extra: Annotated[float, Meta(ge=0)] = 56
    """Retries allowed in addition, over all entry VMs in the window; may be
    a fraction."""
    retry_window_s: Annotated[float, Meta(gt=0)] = 10
    """Sliding window over which requests and retries are counted."""
    retry_use_percent: Annotated[int, Meta(ge=1, le=100)] = 80
    """Part of the allowed retries that is used; below 100 because the VMs'
    windows, and their counts of entry VMs, differ slightly."""
    overfill_requests: Annotated[int, Meta(ge=0)] = 6
    """Requests beyond its slots that are sent to an engine, which queues
    them. Load reports are delayed, and a short queue at the engine costs
    less than a slot that stays idle."""
    absent_grace_ms: _Milliseconds = 4500
    """Time that a request waits for an item that no target holds until a
    load of it is announced. Another control VM takes over the sending of
    load orders in 3.2 s, and an engine can be busy with another load for
    one or two seconds."""
    absent_percent: Annotated[int, Meta(ge=1, le=100)] = 60
    """Upper limit of that wait, in percent of the time that the caller
    waits for a first byte."""
    routes_wait_ms: _Milliseconds = 2000
    """Time that a request waits for routes at a VM that has just started;
    at most half of the request's deadline."""
    origin_wait_ms: _Milliseconds = 1000
    """Time in which it is to be found out which software version began a
    stream that a caller resumes; at most half of the time that the caller
    waits for a first byte."""
    stream_patience_ms: _Milliseconds = 2000
    """Time without a first event after which callers give up a stream, as
    the platform specifies; the longest of this and the next two applies."""
    stream_patience_aims: _Count = 4
    """The same time, as a multiple of the route's latency objective."""
    stream_patience_gaps: _Count = 8
    """The same time, as a multiple of the longest gap between events that
    the route aims at."""
    wait_percent: Annotated[int, Meta(ge=1, le=100)] = 40
    """Part of the time that the caller waits for a first byte during which a
    request may wait for a free slot at a target."""
    lacking_ms: _Milliseconds = 150
    """Time for which a target gets no requests for an item that it has
    just reported as not loaded; its next load report arrives in that time."""
    ejection_failures: _Count = 1
    """Consecutive failures after which a target is probed, and gets
    requests only if no other target can take them. Each VM has to detect
    the failure by itself."""
    ejection_ms: _Milliseconds = 100
    """Time until the first probe."""
    ejection_limit_ms: _Milliseconds = 2000
    """Longest time between two probes; shorter than most disruptions."""
    answer_limit_kb: _Count = 4096
    """Limit on the size of a response that is not a stream; it is held in
    memory until it is complete."""
    event_limit_kb: _Count = 256
    """Limit on the size of one server-sent event."""
    balance: BalanceMode = BalanceMode.REQUESTS
    """By what the load of targets is compared: requests, work, or auto."""
    error_evidence: bool = False
    """Whether targets that answer more of their requests with errors than is
    usual for their service get fewer of them."""
    answer_grace_ms: _Milliseconds = 150
    """Time beyond a request's deadline in which the target's response is
    still accepted."""
    report_path: str = ""
    """Path at which engines report their state without taking a slot; empty
    if there is none. Read to find out whether an engine still runs."""
    silent_answer_ms: _Milliseconds = 1500
    """Time without a first byte after which an attempt at a target is given
    up, if the request may be repeated."""
