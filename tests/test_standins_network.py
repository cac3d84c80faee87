"""The in-memory network loses, repeats and delays by its seed."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.errors import PeerUnreachable
from standins.network import create_standin_network
from standins.virtual_time import run_in_virtual_time
from tests.peers_support import Echo

TIMEOUT = timedelta(seconds=5)


async def _send_many(seed, change):
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


def _set(**values):
    def change(network):
        for name, value in values.items():
            setattr(network.conditions, name, value)

    return change


def test_same_seed_gives_the_same_deliveries():
    change = _set(loss_share=0.3, duplicate_share=0.3, straggler_share=0.3)
    runs = [run_in_virtual_time(_send_many, 7, change) for _ in range(2)]
    assert runs[0] == runs[1]
    assert len(set(runs[0])) < 100
    assert len(runs[0]) > len(set(runs[0]))
    assert runs[0] != sorted(runs[0])


def test_cut_is_one_way_and_silent():
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


def test_earlier_life_of_a_vm_hears_nothing():
    async def scenario():
        network = create_standin_network(["a", "b"])
        first, old = network.join("a"), network.join("b")
        heard = []

        async def collect(sender, message):
            heard.append(message)

        old.register_handler(Echo, collect)
        first.send("b", Echo(payload=b""))
        network.join("b")
        await anyio.sleep(1)
        assert heard == []

    run_in_virtual_time(scenario)
