"""Streams that break, fall silent, cross or lag."""

import asyncio
import contextlib
import random

import anyio
import httpx
import pytest

from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.sse import EventSplitter
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import break_after
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_body
from tests.serving.fakes import stream_tokens
from tests.serving.fakes import token_event
from tests.serving.fakes import wait_until
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client

STREAM = {"model": "quote", "stream": True}
QUICK_SILENCE = TargetsSettings(silence_limit_ms=300, first_byte_limit_ms=300)
MANY_RETRIES = RoutingSettings(
    attempts_limit=1000,
    retry_reserve=1000,
    ejection_failures=1000,
)


async def be_silent(received):
    await received.start_stream()
    await received.send_tokens(received.offset, received.offset + 3)
    await received.wait_closed()


async def post_stream(client) -> httpx.Response:
    return await client.post(CHAT, json=STREAM)


def once(first, then):
    """Return a handler that differs for the first request."""
    seen = []

    async def handle(received):
        seen.append(received)
        await (first if len(seen) == 1 else then)(received)

    return handle


@pytest.mark.parametrize("delivered", [0, 1, 7, 19])
def test_broken_stream_is_resumed_without_loss_or_repeat(delivered):
    async def check():
        async with run_serving() as harness, create_client(harness) as client:
            broken = break_after(delivered, 20)
            engine = await harness.add_engine(
                "e1", once(broken, stream_tokens(20))
            )
            response = await post_stream(client)
            assert response.content == stream_body(20)
            assert [r.offset for r in engine.received] == [0, delivered]

    anyio.run(check)


@run_async
async def test_connection_of_a_whole_stream_is_used_again():
    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", stream_tokens(3))
        for _ in range(5):
            await post_stream(client)
            await wait_until(lambda: harness.app.in_flight == 0)
        assert engine.connections == 1


@run_async
async def test_stream_is_resumed_at_another_target():
    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", break_after(5, 20))
        other = await harness.add_engine("e2", stream_tokens(20))
        for _ in range(8):
            response = await post_stream(client)
            assert response.content == stream_body(20)
        assert any(received.offset == 5 for received in other.received)


@run_async
async def test_half_an_event_is_never_delivered():
    async def send_half(received):
        await received.start_stream()
        await received.send_tokens(0, 3)
        await received.send_chunk(token_event(3)[:10])
        received.reset()

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", once(send_half, stream_tokens(6))
        )
        response = await post_stream(client)
        assert response.content == stream_body(6)
        assert engine.received[1].offset <= 3


