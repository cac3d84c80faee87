"""The helpers that tests of serving share."""

import asyncio

from tests.serving.fakes import run_async
from tests.serving.fakes import wait_refused


def test_a_reset_while_a_listener_closes_is_no_refusal(monkeypatch):
    """Seen once in features/shutdown.feature, whose step ended on it."""
    answers = [ConnectionResetError, ConnectionRefusedError]

    async def open_connection(host, port):
        raise answers.pop(0)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)

    @run_async
    async def wait():
        await wait_refused(1)

    wait()
    assert answers == []
