"""Settings of routing."""

from typing import Annotated
from typing import Literal

import msgspec

from dotterelbridge.settings_schema import Section

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]


class RoutingSettings(Section, frozen=True, kw_only=True):
    """Section ``[routing]``."""

    chooser: Literal[
        "estimate", "round_robin", "random", "least_outstanding"
    ] = "estimate"
    """Load balancing policy; all but ``estimate`` are baselines."""
    urgent_queue_limit: _Positive = 512
    normal_queue_limit: _Positive = 512
    background_queue_limit: _Positive = 1024
    background_wait_limit_ms: _Positive = 10000
    """Wait after which a background request is overdue."""
    background_share_percent: _Percent = 10
    """Share of freed slots reserved for overdue background requests."""
    background_cancellations_limit: _Positive = 3
    """How often one background stream can be preempted by urgent work."""
    initial_concurrency: _Positive = 64
    concurrency_limit: _Positive = 512
    """Upper bound of a target's adaptive concurrency limit."""
    attempts_limit: _Positive = 4
    """Attempts for one request, including the first."""
    retry_budget_percent: _Percent = 10
    """Retries allowed per hundred first attempts."""
    retry_reserve: _Positive = 10
    """Size of the retry budget: retries allowed in a burst."""
    ejection_failures: _Positive = 3
    """Consecutive failures that eject a target."""
    ejection_ms: _Positive = 1000
    """Duration of the first ejection; doubles up to its limit."""
    ejection_limit_ms: _Positive = 30000
    probe_timeout_ms: _Positive = 1000
    not_ready_ms: _Positive = 1000
    """Time without requests for an item after the target said not ready."""
    resume_limit_ms: _Positive = 5000
    """Limit on the wait for a slot to resume a broken stream."""
    background_resume_limit_ms: _Positive = 120000
    """Limit on the wait for a slot to resume a preempted stream."""
    cache_polls_per_s: _Positive = 4
    """Polls for cache events, over all engines together."""
    report_lag_ms: Annotated[int, msgspec.Meta(ge=0)] = 1000
    """Assumed age of an engine's load report when it is received."""
    sweep_interval_ms: _Positive = 50
    """Interval of the checks for timeouts, deadlines and probes."""
