"""Metrics of routing, including billed traffic between regions."""

from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.metrics import meter

_waiting = meter.create_gauge(
    "dotterelbridge.routing.waiting",
    description="Requests that wait for a place, by priority",
)
_attempts = meter.create_counter(
    "dotterelbridge.routing.attempts",
    description="Attempts at targets, by outcome",
)
_retries = meter.create_counter(
    "dotterelbridge.routing.retries",
    description="Further attempts, by priority",
)
_retries_refused = meter.create_counter(
    "dotterelbridge.routing.retries_refused",
    description="Further attempts that the budgets refused, by priority",
)
_ejections = meter.create_counter(
    "dotterelbridge.routing.ejections",
    description="Ejections of failing targets",
)
_preemptions = meter.create_counter(
    "dotterelbridge.routing.displacements",
    description="Background streams that made room for urgent work",
)
_region_bytes = meter.create_counter(
    "dotterelbridge.routing.region_bytes",
    unit="By",
    description="Bytes of requests and answers to and from other regions",
)


def record_waiting(priority: Priority, count: int) -> None:
    """Set the number of queued requests of a priority."""
    _waiting.set(count, {"priority": priority.value})


def record_attempt(outcome: str) -> None:
    """Count a finished attempt."""
    _attempts.add(1, {"outcome": outcome})


def record_retry(priority: Priority, allowed: bool) -> None:
    """Count a retry, allowed or refused."""
    counter = _retries if allowed else _retries_refused
    counter.add(1, {"priority": priority.value})


def record_ejection() -> None:
    """Count an ejection."""
    _ejections.add(1)


def record_preemption() -> None:
    """Count a preempted background stream."""
    _preemptions.add(1)


def record_region_bytes(region: Region, count: int) -> None:
    """Count bytes exchanged with a target in another region."""
    _region_bytes.add(count, {"region": region})
