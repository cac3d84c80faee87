"""Requests of the own listener that come late in a planned stop."""

import anyio

from dotterelbridge.clock import ManualClock
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.stop_grace import StopGrace
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import wait_until
from tests.serving.test_server import connect
from tests.serving.test_server import create_post
from tests.serving.test_server import echo_body
from tests.serving.test_server import read_response

SETTINGS = ServingSettings(port=0, balancer_lead_s=0, stop_grace_s=8)


def pass_time(harness, seconds: float) -> None:
    """Let the clock of the process jump."""
    earlier = harness.clock.monotonic
    harness.clock.monotonic = lambda: earlier() + seconds


@run_async
async def test_request_late_in_the_grace_is_not_passed_on():
    # Guards against a call that is cut off though it runs.
    async with run_serving(serving=SETTINGS) as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        harness.app.start_draining()
        pass_time(harness, 7.4)
        writer.write(create_post(b"late"))
        head, body = await read_response(reader)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"dotterelbridge-run: no" in head
        assert b"this VM stops" in body
        assert not harness.targets["s1"].received
        writer.close()


@run_async
async def test_request_gets_an_answer_before_the_process_is_killed():
    async with run_serving(serving=SETTINGS) as harness:

        async def hang(received):
            await received.wait_closed()

        target = await harness.add_service("s1", hang)
        reader, writer = await connect(harness)
        writer.write(create_post(b"slow"))
        await wait_until(lambda: target.received)
        harness.app.start_draining()
        harness.app._stop_grace._end_requests()
        with anyio.fail_after(10):
            head, _ = await read_response(reader)
        assert head.startswith(b"HTTP/1.1 504")
        assert b"dotterelbridge-run: unknown" in head
        writer.close()


@run_async
async def test_pipelined_requests_are_all_answered_during_the_drain():
    # Guards against a request that was read and is dropped by the close
    # behind the answer to the one before it.
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        harness.listener._server.announce_close()
        writer.write(b"".join(create_post(b"n%d" % n) for n in range(3)))
        heads = []
        for number in range(3):
            head, body = await read_response(reader)
            heads.append(b"connection: close" in head)
            assert body == b"n%d" % number
        assert heads == [False, False, True]
        writer.close()


def test_requests_are_taken_while_the_balancer_still_sends_them():
    clock = ManualClock()
    settings = ServingSettings(balancer_lead_s=2, stop_grace_s=0)
    grace = StopGrace(settings, clock)
    grace.start()
    assert grace.allows_start(1e9)
