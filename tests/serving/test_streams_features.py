"""Steps of features/streams.feature."""

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.serving.fakes import break_after
from tests.serving.fakes import stream_body
from tests.serving.fakes import stream_tokens
from tests.serving.feature_context import FeatureContext

scenarios("../features/streams.feature")

TOKENS = 30


@pytest.fixture
def context():
    context = FeatureContext()
    yield context
    context.close()


@given("a model that may not run twice")
def use_single_run(context):
    context.row["idempotent"] = False


@given(parsers.parse('an engine "{name}" that works'))
def add_working(context, name):
    context.add_engine(name, stream_tokens(TOKENS))


@given(parsers.parse('an engine "{name}" that breaks after {count:d} tokens'))
def add_breaking(context, name, count):
    context.add_engine(name, break_after(count, TOKENS))


@given(
    parsers.parse('an engine "{name}" that is silent after {count:d} tokens')
)
def add_silent(context, name, count):
    async def fall_silent(received):
        await received.start_stream()
        end = min(TOKENS, received.offset + count)
        await received.send_tokens(received.offset, end)
        await received.wait_closed()

    context.add_engine(name, fall_silent)


@given(parsers.parse('an engine "{name}" that answers with another id'))
def add_crossing(context, name):
    async def cross(received):
        received.headers["x-request-id"] = "other"
        await stream_tokens(TOKENS)(received)

    context.add_engine(name, cross)


@when(parsers.parse("{count:d} callers ask for a stream of 30 tokens"))
def ask(context, count):
    async def ask_all():
        for _ in range(count):
            await context.start_caller()
        await context.finish_callers()

    context.do(ask_all())


@then("every caller has its stream byte for byte")
def check_whole(context):
    assert len(context.list_whole()) == len(context.replies)


@then("every answer says that the request ran")
def check_run(context):
    runs = {reply.headers["dotterelbridge-run"] for reply in context.replies}
    assert runs == {"yes"}


@then("the caller sees that its stream is not whole")
def check_cut(context):
    (reply,) = context.replies
    assert not reply.whole
    assert reply.body
    assert stream_body(TOKENS).startswith(reply.body)


@then(parsers.parse("the engines got {count:d} request"))
def check_requests(context, count):
    assert context.count_requests() == count
