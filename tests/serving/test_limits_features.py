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

TOKEN_COUNT = 30
FIRST_TOKEN_COUNT = 3


@pytest.fixture
def context():
    context = FeatureContext()
    context.end_streams_event = None
    yield context
    context.close()


def refuse_as(kind):
    """Return a handler that refuses requests as an engine does."""
    body = b'{"error": {"type": "%s"}}' % kind.encode()

    async def refuse(received):
        await received.answer(body, status=503)

    return refuse


@given("an engine with 1 slot that holds its streams open")
def add_engine_with_open_streams(context):
    context.routing |= {"initial_concurrency": 1, "concurrency_limit": 1}
    context.end_streams_event = asyncio.Event()

    async def stream_and_wait(received):
        await received.start_stream()
        if received.offset == 0:
            await received.send_tokens(0, FIRST_TOKEN_COUNT)
            closed = asyncio.create_task(received.wait_closed())
            end_allowed = asyncio.create_task(context.end_streams_event.wait())
            await asyncio.wait(
                (closed, end_allowed), return_when=asyncio.FIRST_COMPLETED
            )
            closed.cancel()
            end_allowed.cancel()
            await asyncio.gather(closed, end_allowed, return_exceptions=True)
        first = max(received.offset, FIRST_TOKEN_COUNT)
        await received.send_tokens(first, TOKEN_COUNT)
        await received.finish_stream()

    context.add_engine("e1", stream_and_wait)


@given(parsers.parse("room for {count:d} normal requests in the queue"))
def limit_queue(context, count):
    context.routing["normal_queue_limit"] = count


@given("engines that refuse all work as overloaded")
def add_refusing_engines(context):
    for number in range(3):
        context.add_engine(f"e{number}", refuse_as("overloaded"))


@given("an engine that is leaving and one that works")
def add_leaving_engine(context):
    context.add_engine("leaving", refuse_as("leaving"))
    context.add_engine("e2", stream_tokens(TOKEN_COUNT))


@given(parsers.parse("a {priority} caller in mid-stream"))
def start_in_mid_stream(context, priority):
    async def start():
        reply = await context.start_caller(priority=priority)
        last = token_event(FIRST_TOKEN_COUNT - 1)
        await wait_until(lambda: last in reply.body)

    context.run(start())


@when("an urgent caller asks for a stream")
def request_urgently(context):
    async def request():
        reply = await context.start_caller(priority="urgent")
        await wait_until(lambda: token_event(0) in reply.body)

    context.run(request())


@when("the engine lets its streams end")
def end_streams(context):
    async def end():
        context.end_streams_event.set()
        await context.finish_callers()

    context.run(end())


@when(parsers.parse("{count:d} normal callers ask for a stream"))
def request_many(context, count):
    async def request():
        for _ in range(count):
            await context.start_caller(priority="normal")
        refused = context.tasks
        if context.end_streams_event is not None:
            await wait_until(lambda: len(context.list_refused(429)) == 7)
            return
        await asyncio.gather(*refused)

    context.run(request())


@when(parsers.parse("{count:d} normal callers ask one after another"))
def request_in_turn(context, count):
    async def request():
        for _ in range(count):
            await context.start_caller(priority="normal")
            await context.finish_callers()

    context.run(request())


@when(
    parsers.parse("a caller with a deadline of {limit} ms asks for a stream")
)
def request_with_deadline(context, limit):
    async def request():
        reply = await context.start_caller(deadline=limit)
        await wait_until(lambda: reply.is_complete)

    context.run(request())


@then("both callers have their streams byte for byte")
def check_both(context):
    assert len(context.list_complete()) == len(context.replies) == 2


@then(parsers.parse("{count:d} callers have their streams byte for byte"))
def check_complete(context, count):
    assert len(context.list_complete()) == count


@then(
    parsers.parse(
        "{count:d} callers are refused with status {status:d} as not run"
    )
)
def check_refused(context, count, status):
    assert len(context.list_refused(status)) == count


@then("every refusal says when to retry")
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
