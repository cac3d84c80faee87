"""Metrics of callers' requests: outcomes, deadlines and latencies."""

import enum

from dotterelbridge.ids import Priority
from dotterelbridge.metrics import meter

_TOKEN_GAP_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.052,
    0.075,
    0.1,
    0.2,
    0.5,
    1.0,
    5.0,
)
_FIRST_TOKEN_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.37,
    0.5,
    0.75,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


class RequestOutcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Not run, and the caller was told so."""
    TARGET_ERROR = "target_error"
    """The target's own error was passed on."""
    BROKEN = "broken"
    """The response is incomplete, or it is unknown whether it ran."""
    DISCONNECTED = "hung_up"
    """The caller disconnected before the response started."""


_requests = meter.create_counter(
    "dotterelbridge.requests",
    description="Callers' requests, by outcome and priority",
)
_deadlines = meter.create_counter(
    "dotterelbridge.deadlines",
    description="Requests whose first token was due, by met and priority; "
    "refused ones count as not met, those of callers that hung up don't "
    "count",
)
_first_token = meter.create_histogram(
    "dotterelbridge.first_token",
    unit="s",
    description="Time from a request's arrival to its first token",
    explicit_bucket_boundaries_advisory=_FIRST_TOKEN_BUCKETS_S,
)
_token_gap_mean = meter.create_histogram(
    "dotterelbridge.token_gap.mean",
    unit="s",
    description="Mean time between the tokens of a stream",
    explicit_bucket_boundaries_advisory=_TOKEN_GAP_BUCKETS_S,
)
_token_gap_max = meter.create_histogram(
    "dotterelbridge.token_gap.max",
    unit="s",
    description="Longest time between two tokens of a stream",
    explicit_bucket_boundaries_advisory=_TOKEN_GAP_BUCKETS_S,
)


def record_request(
    priority: Priority,
    outcome: RequestOutcome,
    first_token_s: float | None,
    deadline_s: float,
) -> None:
    """Record a finished request.

    :param first_token_s: time to first token; None without a token.
    :param deadline_s: time allowed for the first token.
    """
    labels = {"priority": priority.value}
    _requests.add(1, labels | {"outcome": outcome.value})
    if first_token_s is not None:
        _first_token.record(first_token_s, labels)
    if outcome is RequestOutcome.DISCONNECTED:
        return
    met = first_token_s is not None and first_token_s <= deadline_s
    _deadlines.add(1, labels | {"met": "yes" if met else "no"})


class TokenGaps:
    """Mean and longest time between the tokens of one stream.

    Recorded once per stream, since recording each token would cost as much
    as relaying it.
    """

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._last_at = 0.0
        self._longest_s = 0.0
        self._tokens = 0

    @property
    def first_at(self) -> float | None:
        """Arrival of the first token, in monotonic seconds."""
        return self._first_at

    def add(self, tokens: int, now: float) -> None:
        """Add tokens that arrived together."""
        if self._first_at is None:
            self._first_at = now
        elif now - self._last_at > self._longest_s:
            self._longest_s = now - self._last_at
        self._last_at = now
        self._tokens += tokens

    def record(self, priority: Priority) -> None:
        """Record the stream's values if it had at least two tokens."""
        if self._tokens < 2:
            return
        labels = {"priority": priority.value}
        elapsed_s = self._last_at - self._first_at
        _token_gap_mean.record(elapsed_s / (self._tokens - 1), labels)
        _token_gap_max.record(self._longest_s, labels)
