"""Handshakes that take long or do not end in a link."""

import contextlib
from datetime import timedelta
import socket

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from dotterelbridge.clock import ManualClock
from dotterelbridge.peers.dial_history import DialHistory
from dotterelbridge.peers.handshake_monitor import Handshake
from dotterelbridge.peers.handshake_monitor import HandshakeOutcome
from standins.ports import find_free_ports
from tests.peers_support import FAST_SETTINGS
from tests.peers_support import WAIT_TIMEOUT_S
from tests.peers_support import create_network
from tests.peers_support import create_vms
from tests.peers_support import wait_until

pytestmark = pytest.mark.anyio
ENTRY_HOST = "127.0.0.5"
LARGE_DEPLOYMENT = 330
SLOTS = 16
SHORT_TIMEOUT = msgspec.structs.replace(FAST_SETTINGS, handshake_timeout_ms=50)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_network(settings=FAST_SETTINGS, dial=(), vms=None):
    """Run a network of a VM whose only peer does not run."""
    vms = vms or create_vms(2)
    network = create_network(vms[0], vms, settings=settings, dial=dial)
    with capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(network.run)
            await network.listening.wait()
            yield network, f"ws://127.0.0.1:{vms[0].port}", logs
            group.cancel_scope.cancel()


def find_events(logs, name):
    return [line for line in logs if line["event"] == name]


# A VM that has enough links ends its other attempts. That was logged as a
# refused authentication, which sends operators to look for a wrong secret.
async def test_abandoned_handshake_is_not_logged_as_a_refusal():
    async with run_network() as (network, url, logs):
        connection = await connect(url)
        await wait_until(
            lambda: network.dump()["open_handshakes"]["accepting"] == 1
        )
        connection.transport.abort()
        await wait_until(lambda: find_events(logs, "handshake_abandoned"))
        assert network.dump()["open_handshakes"]["accepting"] == 0
        assert not find_events(logs, "authentication_refused")


async def test_handshake_that_takes_too_long_is_logged_as_such():
    async with run_network(SHORT_TIMEOUT) as (_, url, logs):
        async with connect(url):
            await wait_until(lambda: find_events(logs, "handshake_timed_out"))
        line = find_events(logs, "handshake_timed_out")[0]
        assert line["duration_ms"] >= SHORT_TIMEOUT.handshake_timeout_ms
        assert line["open_handshakes"] == 1
        assert not find_events(logs, "authentication_refused")


# While a control VM is suspended, all entry VMs dial it. Connections beyond
# the queue are dropped without an answer, those of other control VMs too.
async def test_suspended_vm_keeps_the_connections_of_a_large_deployment():
    vms = create_vms(2)
    address = (vms[0].host, vms[0].port)
    async with run_network(vms=vms), contextlib.AsyncExitStack() as stack:
        # Nothing here awaits, so the network accepts no connection.
        for _ in range(LARGE_DEPLOYMENT):
            dialling = stack.enter_context(socket.socket())
            dialling.settimeout(WAIT_TIMEOUT_S)
            dialling.connect(address)


# Failed dials were logged at the debug level only, so that the log of a VM
# that reached nobody was empty. Each attempt at the info level would fill it.
async def test_unreachable_peer_is_logged_after_several_attempts():
    async with run_network(dial=["v1"]) as (_, _, logs):
        await wait_until(
            lambda: len(find_events(logs, "peer_unreachable")) >= 2
        )
        lines = find_events(logs, "peer_unreachable")
        assert [line["attempts"] for line in lines[:2]] == [8, 16]
        assert lines[0]["reason"] == "unreachable"


# Seen with real processes on too few cores: each VM gave up after the same
# second, and control VMs answered handshakes that had been given up. It took
# 15 s from the start of the last control VM until they elected a leader.
async def test_dialling_vm_waits_longer_for_a_peer_that_answers_late():
    vms = create_vms(2)
    limit_ms = SHORT_TIMEOUT.handshake_timeout_ms

    async def answer_nothing(connection):
        await connection.wait_closed()

    async with (
        serve(answer_nothing, vms[1].host, vms[1].port),
        run_network(SHORT_TIMEOUT, ["v1"], vms) as (_, _, logs),
    ):
        await wait_until(lambda: len(find_events(logs, "dial_failed")) > 3)
        lines = find_events(logs, "dial_failed")[:4]
    for line, factor in zip(lines, (1, 2, 4, 4), strict=True):
        assert line["reason"] == "timed_out"
        assert line["duration_ms"] >= factor * limit_ms


async def open_silent_connections(stack, url, count) -> list:
    """Open connections from another host that begin no handshake."""
    return [
        await stack.enter_async_context(
            connect(url, local_addr=(ENTRY_HOST, 0))
        )
        for _ in range(count)
    ]


# Guards against control VMs whose links come up only after those of all entry
# VMs: without them there is no leader, and entry VMs have nothing to follow.
async def test_link_between_control_vms_does_not_wait_for_entry_vms():
    vms = create_vms(2)
    (unused_port,) = find_free_ports(1)
    known = [vms[0], msgspec.structs.replace(vms[1], port=unused_port)]
    control = create_network(vms[1], vms, dial=["v0"])
    async with (
        run_network(dial=["v1"], vms=known) as (network, url, _),
        contextlib.AsyncExitStack() as stack,
    ):
        await open_silent_connections(stack, url, SLOTS)
        await wait_until(
            lambda: network.dump()["open_handshakes"]["accepting"] == SLOTS
        )
        async with anyio.create_task_group() as group:
            group.start_soon(control.run)
            await wait_until(lambda: network.is_connected("v1"))
            group.cancel_scope.cancel()


async def test_handshake_of_an_entry_vm_begins_once_another_has_ended():
    vms = create_vms(2)
    async with (
        run_network(dial=["v1"], vms=vms) as (network, url, _),
        contextlib.AsyncExitStack() as stack,
    ):
        network.set_dialled_peers([])
        silent = await open_silent_connections(stack, url, SLOTS)
        await wait_until(
            lambda: network.dump()["open_handshakes"]["accepting"] == SLOTS
        )
        entry = create_network(vms[1], vms, dial=["v0"])
        async with anyio.create_task_group() as group:
            group.start_soon(entry.run)
            await wait_until(
                lambda: network.dump()["open_handshakes"]["accepting"] > SLOTS
            )
            assert not network.is_connected("v1")
            silent[0].transport.abort()
            await wait_until(lambda: network.is_connected("v1"))
            group.cancel_scope.cancel()


# A host without power must be tried again after the same short time: a
# connection that is opened once more reaches it as soon as it is back.
@pytest.mark.parametrize(
    ("outcome", "is_connected", "factor"),
    [
        (HandshakeOutcome.TIMED_OUT, True, 4),
        (HandshakeOutcome.TIMED_OUT, False, 2),
        (HandshakeOutcome.UNREACHABLE, False, 1),
        (HandshakeOutcome.AUTHENTICATED, True, 1),
    ],
)
async def test_handshake_limit_follows_the_last_attempts(
    outcome, is_connected, factor
):
    history = DialHistory()
    for ended in (
        (HandshakeOutcome.TIMED_OUT, True),
        (outcome, is_connected),
    ):
        attempt = Handshake(ManualClock(), 0.0)
        attempt.outcome, attempt.is_connected = ended
        history.record(attempt)
    assert history.compute_handshake_limit(FAST_SETTINGS) == timedelta(
        milliseconds=FAST_SETTINGS.handshake_timeout_ms * factor
    )
