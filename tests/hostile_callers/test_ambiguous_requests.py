"""Requests that two implementations may read in two ways are refused.

A proxy before this VM, or a target behind it, could otherwise see other
requests than this VM does.
"""

import asyncio
import contextlib

import pytest

from tests.gateway.support import HOST
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import run_gateway
from tests.gateway.support import wait_until
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving

LISTENERS = pytest.mark.parametrize("listener", ["gateway", "openai"])
LARGEST_HEAD_BYTES = 16384
LARGEST_BODY_BYTES = 4194304

AMBIGUOUS = {
    "two-lengths": b"content-length: 2\r\ncontent-length: 3\r\n\r\nhi!",
    "two-equal-lengths": b"content-length: 2\r\ncontent-length: 2\r\n\r\nhi",
    "length-list": b"content-length: 2, 2\r\n\r\nhi",
    "signed-length": b"content-length: +2\r\n\r\nhi",
    "negative-length": b"content-length: -2\r\n\r\nhi",
    "hexadecimal-length": b"content-length: 0x2\r\n\r\nhi",
    "length-with-space-inside": b"content-length: 1 2\r\n\r\nhi",
    "length-of-many-digits": b"content-length: 1" + b"0" * 30 + b"\r\n\r\nhi",
    "length-before-chunks": b"content-length: 2\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks-before-length": b"transfer-encoding: chunked\r\n"
    b"content-length: 2\r\n\r\n0\r\n\r\n",
    "two-codings": b"transfer-encoding: chunked\r\n"
    b"transfer-encoding: identity\r\n\r\n0\r\n\r\n",
    "coding-list": b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "unknown-coding": b"transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
    "coding-with-odd-space": b"transfer-encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
    "two-hosts": b"host: other\r\n\r\n",
    "bare-lf-after-header": b"a: b\ncontent-length: 0\r\n\r\n",
    "bare-cr-in-header": b"a: b\rc: d\r\n\r\n",
    "bare-lf-at-the-end": b"a: b\n\n",
    "bare-lf-within-end": b"a: b\r\n\n",
    "folded-line": b"a: b\r\n c\r\n\r\n",
    "folded-line-with-tab": b"a: b\r\n\tc\r\n\r\n",
    "folded-length": b"content-length:\r\n 2\r\n\r\nhi",
    "space-before-colon": b"content-length : 2\r\n\r\nhi",
    "tab-before-colon": b"content-length\t: 2\r\n\r\nhi",
    "space-before-name": b" a: b\r\n\r\n",
    "empty-name": b": b\r\n\r\n",
    "no-colon": b"content-length\r\n\r\n",
    "nul-in-value": b"a: b\x00\r\n\r\n",
    "chunk-size-with-bare-lf": b"transfer-encoding: chunked\r\n\r\n"
    b"2\nhi\r\n0\r\n\r\n",
    "chunk-size-with-prefix": b"transfer-encoding: chunked\r\n\r\n"
    b"0x2\r\nhi\r\n0\r\n\r\n",
    "chunk-size-signed": b"transfer-encoding: chunked\r\n\r\n"
    b"+2\r\nhi\r\n0\r\n\r\n",
    "chunk-longer-than-size": b"transfer-encoding: chunked\r\n\r\n"
    b"1\r\nhi\r\n0\r\n\r\n",
    "chunk-with-bare-lf": b"transfer-encoding: chunked\r\n\r\n"
    b"2\r\nhi\n0\r\n\r\n",
    "extension-with-bare-lf": b"transfer-encoding: chunked\r\n\r\n"
    b"2;a\nb\r\nhi\r\n0\r\n\r\n",
    "folded-trailer": b"transfer-encoding: chunked\r\n\r\n"
    b"0\r\na: b\r\n c\r\n\r\n",
    "trailer-with-bare-lf": b"transfer-encoding: chunked\r\n\r\n"
    b"0\r\na: b\n\r\n",
}
ODD_REQUEST_LINES = {
    "two-spaces": b"POST  /look/x HTTP/1.1",
    "tab": b"POST\t/look/x HTTP/1.1",
    "space-at-the-end": b"POST /look/x HTTP/1.1 ",
    "leading-space": b" POST /look/x HTTP/1.1",
    "space-in-target": b"POST /look/ x HTTP/1.1",
    "no-version": b"POST /look/x",
    "other-version": b"POST /look/x HTTP/1.10",
    "nul-in-target": b"POST /look/\x00 HTTP/1.1",
}
CASES = {
    **{
        name: b"POST /look/x HTTP/1.1\r\nhost: %b\r\n" % HOST.encode() + rest
        for name, rest in AMBIGUOUS.items()
    },
    **{
        name: line + b"\r\nhost: a\r\n\r\n"
        for name, line in ODD_REQUEST_LINES.items()
    },
}


