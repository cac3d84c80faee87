"""Listeners at an address that is in use for a while."""

import errno
import socket

import anyio
import pytest
from structlog.testing import capture_logs

from dotterelbridge.clock import ManualClock
from dotterelbridge.clock import create_clock
from dotterelbridge.serving.listener import Listener
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.sockets import BIND_RETRY_INTERVAL
from dotterelbridge.sockets import BIND_RETRY_LIMIT
from dotterelbridge.sockets import bind_when_free
from standins.ports import find_free_ports
from tests.peers_support import create_network
from tests.peers_support import create_vms
from tests.peers_support import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def occupy(port: int) -> socket.socket:
    """Return a socket that holds a port, like an outgoing connection."""
    holder = socket.socket()
    holder.bind(("127.0.0.1", port))
    return holder


async def test_listener_waits_for_an_address_that_is_in_use():
    # Guards against a process that does not start after a quick restart.
    (port,) = find_free_ports(1)
    holder = occupy(port)
    listener = Listener(
        None, ServingSettings(host="127.0.0.1", port=port), create_clock()
    )
    async with anyio.create_task_group() as group:
        with capture_logs() as lines:
            group.start_soon(listener.run)
            await wait_until(lambda: lines)
        assert [line["event"] for line in lines] == ["address_in_use"]
        holder.close()
        await wait_until(lambda: listener._socket is not None)
        assert listener.port == port
        group.cancel_scope.cancel()


async def test_peer_network_waits_for_an_address_that_is_in_use():
    # Guards against a process that ends as its peers' port is taken.
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    holder = occupy(vms[0].port)
    async with anyio.create_task_group() as group:
        with capture_logs() as lines:
            group.start_soon(first.run)
            await wait_until(lambda: lines)
        holder.close()
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        group.cancel_scope.cancel()


async def test_address_that_stays_in_use_is_given_up():
    clock = ManualClock()
    attempts = []

    def fail():
        attempts.append(clock.monotonic())
        raise OSError(errno.EADDRINUSE, "in use")

    with pytest.raises(ExceptionGroup):
        async with anyio.create_task_group() as group:
            group.start_soon(bind_when_free, "a:1", fail, clock)
            for _ in range(BIND_RETRY_LIMIT // BIND_RETRY_INTERVAL + 1):
                await anyio.wait_all_tasks_blocked()
                clock.advance(BIND_RETRY_INTERVAL)
    assert attempts[-1] >= BIND_RETRY_LIMIT.total_seconds()


async def test_other_errors_are_not_retried():
    def fail():
        raise OSError(errno.EADDRNOTAVAIL, "no such address")

    with pytest.raises(OSError, match="no such address"):
        await bind_when_free("a:1", fail, ManualClock())
