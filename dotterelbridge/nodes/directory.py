"""Discovers the control VMs of the deployment, starting from seeds."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import zlib

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.nodes.settings import parse_vm_id
from dotterelbridge.peers.websocket_network import WebsocketNetwork
from dotterelbridge.resumption.copies import ControlLink

_UPDATE_INTERVAL = timedelta(seconds=1)
_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Time between two checks of whether this VM is detached."""
_UNKNOWN_DISTANCE = 3


class ControlVmDirectory:
    """Keeps links to the control VMs, and ranks them by distance.

    The seeds are included until the control VMs are known, whenever none of
    the known ones is connected, and while this VM is detached.
    """

    def __init__(
        self,
        network: WebsocketNetwork,
        own_vm: VmInfo,
        seeds: Iterable[VmId],
        list_known_vms: Callable[[], Iterable[VmId]],
        clock: Clock,
        links_kept: int | None = None,
        is_detached: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a directory.

        :param links_kept: number of links that are kept while all of them
            are up; None keeps a link to each control VM.
        :param is_detached: whether what this VM knows is outdated, so that
            all linked control VMs may be cut off from the others.
        """
        self._network = network
        self._own_vm = own_vm
        self._seeds = tuple(seeds)
        self._list_known_vms = list_known_vms
        self._clock = clock
        self._links_kept = links_kept
        self._is_detached = is_detached
        self._distances: dict[VmId, int] = {}
        """Distances of the control VMs that were connected before."""

    def set_seeds(self, seeds: Iterable[VmId]) -> None:
        """Replace the seeds after a settings reload."""
        self._seeds = tuple(seeds)
        self.update_links()

    @property
    def is_isolated(self) -> bool:
        """Whether there are other control VMs and no link to any is up."""
        vms = self.list_control_vms()
        return bool(vms) and not any(map(self._network.is_connected, vms))

    def list_control_vms(self) -> list[VmId]:
        """Return the control VMs to connect to, without this VM."""
        known_vms = [
            vm for vm in self._list_known_vms() if vm != self._own_vm.vm
        ]
        is_connected = any(map(self._network.is_connected, known_vms))
        if is_connected and not self._is_detached():
            return self._select_links(known_vms)
        return [
            vm
            for vm in dict.fromkeys([*known_vms, *self._seeds])
            if vm != self._own_vm.vm
        ]

    def _select_links(self, known_vms: list[VmId]) -> list[VmId]:
        """Return the VMs to keep a link to: all unless enough are of use.

        The links of all entry VMs would cost a control VM more with each
        of them. One link more than the failure domain's own and its
        region's goes to another region.
        """
        if self._links_kept is None or len(known_vms) <= self._links_kept:
            return known_vms
        nearest = sorted(known_vms, key=self._create_link_key)
        kept = nearest[: self._links_kept]
        if all(
            vm in self._distances and self._network.is_connected(vm)
            for vm in kept
        ):
            return kept
        return known_vms

    def _create_link_key(self, vm: VmId) -> tuple[int, int]:
        """Order by distance; VMs at the same one vary from VM to VM."""
        self._record_distance(vm)
        distance = self._distances.get(vm, _UNKNOWN_DISTANCE)
        return distance, zlib.crc32(f"{self._own_vm.vm} {vm}".encode())

    def rank_control_vms(self) -> list[VmId]:
        """Return the control VMs, the closest first, unconnected ones last."""
        return sorted(self.list_control_vms(), key=self._create_distance_key)

    def list_linked_vms(self) -> list[ControlLink]:
        """Return the control VMs to which a link is up, the closest first.

        VMs at the same distance are in another order on each VM, so that
        what all VMs send to the first ones is spread over them.
        """
        linked = []
        for vm in sorted(self.list_control_vms(), key=self._create_link_key):
            identity = self._network.get_peer_identity(vm)
            if identity is not None:
                linked.append(ControlLink(vm, identity.failure_domain))
        return linked

    def update_links(self) -> None:
        """Dial the current control VMs, and stop dialling any others."""
        self._network.set_dialled_peers(
            parse_vm_id(vm) for vm in self.list_control_vms()
        )

    async def run(self) -> None:
        """Update the links periodically until cancelled."""
        while True:
            self.update_links()
            with anyio.move_on_after(_UPDATE_INTERVAL.total_seconds()):
                while not self._is_detached():
                    await self._clock.sleep(_CHECK_INTERVAL)
                await self._clock.sleep(_CHECK_INTERVAL)

    def _create_distance_key(self, vm: VmId) -> tuple[int, VmId]:
        if self._network.get_peer_identity(vm) is None:
            return (_UNKNOWN_DISTANCE, vm)
        self._record_distance(vm)
        return (self._distances[vm], vm)

    def _record_distance(self, vm: VmId) -> None:
        identity = self._network.get_peer_identity(vm)
        if identity is None:
            return
        if identity.failure_domain == self._own_vm.failure_domain:
            self._distances[vm] = 0
        elif identity.region == self._own_vm.region:
            self._distances[vm] = 1
        else:
            self._distances[vm] = 2
