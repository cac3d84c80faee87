"""OpenTelemetry instruments and their export.

Modules create their instruments with ``meter`` at import time; the provider
is installed once by
``install_meter_provider``.
"""

from collections.abc import Callable

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
import prometheus_client

meter = otel_metrics.get_meter("dotterelbridge")

invariant_failures = meter.create_counter(
    "dotterelbridge.invariant.failures",
    description="Failed invariant checks, by rule",
)


LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.37,
    0.6,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)
"""Bucket bounds of latency histograms. They include the objectives that
deployments set for the time to the first byte and between events."""


def create_latency_histogram(name: str, description: str) -> Histogram:
    """Return a histogram of durations in seconds."""
    return meter.create_histogram(
        name,
        unit="s",
        description=description,
        explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
    )


def register_gauge(
    name: str,
    read_value: Callable[[], float],
    description: str,
    unit: str = "",
) -> None:
    """Register a gauge whose value is read at each collection."""
    meter.create_observable_gauge(
        name,
        callbacks=[lambda options: [Observation(read_value())]],
        unit=unit,
        description=description,
    )


def install_meter_provider(otlp_endpoint: str | None = None) -> MeterProvider:
    """Install the meter provider.

    :param otlp_endpoint: URL to push metrics to with OTLP over HTTP;
        without it they can only be read from the operator listener.
    """
    readers = [PrometheusMetricReader()]
    if otlp_endpoint:
        readers.append(_create_otlp_reader(otlp_endpoint))
    provider = MeterProvider(metric_readers=readers)
    otel_metrics.set_meter_provider(provider)
    return provider


def render_prometheus_text() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _create_otlp_reader(endpoint: str):
    # Imported only if used: the exporter and its codecs need much memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
