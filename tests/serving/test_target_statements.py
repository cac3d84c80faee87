"""Targets of the product's own listener that leave or ask to wait."""

import anyio
import pytest

from tests.serving.fakes import FakeTarget
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import service_row
from tests.serving.fakes import service_view
from tests.serving.test_callers import create_client

BOOKING_PATH = "/services/booking/jobs"
ROWS = (service_row(idempotent=False, deadline_ms=20000),)


def answer(status, headers):
    async def handle(received):
        await received.answer(b"{}", status, headers)

    return handle


async def add_second_service(harness) -> FakeTarget:
    target = await harness.add_service("s2", answer(200, {}))
    return target


@pytest.mark.parametrize("status", [200, 500, 503])
def test_service_that_says_it_leaves_gets_no_new_work(status):
    async def check():
        async with (
            run_serving(ROWS) as harness,
            create_client(harness) as client,
        ):
            leaving = await harness.add_service(
                "s1", answer(status, {"dotterelbridge-leaving": "1"})
            )
            await client.post(BOOKING_PATH)
            harness.membership.set(service_view("s1", leaving.port))
            other = await add_second_service(harness)
            for _ in range(3):
                response = await client.post(BOOKING_PATH)
                assert response.status_code == 200
            assert len(leaving.received) == 1
            assert len(other.received) == 3

    run_async(check)()


@run_async
async def test_service_that_asked_to_wait_gets_no_requests_meanwhile():
    async with (
        run_serving(ROWS) as harness,
        create_client(harness) as client,
    ):
        target = await harness.add_service(
            "s1", answer(503, {"retry-after": "0.5"})
        )
        assert (await client.post(BOOKING_PATH)).status_code == 503
        target.handler = answer(200, {})
        # Waits for the target, which returns within the deadline.
        assert (await client.post(BOOKING_PATH)).status_code == 200
        assert len(target.received) == 2


@run_async
async def test_refusal_names_the_time_at_which_the_service_returns():
    async with (
        run_serving(ROWS) as harness,
        create_client(harness) as client,
    ):
        target = await harness.add_service(
            "s1", answer(503, {"retry-after": "30"})
        )
        await client.post(BOOKING_PATH)
        with anyio.fail_after(5):
            response = await client.post(BOOKING_PATH)
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"
        assert 20 < int(response.headers["retry-after"]) <= 32
        assert len(target.received) == 1
