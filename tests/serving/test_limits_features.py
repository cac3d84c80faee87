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
from tests.serving.feature_context import FeatureContext

scenarios("../features/limits.feature")

TOKENS = 30
LEADING = 3


@pytest.fixture
def context():
    context = FeatureContext()
    context.let_go = None
    yield context
    context.close()


def refuse_as(kind):
    """Return a handler that refuses work in the engine's words."""
    body = b'{"error": {"type": "%s"}}' % kind.encode()

    async def refuse(received):
        await received.answer(body, status=503)

    return refuse


@given("an engine with 1 place that holds its streams open")
def add_holding(context):
    context.routing |= {"initial_concurrency": 1, "concurrency_limit": 1}
    context.let_go = asyncio.Event()

    async def hold(received):
        await received.start_stream()
        if received.offset == 0:
            await received.send_tokens(0, LEADING)
            closed = asyncio.create_task(received.wait_closed())
            let_go = asyncio.create_task(context.let_go.wait())
            await asyncio.wait(
                (closed, let_go), return_when=asyncio.FIRST_COMPLETED
            )
            closed.cancel()
            let_go.cancel()
            await asyncio.gather(closed, let_go, return_exceptions=True)
        first = max(received.offset, LEADING)
        await received.send_tokens(first, TOKENS)
        await received.finish_stream()

    context.add_engine("e1", hold)


@given(parsers.parse("room for {count:d} normal requests in the queue"))
def bound_queue(context, count):
    context.routing["normal_queue_limit"] = count


@given("engines that refuse all work as overloaded")
def add_refusing(context):
    for number in range(3):
        context.add_engine(f"e{number}", refuse_as("overloaded"))


@given("an engine that is leaving and one that works")
def add_leaving(context):
    context.add_engine("leaving", refuse_as("leaving"))
    context.add_engine("e2", stream_tokens(TOKENS))


@given(parsers.parse("a {priority} caller in mid-stream"))
def start_in_mid_stream(context, priority):
    async def start():
        reply = await context.start_caller(priority=priority)
        last = token_event(LEADING - 1)
        await wait_until(lambda: last in reply.body)

    context.do(start())


@when("an urgent caller asks for a stream")
def ask_urgently(context):
    async def ask():
        reply = await context.start_caller(priority="urgent")
        await wait_until(lambda: token_event(0) in reply.body)

    context.do(ask())


@when("the engine lets its streams end")
def end_streams(context):
    async def end():
        context.let_go.set()
        await context.finish_callers()

    context.do(end())


@when(parsers.parse("{count:d} normal callers ask for a stream"))
def ask_many(context, count):
    async def ask():
        for _ in range(count):
            await context.start_caller(priority="normal")
        refused = context.tasks
        if context.let_go is not None:
            await wait_until(lambda: len(context.list_refused(429)) == 7)
            return
        await asyncio.gather(*refused)

    context.do(ask())


@when(parsers.parse("{count:d} normal callers ask one after another"))
def ask_in_turn(context, count):
    async def ask():
        for _ in range(count):
            await context.start_caller(priority="normal")
            await context.finish_callers()

    context.do(ask())


@when(
    parsers.parse("a caller with a deadline of {limit} ms asks for a stream")
)
def ask_with_deadline(context, limit):
    async def ask():
        reply = await context.start_caller(deadline=limit)
        await wait_until(lambda: reply.whole)

    context.do(ask())


@then("both callers have their streams byte for byte")
def check_both(context):
    assert len(context.list_whole()) == len(context.replies) == 2


@then(parsers.parse("{count:d} callers have their streams byte for byte"))
def check_whole(context, count):
    assert len(context.list_whole()) == count


@then(
    parsers.parse(
        "{count:d} callers are refused with status {status:d} as not run"
    )
)
def check_refused(context, count, status):
    assert len(context.list_refused(status)) == count


@then("every refusal says when to come back")
def check_retry_after(context):
    refused = [r for r in context.replies if r.status in (429, 503)]
    assert refused
    assert all(int(r.headers["retry-after"]) >= 1 for r in refused)


@then(parsers.parse("the engines got {count:d} requests"))
def check_requests(context, count):
    assert context.count_requests() == count


@then(parsers.parse("the engines got at most {count:d} requests"))
def check_request_bound(context, count):
    assert context.count_requests() <= count


@then(parsers.parse("the leaving engine got at most {count:d} request"))
def check_leaving(context, count):
    assert len(context.harness.targets["leaving"].received) <= count
