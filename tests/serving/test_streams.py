"""Streams that break, stall, get a wrong response or are read slowly."""

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
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_body
from tests.serving.fakes import stream_then_break
from tests.serving.fakes import stream_tokens
from tests.serving.fakes import token_event
from tests.serving.fakes import wait_until
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client

STREAM = {"model": "quote", "stream": True}
SHORT_TIMEOUTS = TargetsSettings(silence_limit_ms=300, first_byte_limit_ms=300)
MANY_RETRIES = RoutingSettings(
    attempts_limit=1000,
    retry_reserve=1000,
    ejection_failures=1000,
)


async def stall_after_three_tokens(received):
    await received.start_stream()
    await received.send_tokens(received.offset, received.offset + 3)
    await received.wait_closed()


async def post_stream(client) -> httpx.Response:
    return await client.post(CHAT, json=STREAM)


def first_then(first, then):
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
            broken = stream_then_break(delivered, 20)
            engine = await harness.add_engine(
                "e1", first_then(broken, stream_tokens(20))
            )
            response = await post_stream(client)
            assert response.content == stream_body(20)
            assert [r.offset for r in engine.received] == [0, delivered]

    anyio.run(check)


@run_async
async def test_connection_is_reused_after_a_complete_stream():
    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", stream_tokens(3))
        for _ in range(5):
            await post_stream(client)
            await wait_until(lambda: harness.app.in_flight == 0)
        assert engine.connections == 1


@run_async
async def test_stream_is_resumed_at_another_target():
    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", stream_then_break(5, 20))
        other = await harness.add_engine("e2", stream_tokens(20))
        for _ in range(8):
            response = await post_stream(client)
            assert response.content == stream_body(20)
        assert any(received.offset == 5 for received in other.received)


# Guards against one text of two versions of a model, of which the older one
# serves while the sheet's is loaded.
@run_async
async def test_stream_is_not_resumed_at_another_version_of_the_model():
    rows = (model_row(version="2"),)
    routing = RoutingSettings(resume_limit_ms=100)
    async with (
        run_serving(rows, routing) as harness,
        create_client(harness) as client,
    ):
        newer = FakeTarget("e2", stream_tokens(20))
        await newer.start()

        async def break_while_the_newer_is_loaded(received):
            await received.start_stream()
            await received.send_tokens(0, 5)
            harness.membership.set(
                engine_view("e2", newer.port, items=("quote@2",))
            )
            received.writer.close()

        await harness.add_engine("e1", break_while_the_newer_is_loaded)
        with pytest.raises(httpx.RemoteProtocolError):
            await post_stream(client)
        assert newer.received == []
        await newer.stop()


@run_async
async def test_partial_event_is_never_delivered():
    async def send_partial_event(received):
        await received.start_stream()
        await received.send_tokens(0, 3)
        await received.send_chunk(token_event(3)[:10])
        received.reset()

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", first_then(send_partial_event, stream_tokens(6))
        )
        response = await post_stream(client)
        assert response.content == stream_body(6)
        assert engine.received[1].offset <= 3


