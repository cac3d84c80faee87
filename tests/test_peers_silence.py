"""Detection of silent links, in virtual time over a fake connection."""

import anyio

from dotterelbridge.peers import frames
from dotterelbridge.peers.handshake import Identity
from dotterelbridge.peers.link import Link
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.traffic import TrafficCounter
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.peers_support import create_vms

SETTINGS = PeersSettings(ping_interval_ms=2000, silence_limit_ms=5000)


class _FakeTransport:
    def abort(self) -> None:
        pass


class _FakeConnection:
    """Delivers a ping each second while ``is_silent`` is False."""

    def __init__(self) -> None:
        self.transport = _FakeTransport()
        self.is_silent = False
        self.sent: list[bytes] = []

    async def send(self, data: bytes) -> None:
        self.sent.append(data)

    async def recv(self, decode: bool) -> bytes:
        await anyio.sleep(1)
        while self.is_silent:
            await anyio.sleep(1)
        return frames.PING


def _create_link(connection) -> Link:
    own, peer = create_vms(2)
    return Link(
        connection,
        Identity(vm=peer.vm, incarnation="1"),
        own.vm,
        {},
        SETTINGS,
        TrafficCounter(own, peer),
        LoopClock(),
    )


def test_link_that_receives_only_pings_stays_up():
    async def scenario():
        connection = _FakeConnection()
        link = _create_link(connection)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await anyio.sleep(600)
            assert not link.closed.is_set()
            assert 299 <= len(connection.sent) <= 300
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)


def test_silent_link_is_closed_within_the_limit():
    async def scenario():
        connection = _FakeConnection()
        link = _create_link(connection)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await anyio.sleep(60)
            connection.is_silent = True
            began_at = anyio.current_time()
            await link.closed.wait()
            took_s = anyio.current_time() - began_at
            limit_s = SETTINGS.silence_limit_ms / 1000
            assert limit_s - 1 <= took_s
            assert took_s <= limit_s + SETTINGS.ping_interval_ms / 1000
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)
