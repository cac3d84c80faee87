"""Links between daemons over loopback TCP connections."""

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


def _filter_events(logs, name):
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


async def test_each_pair_keeps_one_link():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)

        def has_one_link_each():
            links = [
                network.dump()["links"].get(peer, [])
                for network, peer in ((first, "v1"), (second, "v0"))
            ]
            return all(len(found) == 1 for found in links)

        await wait_until(has_one_link_each)
        group.cancel_scope.cancel()


async def test_concurrent_requests_get_their_own_answers():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    other_request_received = anyio.Event()

    async def answer_late(sender, message):
        if message.number == 0:
            await other_request_received.wait()
        else:
            other_request_received.set()
        return message

    first.register_handler(Echo, answer_late)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        answers = {}

        async def send_request(number):
            message = Echo(payload=b"", number=number)
            answer = await second.request("v0", message, TIMEOUT)
            answers[number] = answer.number

        async with anyio.create_task_group() as requests:
            for number in range(10):
                requests.start_soon(send_request, number)
        assert answers == {number: number for number in range(10)}
        group.cancel_scope.cancel()


def test_empty_secret_is_refused():
    vms = create_vms(2)
    with pytest.raises(PeerError, match="secret"):
        create_network(vms[0], vms, secret=b"")


async def test_wait_until_idle_lets_answers_reach_the_peer():
    vms = create_vms(2)
    first, second = (create_network(vm, vms, dial=["v0"]) for vm in vms)
    request_received, finish = anyio.Event(), anyio.Event()
    large = bytes(3 * 1024 * 1024)

    async def answer_late(sender, message):
        request_received.set()
        await finish.wait()
        return msgspec.structs.replace(message, payload=large)

    first.register_handler(Echo, answer_late)
    answers = []

    async def send_request():
        answers.append(await second.request("v0", Echo(payload=b""), TIMEOUT))

    async with anyio.create_task_group() as group:
        group.start_soon(second.run)
        async with anyio.create_task_group() as process:
            process.start_soon(first.run)
            await wait_until(lambda: second.is_connected("v0"))
            group.start_soon(send_request)
            await request_received.wait()
            finish.set()
            await first.wait_until_idle(TIMEOUT)
            process.cancel_scope.cancel()
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
                lambda: (
                    len(_filter_events(logs, "authentication_refused")) >= 4
                )
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
            await wait_until(
                lambda: _filter_events(logs, "authentication_refused")
            )
            group.cancel_scope.cancel()


async def test_request_without_link_is_not_sent():
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


async def test_message_handler_can_send_request_to_sender():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    answers = []

    async def request_from_sender(sender, message):
        answers.append(await first.request(sender, message, TIMEOUT))

    first.register_handler(Echo, request_from_sender)
    second.register_handler(Echo, _echo)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        assert second.send("v0", Echo(payload=b"", number=6))
        await wait_until(lambda: answers)
        assert answers[0].number == 7
        group.cancel_scope.cancel()


async def test_busy_peer_rejects_excess_requests_unhandled():
    vms = create_vms(2)
    settings = msgspec.structs.replace(FAST_SETTINGS, requests_limit=2)
    first, second = (create_network(vm, vms, settings=settings) for vm in vms)
    handled = []
    finish = anyio.Event()

    async def wait_for_finish(sender, message):
        handled.append(message.number)
        await finish.wait()
        return message

    rejected = []

    async def send_request(number):
        try:
            message = Echo(payload=b"", number=number)
            await second.request("v0", message, TIMEOUT)
        except PeerBusy:
            rejected.append(number)

    first.register_handler(Echo, wait_for_finish)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        async with anyio.create_task_group() as requests:
            for number in range(4):
                requests.start_soon(send_request, number)
            await wait_until(lambda: len(rejected) == 2)
            finish.set()
        assert sorted(handled + rejected) == [0, 1, 2, 3]
        group.cancel_scope.cancel()


async def test_full_queue_rejects_immediately():
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
    small_limit = msgspec.structs.replace(FAST_SETTINGS, message_limit_mb=1)
    first = create_network(vms[0], vms, settings=small_limit)
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