@run_async
async def test_stream_of_a_non_idempotent_call_is_not_resumed():
    rows = (model_row(idempotent=False),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", stream_then_break(5, 20))
        received = b""
        with pytest.raises(httpx.RemoteProtocolError):
            async with client.stream("POST", CHAT, json=STREAM) as response:
                async for chunk in response.aiter_raw():
                    received += chunk
        whole = b"".join(token_event(n) for n in range(5))
        assert received == whole
        assert len(engine.received) == 1


@run_async
async def test_stalled_stream_is_resumed_on_a_new_connection():
    async with (
        run_serving(targets=SHORT_TIMEOUTS) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine(
            "e1", first_then(stall_after_three_tokens, stream_tokens(20))
        )
        response = await post_stream(client)
        assert response.content == stream_body(20)
        assert engine.received[1].offset == 3
        assert engine.connections >= 2
        state = harness.router.dump()["targets"]["e1"]
        assert state["ejection"] == "in"
        assert state["failures"] == 0


@run_async
async def test_timeout_closes_idle_connections_of_the_same_age():
    gate = asyncio.Event()

    async def wait_for_gate(received):
        await gate.wait()
        await stream_tokens(2)(received)

    # A baseline chooser doesn't poll for cache events; a poll would use one
    # of the connections and show that it works.
    routing = RoutingSettings(chooser="least_outstanding")
    async with (
        run_serving(targets=SHORT_TIMEOUTS, routing=routing) as harness,
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
        # The engine no longer responds on the three connections, as after
        # a lost connection state, but does on new ones.
        known = {received.writer for received in engine.received}

        async def ignore_known_connections(received):
            if received.writer in known:
                await received.wait_closed()
                return
            await stream_tokens(2)(received)

        engine.handler = ignore_known_connections
        response = await post_stream(client)
        assert response.content == stream_body(2)
        # One attempt timed out; the other two old connections were closed
        # without being used.
        assert len(engine.received) == 3 + 1 + 1
        await wait_until(
            lambda: target_client.count_connections()["idle"] == 1
        )


@run_async
async def test_unresponsive_kept_connection_is_given_up_at_the_deadline():
    rows = (model_row(deadline_ms=600),)
    # The timeout of new connections exceeds the test's duration, and no
    # retry from the budgets is allowed.
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

        async def ignore_known_connections(received):
            if received.writer is known:
                await received.wait_closed()
                return
            await stream_tokens(2)(received)

        engine.handler = ignore_known_connections
        response = await post_stream(client)
        assert response.content == stream_body(2)
        assert engine.received[1].writer is known
        assert engine.received[2].writer is not known


@run_async
async def test_request_with_a_late_first_byte_is_retried_elsewhere():
    async def wait_for_disconnect(received):
        await received.wait_closed()

    rows = (model_row(deadline_ms=300),)
    targets = TargetsSettings(first_byte_limit_ms=600_000)
    async with (
        run_serving(rows, targets=targets) as harness,
        create_client(harness) as client,
    ):
        unresponsive = await harness.add_engine("e1", wait_for_disconnect)
        await harness.add_engine("e2", stream_tokens(5))
        for _ in range(10):
            response = await post_stream(client)
            assert response.content == stream_body(5)
        # Its late responses make it less preferred, without any failure.
        assert 1 <= len(unresponsive.received) < 10


@run_async
async def test_unresponsive_target_of_another_domain_is_given_up():
    async def wait_for_disconnect(received):
        await received.wait_closed()

    rows = (model_row(deadline_ms=100),)
    targets = TargetsSettings(first_byte_limit_ms=600_000)
    async with (
        run_serving(rows, targets=targets) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine(
            "e1", wait_for_disconnect, domain="cork-1", region="cork"
        )
        response = await post_stream(client)
        assert response.status_code == 502
        assert response.headers["dotterelbridge-run"] == "unknown"
        assert len(engine.received) == 2


@run_async
async def test_late_request_keeps_waiting_without_another_target():
    resume_event = anyio.Event()

    async def wait(received):
        await resume_event.wait()
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
            resume_event.set()
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
def test_malformed_stream_is_never_delivered_as_complete(tail):
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
                "e1", first_then(send_malformed, stream_tokens(6))
            )
            response = await post_stream(client)
            assert response.content == stream_body(6)

    anyio.run(check)


@pytest.mark.parametrize("line_end", [b"\r\n", b"\r", b"\n"])
def test_events_are_split_at_all_line_ends_and_chunk_sizes(line_end):
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
async def test_disconnect_cancels_the_request_at_the_target():
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
async def test_disconnect_before_the_first_token_cancels_at_the_target():
    closed = asyncio.Event()

    async def wait_for_disconnect(received):
        await received.wait_closed()
        closed.set()

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", wait_for_disconnect)
        with anyio.move_on_after(20) as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(post_stream, client)
                await wait_until(lambda: len(engine.received) == 1)
                group.cancel_scope.cancel()
        assert not scope.cancelled_caught
        await wait_until(closed.is_set)


@run_async
async def test_response_with_the_id_of_another_request_is_never_delivered():
    async def answer_with_wrong_id(received):
        received.headers["x-request-id"] = "someone-else"
        await stream_tokens(4)(received)

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", first_then(answer_with_wrong_id, stream_tokens(6))
        )
        response = await post_stream(client)
        assert response.content == stream_body(6)
        assert engine.connections == 2


@run_async
async def test_late_response_on_a_kept_connection_is_discarded():
    async def answer_twice(received):
        await received.answer(b'{"answer": 1}')
        await anyio.sleep(0.05)
        await received.answer(b'{"answer": "late"}')

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", first_then(answer_twice, stream_tokens(3))
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
            "e1", first_then(stall_after_three_tokens, stream_tokens(4))
        )
        async with client.stream("POST", CHAT, json=STREAM) as response:
            async for _ in response.aiter_raw():
                break
        await wait_until(lambda: harness.app.in_flight == 0)
        response = await post_stream(client)
        assert response.content == stream_body(4)
        assert engine.connections == 2


@run_async
async def test_slow_reader_uses_bounded_memory():
    sent = [0]
    limit = 64 << 20

    async def stream_large_events(received):
        await received.start_stream()
        event = b"data: " + b"x" * 65536 + b"\n\n"
        with contextlib.suppress(ConnectionError):
            while sent[0] < limit:
                await received.send_chunk(event)
                sent[0] += len(event)
            await received.finish_stream()

    async with run_serving() as harness:
        await harness.add_engine("e1", stream_large_events)
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
        # At most what the kernel's socket buffers hold, plus a little.
        assert sent[0] < limit / 2
        connection = next(iter(harness.listener._server._connections))
        held = connection._transport.get_write_buffer_size()
        assert held < 1 << 20
        # The stream continues once the caller reads again.
        seen = 0
        while chunk := await reader.read(1 << 20):
            seen += len(chunk)
            if chunk.endswith(b"0\r\n\r\n"):
                break
        assert seen > limit
        writer.close()


@run_async
async def test_caller_that_never_reads_is_disconnected():
    async def stream_large_events(received):
        await received.start_stream()
        with contextlib.suppress(ConnectionError):
            while True:
                await received.send_chunk(b"data: " + b"x" * 65536 + b"\n\n")

    serving = ServingSettings(port=0, balancer_lead_s=0, stall_limit_s=1)
    async with run_serving(serving=serving) as harness:
        await harness.add_engine("e1", stream_large_events)
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
async def test_oversized_response_head_is_a_failed_attempt():
    async def send_large_head(received):
        with contextlib.suppress(ConnectionError):
            await received.send_head(200, {"x-much": "y" * 100_000})

    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine(
            "e1", first_then(send_large_head, stream_tokens(2))
        )
        assert (await post_stream(client)).content == stream_body(2)
        assert len(engine.received) == 2


@run_async
async def test_truncated_response_is_retried():
    async def send_short(received):
        await received.send_head(200, {"content-length": "100"})
        await received.send(b"short")
        received.writer.close()

    async def send_whole(received):
        await received.answer(b'{"whole": true}')

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", first_then(send_short, send_whole))
        response = await client.post(CHAT, json={"model": "quote"})
        assert response.json() == {"whole": True}


def create_faulty_handler(rng, tokens):
    """Return a handler that fails in random ways most of the time."""

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

    async def handle_disconnects(received):
        with contextlib.suppress(ConnectionError):
            await handle(received)

    return handle_disconnects


@pytest.mark.parametrize("seed", range(5))
def test_random_faults_never_lose_or_repeat_a_token(seed):
    """Each caller gets its own complete stream, whatever the engines do."""

    async def check():
        rng = random.Random(seed)
        async with (
            run_serving(routing=MANY_RETRIES, seed=seed) as harness,
            create_client(harness) as client,
        ):
            for name in ("e1", "e2", "e3"):
                await harness.add_engine(name, create_faulty_handler(rng, 30))
            bodies = []

            async def call():
                bodies.append((await post_stream(client)).content)

            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(call)
            assert bodies == [stream_body(30)] * 20

    anyio.run(check)


STALLS = TargetsSettings(
    silence_limit_ms=400, first_byte_limit_ms=400, progress_limit_ms=900
)


@run_async
async def test_stream_that_sends_a_byte_now_and_then_is_resumed():
    async def dribble(received):
        await received.start_stream()
        await received.send_tokens(0, 3)
        with contextlib.suppress(ConnectionError):
            while not received.writer.transport.is_closing():
                await received.send_chunk(b":")
                await anyio.sleep(0.1)

    async with (
        run_serving(targets=STALLS) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine(
            "e1", first_then(dribble, stream_tokens(6))
        )
        with anyio.fail_after(15):
            response = await post_stream(client)
        assert response.content == stream_body(6)
        assert engine.received[1].offset == 3


@run_async
async def test_slow_but_steady_stream_is_not_interrupted():
    async def send_slowly(received):
        await received.start_stream()
        for number in range(10):
            await received.send_tokens(number, number + 1)
            await anyio.sleep(0.2)
        await received.finish_stream()

    async with (
        run_serving(targets=STALLS) as harness,
        create_client(harness) as client,
    ):
        engine = await harness.add_engine("e1", send_slowly)
        assert (await post_stream(client)).content == stream_body(10)
        assert len(engine.received) == 1


@run_async
async def test_stream_without_events_is_retried_after_a_bounded_size():
    sent = [0]

    async def send_endlessly(received):
        await received.start_stream()
        with contextlib.suppress(ConnectionError):
            while sent[0] < 64 << 20:
                await received.send_chunk(b"x" * 65536)
                sent[0] += 65536

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine(
            "e1", first_then(send_endlessly, stream_tokens(4))
        )
        assert (await post_stream(client)).content == stream_body(4)
    assert sent[0] < 64 << 20


@run_async
async def test_second_copy_of_a_response_without_id_is_not_reused():
    """The copy arrives when the connection carries the next request."""

    async def answer(received):
        del received.headers["x-request-id"]
        if received.writer is first[0].writer and len(first) > 1:
            await received.answer(b'{"answer": 1}')
        await received.answer(b'{"answer": %d}' % len(first))

    first = []

    async def handle(received):
        first.append(received)
        await answer(received)

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", handle)
        for number in (1, 2):
            response = await client.post(CHAT, json={"model": "quote"})
            assert response.json() == {"answer": number}


@run_async
async def test_copy_without_id_answers_no_other_request():
    # Guards against the response of another caller's request, where a target
    # repeats IDs in its responses but not in a late copy.
    writers = []

    async def answer(received):
        writers.append(received.writer)
        if writers.count(received.writer) > 1:
            own_headers, received.headers = received.headers, {}
            await received.answer(b'{"answer": 1}')
            received.headers = own_headers
        await received.answer(b'{"answer": %d}' % min(len(writers), 2))

    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", answer)
        for number in (1, 2):
            response = await client.post(CHAT, json={"model": "quote"})
            assert response.json() == {"answer": number}
