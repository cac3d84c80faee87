"""Requests with keys are served only while the keys are confirmed."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.teams import instruments
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.permission import UNCONFIRMED_MS
from dotterelbridge.teams.permission import KeyPermission
from dotterelbridge.teams.settings import TeamsSettings
from tests.gateway.support import wait_until
from tests.gateway.test_gateway import create_stream_handler
from tests.gateway.test_gateway import echo
from tests.gateway.test_gateway import refuse
from tests.routes.support import LLM
from tests.serving.fakes import run_async
from tests.teams.support import BEARER
from tests.teams.support import run_team_gateway
from tests.teams.support import send

STRICT = TeamsSettings(key_lifetime_ms=5000, refusal_age_ms=3000)
OTHER = ("Authorization", "Bearer unknown")


def create_permission(settings=STRICT, age_ms=0):
    """Return a permission, and its clock, which the test advances."""
    clock = ManualClock(100.0)
    permission = KeyPermission(clock, settings)
    permission.record(100.0, age_ms)
    return permission, clock


def advance(clock, milliseconds) -> None:
    clock.advance(timedelta(milliseconds=milliseconds))


def test_permission_begins_with_the_poll_less_the_age_of_the_source():
    permission, clock = create_permission(age_ms=1000)
    advance(clock, 3749)
    assert permission.is_valid()
    advance(clock, 2)
    assert not permission.is_valid()


def test_old_response_does_not_renew():
    # Guards against a VM that was paused and then reads an old response.
    permission, clock = create_permission()
    advance(clock, 60_000)
    permission.record(100.5, 0)
    assert not permission.is_valid()
    permission.record(159.0, 0)
    assert permission.is_valid()
    permission.record(100.7, 0)
    assert permission.age_ms() == 1000


def test_permission_without_contact():
    clock = ManualClock(1.0)
    permission = KeyPermission(clock, STRICT)
    assert not permission.is_valid()
    assert not permission.allows_refusal()
    assert permission.age_ms() == UNCONFIRMED_MS
    assert KeyPermission(clock, TeamsSettings()).is_valid()


def test_label_values_are_bounded():
    labels = {
        instruments.get_label(Team(name=f"t{number}")) for number in range(300)
    }
    assert len(labels) <= 101
    assert instruments.get_label(None) == ""


@pytest.mark.parametrize(
    ("age_ms", "headers", "status"),
    [
        (0, [BEARER], 200),
        (0, [OTHER], 401),
        # A key may have been added since, so 401 would not be true.
        (2900, [OTHER], 503),
        (2900, [], 503),
        (2900, [BEARER], 200),
        (5000, [BEARER], 503),
        (5000, [OTHER], 503),
        (5000, [], 503),
    ],
)
def test_answer_depends_on_the_age_of_the_keys(age_ms, headers, status):
    @run_async
    async def check():
        permission, _ = create_permission(age_ms=age_ms)
        async with run_team_gateway(key_permission=permission) as gateway:
            target = await gateway.add_target("t1", echo)
            response = await send(gateway, headers)
            assert response.status_code == status
            assert len(target.received) == (status == 200)
            if status == 503:
                assert float(response.headers["retry-after"]) > 0

    check()


@run_async
async def test_public_routes_are_served_without_a_permission():
    permission, _ = create_permission(age_ms=60_000)
    async with run_team_gateway(
        is_public=True, key_permission=permission
    ) as gateway:
        target = await gateway.add_target("t1", echo)
        response = await send(gateway, [BEARER])
        assert response.status_code == 200
        (received,) = target.received
        assert b"authorization" not in received.head.lower()
        assert "dotterelbridge-team" not in received.headers


@run_async
async def test_waiting_request_is_not_sent_once_the_permission_expired():
    # Guards against a check on arrival only: the VM may be paused between.
    permission, clock = create_permission()
    model = {"service": LLM, "held": ["m0"]}
    headers = [BEARER, ("dotterelbridge-model", "m0")]
    async with run_team_gateway(
        key_permission=permission, absent_grace_ms=3000
    ) as gateway:
        responses = []

        async def call():
            responses.append(await send(gateway, headers, "/drafts/a"))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await wait_until(gateway.router.count_waiting_requests)
            advance(clock, 6000)
            target = await gateway.add_target(
                "e1", create_stream_handler(3), **model
            )
        assert [r.status_code for r in responses] == [503]
        assert target.received == []


@run_async
async def test_refused_request_is_not_retried_once_the_permission_expired():
    permission, clock = create_permission()

    async def expire_and_refuse(received):
        advance(clock, 6000)
        await refuse(received)

    async with run_team_gateway(key_permission=permission) as gateway:
        targets = [
            await gateway.add_target(name, expire_and_refuse)
            for name in ("t1", "t2")
        ]
        response = await send(gateway, [BEARER])
        assert response.status_code == 503
        assert "retry-after" in response.headers
        assert sum(len(target.received) for target in targets) == 1


@run_async
async def test_running_stream_continues_to_its_end_at_another_target():
    permission, clock = create_permission()
    model = {"service": LLM, "held": ["m0"]}
    headers = [BEARER, ("dotterelbridge-model", "m0")]
    broken = create_stream_handler(9, 5)
    async with run_team_gateway(key_permission=permission) as gateway:

        async def expire_and_break(received):
            advance(clock, 6000)
            await gateway.add_target("e2", create_stream_handler(9), **model)
            gateway.remove_target("e1")
            await broken(received)

        await gateway.add_target("e1", expire_and_break, **model)
        response = await send(gateway, headers, "/drafts/a")
        assert response.content.count(b"data:") == 9
