"""Calls that may run only once; fake targets count the runs."""

import anyio
import pytest

from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.routing.errors import QueueFull
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import service_row
from tests.serving.fakes import service_view
from tests.serving.fakes import wait_until
from tests.serving.test_callers import create_client

BOOKING_PATH = "/services/booking/jobs"
KEY_HEADERS = {"Idempotency-Key": "k1"}
NON_IDEMPOTENT_ROWS = (service_row(idempotent=False, deadline_ms=2000),)


async def answer_booking(received):
    await received.answer(b'{"van": 1}', headers={"x-van": "1"})


async def reset_before_answer(received):
    received.reset()


async def reset_in_answer(received):
    await received.send_head(200, {"content-length": "10"})
    await received.send(b"half")
    received.reset()


async def answer_with_wrong_id(received):
    received.headers["x-request-id"] = "other"
    await answer_booking(received)


FAULTS = {
    "reset": reset_before_answer,
    "half-answer": reset_in_answer,
    "crossed": answer_with_wrong_id,
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
@pytest.mark.parametrize(
    "headers", [{}, KEY_HEADERS], ids=["unkeyed", "keyed"]
)
def test_broken_call_runs_once_and_is_reported_as_unknown(fault, headers):
    async def check():
        async with (
            run_serving(NON_IDEMPOTENT_ROWS) as harness,
            create_client(harness) as client,
        ):
            first = await harness.add_service("s1", fault)
            second = await harness.add_service("s2", fault)
            response = await client.post(BOOKING_PATH, headers=headers)
            assert response.status_code == 502
            assert response.headers["dotterelbridge-run"] == "unknown"
            assert response.json()["error"]["remedy"]
            assert len(first.received) + len(second.received) == 1

    anyio.run(check)


@run_async
async def test_refused_connect_is_retried_at_another_target():
    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        stopped = FakeTarget("s1", answer_booking)
        await stopped.start()
        await stopped.stop()
        harness.membership.set(service_view("s1", stopped.port))
        running = await harness.add_service("s2", answer_booking)
        for _ in range(6):
            response = await client.post(BOOKING_PATH)
            assert response.status_code == 200
            assert response.headers["dotterelbridge-run"] == "yes"
        assert len(running.received) == 6


@run_async
async def test_non_idempotent_call_gets_a_new_connection():
    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", answer_booking)
        for _ in range(3):
            await client.post(BOOKING_PATH)
        assert service.connections == 3


@run_async
async def test_idempotent_call_is_retried():
    async with run_serving() as harness, create_client(harness) as client:
        faults = [reset_before_answer, reset_in_answer, answer_with_wrong_id]

        async def fail_then_answer(received):
            await (faults.pop(0) if faults else answer_booking)(received)

        service = await harness.add_service("s1", fail_then_answer)
        response = await client.post(BOOKING_PATH)
        assert response.json() == {"van": 1}
        assert len(service.received) == 4


@run_async
async def test_resend_gets_the_recorded_response():
    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", answer_booking)
        first = await client.post(
            BOOKING_PATH, headers=KEY_HEADERS, content=b"a"
        )
        again = await client.post(
            BOOKING_PATH, headers=KEY_HEADERS, content=b"a"
        )
        assert first.content == again.content == b'{"van": 1}'
        assert again.headers["x-van"] == "1"
        assert again.headers["dotterelbridge-run"] == "yes"
        assert len(service.received) == 1


@run_async
async def test_key_reused_for_another_request_is_refused():
    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", answer_booking)
        await client.post(BOOKING_PATH, headers=KEY_HEADERS, content=b"a")
        response = await client.post(
            BOOKING_PATH, headers=KEY_HEADERS, content=b"b"
        )
        assert response.status_code == 422
        assert response.headers["dotterelbridge-run"] == "no"
        assert len(service.received) == 1


@run_async
async def test_resend_while_in_progress_does_not_run():
    resume_event = anyio.Event()

    async def wait_then_answer(received):
        await resume_event.wait()
        await answer_booking(received)

    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", wait_then_answer)
        answers = []

        async def call():
            answers.append(
                await client.post(BOOKING_PATH, headers=KEY_HEADERS)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await wait_until(lambda: len(service.received) == 1)
            response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
            assert response.status_code == 409
            assert response.headers["dotterelbridge-run"] == "unknown"
            assert "retry-after" in response.headers
            resume_event.set()
        assert answers[0].status_code == 200
        assert len(service.received) == 1


@run_async
async def test_resend_after_a_broken_run_is_not_run():
    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", reset_before_answer)
        await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        assert response.status_code == 409
        assert response.headers["dotterelbridge-run"] == "unknown"
        assert "retry-after" not in response.headers
        assert len(service.received) == 1


@run_async
async def test_key_is_released_after_a_call_that_was_not_run():
    rows = (service_row(idempotent=False, deadline_ms=100),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"
        await harness.add_service("s1", answer_booking)
        response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        assert response.status_code == 200


@pytest.mark.parametrize("error", [NotCommitted, CommitUnknown])
def test_call_without_a_claim_is_not_run(error):
    async def check():
        async with (
            run_serving(NON_IDEMPOTENT_ROWS) as harness,
            create_client(harness) as client,
        ):
            service = await harness.add_service("s1", answer_booking)
            harness.claims.begin_error = error("no majority", "wait")
            response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
            assert response.status_code == 503
            assert response.headers["dotterelbridge-run"] == "no"
            assert service.received == []

    anyio.run(check)


@run_async
async def test_refusal_does_not_wait_for_the_release_of_the_key():
    async def never_release(business, key, attempt):
        await anyio.sleep_forever()

    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        harness.claims.begin_error = CommitUnknown("no answer", "wait")
        harness.claims.release = never_release
        response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"


@run_async
async def test_disconnect_does_not_cancel_a_keyed_run():
    resume_event = anyio.Event()

    async def wait_then_answer(received):
        await resume_event.wait()
        await answer_booking(received)

    async with (
        run_serving(NON_IDEMPOTENT_ROWS) as harness,
        create_client(harness) as client,
    ):
        service = await harness.add_service("s1", wait_then_answer)
        async with anyio.create_task_group() as group:

            async def call():
                await client.post(BOOKING_PATH, headers=KEY_HEADERS)

            group.start_soon(call)
            await wait_until(lambda: len(service.received) == 1)
            group.cancel_scope.cancel()
        resume_event.set()
        await wait_until(lambda: harness.app.in_flight == 0)
        response = await client.post(BOOKING_PATH, headers=KEY_HEADERS)
        assert response.status_code == 200
        assert len(service.received) == 1


@pytest.mark.parametrize("status", [500, 502, 503, 504])
def test_error_response_to_a_non_idempotent_call_is_passed_on(status):
    async def answer_error(received):
        await received.answer(b"sorry", status=status)

    async def check():
        async with (
            run_serving(NON_IDEMPOTENT_ROWS) as harness,
            create_client(harness) as client,
        ):
            service = await harness.add_service("s1", answer_error)
            response = await client.post(BOOKING_PATH)
            assert response.status_code == status
            assert response.content == b"sorry"
            run = "yes" if status == 500 else "unknown"
            assert response.headers["dotterelbridge-run"] == run
            assert len(service.received) == 1

    anyio.run(check)


@run_async
async def test_keyed_stream_of_a_non_idempotent_model_is_recorded():
    rows = (model_row(idempotent=False),)

    async def stream(received):
        await received.start_stream()
        await received.send_tokens(0, 4)
        await received.finish_stream()

    async with run_serving(rows) as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", stream)
        body = {"model": "quote", "stream": True}
        path = "/v1/completions"
        first = await client.post(path, json=body, headers=KEY_HEADERS)
        again = await client.post(path, json=body, headers=KEY_HEADERS)
        assert first.content == again.content
        assert first.content.endswith(b"data: [DONE]\n\n")
        assert len(engine.received) == 1


@run_async
async def test_engine_refusal_is_not_a_run():
    rows = (model_row(idempotent=False),)

    async def refuse(received):
        body = b'{"error": {"type": "overloaded"}}'
        await received.answer(body, status=503)

    async def run(received):
        await received.answer(b'{"ok": true}')

    async with run_serving(rows) as harness, create_client(harness) as client:
        await harness.add_engine("e1", refuse)
        response = await client.post(
            "/v1/completions", json={"model": "quote"}
        )
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"
        assert "retry-after" in response.headers
        await harness.add_engine("e2", run)
        response = await client.post(
            "/v1/completions", json={"model": "quote"}
        )
        assert response.headers["dotterelbridge-run"] == "yes"


@run_async
async def test_refused_retry_after_a_possible_run_promises_nothing():
    # Guards against a 429 or 503, which say that nothing has run, to a caller
    # whose first attempt may have run.
    async with (
        run_serving((service_row(idempotent=True),)) as harness,
        create_client(harness) as client,
    ):
        target = await harness.add_service("s1", reset_before_answer)
        acquire = harness.router.acquire

        async def acquire_once(call, *args):
            if target.received:
                raise QueueFull("the queue is full", "try again later")
            return await acquire(call, *args)

        harness.router.acquire = acquire_once
        response = await client.post(BOOKING_PATH)
        assert response.status_code == 502
        assert response.headers["dotterelbridge-run"] == "unknown"
