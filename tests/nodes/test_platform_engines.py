"""Control calls to replicas through platform/engines.py."""

from datetime import timedelta
import importlib
from pathlib import Path
import sys

import pytest

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine import Verdict
from dotterelbridge.fleet.errors import EngineCallFailed
from dotterelbridge.targets.settings import TargetsSettings
from tests.fleet.support import create_target
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import run_async

PLATFORM = Path(__file__).resolve().parent.parent.parent / "platform"
TIMEOUT = timedelta(seconds=5)
REPORT = b'{"seq": 0, "models": []}'
ORDER = Order(kind=OrderKind.LOAD, model="m1", adapter="", expected_orders=0)


@pytest.fixture
def engines(monkeypatch):
    monkeypatch.syspath_prepend(str(PLATFORM))
    known = set(sys.modules)
    yield importlib.import_module("engines")
    for name in set(sys.modules) - known:
        del sys.modules[name]


async def send_order(control, target, may_send=lambda: True) -> Verdict:
    return await control.send_order(target, ORDER, "c1", 1, TIMEOUT, may_send)


def test_copy_of_a_report_is_not_taken_for_the_answer_to_an_order(engines):
    reported_on = set()

    async def serve(received):
        if received.method == "GET":
            reported_on.add(received.writer)
            await received.answer(REPORT)
            return
        if received.writer in reported_on:
            await received.answer(REPORT)
        await received.answer(b"", 202)

    async def check():
        fake = FakeTarget("e1", serve)
        await fake.start()
        target = create_target("e1", port=fake.port)
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        await control.fetch_report(target, TIMEOUT)
        assert await send_order(control, target) is Verdict.ACCEPTED
        await fake.stop()

    run_async(check)()


def test_report_tells_memory_and_progress_of_running_requests(engines):
    """Cached prompt parts alone would look like a full memory."""
    body = (
        b'{"seq": 0, "active": 2, "queued": 1, "kv_used": 9000, "runs": '
        b'[["r1", 800, 7, 0], ["r2", 400, 0, 4], ["odd"], [1, "x", 2, 3]]}'
    )

    async def serve(received):
        await received.answer(body)

    async def check():
        fake = FakeTarget("e1", serve)
        await fake.start()
        target = create_target("e1", port=fake.port)
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        load = (await control.fetch_report(target, TIMEOUT)).load
        assert (load.running, load.waiting) == (2, 1)
        assert load.kv_tokens_used == 9000
        assert (load.kv_tokens_running, load.events_made) == (1200, 7)
        await fake.stop()

    run_async(check)()


def test_order_is_not_sent_without_permission(engines):
    async def accept(received):
        await received.answer(b"", 202)

    async def check():
        fake = FakeTarget("e1", accept)
        await fake.start()
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        target = create_target("e1", port=fake.port)
        with pytest.raises(EngineCallFailed):
            await send_order(control, target, may_send=lambda: False)
        assert not fake.received
        await fake.stop()

    run_async(check)()


def test_report_may_say_in_its_head_that_the_replica_leaves(engines):
    async def serve(received):
        await received.answer(REPORT, headers={"dotterelbridge-leaving": "1"})

    async def check():
        fake = FakeTarget("e1", serve)
        await fake.start()
        target = create_target("e1", port=fake.port)
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        report = await control.fetch_report(target, TIMEOUT)
        assert report.is_leaving
        await fake.stop()

    run_async(check)()


def test_replica_that_asked_to_wait_gets_no_reports(engines):
    async def refuse(received):
        await received.answer(b"", 503, {"retry-after": "30"})

    async def check():
        fake = FakeTarget("e1", refuse)
        await fake.start()
        target = create_target("e1", port=fake.port)
        control = engines.PlatformEngines(TargetsSettings(), SystemClock())
        for _ in range(3):
            with pytest.raises(EngineCallFailed):
                await control.fetch_report(target, TIMEOUT)
        assert len(fake.received) == 1
        await fake.stop()

    run_async(check)()
