"""Checks of the rules that must always hold; on in production."""

from collections import Counter

from opentelemetry.metrics import Observation
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.errors import InvariantViolation

_log = structlog.get_logger(__name__)
_checks: Counter[str] = Counter()


def check(condition: bool, rule: str, **detail: object) -> None:
    """Raise InvariantViolation unless the condition holds.

    :param condition: the rule, evaluated by the caller.
    :param rule: a short stable name, used as metric label and in the log.
    :param detail: values that explain a failure; logged and in the error.
    """
    _checks[rule] += 1
    if condition:
        return
    metrics.invariant_failures.add(1, {"rule": rule})
    events.log(_log, events.CoreEvent.INVARIANT_FAILED, rule=rule, **detail)
    found = ", ".join(f"{name}={value!r}" for name, value in detail.items())
    raise InvariantViolation(
        f"invariant {rule!r} failed ({found})",
        "keep the log and a state dump, and report a bug",
    )


def _observe_checks(_options: object) -> list[Observation]:
    # A copy: the metrics reader runs in a thread of its own.
    return [
        Observation(count, {"rule": rule})
        for rule, count in dict(_checks).items()
    ]


metrics.meter.create_observable_counter(
    "dotterelbridge.invariant.checks",
    callbacks=[_observe_checks],
    description="Invariant checks, by rule",
)
