"""Requests that come late in a planned stop: answered, or never passed on.

The process is killed 8 s after the signal to stop.
"""

import anyio
import pytest

from tests.gateway.support import NOT_RUN_HEADERS
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import create_event
from tests.gateway.support import run_gateway
from tests.gateway.support import wait_until
from tests.routes.support import LLM
from tests.serving.fakes import run_async

GRACE_S = 8.0
LONG_DEADLINE = {"dotterelbridge-deadline": "30000"}
SHORT_DEADLINE = {"dotterelbridge-deadline": "800"}


def pass_time(gateway, seconds: float) -> None:
    """Let the clock of the gateway jump."""
    earlier = gateway.clock.monotonic
    gateway.clock.monotonic = lambda: earlier() + seconds


async def answer_at_once(received):
    await received.answer(b"done", headers=SIGNED_HEADERS)


@pytest.mark.parametrize("path", ["/book/a", "/look/a"])
def test_request_late_in_the_grace_is_not_passed_on(path):
    # Guards against a booking that is cut off though it runs: its body
    # arrives 5.5 s after the signal, and it may take longer than is left.
    async def check():
        async with run_gateway(stop_grace_s=GRACE_S) as gateway:
            target = await gateway.add_target("t1", answer_at_once)
            gateway.app.start_draining()
            pass_time(gateway, 5.5)
            response = await gateway.call(path, headers=LONG_DEADLINE)
            assert response.status_code == 503
            assert float(response.headers["retry-after"]) < 1
            assert not target.received

    run_async(check)()


@run_async
async def test_request_that_is_answered_before_the_end_is_passed_on():
    async with run_gateway(stop_grace_s=GRACE_S) as gateway:
        await gateway.add_target("t1", answer_at_once)
        gateway.app.start_draining()
        pass_time(gateway, 5.5)
        response = await gateway.call("/book/a", headers=SHORT_DEADLINE)
        assert response.status_code == 200


@run_async
async def test_process_without_a_grace_serves_what_it_has_taken():
    async with run_gateway() as gateway:
        await gateway.add_target("t1", answer_at_once)
        gateway.app.start_draining()
        pass_time(gateway, 60)
        response = await gateway.call("/book/a", headers=LONG_DEADLINE)
        assert response.status_code == 200


@run_async
async def test_rejected_request_is_not_sent_again_late_in_the_grace():
    # Guards against a second attempt that is cut off at the end.
    async with run_gateway(stop_grace_s=GRACE_S) as gateway:

        async def reject(received):
            if not gateway.app.is_ready:
                pass_time(gateway, 6)
            await received.answer(b"{}", 503, SIGNED_HEADERS | NOT_RUN_HEADERS)

        targets = [
            await gateway.add_target(name, reject) for name in ("t1", "t2")
        ]
        gateway.app._stop_grace._lead_s = 1
        gateway.app.start_draining()
        response = await gateway.call("/book/a", headers=LONG_DEADLINE)
        assert response.status_code == 503
        assert sum(len(target.received) for target in targets) == 1


@run_async
async def test_requests_get_an_answer_before_the_process_is_killed():
    # Guards against connections that end without an answer.
    async with run_gateway(stop_grace_s=GRACE_S) as gateway:

        async def hang(received):
            await received.wait_closed()

        async def stream(received):
            await received.start_stream(SIGNED_HEADERS)
            await received.send_chunk(create_event(0))
            await finish.wait()
            await received.send_chunk(create_event(1))
            await received.send_chunk(b"")

        finish = anyio.Event()
        booked = await gateway.add_target("t1", hang)
        streamed = await gateway.add_target("e1", stream, service=LLM)
        responses = {}

        async def call(path):
            responses[path] = await gateway.call(path, headers=LONG_DEADLINE)

        async with anyio.create_task_group() as group:
            for path in ("/book/a", "/quotes/a"):
                group.start_soon(call, path)
            await wait_until(lambda: booked.received and streamed.received)
            await wait_until(
                lambda: gateway.router._targets["e1"].in_flight == 1
            )
            gateway.app.start_draining()
            await wait_until(lambda: gateway.app.in_flight == 2)
            gateway.app._stop_grace._end_requests()
            await wait_until(lambda: "/book/a" in responses)
            finish.set()
        assert responses["/book/a"].status_code == 504
        stream_response = responses["/quotes/a"]
        if stream_response.status_code == 200:
            expected = create_event(0) + create_event(1)
            assert stream_response.content == expected
