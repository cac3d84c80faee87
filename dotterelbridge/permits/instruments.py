"""Metrics of permits."""

from dotterelbridge import metrics

permits = metrics.meter.create_counter(
    "dotterelbridge.permits.orders",
    description="Permits that this VM ordered for targets with a rate "
    "limit, by verdict: granted, denied, unavailable",
)
