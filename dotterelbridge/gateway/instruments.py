"""Metric instruments of the gateway."""

from dotterelbridge import metrics

requests = metrics.meter.create_counter(
    "dotterelbridge.gateway.requests",
    description="Requests that ended, by service, rank and outcome",
)
refusals = metrics.meter.create_counter(
    "dotterelbridge.gateway.refusals",
    description="Requests refused as not run, by service and reason",
)
attempts = metrics.meter.create_counter(
    "dotterelbridge.gateway.attempts",
    description="Attempts at targets, by service and outcome",
)
first_bytes = metrics.create_latency_histogram(
    "dotterelbridge.gateway.first_byte",
    "Time from a request's arrival to the first byte of its answer, by "
    "service and rank",
)
pauses = metrics.create_latency_histogram(
    "dotterelbridge.gateway.pause",
    "Longest time between two pieces of a stream, by service and rank",
)
waits = metrics.create_latency_histogram(
    "dotterelbridge.gateway.wait",
    "Time that a request waited for a place, by service and outcome",
)
prediction_ratios = metrics.meter.create_histogram(
    "dotterelbridge.gateway.prediction_ratio",
    description="What was seen of complete streams as a multiple of what was "
    "predicted, by service and quantity",
    explicit_bucket_boundaries_advisory=(
        0.1,
        0.25,
        0.5,
        0.7,
        0.9,
        1.1,
        1.4,
        2.0,
        4.0,
        10.0,
    ),
)
predicted_streams = metrics.meter.create_counter(
    "dotterelbridge.gateway.predicted_streams",
    description="Complete streams whose length was predicted, by service and "
    "by whether it exceeded the predicted 90th percentile",
)
