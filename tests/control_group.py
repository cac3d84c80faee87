"""A group of control VMs that find each other as in a deployment.

A VM knows the seeds of its settings file and the members in its log. It
reaches only the VMs to which one of the two has dialled a link. Silent peers
are noticed late, and attempts to dial them take long.
"""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.nodes.directory import ControlVmDirectory
from dotterelbridge.nodes.settings import parse_vm_id
from dotterelbridge.peers.link import compute_backoff
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import create_memory_storage
from standins.network import StandinEndpoint
from standins.network import StandinNetwork
from standins.virtual_time import LoopClock
from tests.replication_support import HistoryMachine

PEERS = PeersSettings(
    ping_interval_ms=500,
    silence_limit_ms=1500,
    handshake_timeout_ms=1000,
    reconnect_max_ms=500,
)
_HANDSHAKE_LATENCIES = 6
_POLL_S = 0.03


class LinkedNetwork(StandinNetwork):
    """A network in which messages pass only over links that were dialled."""

    def __init__(self, seed: int, latency_s: tuple[float, float]) -> None:
        super().__init__((), seed)
        self.slow_delay_s = (0.0, 0.0)
        """Extra delay of each message, as of a busy receiver."""
        self.dark_hosts: set[VmId] = set()
        """VMs without power; dialling them takes until the timeout."""
        self._latency_s = latency_s
        self._latencies: dict[frozenset, float] = {}
        self._last_arrivals: dict[tuple, float] = {}

    def join(self, vm: VmId) -> "LinkedEndpoint":
        self.leave(vm)
        if vm not in self.vms:
            self.vms = sorted([*self.vms, vm])
        self.dark_hosts.discard(vm)
        self._endpoints[vm] = LinkedEndpoint(self, vm, self._random.random())
        return self._endpoints[vm]

    def leave(self, vm: VmId, power_loss: bool = False) -> None:
        """End a process; its peers notice at once unless power was lost."""
        endpoint = self._endpoints.get(vm)
        super().leave(vm)
        if power_loss:
            self.dark_hosts.add(vm)
        if endpoint is None:
            return
        for peer in endpoint.links.values():
            if not power_loss and self.is_open(vm, peer.own_id):
                self._call_later(
                    self.get_latency_s(vm, peer.own_id),
                    peer.drop_link,
                    endpoint,
                )

    def get_latency_s(self, vm: VmId, peer: VmId) -> float:
        pair = frozenset((vm, peer))
        if pair not in self._latencies:
            self._latencies[pair] = self._random.uniform(*self._latency_s)
        return self._latencies[pair]

    def set_latency_s(self, vm: VmId, peer: VmId, latency_s: float) -> None:
        """Set the latency between two VMs, which is drawn otherwise."""
        self._latencies[frozenset((vm, peer))] = latency_s

    def is_open(self, vm: VmId, peer: VmId) -> bool:
        return (vm, peer) not in self._blocked_links

    def get_endpoint(self, vm: VmId) -> "LinkedEndpoint | None":
        return self._endpoints.get(vm)

    def transmit(self, sender, destination: VmId, data: bytes) -> None:
        source = sender.own_id
        receiver = sender.links.get(destination)
        if self._endpoints.get(source) is not sender or receiver is None:
            return
        now = asyncio.get_running_loop().time()
        delay = self.get_latency_s(source, destination)
        delay *= self._random.uniform(1, 1.5)
        delay += self._random.uniform(*self.slow_delay_s)
        key = (id(sender), id(receiver))
        arrival = max(now + delay, self._last_arrivals.get(key, 0))
        self._last_arrivals[key] = arrival
        self._call_later(arrival - now, self._arrive, sender, receiver, data)

    def _arrive(self, sender, receiver, data) -> None:
        source, destination = sender.own_id, receiver.own_id
        if not self.is_open(source, destination):
            return
        if self._endpoints.get(destination) is receiver:
            receiver.heard_at[source] = asyncio.get_running_loop().time()
            self._deliver(source, receiver, data)
        elif destination not in self.dark_hosts:
            sender.drop_link(receiver)

    def _call_later(self, delay_s: float, function, *arguments) -> None:
        asyncio.get_running_loop().call_later(delay_s, function, *arguments)


