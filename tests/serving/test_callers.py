"""The callers' HTTP API, over sockets."""

import json

import anyio
import httpx

from dotterelbridge.ids import Priority
from tests.serving.fakes import FakeTarget
from tests.serving.fakes import engine_view
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_body
from tests.serving.fakes import stream_tokens
from tests.serving.fakes import wait_until

CHAT = "/v1/chat/completions"


def create_client(harness) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{harness.port}", timeout=30
    )


async def answer_json(received):
    await received.answer(b'{"choices": []}')


@run_async
async def test_stream_is_relayed_byte_for_byte():
    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", stream_tokens(20))
        response = await client.post(
            CHAT, json={"model": "quote", "stream": True, "seed": 3}
        )
        assert response.content == stream_body(20)
        assert response.headers["dotterelbridge-run"] == "yes"
        assert response.headers["content-type"] == "text/event-stream"
        sent = json.loads(engine.received[0].body)
        assert sent == {"model": "quote@1", "stream": True, "seed": 3}
        assert engine.received[0].headers["x-priority"] == "normal"


@run_async
async def test_non_streamed_response_is_relayed():
    async with run_serving() as harness, create_client(harness) as client:
        await harness.add_engine("e1", answer_json)
        response = await client.post(
            CHAT,
            json={"model": "quote"},
            headers={"Dotterelbridge-Priority": Priority.URGENT.value},
        )
        assert response.status_code == 200
        assert response.json() == {"choices": []}
        assert response.headers["dotterelbridge-run"] == "yes"
        received = harness.targets["e1"].received[0]
        assert received.headers["x-priority"] == "urgent"


@run_async
async def test_service_call_keeps_path_query_and_body():
    async with run_serving() as harness, create_client(harness) as client:

        async def echo_body(received):
            await received.answer(received.path.encode() + received.body)

        await harness.add_service("s1", echo_body)
        response = await client.put(
            "/services/booking/jobs/7?day=mon", content=b"fit"
        )
        assert response.content == b"/jobs/7?day=monfit"


@run_async
async def test_models_are_listed_without_services():
    async with run_serving() as harness, create_client(harness) as client:
        response = await client.get("/v1/models")
        assert [entry["id"] for entry in response.json()["data"]] == ["quote"]


@run_async
async def test_health_and_readiness():
    async with run_serving() as harness, create_client(harness) as client:
        assert (await client.get("/healthz")).status_code == 200
        assert (await client.get("/readyz")).status_code == 200
        harness.app.start_draining()
        assert (await client.get("/healthz")).status_code == 200
        assert (await client.get("/readyz")).status_code == 503


@run_async
async def test_not_ready_while_a_condition_is_not_met():
    async with run_serving() as harness, create_client(harness) as client:
        known = []
        harness.app.add_readiness_condition(lambda: bool(known))
        assert (await client.get("/readyz")).status_code == 503
        assert (await client.get("/healthz")).status_code == 200
        known.append("sheet")
        assert (await client.get("/readyz")).status_code == 200


@run_async
async def test_malformed_requests_are_refused_as_not_run():
    cases = [
        ({"content": b"{"}, 400),
        ({"content": b'{"model": 3}'}, 400),
        ({"json": {"model": "nobody"}}, 404),
        ({"json": {"model": "booking"}}, 404),
        (
            {
                "json": {"model": "quote"},
                "headers": {"Dotterelbridge-Priority": "asap"},
            },
            400,
        ),
        (
            {
                "json": {"model": "quote"},
                "headers": {"Dotterelbridge-Deadline": "-1"},
            },
            400,
        ),
        # Guards against an internal error for a number of many digits.
        (
            {
                "json": {"model": "quote"},
                "headers": {"Dotterelbridge-Deadline": "9" * 5000},
            },
            400,
        ),
    ]
    async with run_serving() as harness, create_client(harness) as client:
        engine = await harness.add_engine("e1", answer_json)
        for arguments, status in cases:
            response = await client.post(CHAT, **arguments)
            assert response.status_code == status
            assert response.headers["dotterelbridge-run"] == "no"
            assert response.json()["error"]["remedy"]
        assert engine.received == []


@run_async
async def test_oversized_body_is_refused_as_not_run():
    async with run_serving() as harness, create_client(harness) as client:
        response = await client.post(CHAT, content=b"x" * (4 << 20) + b"x")
        assert response.status_code == 413
        assert response.headers["dotterelbridge-run"] == "no"


@run_async
async def test_unreachable_target_is_reported_as_not_run():
    rows = (model_row(deadline_ms=1000),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        target = FakeTarget("e1", answer_json)
        await target.start()
        await target.stop()
        harness.targets["e1"] = target

        harness.membership.set(engine_view("e1", target.port))
        response = await client.post(CHAT, json={"model": "quote"})
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"
        assert int(response.headers["retry-after"]) >= 1


@run_async
async def test_request_for_an_unloaded_model_waits_for_its_load():
    async with run_serving() as harness, create_client(harness) as client:
        answers = []

        async def call():
            answers.append(await client.post(CHAT, json={"model": "quote"}))

        async with anyio.create_task_group() as group:
            group.start_soon(call)

            await wait_until(
                lambda: harness.router.dump()["waiting"]["normal"] == 1
            )
            demand = harness.router.read_demand()
            assert demand["quote"].waiting == 1
            assert demand["quote"].arrivals == 1
            await harness.add_engine("e1", answer_json)
        assert answers[0].status_code == 200


@run_async
async def test_request_for_an_unloaded_model_is_refused_at_its_deadline():
    rows = (model_row(deadline_ms=100),)
    async with run_serving(rows) as harness, create_client(harness) as client:
        response = await client.post(CHAT, json={"model": "quote"})
        assert response.status_code == 503
        assert response.headers["dotterelbridge-run"] == "no"
        assert "retry-after" in response.headers
