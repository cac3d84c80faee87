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
    """How a target is chosen; all but ``estimate`` are baselines."""
    urgent_queue_limit: _Positive = 512
    normal_queue_limit: _Positive = 512
    background_queue_limit: _Positive = 1024
    background_wait_limit_ms: _Positive = 10000
    """Wait after which background work gets its share of free slots."""
    background_share_percent: _Percent = 10
    """Share of free slots for background work that is over that limit."""
    background_cancellations_limit: _Positive = 3
    """Times that one background stream makes room for urgent work."""
    initial_concurrency: _Positive = 64
    concurrency_limit: _Positive = 512
    """Upper bound of a target's adaptive limit."""
    attempts_limit: _Positive = 4
    """Attempts for one request, the first included."""
    retry_budget_percent: _Percent = 10
    """Retries allowed for each hundred first attempts."""
    retry_reserve: _Positive = 10
    """Retries allowed at once before the share counts."""
    ejection_failures: _Positive = 3
    """Failures in a row that eject a target."""
    ejection_ms: _Positive = 1000
    """First ejection; doubled each time up to its limit."""
    ejection_limit_ms: _Positive = 30000
    probe_timeout_ms: _Positive = 1000
    not_ready_ms: _Positive = 1000
    """Time for which an item that a target refused isn't sent there."""
    resume_limit_ms: _Positive = 5000
    """Wait for a target that resumes a broken stream."""
    background_resume_limit_ms: _Positive = 120000
    """Wait of a background stream that made room for urgent work."""
    cache_polls_per_s: _Positive = 4
    """Requests for cache events, to all engines together."""
    report_lag_ms: Annotated[int, msgspec.Meta(ge=0)] = 1000
    """Age of an engine's load report when it is received."""
    sweep_interval_ms: _Positive = 50
    """Interval of the checks for silence, deadlines and ejections."""
