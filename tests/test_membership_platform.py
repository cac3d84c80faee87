"""HttpPlatformList against the platform stand-in."""

from datetime import timedelta

import anyio
import httpx
import pytest

from dotterelbridge.membership import platform as platform_module
from dotterelbridge.membership.platform import PlatformListError
from dotterelbridge.membership.platform import PlatformMember
from dotterelbridge.membership.platform import PlatformState
from dotterelbridge.membership.platform import create_platform_list
from standins.platform import StandinPlatform

TIMEOUT = timedelta(seconds=5)


class ManualClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def create_member(name):
    return PlatformMember(
        id=name,
        kind="target",
        failure_domain="d0",
        address="127.0.0.1",
        state=PlatformState.LIVE,
    )


@pytest.fixture
def use_app(monkeypatch):
    """Return a function that connects the list's client to an ASGI app."""

    def use(app):
        transport = httpx.ASGITransport(app)
        create = httpx.AsyncClient
        monkeypatch.setattr(
            platform_module.httpx,
            "AsyncClient",
            lambda: create(transport=transport),
        )

    return use


async def fetch_list(url="http://platform"):
    source = create_platform_list(url)
    try:
        return await source.fetch(TIMEOUT)
    finally:
        await source.close()


def test_list_shows_a_change_after_the_lag(use_app):
    clock = ManualClock()
    platform = StandinPlatform(
        [create_member("a"), create_member("b")], 5.0, clock
    )
    use_app(platform.create_app())
    platform.set_state("b", PlatformState.LEAVING)
    clock.now = 4.9
    assert {m.state for m in anyio.run(fetch_list)} == {PlatformState.LIVE}
    clock.now = 5.0
    states = {m.id: m.state for m in anyio.run(fetch_list)}
    assert states == {"a": PlatformState.LIVE, "b": PlatformState.LEAVING}


async def respond_with_html(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"<html>"})


async def respond_with_status_503(scope, receive, send):
    await send({"type": "http.response.start", "status": 503, "headers": []})
    await send({"type": "http.response.body", "body": b"[]"})


@pytest.mark.parametrize("app", [respond_with_html, respond_with_status_503])
def test_unreadable_list_names_the_setting_to_check(app, use_app):
    use_app(app)
    with pytest.raises(PlatformListError, match="list_url"):
        anyio.run(fetch_list)


def test_without_a_url_there_is_no_list():
    assert create_platform_list(None) is None
    assert create_platform_list("") is None
