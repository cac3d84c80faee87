"""What the log tells of handshakes that do not end in a link."""

import contextlib

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs
from websockets.asyncio.client import connect

from tests.peers_support import FAST_SETTINGS
from tests.peers_support import create_network
from tests.peers_support import create_vms
from tests.peers_support import wait_until

pytestmark = pytest.mark.anyio
SHORT_TIMEOUT = msgspec.structs.replace(FAST_SETTINGS, handshake_timeout_ms=50)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def run_network(settings=FAST_SETTINGS, dial=()):
    """Run a network of a VM whose only peer does not run."""
    vms = create_vms(2)
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
