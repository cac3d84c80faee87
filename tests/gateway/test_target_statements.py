"""Targets that say that they leave, or that they want nothing for a time."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.targets.statements import TargetStatement
from tests.gateway.support import NOT_RUN_HEADERS
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import create_event
from tests.gateway.support import run_gateway
from tests.gateway.test_router import in_virtual_time
from tests.routes.support import JOBS
from tests.routes.support import LLM
from tests.routes.support import create_route
from tests.serving.fakes import run_async

LEAVING = {"dotterelbridge-leaving": "1"}


def answer(status=200, headers=None):
    async def handle(received):
        await received.answer(b"-", status, SIGNED_HEADERS | (headers or {}))

    return handle


async def answer_leaving_stream(received):
    await received.start_stream(SIGNED_HEADERS | LEAVING)
    await received.send_chunk(create_event(0))
    await received.send_chunk(b"")


# Guards against new work for a target whose list entry is still "ready".
@pytest.mark.parametrize(
    ("path", "service", "handler"),
    [
        ("/book/a", JOBS, answer(headers=LEAVING)),
        ("/book/a", JOBS, answer(500, LEAVING)),
        ("/book/a", JOBS, answer(503, NOT_RUN_HEADERS | LEAVING)),
        ("/quotes/", LLM, answer_leaving_stream),
    ],
    ids=["whole", "error", "refusal", "stream"],
)
def test_target_that_says_it_leaves_gets_no_new_work(path, service, handler):
    async def check():
        async with run_gateway() as gateway:
            target = await gateway.add_target("t1", handler, service=service)
            await gateway.call(path)
            # The list, old or cut off, still says that it is ready.
            gateway.update_target("t1", service=service, slots=99)
            response = await gateway.call(path)
            assert response.status_code == 503
            assert len(target.received) == 1

    run_async(check)()


@run_async
async def test_next_incarnation_at_the_address_gets_work():
    async with run_gateway() as gateway:
        target = await gateway.add_target("t1", answer(headers=LEAVING))
        await gateway.call("/book/a")
        target.handler = answer()
        gateway.update_target("t1", born=2)
        assert (await gateway.call("/book/a")).status_code == 200
        gateway.remove_target("t1")
        gateway.update_target("t1", target="t2")
        assert (await gateway.call("/book/a")).status_code == 200


@run_async
async def test_stream_of_a_leaving_target_goes_on():
    finish = anyio.Event()

    async def stream(received):
        await received.start_stream(SIGNED_HEADERS | LEAVING)
        await received.send_chunk(create_event(0))
        await finish.wait()
        await received.send_chunk(create_event(1))
        await received.send_chunk(b"")

    async with run_gateway() as gateway, anyio.create_task_group() as group:
        await gateway.add_target("e1", stream, service=LLM)
        bodies = []

        async def call():
            bodies.append((await gateway.call("/quotes/")).content)

        group.start_soon(call)
        with anyio.fail_after(10):
            while not gateway.router.dump()["targets"]["e1"]["is_leaving"]:
                await anyio.sleep(0.005)
        assert (await gateway.call("/quotes/")).status_code == 503
        finish.set()
    assert bodies == [create_event(0) + create_event(1)]


@run_async
async def test_request_refused_with_a_time_goes_elsewhere():
    refusal = answer(503, NOT_RUN_HEADERS | {"retry-after": "30"})
    async with run_gateway() as gateway:
        refusing = await gateway.add_target("t1", refusal)
        other = await gateway.add_target("t2", answer())
        for _ in range(6):
            response = await gateway.call("/book/a")
            assert response.status_code == 200
        assert len(refusing.received) <= 1
        assert len(other.received) == 6


# Guards against probes of a target that has asked for nothing.
@run_async
async def test_target_that_asked_to_wait_is_not_probed():
    refusal = answer(503, {"retry-after": "30"})
    async with run_gateway(health_path="/health") as gateway:
        target = await gateway.add_target("t1", refusal)
        response = await gateway.call("/book/a")
        assert response.status_code == 502
        await anyio.sleep(0.5)
        refused = await gateway.call("/book/a")
        assert refused.status_code == 503
        assert 10 < float(refused.headers["retry-after"]) <= 31
        assert len(target.received) == 1


def hold_back(harness, name, seconds) -> None:
    client = harness.router._targets[name].client
    client.record_statement(TargetStatement(wait=timedelta(seconds=seconds)))


@in_virtual_time
async def test_all_holders_ask_to_wait_longer_than_the_caller(harness):
    for name, seconds in (("e1", 5), ("e2", 8)):
        harness.update_target(name)
        hold_back(harness, name, seconds)
    call = harness.create_call()
    waited_s, retry_after = await harness.measure_refusal(call)
    assert waited_s == 0
    assert timedelta(seconds=5) <= retry_after <= timedelta(seconds=6)


@in_virtual_time
async def test_request_waits_if_the_target_returns_soon(harness):
    harness.update_target()
    hold_back(harness, "e1", 0.3)
    started_at = harness.clock.monotonic()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.router.run)
        await harness.router.acquire(harness.create_call())
        group.cancel_scope.cancel()
    assert 0.3 <= harness.clock.monotonic() - started_at <= 0.5


@in_virtual_time
async def test_request_that_cannot_be_placed_names_its_reason(harness):
    harness.update_target()
    hold_back(harness, "e1", 5)
    with pytest.raises(NoTargetAvailable) as refusal:
        await harness.router.acquire(harness.create_call())
    assert refusal.value.reason is UnavailableReason.HELD_BACK


@in_virtual_time
async def test_waiting_requests_return_by_rank(harness):
    """After the time the target has one free slot after another."""
    harness.update_target(slots=1)
    hold_back(harness, "e1", 0.3)
    order = []

    async def run(rank):
        call = harness.create_call()
        call.route = create_route("quotes", rank=rank)
        slot = await harness.router.acquire(call)
        order.append(rank)
        await anyio.sleep(0.01)
        harness.router.release(slot, AttemptOutcome.ANSWERED)

    async with anyio.create_task_group() as group:
        group.start_soon(harness.router.run)
        async with anyio.create_task_group() as callers:
            for rank in (3, 1, 2, 0):
                callers.start_soon(run, rank)
        group.cancel_scope.cancel()
    assert order == [0, 1, 2, 3]


@in_virtual_time
async def test_half_of_the_targets_leave_at_once(harness):
    for number in range(10):
        harness.update_target(f"e{number}", slots=1)
    slots = [
        await harness.router.acquire(harness.create_call()) for _ in range(10)
    ]
    placed = []

    async def run():
        slot = await harness.router.acquire(harness.create_call())
        placed.append(slot.view.target)

    async with anyio.create_task_group() as group:
        for _ in range(5):
            group.start_soon(run)
        await anyio.sleep(0.05)
        leaving = {f"e{number}" for number in range(5)}
        for name in leaving:
            client = harness.router._targets[name].client
            client.record_statement(TargetStatement(is_leaving=True))
        for slot in slots:
            harness.router.release(slot, AttemptOutcome.ANSWERED)
    assert len(placed) == 5
    assert not leaving & set(placed)


@in_virtual_time
async def test_wait_ends_during_a_freeze_of_the_process(harness):
    """Monotonic time counts the time for which a VM was suspended."""
    harness.update_target()
    hold_back(harness, "e1", 5)
    await anyio.sleep(60)
    await harness.router.acquire(harness.create_call())
