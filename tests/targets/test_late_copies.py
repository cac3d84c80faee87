"""Second copies of a response that arrive on a kept connection."""

import contextlib
import itertools

import anyio
import pytest

from dotterelbridge.errors import TargetExchangeFailed
from dotterelbridge.ids import AttemptId
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.errors import ResponseIdMismatch
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import run_async
from tests.serving.fakes import wait_until
from tests.targets.test_faulty_responses import fetch
from tests.targets.test_faulty_responses import run_client

STATUSES = [408, 421, 429, 503]
INTERIM_RESPONSES = {
    "none": b"",
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "hints": b"HTTP/1.1 103 Early Hints\r\nx-request-id: a2\r\n\r\n",
    "switching": b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
}


def create_copy(status: int, attempt: str | None) -> bytes:
    """Return a refusal with a request's ID, or without one."""
    echo = f"x-request-id: {attempt}\r\n" if attempt else ""
    head = (
        f"HTTP/1.1 {status} Status\r\n{echo}dotterelbridge-not-run: 1\r\n"
        "content-length: 4\r\n\r\n"
    )
    return head.encode() + b"copy"


def answer_after(*parts: bytes):
    """Return a handler that sends other bytes before its second response."""
    count = itertools.count()

    async def handle(received):
        if next(count) == 1:
            for part in parts:
                await received.send(part)
                # The client reads each part by itself.
                for _ in range(3):
                    await anyio.sleep(0)
        await received.answer(received.headers["x-request-id"].encode())

    return handle


async def check_second_response(client) -> None:
    """Check that a response is the own one, or its exchange a failure."""
    with contextlib.suppress(TargetExchangeFailed):
        assert await fetch(client, "a2") == b"a2"


def split(data: bytes, *positions: int) -> list[bytes]:
    ends = [0, *positions, len(data)]
    return [data[a:b] for a, b in itertools.pairwise(ends)]


# Guards against a refusal of one request that is taken for the response to
# the next one: that request is then repeated though it runs.
@pytest.mark.parametrize("skips", [True, False])
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("attempt", ["a1", None])
@pytest.mark.parametrize("interim", INTERIM_RESPONSES)
def test_copy_of_a_refusal_answers_no_other_request(
    skips, status, attempt, interim
):
    settings = TargetsSettings(
        first_byte_limit_ms=300, skip_foreign_answers=skips
    )
    before = INTERIM_RESPONSES[interim]
    copy = create_copy(status, attempt)
    pieces = [
        [before + copy],
        [before, copy],
        split(before + copy, len(before) + 5, len(before) + 30),
        split(before + copy, len(before + copy) - 2),
    ]

    async def check():
        for parts in pieces:
            handler = answer_after(*parts)
            async with run_client(handler, settings) as (target, client):
                assert await fetch(client, "a1") == b"a1"
                await check_second_response(client)
                assert target.connections == 1
                assert await fetch(client, "a3") == b"a3"
                assert target.connections == 2

    run_async(check)()


@pytest.mark.parametrize("size", [1, 20, None])
@pytest.mark.parametrize("attempt", ["a1", None])
def test_copy_that_is_unread_on_an_idle_connection_answers_no_request(
    attempt, size
):
    # Guards against a check for readable idle connections that comes too
    # early: the copy has arrived, but the event loop has not read it.
    async def check():
        async with run_client(answer_after()) as (target, client):
            await fetch(client, "a1")
            writer = target.received[0].writer
            writer.write(create_copy(503, attempt)[:size])
            await check_second_response(client)

    run_async(check)()


@run_async
async def test_idle_connection_with_a_copy_is_closed():
    async with run_client(answer_after()) as (target, client):
        await fetch(client, "a1")
        connection = client._idle_connections[0]
        target.received[0].writer.write(create_copy(503, None)[:1])
        await wait_until(lambda: connection.is_closed)
        assert await fetch(client, "a2") == b"a2"
        assert target.connections == 2


@run_async
async def test_request_id_that_is_used_again_gets_another_connection():
    # Guards against a request that is sent again under the same ID, by its
    # caller, and is answered with the copy of the first response.
    async with run_client(answer_after()) as (target, client):
        for _ in range(2):
            assert await fetch(client, "a1") == b"a1"
        assert target.connections == 2
        assert await fetch(client, "a2") == b"a2"
        assert target.connections == 2


@run_async
async def test_copy_of_a_probe_response_answers_no_request():
    # Probes have no ID: the copy of their response cannot be told from a
    # refusal of the next request.
    async def handle(received):
        if received.path == "/health":
            await received.send(create_copy(503, None))
            return
        if received.writer is target.received[0].writer:
            await received.send(create_copy(503, None))
        await received.answer(b"own")

    async with run_client(handle) as (target, client):
        request = ExchangeRequest(
            attempt=AttemptId(""), method="GET", path="/health"
        )
        async with client.open_exchange(request) as exchange:
            await exchange.read_all(100, "-")
        assert await fetch(client, "a1") == b"own"


@run_async
async def test_response_without_id_is_accepted_on_a_new_connection_only():
    async def answer_without_id(received):
        if len(target.received) != 1:
            del received.headers["x-request-id"]
        await received.answer(b"own")

    async with run_client(answer_without_id) as (target, client):
        assert await fetch(client, "a1") == b"own"
        with pytest.raises(ResponseIdMismatch):
            await fetch(client, "a2")
        assert await fetch(client, "a3") == b"own"
        assert await fetch(client, "a4") == b"own"
        assert target.connections == 3
