"""Tests of the gateway's metrics, read from the Prometheus text format."""

import functools

import anyio
import httpx
from prometheus_client.parser import text_string_to_metric_families

from dotterelbridge import metrics
from dotterelbridge.clock import SystemClock
from dotterelbridge.nodes.probes import METRICS_PATH
from dotterelbridge.nodes.probes import AuxiliaryListener
from dotterelbridge.nodes.probes import MetricsApp
from dotterelbridge.serving.settings import ServingSettings
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import create_event
from tests.gateway.support import run_gateway
from tests.routes.support import JOBS
from tests.routes.support import LLM
from tests.serving.fakes import run_async


async def echo(received):
    await received.answer(b"ok", headers=SIGNED_HEADERS)


async def stream(received):
    await received.start_stream(SIGNED_HEADERS)
    for number in range(3):
        await received.send_chunk(create_event(number))
        await anyio.sleep(0.02)
    await received.send_chunk(b"")


@functools.cache
def start_metrics() -> None:
    """Install the meter provider once; a process can have only one."""
    metrics.install_meter_provider()


class MetricChanges:
    """Changes of the metric samples since this object was created."""

    def __init__(self) -> None:
        start_metrics()
        self._samples_before = _read_samples()

    def get_increase(self, name, **labels) -> float:
        """Return the increase over all samples that match the labels."""

        def total(samples):
            return sum(
                value
                for (sample, sample_labels), value in samples.items()
                if sample == name
                and labels.items() <= dict(sample_labels).items()
            )

        return total(_read_samples()) - total(self._samples_before)


def _read_samples():
    text = metrics.render_prometheus_text().decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


@run_async
async def test_answered_request_is_counted_with_time_to_first_byte():
    changes = MetricChanges()
    async with run_gateway() as gateway:
        await gateway.add_target("t1", echo)
        await gateway.call("/look/")
    assert (
        changes.get_increase(
            "dotterelbridge_gateway_requests_total",
            service=JOBS,
            outcome="answered",
        )
        == 1
    )
    first_bytes = "dotterelbridge_gateway_first_byte_seconds_count"
    assert changes.get_increase(first_bytes, service=JOBS) == 1
    assert (
        changes.get_increase(
            "dotterelbridge_gateway_attempts_total",
            service=JOBS,
            outcome="answered",
        )
        == 1
    )


@run_async
async def test_refusal_is_counted_with_reason_and_wait():
    changes = MetricChanges()
    async with run_gateway(absent_grace_ms=20) as gateway:
        response = await gateway.call("/quotes/", headers={"x-model": "m7"})
    assert response.status_code == 503
    assert (
        changes.get_increase(
            "dotterelbridge_gateway_refusals_total",
            service=LLM,
            reason="absent",
        )
        == 1
    )
    waits = "dotterelbridge_gateway_wait_seconds_count"
    assert changes.get_increase(waits, service=LLM, outcome="refused") == 1


@run_async
async def test_gaps_between_stream_chunks_are_measured():
    changes = MetricChanges()
    async with run_gateway() as gateway:
        await gateway.add_target("e1", stream, service=LLM)
        await gateway.call("/quotes/")
    pauses = "dotterelbridge_gateway_pause_seconds_count"
    assert changes.get_increase(pauses, service=LLM) >= 1


@run_async
async def test_metrics_are_served_only_at_their_path():
    start_metrics()
    listener = AuxiliaryListener(
        MetricsApp(), ServingSettings(port=0), SystemClock()
    )
    async with anyio.create_task_group() as group:
        group.start_soon(listener.run)
        async with httpx.AsyncClient() as client:
            url = f"http://127.0.0.1:{listener.port}"
            found = await client.get(url + METRICS_PATH)
            other = await client.get(url + "/")
        group.cancel_scope.cancel()
    assert "dotterelbridge_gateway_requests_total" in found.text
    assert other.status_code == 404
