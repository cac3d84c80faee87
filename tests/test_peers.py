"""Links between daemons over real sockets on loopback."""

from datetime import timedelta

import anyio
import cbor2
import msgspec
import pytest
from structlog.testing import capture_logs
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from dotterelbridge.errors import PeerError
from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.peers import frames
from dotterelbridge.peers.errors import PeerBusy
from dotterelbridge.peers.errors import PeerReturnedError
from dotterelbridge.peers.errors import ProtocolViolation
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.link import compute_backoff
from standins.ports import find_free_ports
from tests.peers_support import FAST_SETTINGS
from tests.peers_support import Echo
from tests.peers_support import create_network
from tests.peers_support import create_vms
from tests.peers_support import wait_until

pytestmark = pytest.mark.anyio
TIMEOUT = timedelta(seconds=10)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def _echo(sender, message):
    return msgspec.structs.replace(message, number=message.number + 1)


def _logged(logs, name):
    return [line for line in logs if line["event"] == name]


async def test_request_and_message_reach_the_peer():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    received = []

    async def collect(sender, message):
        received.append((sender, message.number))

    first.register_handler(Echo, _echo)
    second.register_handler(Echo, collect)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        answer = await second.request("v0", Echo(payload=b"\xff"), TIMEOUT)
        assert answer == Echo(payload=b"\xff", number=1)
        for number in range(50):
            assert first.send("v1", Echo(payload=b"", number=number))
        await wait_until(lambda: len(received) == 50)
        assert received == [("v0", number) for number in range(50)]
        group.cancel_scope.cancel()


async def test_one_link_is_kept_for_a_pair():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)

        def settled():
            links = [
                network.dump()["links"].get(peer, [])
                for network, peer in ((first, "v1"), (second, "v0"))
            ]
            return all(len(found) == 1 for found in links)

        await wait_until(settled)
        group.cancel_scope.cancel()


async def test_answers_are_not_crossed():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    held = anyio.Event()

    async def answer_late(sender, message):
        if message.number == 0:
            await held.wait()
        else:
            held.set()
        return message

    first.register_handler(Echo, answer_late)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        answers = {}

        async def ask(number):
            message = Echo(payload=b"", number=number)
            answer = await second.request("v0", message, TIMEOUT)
            answers[number] = answer.number

        async with anyio.create_task_group() as askers:
            for number in range(10):
                askers.start_soon(ask, number)
        assert answers == {number: number for number in range(10)}
        group.cancel_scope.cancel()


def test_empty_secret_is_refused():
    vms = create_vms(2)
    with pytest.raises(PeerError, match="secret"):
        create_network(vms[0], vms, secret=b"")


async def test_flush_lets_answers_reach_the_peer():
    vms = create_vms(2)
    first, second = (create_network(vm, vms, dial=["v0"]) for vm in vms)
    asked, finish = anyio.Event(), anyio.Event()
    large = bytes(3 * 1024 * 1024)

    async def answer_late(sender, message):
        asked.set()
        await finish.wait()
        return msgspec.structs.replace(message, payload=large)

    first.register_handler(Echo, answer_late)
    answers = []

    async def ask():
        answers.append(await second.request("v0", Echo(payload=b""), TIMEOUT))

    async with anyio.create_task_group() as group:
        group.start_soon(second.run)
        async with anyio.create_task_group() as life:
            life.start_soon(first.run)
            await wait_until(lambda: second.is_connected("v0"))
            group.start_soon(ask)
            await asked.wait()
            finish.set()
            await first.wait_until_idle(TIMEOUT)
            life.cancel_scope.cancel()
        await wait_until(lambda: answers)
        assert answers[0].payload == large
        group.cancel_scope.cancel()


