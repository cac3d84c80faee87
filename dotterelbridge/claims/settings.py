"""Settings of claims, which make keyed calls run at most once."""

from typing import Annotated

import msgspec

from dotterelbridge.claims.commands import MS_PER_S
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.settings_schema import Section

BYTES_PER_MB = 1024 * 1024
_Positive = msgspec.Meta(ge=1)


class ClaimsSettings(Section):
    """The ``[claims]`` section."""

    begin_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 3000
    """Timeout to claim a key; after it, the call is refused and not run."""
    try_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1000
    """Timeout of one proposal to the log; the next try uses another VM."""
    settle_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Time that a response waits to be recorded; it is then sent anyway."""
    attempt_limit_s: Annotated[int, _Positive] = 600
    """Time after which a claim without outcome becomes unknown for good."""
    answer_age_s: Annotated[int, _Positive] = 3600
    """Time that a recorded response is kept."""
    answer_limit_kb: Annotated[int, _Positive] = 64
    """Largest response that is recorded."""
    answers_limit_mb: Annotated[int, _Positive] = 16
    """Memory for all recorded responses; the oldest are evicted first."""
    answers_limit: Annotated[int, _Positive] = 20_000
    """Maximum number of recorded responses; the oldest are evicted first."""
    attempts_limit: Annotated[int, _Positive] = 10_000
    """Maximum number of claims without outcome; more calls are refused."""
    dated_key_age_s: Annotated[int, _Positive] = 86_400
    """Maximum age of a UUIDv7 key that may still be claimed."""
    undated_key_age_s: Annotated[int, _Positive] = 30 * 86_400
    """Time that any other key is remembered after its response is removed."""
    remembered_limit: Annotated[int, _Positive] = 1_000_000
    """Maximum number of remembered keys; more calls are refused."""
    require_dated_keys: bool = False
    """Whether to refuse keys that are not UUIDv7."""
    home_keys: bool = False
    """Whether keys ``~DOMAIN~UUIDV7`` are held by that domain's VMs."""
    home_heartbeat_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Heartbeat interval of the group that holds a domain's keys."""
    clock_quorum: Annotated[int, _Positive] = 2
    """Number of VMs whose clocks must reach a time before log time does."""
    key_skew_s: Annotated[int, _Positive] = 60
    """Maximum clock skew between callers and VMs."""
    tick_interval_s: Annotated[int, _Positive] = 30
    """Longest interval between clock reports of a VM that holds the log."""
    drain_limit_s: Annotated[int, _Positive] = 15
    """Time that a stopping VM waits for the last outcomes to be recorded."""
    outbox_limit: Annotated[int, _Positive] = 2000
    """Maximum number of queued outcomes; the oldest are dropped first."""


def create_limits(
    settings: ClaimsSettings, vm_count: int, volatile: bool
) -> ClaimLimits:
    """Convert the settings to the limits that commands carry."""
    return ClaimLimits(
        attempt_limit_ms=settings.attempt_limit_s * MS_PER_S,
        answer_age_ms=settings.answer_age_s * MS_PER_S,
        answers_bytes=settings.answers_limit_mb * BYTES_PER_MB,
        answers=settings.answers_limit,
        attempts=settings.attempts_limit,
        dated_key_age_ms=settings.dated_key_age_s * MS_PER_S,
        undated_key_age_ms=settings.undated_key_age_s * MS_PER_S,
        remembered=settings.remembered_limit,
        clock_quorum=min(settings.clock_quorum, vm_count),
        key_skew_ms=settings.key_skew_s * MS_PER_S,
        volatile=volatile,
    )
