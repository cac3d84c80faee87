"""The forwarder cuts links as a broken network does, and heals them."""

import asyncio

from bench.forwarder import LOOPBACK
from bench.forwarder import Forwarder
from bench.forwarder import Link
from standins.ports import find_free_ports

CUT = [{"cut": ["a", "b"]}, {"cut": ["b", "a"]}]
HEAL = [{"heal": ["a", "b"]}, {"heal": ["b", "a"]}]
GENEROUS_S = 30
QUIET_S = 0.3


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def run_with_link(scenario, delay_ms=0.0):
    async def run():
        port, listen_port = find_free_ports(2)
        await asyncio.start_server(echo, LOOPBACK, port)
        forwarder = Forwarder()
        forwarder.listen(
            Link(
                client="a",
                server="b",
                listen_port=listen_port,
                port=port,
                delay_ms=delay_ms,
            )
        )
        await scenario(forwarder, listen_port)

    asyncio.run(asyncio.wait_for(run(), GENEROUS_S))


async def ask(streams, data):
    reader, writer = streams
    writer.write(data)
    return await reader.readexactly(len(data))


async def gives_nothing(work):
    try:
        await asyncio.wait_for(work, QUIET_S)
    except TimeoutError:
        return True
    return False


def test_cut_link_holds_bytes_and_lets_new_connections_time_out():
    async def scenario(forwarder, port):
        old = await asyncio.open_connection(LOOPBACK, port)
        assert await ask(old, b"one") == b"one"
        for command in CUT:
            forwarder.execute(command)
        old[1].write(b"two")
        assert await gives_nothing(old[0].readexactly(3))
        assert await gives_nothing(asyncio.open_connection(LOOPBACK, port))
        for command in HEAL:
            forwarder.execute(command)
        assert await old[0].readexactly(3) == b"two"
        new = await asyncio.open_connection(LOOPBACK, port)
        assert await ask(new, b"three") == b"three"

    run_with_link(scenario)


def test_one_way_cut_stops_one_direction():
    async def scenario(forwarder, port):
        streams = await asyncio.open_connection(LOOPBACK, port)
        assert await ask(streams, b"one") == b"one"
        forwarder.execute(CUT[1])
        streams[1].write(b"two")
        assert await gives_nothing(streams[0].readexactly(3))
        forwarder.execute(HEAL[1])
        assert await streams[0].readexactly(3) == b"two"

    run_with_link(scenario)


def test_delayed_link_keeps_the_order_of_bytes():
    async def scenario(forwarder, port):
        streams = await asyncio.open_connection(LOOPBACK, port)
        sent = b"".join(b"%06d" % number for number in range(2000))
        for start in range(0, len(sent), 60):
            streams[1].write(sent[start : start + 60])
            await asyncio.sleep(0)
        assert await streams[0].readexactly(len(sent)) == sent

    run_with_link(scenario, delay_ms=2)
