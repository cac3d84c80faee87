"""Helpers shared by the tests of the peer links."""

from collections.abc import Callable

import anyio

from dotterelbridge.clock import create_clock
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import create_peer_network
from standins.ports import find_free_ports

SECRET = b"shared secret of the tests"
WAIT_TIMEOUT_S = 20

FAST_SETTINGS = PeersSettings(
    ping_interval_ms=50,
    silence_limit_ms=300,
    handshake_timeout_ms=1000,
    reconnect_min_ms=10,
    reconnect_max_ms=50,
)


@register_message("test.echo")
class Echo(Message, frozen=True, kw_only=True):
    """Request or reply with a payload."""

    payload: bytes
    number: int = 0


def create_vms(count: int) -> list[VmInfo]:
    """Return VMs v0, v1, ... of one failure domain on loopback."""
    return [
        VmInfo(
            vm=VmId(f"v{number}"),
            business=Business("liffeyside"),
            failure_domain=FailureDomain("dublin-1"),
            region=Region("dublin"),
            host="127.0.0.1",
            port=port,
        )
        for number, port in enumerate(find_free_ports(count))
    ]


def create_network(own, vms, secret=SECRET, settings=FAST_SETTINGS, dial=None):
    """Return the peer network of one VM, by default with short intervals."""
    return create_peer_network(
        settings, own, vms, create_clock(), secret, dial
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds; fail after WAIT_TIMEOUT_S."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)
