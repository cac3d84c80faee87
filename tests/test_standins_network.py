"""Tests of the in-memory network: seeded faults, blocked links, restarts."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.errors import PeerUnreachable
from standins.network import create_standin_network
from standins.virtual_time import run_in_virtual_time
from tests.peers_support import Echo

TIMEOUT = timedelta(seconds=5)


async def run_100_messages(seed, change):
    network = create_standin_network(["a", "b"], seed)
    change(network)
    first, second = network.join("a"), network.join("b")
    received = []

    async def collect(sender, message):
        received.append(message.number)

    second.register_handler(Echo, collect)
    for number in range(100):
        first.send("b", Echo(payload=b"", number=number))
    await anyio.sleep(10)
    return received


def set_conditions(**values):
    def change(network):
        for name, value in values.items():
            setattr(network.conditions, name, value)

    return change


def test_same_seed_gives_the_same_deliveries():
    change = set_conditions(
        loss_share=0.3, duplicate_share=0.3, straggler_share=0.3
    )
    runs = [run_in_virtual_time(run_100_messages, 7, change) for _ in range(2)]
    assert runs[0] == runs[1]
    assert len(set(runs[0])) < 100
    assert len(runs[0]) > len(set(runs[0]))
    assert runs[0] != sorted(runs[0])


def test_blocked_link_drops_messages_one_way_without_an_error():
    async def scenario():
        network = create_standin_network(["a", "b"])
        first, second = network.join("a"), network.join("b")

        async def echo(sender, message):
            return message

        first.register_handler(Echo, echo)
        second.register_handler(Echo, echo)
        network.block_link("a", "b")
        assert first.is_connected("b")
        with pytest.raises(PeerUnreachable):
            await first.request("b", Echo(payload=b""), TIMEOUT)
        network.restore_links()
        answer = await first.request("b", Echo(payload=b"x"), TIMEOUT)
        assert answer.payload == b"x"

    run_in_virtual_time(scenario)


def test_previous_endpoint_of_a_vm_receives_nothing():
    async def scenario():
        network = create_standin_network(["a", "b"])
        first, old = network.join("a"), network.join("b")
        received = []

        async def collect(sender, message):
            received.append(message)

        old.register_handler(Echo, collect)
        first.send("b", Echo(payload=b""))
        network.join("b")
        await anyio.sleep(1)
        assert received == []

    run_in_virtual_time(scenario)