async def test_wrong_secret_is_refused_and_logged():
    vms = create_vms(2)
    first = create_network(vms[0], vms)
    second = create_network(vms[1], vms, secret=b"another secret")
    with capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            group.start_soon(second.run)
            await wait_until(
                lambda: len(_logged(logs, "authentication_refused")) >= 4
            )
            assert not first.is_connected("v1")
            assert not second.is_connected("v0")
            group.cancel_scope.cancel()


async def test_peer_without_handshake_is_refused():
    vms = create_vms(2)
    network = create_network(vms[0], vms)
    with capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(network.run)
            await network.listening.wait()
            url = f"ws://127.0.0.1:{vms[0].port}"
            async with connect(url) as connection:
                await connection.send(cbor2.dumps("let me in"))
                with pytest.raises(ConnectionClosed):
                    await connection.recv()
            await wait_until(lambda: _logged(logs, "authentication_refused"))
            group.cancel_scope.cancel()


async def test_request_without_link_is_certainly_not_sent():
    vms = create_vms(2)
    network = create_network(vms[0], vms)
    with pytest.raises(RequestNotSent):
        await network.request("v1", Echo(payload=b""), TIMEOUT)
    assert not network.send("v1", Echo(payload=b""))


async def test_unhandled_request_is_answered_with_an_error():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        with pytest.raises(PeerReturnedError):
            await second.request("v0", Echo(payload=b""), TIMEOUT)
        group.cancel_scope.cancel()


async def test_message_handler_may_ask_its_sender():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    answers = []

    async def ask_back(sender, message):
        answers.append(await first.request(sender, message, TIMEOUT))

    first.register_handler(Echo, ask_back)
    second.register_handler(Echo, _echo)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        assert second.send("v0", Echo(payload=b"", number=6))
        await wait_until(lambda: answers)
        assert answers[0].number == 7
        group.cancel_scope.cancel()


async def test_busy_peer_refuses_as_not_run():
    vms = create_vms(2)
    settings = msgspec.structs.replace(FAST_SETTINGS, requests_limit=2)
    first, second = (create_network(vm, vms, settings=settings) for vm in vms)
    handled = []
    finish = anyio.Event()

    async def hold(sender, message):
        handled.append(message.number)
        await finish.wait()
        return message

    refused = []

    async def ask(number):
        try:
            message = Echo(payload=b"", number=number)
            await second.request("v0", message, TIMEOUT)
        except PeerBusy:
            refused.append(number)

    first.register_handler(Echo, hold)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        async with anyio.create_task_group() as askers:
            for number in range(4):
                askers.start_soon(ask, number)
            await wait_until(lambda: len(refused) == 2)
            finish.set()
        assert sorted(handled + refused) == [0, 1, 2, 3]
        group.cancel_scope.cancel()


