"""The gateway finds a request's team by its key, and keeps the key back."""

import msgspec
import pytest
from structlog.testing import capture_logs

from dotterelbridge.gateway.call import GatewayCall
from tests.gateway.support import run_gateway
from tests.gateway.support import wait_until
from tests.gateway.test_gateway import create_stream_handler
from tests.gateway.test_gateway import echo
from tests.gateway.test_gateway import fail
from tests.routes.support import LLM
from tests.serving.fakes import run_async
from tests.teams.support import BEARER
from tests.teams.support import KEY
from tests.teams.support import OTHER_KEY
from tests.teams.support import TEAM
from tests.teams.support import run_team_gateway
from tests.teams.support import send

FORGED = [
    ("dotterelbridge-team", "forged"),
    ("Dotterelbridge-Team", "forged"),
    ("dotterelbridge_team", "forged"),
    ("DOTTERELBRIDGE.TEAM", "forged"),
]


def list_teams(received) -> list[str]:
    """Return the names of teams in a request that reached a target."""
    assert KEY.encode() not in received.head + received.body
    assert b"authorization" not in received.head.lower()
    assert b"forged" not in received.head
    lines = received.head.decode("latin-1").split("\r\n")
    return [
        line.partition(": ")[2]
        for line in lines
        if line.startswith("dotterelbridge-team:")
    ]


@pytest.mark.parametrize(
    ("headers", "status", "team"),
    [
        ([BEARER], 200, ["norte"]),
        ([BEARER, *FORGED], 200, ["norte"]),
        ([*FORGED, BEARER], 200, ["norte"]),
        ([("authorization", f"bEARER   {KEY}")], 200, ["norte"]),
        ([("AUTHORIZATION", f"Bearer {OTHER_KEY}")], 200, ["sur"]),
        ([BEARER, ("x-own", "1")], 200, ["norte"]),
        ([], 401, None),
        (FORGED, 401, None),
        ([("Authorization", KEY)], 401, None),
        ([("Authorization", "Bearer")], 401, None),
        ([("Authorization", f"Basic {KEY}")], 401, None),
        ([("Authorization", f"Bearer {KEY}x")], 401, None),
        ([("Authorization", f"Bearer {KEY[:-1]}")], 401, None),
        ([("Authorization", f"Bearer {KEY.upper()}")], 401, None),
        ([("Authorization", f"Bearer {KEY}, Bearer {KEY}")], 401, None),
        ([BEARER, BEARER], 401, None),
        ([BEARER, ("authorization", f"Bearer {OTHER_KEY}")], 401, None),
    ],
)
def test_request_needs_exactly_one_known_key(headers, status, team):
    @run_async
    async def check():
        async with run_team_gateway() as gateway:
            target = await gateway.add_target("t1", echo)
            with capture_logs() as lines:
                response = await send(gateway, headers)
            assert response.status_code == status
            assert KEY not in repr(lines) + response.text
            if status == 401:
                assert response.headers["www-authenticate"] == "Bearer"
                assert response.headers["x-request-id"] == "r1"
                assert target.received == []
            else:
                assert [list_teams(r) for r in target.received] == [team]

    check()


@pytest.mark.parametrize(
    ("headers", "team"),
    [
        ([], []),
        (FORGED, []),
        ([("Authorization", "Bearer unknown"), *FORGED], []),
        ([BEARER, BEARER], []),
        ([BEARER, *FORGED], ["norte"]),
    ],
)
def test_public_route_needs_no_key_and_forwards_none(headers, team):
    @run_async
    async def check():
        async with run_team_gateway(is_public=True) as gateway:
            target = await gateway.add_target("t1", echo)
            response = await send(gateway, headers)
            assert response.status_code == 200
            assert [list_teams(r) for r in target.received] == [team]

    check()


@run_async
async def test_unknown_route_gets_404_without_a_key():
    async with run_team_gateway() as gateway:
        response = await send(gateway, path="/nowhere/a")
        assert response.status_code == 404
        assert "www-authenticate" not in response.headers


@run_async
async def test_without_teams_both_headers_are_forwarded():
    async with run_gateway() as gateway:
        target = await gateway.add_target("t1", echo)
        response = await send(gateway, [BEARER, FORGED[0]])
        assert response.status_code == 200
        headers = target.received[0].headers
        assert headers["authorization"] == BEARER[1]
        assert headers["dotterelbridge-team"] == "forged"


@run_async
async def test_retry_carries_the_team_and_not_the_key():
    async with run_team_gateway() as gateway:
        targets = [await gateway.add_target(n, fail) for n in ("t1", "t2")]
        await send(gateway, [BEARER, *FORGED])
        assert [[list_teams(r) for r in t.received] for t in targets] == [
            [["norte"]],
            [["norte"]],
        ]


@run_async
async def test_resumed_attempt_carries_the_team_and_not_the_key():
    async with run_team_gateway() as gateway:
        model = {"service": LLM, "held": ["m0"]}
        broken = create_stream_handler(9, 5)
        targets = [await gateway.add_target("e1", broken, **model)]

        async def replace_target(received):
            # The second target exists before the first stream breaks.
            targets.append(
                await gateway.add_target(
                    "e2", create_stream_handler(9), **model
                )
            )
            gateway.remove_target("e1")
            await broken(received)

        targets[0].handler = replace_target
        headers = [BEARER, *FORGED, ("dotterelbridge-model", "m0")]
        response = await send(gateway, headers, "/drafts/a")
        assert response.content.count(b"data:") == 9
        assert targets[1].received[0].headers["last-event-id"] == "4"
        for target in targets:
            assert [list_teams(r) for r in target.received] == [["norte"]]


@run_async
async def test_team_without_keys_still_makes_keys_necessary():
    # Guards against a deployment that becomes open to everybody when the
    # last key of its last team is taken away.
    team = msgspec.structs.replace(TEAM, keys=())
    async with run_team_gateway((team,)) as gateway:
        target = await gateway.add_target("t1", echo)
        for headers in ([], [BEARER]):
            assert (await send(gateway, headers)).status_code == 401
        assert target.received == []


@pytest.mark.parametrize(("rank", "expected"), [(0, 0), (4, 4), (None, 2)])
def test_rank_of_a_team_replaces_that_of_the_route(rank, expected):
    calls: list[GatewayCall] = []

    @run_async
    async def check():
        team = msgspec.structs.replace(TEAM, rank=rank)
        async with run_team_gateway((team,)) as gateway:
            gateway.router.record_arrival = calls.append
            model = {"service": LLM, "held": ["m0"]}
            target = await gateway.add_target(
                "e1", create_stream_handler(1), **model
            )
            headers = [BEARER, ("dotterelbridge-model", "m0")]
            await send(gateway, headers, "/drafts/a")
            await wait_until(lambda: target.received)
            urgency = target.received[0].headers["dotterelbridge-urgency"]
            assert int(urgency) == min(9, 2 * expected + 1)

    check()
    assert [call.rank for call in calls] == [expected]
