"""Metrics of the active controller."""

from dotterelbridge import metrics

orders = metrics.meter.create_counter(
    "dotterelbridge.fleet.orders",
    description="Orders to engines, by kind, item and verdict",
)
order_answers = metrics.create_latency_histogram(
    "dotterelbridge.fleet.order",
    "Time from an order to its answer, by item",
)
moves = metrics.create_latency_histogram(
    "dotterelbridge.fleet.move",
    "Time from the plan to bring an item to an engine until it serves, by "
    "item and outcome",
)
plans = metrics.create_latency_histogram(
    "dotterelbridge.fleet.plan",
    "Time that the plan for one service takes",
)
