"""Tests of the shared test helpers of serving."""

import asyncio

from tests.serving.fakes import run_async
from tests.serving.fakes import wait_refused


def test_reset_while_a_listener_closes_does_not_count_as_refused(monkeypatch):
    """A reset once ended the waiting step of features/shutdown.feature."""
    answers = [ConnectionResetError, ConnectionRefusedError]

    async def open_connection(host, port):
        raise answers.pop(0)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)

    @run_async
    async def wait():
        await wait_refused(1)

    wait()
    assert answers == []