async def echo(received):
    body = b"%d" % len(received.body)
    await received.answer(body, headers=SIGNED_HEADERS)


@contextlib.asynccontextmanager
async def run_listener(name: str):
    """Run a listener in front of a target that answers with a length."""
    if name == "gateway":
        async with run_gateway() as gateway:
            target = await gateway.add_target("t1", echo)
            yield gateway.listener, target, "/look/x", HOST
    else:
        async with run_serving() as harness:
            target = await harness.add_service("s1", echo)
            yield harness.listener, target, "/services/booking/x", "x"


async def send(port: int, data: bytes) -> bytes:
    """Send bytes; return what arrives until the connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        while piece := await reader.read(65536):
            received += piece
    writer.close()
    return received


@LISTENERS
@pytest.mark.parametrize("case", CASES)
def test_ambiguous_request_is_refused_and_its_connection_closed(
    listener, case
):
    @run_async
    async def check():
        async with run_listener(listener) as (running, target, _, _):
            response = await send(running.port, CASES[case])
            assert response.startswith(b"HTTP/1.1 400 ")
            assert b"\r\ndotterelbridge-run: no\r\n" in response
            assert b"\r\nconnection: close\r\n" in response
            head, _, body = response.partition(b"\r\n\r\n")
            assert b"\r\ncontent-length: %d" % len(body) in head
            assert not target.received

    check()


@LISTENERS
def test_largest_request_inside_the_limits_is_served(listener):
    """A limit of the listener must not undercut those of the page."""

    @run_async
    async def check():
        async with run_listener(listener) as (running, target, path, host):
            body = b"b" * LARGEST_BODY_BYTES
            head = (
                f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
                f"x-request-id: r1\r\ncontent-length: {len(body)}\r\n"
                "connection: close\r\n"
            ).encode()
            line = b"a:\r\n"
            spare = LARGEST_HEAD_BYTES - len(head) - 2
            head += line * (spare // len(line) - 1)
            head += b"a:" + b"b" * (LARGEST_HEAD_BYTES - len(head) - 6)
            head += b"\r\n\r\n"
            assert len(head) == LARGEST_HEAD_BYTES
            response = await send(running.port, head + body)
            assert response.startswith(b"HTTP/1.1 200 ")
            assert b"%d" % LARGEST_BODY_BYTES in response
            assert len(target.received) == 1

    check()


@LISTENERS
def test_trailers_do_not_change_headers(listener):
    """Trailers were once appended to the headers of their request."""

    @run_async
    async def check():
        async with run_listener(listener) as (running, target, path, host):
            request = (
                f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
                "x-request-id: r1\r\ntransfer-encoding: chunked\r\n"
                "connection: close\r\n\r\n2\r\nhi\r\n0\r\nx-late: 1\r\n\r\n"
            ).encode()
            response = await send(running.port, request)
            assert response.startswith(b"HTTP/1.1 200 ")
            assert "x-late" not in target.received[0].headers

    check()


@LISTENERS
def test_used_up_memory_is_refused_as_not_run_and_calm_requests_go_on(
    listener,
):
    """The largest incomplete request goes, not the one being served."""

    @run_async
    async def check():
        async with run_listener(listener) as (running, target, path, host):
            is_released = asyncio.Event()

            async def wait(received):
                await is_released.wait()
                await echo(received)

            target.handler = wait
            head = (
                f"POST {path} HTTP/1.1\r\nhost: {host}\r\n"
                "x-request-id: r1\r\nconnection: close\r\n"
                "content-length: %d\r\n\r\n"
            )
            served = asyncio.create_task(
                send(running.port, (head % 200_000).encode() + b"s" * 200_000)
            )
            await wait_until(lambda: len(target.received) == 1)
            running._server.account.limit_bytes = 400_000
            refused = await send(
                running.port, (head % 900_000).encode() + b"l" * 500_000
            )
            assert refused.startswith(b"HTTP/1.1 503 ")
            assert b"\r\ndotterelbridge-run: no\r\n" in refused
            is_released.set()
            assert (await served).startswith(b"HTTP/1.1 200 ")
            assert len(target.received) == 1

    check()