@run_async
async def test_stream_of_a_call_that_may_not_repeat_is_not_resumed():
    rows = (model_row(idempotent=False),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", break_after(5, 20))
        received = b""
        with pytest.raises(httpx.RemoteProtocolError):
            async with client.stream("POST", CHAT, json=STREAM) as response:
                async for chunk in response.aiter_raw():
                    received += chunk
        whole = b"".join(token_event(n) for n in range(5))
        assert received == whole
        assert len(engine.received) == 1


@run_async
async def test_silent_stream_is_resumed_on_a_new_connection():
    async with (
        run_serving(targets=QUICK_SILENCE) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine(
            "e1", once(be_silent, stream_tokens(20))
        )
        response = await post_stream(client)
        assert response.content == stream_body(20)
        assert engine.received[1].offset == 3
        assert engine.connections >= 2
        state = harness.router.dump()["targets"]["e1"]
        assert state["ejection"] == "in"
        assert state["failures"] == 0


@run_async
async def test_silence_condemns_idle_connections_that_are_as_old():
    gate = asyncio.Event()

    async def wait_for_gate(received):
        await gate.wait()
        await stream_tokens(2)(received)

    # A baseline chooser asks for no cache events, which would prove one
    # of the connections.
    routing = RoutingSettings(chooser="least_outstanding")
    async with (
        run_serving(targets=QUICK_SILENCE, routing=routing) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine("e1", wait_for_gate)
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(post_stream, client)
            await wait_until(lambda: len(engine.received) == 3)
            gate.set()
        target_client = next(iter(harness.router._targets.values())).client
        await wait_until(
            lambda: target_client.count_connections()["idle"] == 3
        )
        # All three connections are now lost track of: the engine no
        # longer answers on them, but does on new ones.
        known = {received.writer for received in engine.received}

        async def drop_known(received):
            if received.writer in known:
                await received.wait_closed()
                return
            await stream_tokens(2)(received)

        engine.handler = drop_known
        response = await post_stream(client)
        assert response.content == stream_body(2)
        # One attempt met the silence; the other two old connections were
        # closed unused.
        assert len(engine.received) == 3 + 1 + 1
        await wait_until(
            lambda: target_client.count_connections()["idle"] == 1
        )


@run_async
async def test_kept_connection_that_stays_silent_is_given_up_early():
    rows = (model_row(deadline_ms=600),)
    # A new connection is not given up while the test lasts, and a retry
    # out of a budget isn't to be had.
    targets = TargetsSettings(first_byte_limit_ms=600_000)
    routing = RoutingSettings(attempts_limit=1)
    async with (
        run_serving(rows, targets=targets, routing=routing) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine("e1", stream_tokens(2))
        await post_stream(client)
        await wait_until(lambda: harness.app.in_flight == 0)
        known = engine.received[0].writer

        async def drop_known(received):
            if received.writer is known:
                await received.wait_closed()
                return
            await stream_tokens(2)(received)

        engine.handler = drop_known
        response = await post_stream(client)
        assert response.content == stream_body(2)
        assert engine.received[1].writer is known
        assert engine.received[2].writer is not known


@run_async
async def test_request_whose_first_byte_is_late_moves_to_another_target():
    async def never_answer(received):
        await received.wait_closed()

    rows = (model_row(deadline_ms=300),)
    targets = TargetsSettings(first_byte_limit_ms=600_000)
    async with (
        run_serving(rows, targets=targets) as harness,
        create_client(harness) as client,
    ):
        silent = await harness.add_engine("e1", never_answer)
        await harness.add_engine("e2", stream_tokens(5))
        for _ in range(10):
            response = await post_stream(client)
            assert response.content == stream_body(5)
        # Its lateness counts against it, without another failure.
        assert 1 <= len(silent.received) < 10


@run_async
async def test_silent_target_of_another_domain_is_given_up():
    async def never_answer(received):
        await received.wait_closed()

    rows = (model_row(deadline_ms=100),)
    targets = TargetsSettings(first_byte_limit_ms=600_000)
    async with (
        run_serving(rows, targets=targets) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine(
            "e1", never_answer, domain="cork-1", region="cork"
        )
        response = await post_stream(client)
        assert response.status_code == 502
        assert response.headers["dotterelbridge-run"] == "unknown"
        assert len(engine.received) == 2


@run_async
async def test_late_request_stays_where_it_is_when_it_cannot_move():
    go_on = anyio.Event()

    async def wait(received):
        await go_on.wait()
        await stream_tokens(5)(received)

    rows = (model_row(deadline_ms=100),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", wait)
        async with anyio.create_task_group() as group:

            async def call():
                response = await post_stream(client)
                assert response.content == stream_body(5)

            group.start_soon(call)
            await wait_until(lambda: len(engine.received) == 1)
            connection = next(
                iter(
                    next(
                        iter(harness.router._targets.values())
                    ).client._busy_connections
                )
            )
            assert connection.first_byte_limit_s == 30.0
            go_on.set()
        assert len(engine.received) == 1


@pytest.mark.parametrize(
    "tail",
    [
        b"",
        b"data: " + b"x" * 2_000_000,
        b"data: [DONE]\n\ndata: late\n\n",
        b"data: unfinished",
    ],
    ids=["no-closing-event", "endless-event", "after-done", "half-event"],
)
def test_malformed_stream_never_reaches_the_caller_as_whole(tail):
    async def send_malformed(received):
        await received.start_stream()
        await received.send_tokens(0, 2)
        with contextlib.suppress(ConnectionError):
            if tail:
                await received.send_chunk(tail)
            await received.send_chunk(b"")

    async def check():
        async with run_serving() as harness, create_client(harness) as client:
            await harness.add_engine(
                "e1", once(send_malformed, stream_tokens(6))
            )
            response = await post_stream(client)
            assert response.content == stream_body(6)

    anyio.run(check)


@pytest.mark.parametrize("line_end", [b"\r\n", b"\r", b"\n"])
def test_event_boundaries_of_every_kind_and_cut(line_end):
    text = b": note\n\n" + stream_body(5)
    data = text.replace(b"\n", line_end)
    rng = random.Random(3)
    for _ in range(200):
        splitter = EventSplitter(10000)
        whole, tokens, at = b"", 0, 0
        while at < len(data):
            size = rng.randint(1, 40)
            part, count = splitter.feed(data[at : at + size])
            whole += part
            tokens += count
            at += size
        assert whole == text or line_end == b"\r"
        assert whole.startswith(text.removesuffix(b"data: [DONE]\n\n"))
        assert tokens == 5
        assert splitter.done or line_end == b"\r"


@run_async
async def test_hang_up_cancels_at_the_target():
    closed = asyncio.Event()

    async def stream_forever(received):
        await received.start_stream()
        with contextlib.suppress(ConnectionError):
            await received.send_tokens(0, 3)
            await received.wait_closed()
        closed.set()

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", stream_forever)
        async with client.stream("POST", CHAT, json=STREAM) as response:
            async for _ in response.aiter_raw():
                break
        await wait_until(closed.is_set)
        await wait_until(lambda: harness.app.in_flight == 0)
        state = harness.router.dump()["targets"]["e1"]
        assert state["in_flight"] == 0
        assert state["connections"] == {"busy": 0, "idle": 0}


@run_async
async def test_hang_up_before_the_first_token_cancels_at_the_target():
    closed = asyncio.Event()

    async def never_answer(received):
        await received.wait_closed()
        closed.set()

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", never_answer)
        with anyio.move_on_after(20) as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(post_stream, client)
                await wait_until(lambda: len(engine.received) == 1)
                group.cancel_scope.cancel()
        assert not scope.cancelled_caught
        await wait_until(closed.is_set)


@run_async
async def test_answer_with_another_requests_id_is_never_delivered():
    async def cross(received):
        received.headers["x-request-id"] = "someone-else"
        await stream_tokens(4)(received)

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", once(cross, stream_tokens(6)))
        response = await post_stream(client)
        assert response.content == stream_body(6)
        assert engine.connections == 2


@run_async
async def test_late_answer_on_a_kept_connection_is_thrown_away():
    async def answer_twice(received):
        await received.answer(b'{"answer": 1}')
        await anyio.sleep(0.05)
        await received.answer(b'{"answer": "late"}')

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", once(answer_twice, stream_tokens(3))
        )
        response = await client.post(CHAT, json={"model": "quote"})
        assert response.json() == {"answer": 1}
        target_client = next(iter(harness.router._targets.values())).client
        await wait_until(
            lambda: all(c.is_closed for c in target_client._idle_connections)
        )
        response = await post_stream(client)
        assert response.content == stream_body(3)
        assert engine.connections == 2


@run_async
async def test_connection_of_a_cancelled_exchange_is_not_reused():
    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", once(be_silent, stream_tokens(4))
        )
        async with client.stream("POST", CHAT, json=STREAM) as response:
            async for _ in response.aiter_raw():
                break
        await wait_until(lambda: harness.app.in_flight == 0)
        response = await post_stream(client)
        assert response.content == stream_body(4)
        assert engine.connections == 2


@run_async
async def test_slow_reader_is_held_in_bounded_memory():
    sent = [0]
    limit = 64 << 20

    async def stream_much(received):
        await received.start_stream()
        event = b"data: " + b"x" * 65536 + b"\n\n"
        with contextlib.suppress(ConnectionError):
            while sent[0] < limit:
                await received.send_chunk(event)
                sent[0] += len(event)
            await received.finish_stream()

    async with run_serving() as harness:
        await harness.add_engine("e1", stream_much)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port, limit=65536
        )
        body = b'{"model": "quote", "stream": true}'
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            b"content-length: %d\r\n\r\n%b" % (len(body), body)
        )
        previous = -1
        while previous != sent[0] or sent[0] == 0:
            previous = sent[0]
            await anyio.sleep(0.3)
        # What the kernel's socket buffers hold, and little more.
        assert sent[0] < limit / 2
        connection = next(iter(harness.listener._server._connections))
        held = connection._transport.get_write_buffer_size()
        assert held < 1 << 20
        # The stream goes on where it stood once the caller reads again.
        seen = 0
        while chunk := await reader.read(1 << 20):
            seen += len(chunk)
            if chunk.endswith(b"0\r\n\r\n"):
                break
        assert seen > limit
        writer.close()


@run_async
async def test_reader_that_never_reads_is_cut_off():
    async def stream_much(received):
        await received.start_stream()
        with contextlib.suppress(ConnectionError):
            while True:
                await received.send_chunk(b"data: " + b"x" * 65536 + b"\n\n")

    serving = ServingSettings(port=0, balancer_lead_s=0, stall_limit_s=1)
    async with run_serving(serving=serving) as harness:
        await harness.add_engine("e1", stream_much)
        _, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port, limit=1024
        )
        body = b'{"model": "quote", "stream": true}'
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            b"content-length: %d\r\n\r\n%b" % (len(body), body)
        )
        await wait_until(lambda: harness.app.in_flight == 1)
        await wait_until(lambda: harness.app.in_flight == 0)
        writer.close()


