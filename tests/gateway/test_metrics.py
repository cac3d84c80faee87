"""What a request leaves in the metrics, read as an operator reads them."""

import functools

import anyio
import httpx
from prometheus_client.parser import text_string_to_metric_families

from dotterelbridge import metrics
from dotterelbridge.clock import SystemClock
from dotterelbridge.nodes.probes import METRICS_PATH
from dotterelbridge.nodes.probes import MetricsApp
from dotterelbridge.nodes.probes import ProbeListener
from dotterelbridge.serving.settings import ServingSettings
from tests.gateway.support import SIGNED
from tests.gateway.support import event
from tests.gateway.support import run_gateway
from tests.routes.support import JOBS
from tests.routes.support import LLM
from tests.serving.fakes import run_async


async def echo(received):
    await received.answer(b"ok", headers=SIGNED)


async def stream(received):
    await received.start_stream(SIGNED)
    for number in range(3):
        await received.send_chunk(event(number))
        await anyio.sleep(0.02)
    await received.send_chunk(b"")


@functools.cache
def start_metrics() -> None:
    """Install the provider, of which a process has one."""
    metrics.start()


class Readings:
    """Samples of the text format, as differences from the start."""

    def __init__(self) -> None:
        start_metrics()
        self._before = _read()

    def count(self, name, **labels) -> float:
        """Return how much a sample grew; all labels given must match."""

        def total(samples):
            return sum(
                value
                for (sample, held), value in samples.items()
                if sample == name and labels.items() <= dict(held).items()
            )

        return total(_read()) - total(self._before)


def _read():
    text = metrics.render().decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


@run_async
async def test_an_answered_call_counts_with_its_time_to_first_byte():
    readings = Readings()
    async with run_gateway() as gateway:
        await gateway.add("t1", echo)
        await gateway.call("/look/")
    assert (
        readings.count(
            "dotterelbridge_gateway_requests_total",
            service=JOBS,
            outcome="answered",
        )
        == 1
    )
    first_bytes = "dotterelbridge_gateway_first_byte_seconds_count"
    assert readings.count(first_bytes, service=JOBS) == 1
    assert (
        readings.count(
            "dotterelbridge_gateway_attempts_total",
            service=JOBS,
            outcome="answered",
        )
        == 1
    )


@run_async
async def test_a_refusal_counts_with_its_reason_and_its_wait():
    readings = Readings()
    async with run_gateway(absent_grace_ms=20) as gateway:
        response = await gateway.call("/quotes/", headers={"x-model": "m7"})
    assert response.status_code == 503
    assert (
        readings.count(
            "dotterelbridge_gateway_refusals_total",
            service=LLM,
            reason="absent",
        )
        == 1
    )
    waits = "dotterelbridge_gateway_wait_seconds_count"
    assert readings.count(waits, service=LLM, outcome="refused") == 1


@run_async
async def test_the_pauses_of_a_stream_are_measured():
    readings = Readings()
    async with run_gateway() as gateway:
        await gateway.add("e1", stream, service=LLM)
        await gateway.call("/quotes/")
    pauses = "dotterelbridge_gateway_pause_seconds_count"
    assert readings.count(pauses, service=LLM) >= 1


@run_async
async def test_the_metrics_are_served_at_one_path():
    start_metrics()
    listener = ProbeListener(
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
