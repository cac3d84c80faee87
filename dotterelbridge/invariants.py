"""Invariant checks, which also run in production."""

from collections import Counter

from opentelemetry.metrics import Observation
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.errors import InvariantViolation

_log = structlog.get_logger(__name__)
_check_counts: Counter[str] = Counter()


def check(condition: bool, rule: str, **detail: object) -> None:
    """Raise InvariantViolation unless the condition holds.

    :param condition: the evaluated condition.
    :param rule: short stable name for the metric label and the log.
    :param detail: values that explain a failure, for the log and the error.
    """
    _check_counts[rule] += 1
    if condition:
        return
    metrics.invariant_failures.add(1, {"rule": rule})
    events.log(_log, events.CoreEvent.INVARIANT_FAILED, rule=rule, **detail)
    details = ", ".join(f"{name}={value!r}" for name, value in detail.items())
    raise InvariantViolation(
        f"invariant {rule!r} failed ({details})",
        "keep the log and a state dump, and report a bug",
    )


def _observe_check_counts(_options: object) -> list[Observation]:
    # Iterates over a copy because the metrics reader runs in another thread.
    return [
        Observation(count, {"rule": rule})
        for rule, count in dict(_check_counts).items()
    ]


metrics.meter.create_observable_counter(
    "dotterelbridge.invariant.checks",
    callbacks=[_observe_check_counts],
    description="Invariant checks, by rule",
)
