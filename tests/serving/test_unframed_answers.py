"""Answers that end with their connection, on the product's own listener."""

import contextlib

import anyio
import pytest

from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import service_row
from tests.serving.test_callers import create_client

BOOKING_PATH = "/services/booking/jobs"
CHAT_PATH = "/v1/chat/completions"
CHAT = {"model": "quote", "messages": [{"role": "user", "content": "?"}]}
HALF_DOCUMENT = b'{"quote": "half of it'
CONNECTION_END_LIMIT_S = 5
ROWS = (model_row(), service_row(idempotent=False))


def answer_unframed(content_type: str, body: bytes):
    """Return a handler whose answer ends with its connection."""

    async def handle(received):
        await received.send_head(200, {"content-type": content_type})
        await received.send(body)
        received.writer.close()

    return handle


async def post_raw(harness, path: str, key: str) -> bytes:
    """Send a request and return all bytes until the connection ends.

    A connection that stays open does not end the wait of a failing test.
    """
    lines = [
        f"POST {path} HTTP/1.1",
        "host: localhost",
        f"idempotency-key: {key}",
        "content-length: 0",
        "connection: close",
    ]
    stream = await anyio.connect_tcp("127.0.0.1", harness.port)
    async with stream:
        await stream.send("\r\n".join([*lines, "", ""]).encode())
        received = b""
        with (
            anyio.move_on_after(CONNECTION_END_LIMIT_S),
            contextlib.suppress(anyio.EndOfStream),
        ):
            while True:
                received += await stream.receive()
    return received


# Guards against half a JSON document under a content length of our own.
@pytest.mark.parametrize("headers", [{}, {"Idempotency-Key": "k1"}])
def test_service_answer_that_breaks_off_is_not_passed_on(headers):
    async def check():
        async with (
            run_serving(ROWS) as harness,
            create_client(harness) as client,
        ):
            await harness.add_service(
                "s1", answer_unframed("application/json", HALF_DOCUMENT)
            )
            response = await client.post(BOOKING_PATH, headers=headers)
        assert response.status_code == 502

    run_async(check)()


@run_async
async def test_chat_answer_that_breaks_off_is_retried():
    async with (
        run_serving(ROWS) as harness,
        create_client(harness) as client,
    ):
        answers = [HALF_DOCUMENT, b"{}"]

        async def answer(received):
            handle = answer_unframed("application/json", answers.pop(0))
            await handle(received)

        await harness.add_engine("e1", answer)
        response = await client.post(CHAT_PATH, json=CHAT)
    assert response.status_code == 200
    assert response.content == b"{}"


# Guards against an end that only this process' own connection marks, and
# against a cut that looks whole, also from the record of its key.
@pytest.mark.parametrize("crashes", [False, True])
def test_service_answer_is_whole_only_if_its_service_runs_on(crashes):
    async def check():
        answer = answer_unframed("application/octet-stream", b"x" * 300)

        async def crash(received):
            await harness.targets["s1"].stop()
            await answer(received)

        async with run_serving(ROWS) as harness:
            service = await harness.add_service(
                "s1", crash if crashes else answer
            )
            for _ in range(2):
                received = await post_raw(harness, BOOKING_PATH, "k1")
                head, _, body = received.partition(b"\r\n\r\n")
                if crashes:
                    assert not head.startswith(b"HTTP/1.1 200")
                else:
                    assert head.startswith(b"HTTP/1.1 200")
                    assert b"content-length: 300" in head
                    assert body == b"x" * 300
            assert len(service.received) == 1

    run_async(check)()
