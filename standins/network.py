"""An in-memory stand-in for the links between daemons.

Messages pass the real codec. Delay, loss, duplication and reordering come
from a seed; links can be cut in one direction or both.
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
    """How the network treats each message; change it at any time."""

    def __init__(self) -> None:
        self.delay_min_s = 0.001
        self.delay_max_s = 0.002
        self.loss_share = 0.0
        """Share of messages lost, from 0 to 1."""
        self.duplicate_share = 0.0
        """Share of messages delivered twice."""
        self.straggler_share = 0.0
        """Share of messages with up to ``straggler_delay_max_s`` extra delay."""
        self.straggler_delay_max_s = 2.0


class StandinNetwork:
    """All links of a set of VMs on one event loop."""

    def __init__(self, vms: Iterable[VmId], seed: int = 0) -> None:
        self.vms = sorted(vms)
        self.conditions = NetworkConditions()
        self.delivered_count = 0
        self.frame_filter: FrameFilter = lambda source, sink, frame: True
        """Whether a frame may pass; replace it to lose chosen ones."""
        self.handler_errors: list[Exception] = []
        """What handlers raised; a test should find it empty."""
        self._random = random_module.Random(seed)
        self._ends: dict[VmId, _StandinPeerNetwork] = {}
        self._blocked_links: set[tuple[VmId, VmId]] = set()
        self._tasks: set[asyncio.Task] = set()

    def join(self, vm: VmId) -> PeerNetwork:
        """Return the VM's end; an earlier end of it hears nothing more."""
        self.leave(vm)
        self._ends[vm] = _StandinPeerNetwork(self, vm)
        return self._ends[vm]

    def leave(self, vm: VmId) -> None:
        """Take a VM off the network, as when its process dies."""
        end = self._ends.pop(vm, None)
        if end:
            end.stop()

    def has_joined(self, vm: VmId) -> bool:
        """Return whether the VM's process is up."""
        return vm in self._ends

    def block_link(self, source: VmId, sink: VmId) -> None:
        """Lose every message from source to sink, silently."""
        self._blocked_links.add((source, sink))

    def isolate(self, group: Iterable[VmId]) -> None:
        """Cut a group off from all others in both directions."""
        inside = set(group)
        for one in inside:
            for other in set(self.vms) - inside:
                self.block_link(one, other)
                self.block_link(other, one)

    def restore_links(self) -> None:
        """End all cuts."""
        self._blocked_links.clear()

    async def close(self) -> None:
        """Take all VMs off and wait for their handlers to end."""
        for vm in self.vms:
            self.leave(vm)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def transmit(
        self, sender: "_StandinPeerNetwork", sink: VmId, data: bytes
    ) -> None:
        """Deliver a frame later, twice, or not at all."""
        source = sender.own_id
        if self._ends.get(source) is not sender:
            return
        conditions = self.conditions
        if (source, sink) in self._blocked_links:
            return
        if not self.frame_filter(source, sink, frames.decode_frame(data)):
            return
        if self._random.random() < conditions.loss_share:
            return
        copies = 1 + (self._random.random() < conditions.duplicate_share)
        for _ in range(copies):
            delay = self._choose_delay()
            asyncio.get_running_loop().call_later(
                delay, self._deliver, source, self._ends.get(sink), data
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
        self, source: VmId, end: "_StandinPeerNetwork | None", data: bytes
    ) -> None:
        if end is None or self._ends.get(end.own_id) is not end:
            return
        self.delivered_count += 1
        task = asyncio.get_running_loop().create_task(end.take(source, data))
        end.tasks.add(task)
        task.add_done_callback(end.tasks.discard)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.handler_errors.append(task.exception())


class _StandinPeerNetwork(PeerNetwork):
    """One VM's end of the stand-in."""

    def __init__(self, network: StandinNetwork, vm: VmId) -> None:
        self._network = network
        self._vm = vm
        self._handlers: dict[type[Message], Handler] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._last_id = 0
        self.tasks: set[asyncio.Task] = set()
        """Handlers that run."""

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
        self._last_id += 1
        request_id = self._last_id
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        data = frames.encode_message(FrameKind.REQUEST, message, request_id)
        self._network.transmit(self, peer, data)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                return await future
        except TimeoutError:
            raise PeerUnreachable(
                f"{peer!r} did not answer", "ask again"
            ) from None
        finally:
            self._pending.pop(request_id, None)

    def stop(self) -> None:
        """Stop the handlers and fail what waits; this process is gone."""
        for task in list(self.tasks):
            task.cancel()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(PeerUnreachable("gone", "restart it"))

    async def take(self, source: VmId, data: bytes) -> None:
        """Handle one frame that arrived."""
        frame = frames.decode_frame(data)
        if frame.kind in (FrameKind.ANSWER, FrameKind.ERROR):
            self._settle(source, frame)
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

    def _settle(self, source: VmId, frame: frames.Frame) -> None:
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