@run_async
async def test_oversized_answer_head_is_a_broken_attempt():
    async def send_much_head(received):
        with contextlib.suppress(ConnectionError):
            await received.send_head(200, {"x-much": "y" * 100_000})

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", once(send_much_head, stream_tokens(2))
        )
        assert (await post_stream(client)).content == stream_body(2)
        assert len(engine.received) == 2


@run_async
async def test_answer_that_ends_early_is_tried_again():
    async def send_short(received):
        await received.send_head(200, {"content-length": "100"})
        await received.send(b"short")
        received.writer.close()

    async def send_whole(received):
        await received.answer(b'{"whole": true}')

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", once(send_short, send_whole))
        response = await client.post(CHAT, json={"model": "quote"})
        assert response.json() == {"whole": True}


def misbehave(rng, tokens):
    """Return a handler that fails in some way most of the time."""

    async def handle(received):
        choice = rng.random()
        if choice < 0.15:
            received.reset()
            return
        if choice < 0.25:
            received.headers["x-request-id"] = "other"
        await received.start_stream()
        at = received.offset
        while at < tokens:
            end = min(tokens, at + rng.randint(1, 9))
            await received.send_tokens(at, end)
            at = end
            if rng.random() < 0.1:
                cut = rng.randint(1, 30)
                await received.send_chunk(token_event(at)[:cut])
                received.reset()
                return
            await anyio.sleep(0)
        await received.finish_stream()

    async def tolerate(received):
        with contextlib.suppress(ConnectionError):
            await handle(received)

    return tolerate


@pytest.mark.parametrize("seed", range(5))
def test_random_faults_never_lose_or_repeat_a_token(seed):
    """Each caller gets its own stream, whatever the engines do."""

    async def check():
        rng = random.Random(seed)
        async with (
            run_serving(routing=MANY_RETRIES, seed=seed) as harness,
            create_client(harness) as client,
        ):
            for name in ("e1", "e2", "e3"):
                await harness.add_engine(name, misbehave(rng, 30))
            bodies = []

            async def call():
                bodies.append((await post_stream(client)).content)

            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(call)
            assert bodies == [stream_body(30)] * 20

    anyio.run(check)
