"""OpenTelemetry instruments and their export.

Parts make their instruments with ``meter`` at import time; the provider
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
"""Bounds of latency histograms, with the aims that deployments state for
first bytes and pauses among them."""


def create_latency_histogram(name: str, description: str) -> Histogram:
    """Return a histogram of seconds."""
    return meter.create_histogram(
        name,
        unit="s",
        description=description,
        explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_S,
    )


def register_gauge(
    name: str,
    read: Callable[[], float],
    description: str,
    unit: str = "",
) -> None:
    """Show a value that is read whenever the metrics are."""
    meter.create_observable_gauge(
        name,
        callbacks=[lambda options: [Observation(read())]],
        unit=unit,
        description=description,
    )


def install_meter_provider(otlp_endpoint: str | None = None) -> MeterProvider:
    """Install the meter provider.

    :param otlp_endpoint: URL to push metrics to with OTLP over HTTP;
        without it they are only read from the operators' listener.
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
    # Imported on demand: the exporter and its codecs cost memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
