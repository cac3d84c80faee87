"""The listener of the OpenAI API checks keys of teams from the settings."""

import hashlib

import httpx
import pytest

from dotterelbridge.ids import Priority
from dotterelbridge.serving.teams import CallerTeams
from dotterelbridge.teams.settings import TeamSection
from tests.serving.fakes import run_async
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_tokens
from tests.serving.test_server import echo_body
from tests.teams.support import BEARER
from tests.teams.support import KEY

TEAMS = {
    "norte": TeamSection(
        keys=(hashlib.sha256(KEY.encode()).hexdigest().upper(),),
        priority=Priority.BACKGROUND,
    ),
    "sur": TeamSection(),
}
FORGED = [("dotterelbridge-team", "forged"), ("Dotterelbridge_Team", "forged")]
CHAT = {"model": "quote", "stream": True, "messages": []}


async def send(harness, path, headers, **fields):
    async with httpx.AsyncClient(timeout=20) as client:
        url = f"http://127.0.0.1:{harness.port}{path}"
        return await client.request(
            fields.pop("method", "POST"), url, headers=headers, **fields
        )


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/services/booking/a", [BEARER], 200),
        ("/services/booking/a", [BEARER, *FORGED], 200),
        ("/services/booking/a", [*FORGED, BEARER], 200),
        ("/services/booking/a", [BEARER, BEARER], 401),
        ("/services/booking/a", FORGED, 401),
        ("/services/booking/a", [("authorization", "Bearer x")], 401),
        ("/v1/models", [], 401),
        ("/v1/chat/completions", [], 401),
        ("/nowhere", [], 404),
    ],
)
def test_requests_need_a_key_where_there_are_teams(path, headers, status):
    @run_async
    async def check():
        async with run_serving(teams=CallerTeams(TEAMS)) as harness:
            target = await harness.add_service("s1", echo_body)
            response = await send(harness, path, headers, content=b"b")
            assert response.status_code == status
            challenge = response.headers.get("www-authenticate")
            assert challenge == ("Bearer" if status == 401 else None)
            if status == 401:
                assert response.headers["dotterelbridge-run"] == "no"
            assert len(target.received) == (status == 200)
            for received in target.received:
                assert KEY.encode() not in received.head
                assert b"forged" not in received.head
                assert received.headers["dotterelbridge-team"] == "norte"

    check()


@run_async
async def test_engine_gets_the_name_and_the_priority_of_the_team():
    async with run_serving(teams=CallerTeams(TEAMS)) as harness:
        engine = await harness.add_engine("e1", stream_tokens(3))
        headers = [BEARER, ("dotterelbridge-priority", "urgent")]
        path = "/v1/chat/completions"
        response = await send(harness, path, headers, json=CHAT)
        assert response.status_code == 200
        (received,) = engine.received
        assert KEY.encode() not in received.head + received.body
        assert received.headers["dotterelbridge-team"] == "norte"
        assert received.headers["x-priority"] == "background"


@run_async
async def test_without_teams_the_key_is_forwarded_as_before():
    async with run_serving() as harness:
        target = await harness.add_service("s1", echo_body)
        path = "/services/booking/a"
        assert (await send(harness, path, [])).status_code == 200
        assert (await send(harness, path, [BEARER])).status_code == 200
        assert target.received[1].headers["authorization"] == BEARER[1]
        assert "dotterelbridge-team" not in target.received[1].headers
