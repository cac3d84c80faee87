"""An in-memory network between daemons, with simulated faults.

Messages are encoded and decoded with the real codec. Delay, loss, duplication
and reordering are drawn from a seeded generator; links can be blocked in one
direction or both.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random as random_module

import anyio

from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.ids import VmId
from dotterelbridge.peers import frames
from dotterelbridge.peers.errors import PeerReturnedError
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import Handler
from dotterelbridge.peers.network import PeerNetwork

FrameFilter = Callable[[VmId, VmId, frames.Frame], bool]


class NetworkConditions:
    """Delays and faults of messages; may be changed at any time."""

    def __init__(self) -> None:
        self.delay_min_s = 0.001
        self.delay_max_s = 0.002
        self.loss_share = 0.0
        """Share of messages lost, from 0 to 1."""
        self.duplicate_share = 0.0
        """Share of messages delivered twice."""
        self.straggler_share = 0.0
        """Share with up to ``straggler_delay_max_s`` of extra delay."""
        self.straggler_delay_max_s = 2.0


class StandinNetwork:
    """Network of a set of VMs on one event loop."""

    def __init__(self, vms: Iterable[VmId], seed: int = 0) -> None:
        self.vms = sorted(vms)
        self.conditions = NetworkConditions()
        self.delivered_count = 0
        self.frame_filter: FrameFilter = lambda source, destination, frame: (
            True
        )
        """Returns whether to deliver a frame; replace it to drop some."""
        self.handler_errors: list[Exception] = []
        """Exceptions that handlers raised; tests check that it is empty."""
        self._random = random_module.Random(seed)
        self._endpoints: dict[VmId, StandinEndpoint] = {}
        self._blocked_links: set[tuple[VmId, VmId]] = set()
        self._holding_vms: set[VmId] = set()
        self._held_messages: list[tuple[StandinEndpoint, VmId, bytes]] = []
        self._tasks: set[asyncio.Task] = set()

    def join(self, vm: VmId) -> PeerNetwork:
        """Return a new endpoint of the VM; its previous one is stopped."""
        self.leave(vm)
        self._endpoints[vm] = StandinEndpoint(self, vm)
        return self._endpoints[vm]

    def leave(self, vm: VmId) -> None:
        """Disconnect a VM, as when its process ends."""
        endpoint = self._endpoints.pop(vm, None)
        if endpoint:
            endpoint.stop()

    def has_joined(self, vm: VmId) -> bool:
        """Return whether the VM is connected."""
        return vm in self._endpoints

    def block_link(self, source: VmId, destination: VmId) -> None:
        """Silently drop all messages from source to destination."""
        self._blocked_links.add((source, destination))

    def isolate(self, group: Iterable[VmId]) -> None:
        """Block the links between a group and all others, both ways."""
        isolated = set(group)
        for member in isolated:
            for other in set(self.vms) - isolated:
                self.block_link(member, other)
                self.block_link(other, member)

    def restore_links(self) -> None:
        """Unblock all links."""
        self._blocked_links.clear()

    def hold_messages(self, vm: VmId) -> None:
        """Hold back all messages from and to a VM, as when it is frozen."""
        self._holding_vms.add(vm)

    def release_messages(self) -> None:
        """Deliver all messages that were held back."""
        self._holding_vms.clear()
        held, self._held_messages = self._held_messages, []
        for sender, destination, data in held:
            self.transmit(sender, destination, data)

    def find_endpoint(self, vm: VmId) -> PeerNetwork:
        """Return the present endpoint of a VM."""
        return self._endpoints[vm]

    async def close(self) -> None:
        """Disconnect all VMs and wait for their handlers to end."""
        for vm in self.vms:
            self.leave(vm)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def transmit(
        self, sender: "StandinEndpoint", destination: VmId, data: bytes
    ) -> None:
        """Schedule delivery of a frame, or drop or duplicate it."""
        source = sender.own_id
        if self._endpoints.get(source) is not sender:
            return
        conditions = self.conditions
        if (source, destination) in self._blocked_links:
            return
        if self._holding_vms & {source, destination}:
            self._held_messages.append((sender, destination, data))
            return
        if not self.frame_filter(
            source, destination, frames.decode_frame(data)
        ):
            return
        if self._random.random() < conditions.loss_share:
            return
        copies = 1 + (self._random.random() < conditions.duplicate_share)
        for _ in range(copies):
            delay = self._choose_delay()
            asyncio.get_running_loop().call_later(
                delay,
                self._deliver,
                source,
                self._endpoints.get(destination),
                data,
            )

    def _choose_delay(self) -> float:
        conditions = self.conditions
        delay = self._random.uniform(
            conditions.delay_min_s, conditions.delay_max_s
        )
        if self._random.random() < conditions.straggler_share:
            delay += self._random.uniform(0, conditions.straggler_delay_max_s)
        return delay

    def _deliver(
        self, source: VmId, endpoint: "StandinEndpoint | None", data: bytes
    ) -> None:
        if (
            endpoint is None
            or self._endpoints.get(endpoint.own_id) is not endpoint
        ):
            return
        self.delivered_count += 1
        task = asyncio.get_running_loop().create_task(
            endpoint.handle_frame(source, data)
        )
        endpoint.tasks.add(task)
        task.add_done_callback(endpoint.tasks.discard)
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.handler_errors.append(task.exception())


class StandinEndpoint(PeerNetwork):
    """One VM's endpoint on the stand-in network."""

    def __init__(self, network: StandinNetwork, vm: VmId) -> None:
        self._network = network
        self._vm = vm
        self._handlers: dict[type[Message], Handler] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._last_request_id = 0
        self.tasks: set[asyncio.Task] = set()
        """Running handlers."""

    @property
    def own_id(self) -> VmId:
        return self._vm

    def list_peers(self) -> list[VmId]:
        return [vm for vm in self._network.vms if vm != self._vm]

    def is_connected(self, peer: VmId) -> bool:
        return self._network.has_joined(peer) and peer != self._vm

    def register_handler(
        self, message_type: type[Message], handler: Handler
    ) -> None:
        self._handlers[message_type] = handler

    def send(self, peer: VmId, message: Message) -> bool:
        if not self.is_connected(peer):
            return False
        data = frames.encode_message(FrameKind.MESSAGE, message)
        self._network.transmit(self, peer, data)
        return True

    async def request(
        self, peer: VmId, message: Message, timeout: timedelta
    ) -> Message:
        if not self.is_connected(peer):
            raise RequestNotSent(f"no link to {peer!r}", "start the peer")
        self._last_request_id += 1
        request_id = self._last_request_id
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        data = frames.encode_message(FrameKind.REQUEST, message, request_id)
        self._network.transmit(self, peer, data)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                return await future
        except TimeoutError:
            raise PeerUnreachable(
                f"{peer!r} did not reply in time", "retry"
            ) from None
        finally:
            self._pending.pop(request_id, None)

    def stop(self) -> None:
        """Cancel the handlers and fail pending requests."""
        for task in list(self.tasks):
            task.cancel()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    PeerUnreachable("this VM left the network", "restart it")
                )

    async def handle_frame(self, source: VmId, data: bytes) -> None:
        """Handle one received frame."""
        frame = frames.decode_frame(data)
        if frame.kind in (FrameKind.ANSWER, FrameKind.ERROR):
            self._complete_request(source, frame)
            return
        message = frames.decode_message(frame)
        handler = self._handlers.get(type(message))
        answer = await handler(source, message) if handler else None
        if frame.kind is not FrameKind.REQUEST:
            return
        if answer is None:
            data = frames.encode_error(frame.request_id, "not handled")
        else:
            data = frames.encode_message(
                FrameKind.ANSWER, answer, frame.request_id
            )
        self._network.transmit(self, source, data)

    def _complete_request(self, source: VmId, frame: frames.Frame) -> None:
        future = self._pending.get(frame.request_id)
        if future is None or future.done():
            return
        if frame.kind is FrameKind.ERROR:
            future.set_exception(
                PeerReturnedError(f"{source!r}: {frame.name}", "read its log")
            )
        else:
            future.set_result(frames.decode_message(frame))


def create_standin_network(
    vms: Iterable[VmId], seed: int = 0
) -> StandinNetwork:
    """Return a network without faults; its conditions can be changed."""
    return StandinNetwork(vms, seed)
