"""The HTTP server, tested with raw bytes."""

import asyncio
import contextlib
import socket

import anyio
import pytest

from dotterelbridge.clock import SystemClock
from dotterelbridge.routes.model import CallerLimits
from dotterelbridge.serving.server import HttpServer
from dotterelbridge.serving.settings import ServingSettings
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_then_break
from tests.serving.fakes import wait_until

GET_REQUEST = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n"


def create_settings(**fields) -> ServingSettings:
    return ServingSettings(port=0, balancer_lead_s=0, **fields)


async def connect(harness):
    return await asyncio.open_connection("127.0.0.1", harness.port)


async def send_raw(harness, data: bytes) -> bytes:
    """Send bytes; return what the server sends until it closes."""
    reader, writer = await connect(harness)
    writer.write(data)
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while chunk := await reader.read(65536):
            received += chunk
    writer.close()
    return received


async def read_response(reader) -> tuple[bytes, bytes]:
    """Return head and body of a response with a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    return head, await reader.readexactly(length)


async def echo_body(received):
    await received.answer(received.body)


def create_post(
    body: bytes, *headers: bytes, path=b"/services/booking/x"
) -> bytes:
    lines = [b"POST " + path + b" HTTP/1.1", b"host: x", *headers]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@run_async
async def test_connection_serves_one_request_after_another():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        for number in range(5):
            body = b"call %d" % number
            writer.write(create_post(body))
            assert (await read_response(reader))[1] == body
        writer.close()


@run_async
async def test_pipelined_requests_are_answered_in_order():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        writer.write(b"".join(create_post(b"call %d" % n) for n in range(8)))
        for number in range(8):
            assert (await read_response(reader))[1] == b"call %d" % number
        writer.close()


@run_async
async def test_too_many_pipelined_requests_close_the_connection():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        await send_raw(harness, create_post(b"") * 200)
        await wait_until(lambda: harness.app.in_flight == 0)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\nabc",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 100_000, b"431"),
    ],
)
def test_malformed_heads_are_refused_as_not_run(data, status):
    async def check():
        async with run_serving() as harness:
            answer = await send_raw(harness, data)
            assert answer.startswith(b"HTTP/1.1 " + status)
            assert b"dotterelbridge-run: no" in answer
            assert b'"remedy"' in answer

    anyio.run(check)


@run_async
async def test_limits_of_the_configuration_raise_those_of_the_listener():
    """A lower setting would refuse requests that operators allow."""
    limits = CallerLimits(
        head_bytes=5000,
        body_bytes=10000,
        head_timeout_ms=3000,
        idle_timeout_ms=15000,
    )
    serving = create_settings(
        head_limit_kb=1, idle_limit_s=1, body_timeout_s=1
    )
    clock = SystemClock()
    server = HttpServer(None, serving, clock, read_limits=lambda: limits)
    assert server.head_limit == 5000
    connection = FakeConnection(clock.monotonic())
    server._connections.add(connection)
    for elapsed_s, is_receiving, is_closed in (
        (2.9, True, False),
        (3.1, True, True),
        (14.9, False, False),
        (15.1, False, True),
    ):
        connection.last_activity_at = clock.monotonic() - elapsed_s
        connection.is_receiving = is_receiving
        connection.is_closed = False
        server.sweep()
        assert connection.is_closed is is_closed


class FakeConnection:
    """An idle connection, as the sweep sees it."""

    is_stalled = is_closing = False
    is_idle = True

    def __init__(self, last_activity_at: float) -> None:
        self.last_activity_at = last_activity_at
        self.is_receiving = False
        self.is_closed = False

    def update_account(self) -> None:
        pass

    def close(self) -> None:
        self.is_closed = True


@run_async
async def test_chunked_request_body_is_complete():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        writer.write(
            b"POST /services/booking/x HTTP/1.1\r\nhost: x\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        await anyio.sleep(0)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        assert (await read_response(reader))[1] == b"abcde"
        writer.close()


@run_async
async def test_large_request_body_is_complete():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        body = bytes(range(256)) * 8192
        writer.write(create_post(body))
        assert (await read_response(reader))[1] == body
        writer.close()


@run_async
async def test_expect_continue_is_answered_before_the_body():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        head, _, body = create_post(
            b"late", b"expect: 100-continue"
        ).partition(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n")
        interim = await reader.readuntil(b"\r\n\r\n")
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(body)
        assert (await read_response(reader))[1] == b"late"
        writer.close()


@run_async
async def test_http_1_0_connection_is_closed_after_the_response():
    async with run_serving() as harness:
        answer = await send_raw(harness, b"GET /healthz HTTP/1.0\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer


@run_async
async def test_oversized_body_is_not_read_to_its_end():
    async with run_serving(
        serving=create_settings(body_limit_kb=64)
    ) as harness:
        reader, writer = await connect(harness)
        writer.write(create_post(b"x" * 200_000))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 413")
        assert b"connection: close" in head
        writer.close()


@run_async
async def test_incomplete_request_times_out():
    async with run_serving(
        serving=create_settings(body_timeout_s=1)
    ) as harness:
        assert await send_raw(harness, GET_REQUEST[:10]) == b""
        answer = await send_raw(harness, create_post(b"half" * 9)[:-20])
        assert answer.startswith(b"HTTP/1.1 400")
        assert b"dotterelbridge-run: no" in answer


@run_async
async def test_idle_connection_is_closed_and_a_busy_one_is_not():
    async with run_serving(serving=create_settings(idle_limit_s=1)) as harness:
        assert await send_raw(harness, GET_REQUEST) != b""
        resume_event = anyio.Event()

        async def wait(received):
            await resume_event.wait()
            await echo_body(received)

        await harness.add_service("s1", wait)
        reader, writer = await connect(harness)
        writer.write(create_post(b"busy"))
        # Meanwhile, an idle connection reaches its limit.
        await send_raw(harness, GET_REQUEST)
        resume_event.set()
        assert (await read_response(reader))[1] == b"busy"
        writer.close()


@run_async
async def test_request_after_a_long_idle_time_is_served():
    limits = create_settings(idle_limit_s=60, body_timeout_s=1)
    async with run_serving(serving=limits) as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        # Idle for longer than body_timeout_s.
        harness.listener._server.sweep()
        connection = next(iter(harness.listener._server._connections))
        connection.last_activity_at -= 10
        data = create_post(b"whole")
        writer.write(data[:20])
        await wait_until(lambda: connection.is_receiving)
        harness.listener._server.sweep()
        writer.write(data[20:])
        assert (await read_response(reader))[1] == b"whole"
        writer.close()


@run_async
async def test_slow_reader_gets_a_large_response_completely():
    size = 16_000_000

    async def send_large_response(received):
        await received.answer(b"x" * size)

    async with run_serving(
        serving=create_settings(stall_limit_s=1)
    ) as harness:
        await harness.add_service("s1", send_large_response)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port, limit=65536
        )
        writer.write(create_post(b""))
        await reader.readuntil(b"\r\n\r\n")
        left = size
        while left:
            # The whole response takes longer than the stall limit.
            left -= len(await reader.readexactly(min(left, 1_000_000)))
            await anyio.sleep(0.2)
        writer.close()


@run_async
async def test_connections_beyond_the_limit_are_closed():
    async with run_serving(
        serving=create_settings(connections_limit=3)
    ) as harness:
        kept = []
        for _ in range(3):
            kept.append(await connect(harness))
            kept[-1][1].write(GET_REQUEST)
            await read_response(kept[-1][0])
        assert await send_raw(harness, GET_REQUEST) == b""
        kept.pop()[1].close()
        await wait_until(lambda: harness.listener.connections == 2)
        reader, writer = await connect(harness)
        writer.write(GET_REQUEST)
        await read_response(reader)
        writer.close()
        for _, writer in kept:
            writer.close()


@run_async
async def test_thousands_of_idle_connections_do_not_disturb_serving():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        idle = [await connect(harness) for _ in range(2000)]
        await wait_until(lambda: harness.listener.connections == 2000)
        reader, writer = await connect(harness)
        for number in range(20):
            body = b"call %d" % number
            writer.write(create_post(body))
            assert (await read_response(reader))[1] == body
        for _, other in [*idle, (reader, writer)]:
            other.close()
        await wait_until(lambda: harness.listener.connections == 0)


@run_async
async def test_internal_error_exposes_no_traceback():
    async with run_serving() as harness:

        def raise_error(name):
            raise RuntimeError("secret detail")

        harness.router.find_sheet_row = raise_error
        reader, writer = await connect(harness)
        writer.write(create_post(b"{}"))
        head, body = await read_response(reader)
        assert head.startswith(b"HTTP/1.1 500")
        assert b"secret" not in body
        assert b"dotterelbridge-run: unknown" in head
        writer.close()


@run_async
async def test_partly_received_request_is_served_during_the_drain():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        data = create_post(b"whole")
        writer.write(data[:20])
        connections = harness.listener._server._connections
        await wait_until(lambda: any(c.is_receiving for c in connections))
        async with anyio.create_task_group() as group:
            group.start_soon(harness.listener.drain)
            await wait_until(lambda: harness.listener._server._closing)
            writer.write(data[20:])
            head, body = await read_response(reader)
        assert body == b"whole"
        assert b"connection: close" in head
        writer.close()


def create_backlog(harness, count):
    """Connect and send requests before the server can accept them."""
    connections = []
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", harness.port))
        connection.sendall(create_post(b"queued"))
        connections.append(connection)
    return connections


@run_async
async def test_requests_in_the_listen_queue_are_served_during_the_drain():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        connections = create_backlog(harness, 20)
        await harness.listener.drain()
        for connection in connections:
            response = connection.recv(65536)
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(b"queued")
            connection.close()


@run_async
async def test_unread_request_on_a_kept_connection_is_served_in_the_drain():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        connection = create_backlog(harness, 1)[0]
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        assert await loop.sock_recv(connection, 65536)
        await wait_until(lambda: harness.app.in_flight == 0)
        connection.send(create_post(b"second"))
        # No pass of the event loop lies between the two, so that the server
        # has not read the request yet.
        harness.listener._server.announce_close()
        await harness.listener._server.stop_accepting()
        await harness.listener._server.wait_closed()
        assert connection.recv(65536).endswith(b"second")
        connection.close()


@run_async
async def test_connection_opened_during_the_drain_may_send_its_request():
    async with run_serving() as harness:
        await harness.add_service("s1", echo_body)
        reader, writer = await connect(harness)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.listener.drain)
            await wait_until(lambda: harness.listener._server._closing)
            writer.write(create_post(b"first"))
            _, body = await read_response(reader)
        assert body == b"first"
        writer.close()


@run_async
async def test_broken_stream_resets_a_caller_without_chunked_encoding():
    """Without chunks, a closed connection would end the body normally."""
    async with run_serving() as harness:
        await harness.add_engine("e1", stream_then_break(3, 3))
        reader, writer = await connect(harness)
        body = b'{"model": "quote", "stream": true}'
        request = create_post(body, path=b"/v1/completions")
        writer.write(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        writer.close()
