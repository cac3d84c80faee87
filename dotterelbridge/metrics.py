"""OpenTelemetry instruments and their export.

Parts make their instruments with ``meter`` at import time; the provider
is installed once by ``start``.
"""

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
import prometheus_client

meter = otel_metrics.get_meter("dotterelbridge")

invariant_failures = meter.create_counter(
    "dotterelbridge.invariant.failures",
    description="Failed invariant checks, by rule",
)


def start(otlp_endpoint: str | None = None) -> MeterProvider:
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


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _create_otlp_reader(endpoint: str):
    # Imported on demand: the exporter and its codecs cost memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(OTLPMetricExporter(endpoint=endpoint))
