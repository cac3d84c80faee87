"""Steps of features/limits.feature."""

import asyncio

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.serving.fakes import stream_tokens
from tests.serving.fakes import token_event
from tests.serving.fakes import wait_until
from tests.serving.scene import Scene

scenarios("../features/limits.feature")

TOKENS = 30
LEADING = 3


@pytest.fixture
def scene():
    scene = Scene()
    scene.let_go = None
    yield scene
    scene.close()


def refuse_as(kind):
    """Return a behaviour that refuses work in the engine's words."""
    body = b'{"error": {"type": "%s"}}' % kind.encode()

    async def refuse(received):
        await received.answer(body, status=503)

    return refuse


@given("an engine with 1 place that holds its streams open")
def add_holding(scene):
    scene.routing |= {"initial_concurrency": 1, "concurrency_limit": 1}
    scene.let_go = asyncio.Event()

    async def hold(received):
        await received.start_stream()
        if received.offset == 0:
            await received.send_tokens(0, LEADING)
            closed = asyncio.create_task(received.wait_closed())
            let_go = asyncio.create_task(scene.let_go.wait())
            await asyncio.wait(
                (closed, let_go), return_when=asyncio.FIRST_COMPLETED
            )
            closed.cancel()
            let_go.cancel()
            await asyncio.gather(closed, let_go, return_exceptions=True)
        first = max(received.offset, LEADING)
        await received.send_tokens(first, TOKENS)
        await received.finish_stream()

    scene.add_engine("e1", hold)


@given(parsers.parse("room for {count:d} normal requests in the queue"))
def bound_queue(scene, count):
    scene.routing["normal_queue_limit"] = count


@given("engines that refuse all work as overloaded")
def add_refusing(scene):
    for number in range(3):
        scene.add_engine(f"e{number}", refuse_as("overloaded"))


@given("an engine that is leaving and one that works")
def add_leaving(scene):
    scene.add_engine("leaving", refuse_as("leaving"))
    scene.add_engine("e2", stream_tokens(TOKENS))


@given(parsers.parse("a {priority} caller in mid-stream"))
def start_in_mid_stream(scene, priority):
    async def start():
        reply = await scene.start_caller(priority=priority)
        last = token_event(LEADING - 1)
        await wait_until(lambda: last in reply.body)

    scene.do(start())


@when("an urgent caller asks for a stream")
def ask_urgently(scene):
    async def ask():
        reply = await scene.start_caller(priority="urgent")
        await wait_until(lambda: token_event(0) in reply.body)

    scene.do(ask())


@when("the engine lets its streams end")
def end_streams(scene):
    async def end():
        scene.let_go.set()
        await scene.finish_callers()

    scene.do(end())


@when(parsers.parse("{count:d} normal callers ask for a stream"))
def ask_many(scene, count):
    async def ask():
        for _ in range(count):
            await scene.start_caller(priority="normal")
        refused = scene.tasks
        if scene.let_go is not None:
            await wait_until(lambda: len(scene.list_refused(429)) == 7)
            return
        await asyncio.gather(*refused)

    scene.do(ask())


@when(parsers.parse("{count:d} normal callers ask one after another"))
def ask_in_turn(scene, count):
    async def ask():
        for _ in range(count):
            await scene.start_caller(priority="normal")
            await scene.finish_callers()

    scene.do(ask())


@when(
    parsers.parse("a caller with a deadline of {limit} ms asks for a stream")
)
def ask_with_deadline(scene, limit):
    async def ask():
        reply = await scene.start_caller(deadline=limit)
        await wait_until(lambda: reply.whole)

    scene.do(ask())


@then("both callers have their streams byte for byte")
def check_both(scene):
    assert len(scene.list_whole()) == len(scene.replies) == 2


@then(parsers.parse("{count:d} callers have their streams byte for byte"))
def check_whole(scene, count):
    assert len(scene.list_whole()) == count


@then(
    parsers.parse(
        "{count:d} callers are refused with status {status:d} as not run"
    )
)
def check_refused(scene, count, status):
    assert len(scene.list_refused(status)) == count


@then("every refusal says when to come back")
def check_retry_after(scene):
    refused = [r for r in scene.replies if r.status in (429, 503)]
    assert refused
    assert all(int(r.headers["retry-after"]) >= 1 for r in refused)


@then(parsers.parse("the engines got {count:d} requests"))
def check_requests(scene, count):
    assert scene.count_requests() == count


@then(parsers.parse("the engines got at most {count:d} requests"))
def check_request_bound(scene, count):
    assert scene.count_requests() <= count


@then(parsers.parse("the leaving engine got at most {count:d} request"))
def check_leaving(scene, count):
    assert len(scene.world.targets["leaving"].received) <= count
