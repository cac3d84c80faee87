"""Metrics of the records of streams."""

import enum

from dotterelbridge import metrics


class LookupOutcome(enum.Enum):
    """How the origin of a stream was found, or why it was not."""

    OWN_RECORD = "own_record"
    PEER_RECORD = "peer_record"
    SOLE_VERSION = "sole_version"
    """There was no record, and only one version has served."""
    CONFLICT = "conflict"
    """Two records name different versions."""
    UNKNOWN = "unknown"


_lookups = metrics.meter.create_counter(
    "dotterelbridge.resumption.lookups",
    description="Streams that callers asked to resume, by outcome",
)


def count_lookup(outcome: LookupOutcome) -> None:
    """Count one lookup."""
    _lookups.add(1, {"outcome": outcome.value})
