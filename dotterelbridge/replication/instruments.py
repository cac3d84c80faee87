"""Metrics of a member of the replicated log."""

from dotterelbridge import metrics

elections = metrics.meter.create_counter(
    "dotterelbridge.replication.elections",
    description="Elections that this VM won",
)
commits = metrics.create_latency_histogram(
    "dotterelbridge.replication.commit",
    "Time from a command at the leader until its result is known",
)
writes = metrics.create_latency_histogram(
    "dotterelbridge.replication.write",
    "Time of a durable write, by what is written",
)
