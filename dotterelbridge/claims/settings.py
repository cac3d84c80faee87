"""Settings of the claims that make keyed calls run at most once."""

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
    """Time to claim a key; then the call is refused as not run."""
    try_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1000
    """Time after which the log is asked again, by way of another VM."""
    settle_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Time that an answer waits for its record; it goes on after that."""
    attempt_limit_s: Annotated[int, _Positive] = 600
    """A claim without outcome for so long is unknown for good."""
    answer_age_s: Annotated[int, _Positive] = 3600
    """Time that a recorded answer is kept."""
    answer_limit_kb: Annotated[int, _Positive] = 64
    """Largest answer that is recorded."""
    answers_limit_mb: Annotated[int, _Positive] = 16
    """Memory of all recorded answers; the oldest go first."""
    answers_limit: Annotated[int, _Positive] = 20_000
    """Most recorded answers; the oldest go first."""
    attempts_limit: Annotated[int, _Positive] = 10_000
    """Most claims without outcome; further calls are refused."""
    dated_key_age_s: Annotated[int, _Positive] = 86_400
    """Oldest UUIDv7 key that may still be claimed."""
    undated_key_age_s: Annotated[int, _Positive] = 30 * 86_400
    """Time that any other key is remembered once its answer is gone."""
    remembered_limit: Annotated[int, _Positive] = 1_000_000
    """Most keys remembered without answer; further calls are refused."""
    require_dated_keys: bool = False
    """Whether to refuse keys that are not UUIDv7."""
    home_keys: bool = False
    """Whether keys ``~DOMAIN~UUIDV7`` are held by that domain's VMs."""
    home_heartbeat_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Heartbeat of the group that holds a domain's keys."""
    clock_quorum: Annotated[int, _Positive] = 2
    """VMs whose clocks must have reached a time before it counts."""
    key_skew_s: Annotated[int, _Positive] = 60
    """How far the clocks of callers and VMs may be apart."""
    tick_interval_s: Annotated[int, _Positive] = 30
    """Longest time between two times that a VM with the log reports."""
    drain_limit_s: Annotated[int, _Positive] = 15
    """Time that a stopping VM waits to record the last outcomes."""
    outbox_limit: Annotated[int, _Positive] = 2000
    """Outcomes that wait for the log; the oldest go first."""


def create_limits(
    settings: ClaimsSettings, vm_count: int, volatile: bool
) -> ClaimLimits:
    """Return the limits as commands carry them."""
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