async def test_restarted_peer_has_new_incarnation():
    vms = create_vms(2)
    first = create_network(vms[0], vms)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        seen = []
        for _ in range(2):
            second = create_network(vms[1], vms)
            async with anyio.create_task_group() as process:
                process.start_soon(second.run)
                own = second.dump()["incarnation"]

                def list_links_to_incarnation(own=own):
                    links = first.dump()["links"].get("v1", [])
                    return [lk for lk in links if lk["incarnation"] == own]

                await wait_until(list_links_to_incarnation)
                seen.append(own)
                process.cancel_scope.cancel()
        assert len(set(seen)) == 2
        group.cancel_scope.cancel()


class _TcpForwarder:
    """TCP relay that can stop forwarding while connections stay open."""

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

    def stall_open_connections(self) -> None:
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


async def test_stalled_open_connection_is_replaced():
    vms = create_vms(2)
    forwarder = _TcpForwarder(find_free_ports(1)[0], vms[0].port)
    vms_through_forwarder = [
        msgspec.structs.replace(vms[0], port=forwarder.port),
        vms[1],
    ]
    first = create_network(vms[0], vms, dial=())
    second = create_network(vms[1], vms_through_forwarder, dial=("v0",))
    first.register_handler(Echo, _echo)
    with capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(first.run)
            await first.listening.wait()
            group.start_soon(forwarder.run)
            group.start_soon(second.run)
            await wait_until(lambda: second.is_connected("v0"))
            forwarder.stall_open_connections()
            await wait_until(lambda: _filter_events(logs, "link_silent"))
            await wait_until(
                lambda: forwarder.accepted >= 2 and second.is_connected("v0")
            )
            answer = await second.request("v0", Echo(payload=b""), TIMEOUT)
            assert answer.number == 1
            group.cancel_scope.cancel()


async def test_bytes_are_counted_by_distance():
    vms = create_vms(2)
    other_region_vm = msgspec.structs.replace(
        vms[1], failure_domain="cork-1", region="cork"
    )
    vms = [vms[0], other_region_vm]
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
def test_malformed_frames_are_rejected(data):
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
def test_messages_with_wrong_types_are_rejected(name, body):
    data = cbor2.dumps([int(FrameKind.MESSAGE), 0, name, body])
    with pytest.raises(ProtocolViolation):
        frames.decode_message(frames.decode_frame(data))


def test_backoff_grows_with_jitter_up_to_maximum():
    longest = [compute_backoff(n, FAST_SETTINGS, 1.0) for n in range(100)]
    assert longest == sorted(longest)
    assert longest[-1] == timedelta(
        milliseconds=FAST_SETTINGS.reconnect_max_ms
    )
    assert compute_backoff(9, FAST_SETTINGS, 0.0) < compute_backoff(
        9, FAST_SETTINGS, 1.0
    )


async def test_answer_that_has_no_encoding_ends_no_link():
    # Guards against a process that ends by one answer of a handler (review/2).
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)

    async def answer_text(sender, message):
        if message.number:
            return await _echo(sender, message)
        return msgspec.structs.replace(message, payload="i-\ud800")

    first.register_handler(Echo, answer_text)
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        with capture_logs() as logs, pytest.raises(PeerReturnedError):
            await second.request("v0", Echo(payload=b""), TIMEOUT)
        assert _filter_events(logs, "handler_failed")
        answer = await second.request(
            "v0", Echo(payload=b"", number=1), TIMEOUT
        )
        assert answer.number == 2
        group.cancel_scope.cancel()


async def test_message_that_has_no_encoding_is_not_sent():
    vms = create_vms(2)
    first, second = (create_network(vm, vms) for vm in vms)
    message = Echo(payload="i-\ud800")
    async with anyio.create_task_group() as group:
        group.start_soon(first.run)
        group.start_soon(second.run)
        await wait_until(lambda: second.is_connected("v0"))
        with capture_logs() as logs:
            assert not second.send("v0", message)
        assert _filter_events(logs, "message_not_sent")
        with pytest.raises(PeerError):
            await second.request("v0", message, TIMEOUT)
        group.cancel_scope.cancel()


def test_frame_nested_too_deeply_is_malformed():
    nested = b"\x81" * 100_000 + b"\x00"
    with pytest.raises(ProtocolViolation):
        frames.decode_frame(nested)