class LinkedEndpoint(StandinEndpoint):
    """One process; it dials some VMs and accepts links from all."""

    def __init__(self, network: LinkedNetwork, vm: VmId, seed: float) -> None:
        super().__init__(network, vm)
        self.links: dict[VmId, LinkedEndpoint] = {}
        self.heard_at: dict[VmId, float] = {}
        self._dialled: list[VmId] = []
        self._requests: dict[VmId, set[int]] = {}
        self._rng = random.Random(seed)

    def list_peers(self) -> list[VmId]:
        return sorted({*self._dialled, *self.links})

    def is_connected(self, peer: VmId) -> bool:
        return peer in self.links

    def get_peer_identity(self, peer: VmId) -> None:
        return None

    def set_dialled_peers(self, peers: Sequence[VmInfo]) -> None:
        self._dialled = [peer.vm for peer in peers if peer.vm != self.own_id]

    async def request(self, peer, message, timeout):
        request_id = self._last_request_id + 1
        requests = self._requests.setdefault(peer, set())
        requests.add(request_id)
        try:
            return await super().request(peer, message, timeout)
        finally:
            requests.discard(request_id)

    def drop_link(self, peer: "LinkedEndpoint") -> None:
        if self.links.get(peer.own_id) is not peer:
            return
        del self.links[peer.own_id]
        for request_id in self._requests.get(peer.own_id, ()):
            future = self._pending.get(request_id)
            if future and not future.done():
                future.set_exception(PeerUnreachable("link lost", "retry"))

    async def run(self) -> None:
        """Dial and watch links until cancelled."""
        async with anyio.create_task_group() as group:
            dialling: set[VmId] = set()

            async def dial(peer: VmId) -> None:
                failures = 0
                while peer in self._dialled:
                    if self.is_connected(peer):
                        failures = 0
                        await anyio.sleep(_POLL_S)
                        continue
                    if not await self._dial(peer):
                        failures += 1
                    pause = compute_backoff(
                        failures, PEERS, self._rng.random()
                    )
                    await anyio.sleep(pause.total_seconds())
                dialling.discard(peer)

            while True:
                for peer in self._dialled:
                    if peer not in dialling:
                        dialling.add(peer)
                        group.start_soon(dial, peer)
                self._drop_silent_links()
                await anyio.sleep(_POLL_S)

    async def _dial(self, peer: VmId) -> bool:
        network = self._network
        if peer in network.dark_hosts or not network.is_open(
            self.own_id, peer
        ):
            await anyio.sleep(PEERS.handshake_timeout_ms / 1000)
            return False
        other = network.get_endpoint(peer)
        latency_s = network.get_latency_s(self.own_id, peer)
        slow_s = self._rng.uniform(*network.slow_delay_s)
        await anyio.sleep(
            (latency_s + slow_s)
            * (_HANDSHAKE_LATENCIES if other is not None else 2)
        )
        if other is None or network.get_endpoint(peer) is not other:
            return False
        if not network.is_open(self.own_id, peer):
            return False
        now = asyncio.get_running_loop().time()
        for near, far in ((self, other), (other, self)):
            old = near.links.get(far.own_id)
            if old is not None and old is not far:
                near.drop_link(old)
            near.links[far.own_id] = far
            near.heard_at[far.own_id] = now
        return True

    def _drop_silent_links(self) -> None:
        """Drop links to peers without power or behind a partition.

        Pings would keep the others from being silent.
        """
        now = asyncio.get_running_loop().time()
        for vm, peer in list(self.links.items()):
            network = self._network
            if network.get_endpoint(vm) is peer and network.is_open(
                vm, self.own_id
            ):
                self.heard_at[vm] = now
            elif now - self.heard_at[vm] > self._rng.uniform(1.5, 2.0):
                self.drop_link(peer)


class ControlVm:
    """A running process of a control VM."""

    def __init__(self, log, machine, scope) -> None:
        self.log = log
        self.machine = machine
        self.scope = scope


class ControlGroup:
    """Control VMs that run the replicated log."""

    def __init__(
        self, tasks, settings: ReplicationSettings, network: LinkedNetwork, rng
    ) -> None:
        self.settings = settings
        self.network = network
        self.nodes: dict[VmId, ControlVm] = {}
        self.storages = {}
        self.committed: dict[int, bytes] = {}
        self._rng = rng
        self._tasks = tasks
        self._storage_count = 0

    def start(self, vm: VmId, seeds, bootstrap: bool = False) -> ControlVm:
        """Start the process of a VM, with the disk that it has."""
        if vm not in self.storages:
            self._storage_count += 1
            member_id = f"{vm}#{self._storage_count}"
            self.storages[vm] = create_memory_storage(member_id)
        endpoint = self.network.join(vm)
        clock = LoopClock(self._rng.uniform(0, 1e5))
        log = create_log_member(
            self.settings,
            endpoint,
            self.storages[vm],
            clock,
            seeds if bootstrap else (),
            random.Random(self._rng.random()),
            list_seeds=lambda: seeds,
        )
        machine = HistoryMachine(self.committed)
        log.add_state_machine("history", machine)
        directory = ControlVmDirectory(
            endpoint,
            parse_vm_id(vm),
            seeds,
            lambda: [m.vm for m in log.configuration.members],
            clock,
        )
        node = ControlVm(log, machine, anyio.CancelScope())
        self.nodes[vm] = node
        self._tasks.start_soon(self._run, node, directory, endpoint)
        return node

    async def _run(self, node, directory, endpoint) -> None:
        with node.scope:
            async with anyio.create_task_group() as group:
                for run in (node.log.run, directory.run, endpoint.run):
                    group.start_soon(run)

    def stop(self, vm, lose_disk=False, power_loss=False) -> None:
        """End the process of a VM at once."""
        self.network.leave(vm, power_loss)
        node = self.nodes.pop(vm, None)
        if node:
            node.scope.cancel()
        if lose_disk:
            self.storages.pop(vm, None)

    def find_leader(self) -> VmId | None:
        leaders = [
            vm for vm, n in self.nodes.items() if n.log.has_leader_lease()
        ]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    def list_voters(self) -> set[VmId]:
        """Return the VMs of the voters, as the leader knows them."""
        leader = self.find_leader()
        if leader is None:
            return set()
        voters = self.nodes[leader].log.configuration.list_voters()
        return {member.vm for member in voters}

    async def read(self, vm: VmId, timeout_s: float) -> list[bytes]:
        """Return the commands that a read through a VM finds.

        :raises NotCommitted: the VM refused.
        """
        node = self.nodes[vm]
        await node.log.read_barrier(timedelta(seconds=timeout_s))
        return node.machine.commands
