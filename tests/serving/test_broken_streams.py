"""Streams that break off and whose next engine answers something else."""

import json

import pytest

from tests.gateway.test_broken_streams import ERRORS
from tests.gateway.test_broken_streams import FRAMINGS
from tests.gateway.test_broken_streams import RAW_ERRORS
from tests.gateway.test_broken_streams import create_handler
from tests.gateway.test_broken_streams import decode_chunks
from tests.gateway.test_broken_streams import receive_response
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import token_event
from tests.serving.test_callers import CHAT

TOKENS = token_event(0) + token_event(1)
# Tokens have no IDs and answers no signature, so that other events under the
# right type cannot be told from a continuation. Comments carry no token.
INDISTINCT = {"unsigned", "no-id", "repeat", "restart", "comments"}
CASES = [c for c in [*ERRORS, *RAW_ERRORS] if c not in INDISTINCT]


async def send_stream_request(harness, version: str):
    """Send a request for a stream and return what arrives."""
    body = json.dumps({"model": "quote", "stream": True})
    lines = [
        f"POST {CHAT} HTTP/{version}",
        "host: localhost",
        "connection: close",
        f"content-length: {len(body)}",
    ]
    data = "\r\n".join([*lines, "", body]).encode()
    return await receive_response(harness.port, data)


# Guards against an error, or another response, that is joined to a stream
# that has begun, and against a stream that ends as complete with it.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("case", CASES)
def test_error_of_the_next_engine_does_not_reach_the_stream(case, version):
    async def break_off(received):
        await received.start_stream()
        await received.send_chunk(TOKENS + b"data: {")
        received.writer.close()

    async def check(framing):
        calls = []
        answer = create_handler(case, framing)

        async def handle(received):
            calls.append(received)
            await (answer if len(calls) > 1 else break_off)(received)

        async with run_serving() as harness:
            for name in ("e1", "e2"):
                await harness.add_engine(name, handle)
            head, body, is_reset = await send_stream_request(harness, version)
        assert len(calls) > 1
        assert head.startswith(b"HTTP/1.1 200")
        if version == "1.1":
            assert decode_chunks(body) == (TOKENS, False)
        else:
            assert (body, is_reset) == (TOKENS, True)

    for framing in FRAMINGS:
        run_async(check)(framing)
