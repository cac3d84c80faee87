"""Metric instruments of the connections to targets."""

from dotterelbridge import metrics

statements = metrics.meter.create_counter(
    "dotterelbridge.targets.statements",
    description="What targets said of themselves, by kind: leaving, wait, "
    "rate_limit, unreadable",
)
liveness_checks = metrics.meter.create_counter(
    "dotterelbridge.targets.liveness_checks",
    description="Probes whether a target outlived an answer that ended "
    "with its connection, by outcome: running, gone, uncertain",
)
