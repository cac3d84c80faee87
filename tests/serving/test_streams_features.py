"""Steps of features/streams.feature."""

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.serving.fakes import stream_body
from tests.serving.fakes import stream_then_break
from tests.serving.fakes import stream_tokens
from tests.serving.feature_context import FeatureContext

scenarios("../features/streams.feature")

TOKEN_COUNT = 30


@pytest.fixture
def context():
    context = FeatureContext()
    yield context
    context.close()


@given("a model that isn't idempotent")
def use_non_idempotent_model(context):
    context.row["idempotent"] = False


@given(parsers.parse('an engine "{name}" that works'))
def add_working_engine(context, name):
    context.add_engine(name, stream_tokens(TOKEN_COUNT))


@given(parsers.parse('an engine "{name}" that breaks after {count:d} tokens'))
def add_breaking_engine(context, name, count):
    context.add_engine(name, stream_then_break(count, TOKEN_COUNT))


@given(parsers.parse('an engine "{name}" that stalls after {count:d} tokens'))
def add_stalling_engine(context, name, count):
    async def stall(received):
        await received.start_stream()
        end = min(TOKEN_COUNT, received.offset + count)
        await received.send_tokens(received.offset, end)
        await received.wait_closed()

    context.add_engine(name, stall)


@given(parsers.parse('an engine "{name}" that answers with another id'))
def add_engine_with_wrong_id(context, name):
    async def answer_with_wrong_id(received):
        received.headers["x-request-id"] = "other"
        await stream_tokens(TOKEN_COUNT)(received)

    context.add_engine(name, answer_with_wrong_id)


@when(parsers.parse("{count:d} callers ask for a stream of 30 tokens"))
def request(context, count):
    async def request_all():
        for _ in range(count):
            await context.start_caller()
        await context.finish_callers()

    context.run(request_all())


@then("every caller has its stream byte for byte")
def check_complete(context):
    assert len(context.list_complete()) == len(context.replies)


@then("every answer says that the request ran")
def check_run(context):
    runs = {reply.headers["dotterelbridge-run"] for reply in context.replies}
    assert runs == {"yes"}


@then("the caller sees that its stream is incomplete")
def check_incomplete(context):
    (reply,) = context.replies
    assert not reply.is_complete
    assert reply.body
    assert stream_body(TOKEN_COUNT).startswith(reply.body)


@then(parsers.parse("the engines got {count:d} request"))
def check_requests(context, count):
    assert context.count_requests() == count