async def test_full_queue_refuses_at_once():
    vms = create_vms(2)
    settings = msgspec.structs.replace(FAST_SETTINGS, queue_limit_messages=4)
    first, second = (create_network(vm, vms, settings=settings) for vm in vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        sent = [second.send("v0", Echo(payload=b"")) for _ in range(6)]
        assert sent == [True] * 4 + [False] * 2
        with pytest.raises(RequestNotSent):
            await second.request("v0", Echo(payload=b""), TIMEOUT)
        group.cancel_scope.cancel()


async def test_oversized_message_closes_the_link():
    vms = create_vms(2)
    small = msgspec.structs.replace(FAST_SETTINGS, message_limit_mb=1)
    first = create_network(vms[0], vms, settings=small)
    second = create_network(vms[1], vms)
    first.register_handler(Echo, _echo)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        large = Echo(payload=b"x" * 1024 * 1024)
        with pytest.raises(PeerUnreachable):
            await second.request("v0", large, TIMEOUT)
        await wait_until(lambda: second.is_connected("v0"))
        group.cancel_scope.cancel()


async def test_restarted_peer_is_a_new_incarnation():
    vms = create_vms(2)
    first = create_network(vms[0], vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        seen = []
        for _ in range(2):
            second = create_network(vms[1], vms)
            async with anyio.create_task_group() as life:
                life.start_soon(second.run)
                own = second.dump()["incarnation"]

                def links_to_this_life(own=own):
                    links = first.dump()["links"].get("v1", [])
                    return [lk for lk in links if lk["incarnation"] == own]

                await wait_until(links_to_this_life)
                seen.append(own)
                life.cancel_scope.cancel()
        assert len(set(seen)) == 2
        group.cancel_scope.cancel()


class _Forwarder:
    """Relays TCP; can stop carrying bytes and keep connections open."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self._target_port = target_port
        self._generation = 0
        self.accepted = 0

    async def run(self) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener:
            await listener.serve(self._relay)

    def silence_open_connections(self) -> None:
        self._generation += 1

    async def _relay(self, client) -> None:
        self.accepted += 1
        generation = self._generation
        async with (
            client,
            await anyio.connect_tcp("127.0.0.1", self._target_port) as server,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._copy, client, server, generation)
            group.start_soon(self._copy, server, client, generation)

    async def _copy(self, source, sink, generation) -> None:
        try:
            async for data in source:
                if generation == self._generation:
                    await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


async def test_silent_connection_is_replaced_while_it_stays_open():
    vms = create_vms(2)
    forwarder = _Forwarder(find_free_ports(1)[0], vms[0].port)
    through = [msgspec.structs.replace(vms[0], port=forwarder.port), vms[1]]
    first = create_network(vms[0], vms, dial=())
    second = create_network(vms[1], through, dial=("v0",))
    first.register_handler(Echo, _echo)
    with capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            await first.listening.wait()
            group.start_soon(forwarder.run)
            group.start_soon(second.run)
            await wait_until(lambda: second.is_connected("v0"))
            forwarder.silence_open_connections()
            await wait_until(lambda: _logged(logs, "link_silent"))
            await wait_until(
                lambda: forwarder.accepted >= 2 and second.is_connected("v0")
            )
            answer = await second.request("v0", Echo(payload=b""), TIMEOUT)
            assert answer.number == 1
            group.cancel_scope.cancel()


async def test_bytes_are_counted_by_distance():
    vms = create_vms(2)
    far = msgspec.structs.replace(
        vms[1], failure_domain="cork-1", region="cork"
    )
    vms = [vms[0], far]
    first, second = (create_network(vm, vms, dial=["v0"]) for vm in vms)
    first.register_handler(Echo, _echo)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        await second.request("v0", Echo(payload=b"x" * 1000), TIMEOUT)
        traffic = second.dump()["traffic"]["v0"]
        assert traffic["distance"] == "other_region"
        assert traffic["sent_bytes"] > 1000
        assert traffic["received_bytes"] > 1000
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "data",
    [
        "text",
        b"",
        b"\xff\xff",
        cbor2.dumps(7),
        cbor2.dumps([9]),
        cbor2.dumps([1, "x", "test.echo", {}]),
    ],
)
def test_malformed_frames_are_refused(data):
    with pytest.raises(ProtocolViolation):
        frames.decode_frame(data)


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("test.unknown", {}),
        ("test.echo", {}),
        ("test.echo", {"payload": 3}),
        ("test.echo", {"payload": b"", "number": "many"}),
        ("test.echo", None),
    ],
)
def test_messages_are_checked_for_type(name, body):
    data = cbor2.dumps([int(FrameKind.MESSAGE), 0, name, body])
    with pytest.raises(ProtocolViolation):
        frames.decode_message(frames.decode_frame(data))


def test_backoff_grows_with_jitter_up_to_its_bound():
    longest = [compute_backoff(n, FAST_SETTINGS, 1.0) for n in range(100)]
    assert longest == sorted(longest)
    assert longest[-1] == timedelta(
        milliseconds=FAST_SETTINGS.reconnect_max_ms
    )
    assert compute_backoff(9, FAST_SETTINGS, 0.0) < compute_backoff(
        9, FAST_SETTINGS, 1.0
    )
