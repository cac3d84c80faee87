"""Discovers the control VMs of the deployment, starting from seeds."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.nodes.settings import parse_vm_id
from dotterelbridge.peers.websocket_network import WebsocketNetwork

_UPDATE_INTERVAL = timedelta(seconds=1)


class ControlVmDirectory:
    """Keeps links to the control VMs, and ranks them by distance.

    The seeds are included until the control VMs are known, and whenever
    none of the known ones is connected.
    """

    def __init__(
        self,
        network: WebsocketNetwork,
        own_vm: VmInfo,
        seeds: Iterable[VmId],
        list_known_vms: Callable[[], Iterable[VmId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._own_vm = own_vm
        self._seeds = tuple(seeds)
        self._list_known_vms = list_known_vms
        self._clock = clock

    def set_seeds(self, seeds: Iterable[VmId]) -> None:
        """Replace the seeds after a settings reload."""
        self._seeds = tuple(seeds)
        self.update_links()

    def list_control_vms(self) -> list[VmId]:
        """Return the control VMs to connect to, without this VM."""
        known_vms = [
            vm for vm in self._list_known_vms() if vm != self._own_vm.vm
        ]
        if any(self._network.is_connected(vm) for vm in known_vms):
            return known_vms
        return [
            vm
            for vm in dict.fromkeys([*known_vms, *self._seeds])
            if vm != self._own_vm.vm
        ]

    def rank_control_vms(self) -> list[VmId]:
        """Return the control VMs, the closest first, unconnected ones last."""
        return sorted(self.list_control_vms(), key=self._create_distance_key)

    def update_links(self) -> None:
        """Dial the current control VMs, and stop dialling any others."""
        self._network.set_dialled_peers(
            parse_vm_id(vm) for vm in self.list_control_vms()
        )

    async def run(self) -> None:
        """Update the links periodically until cancelled."""
        while True:
            self.update_links()
            await self._clock.sleep(_UPDATE_INTERVAL)

    def _create_distance_key(self, vm: VmId) -> tuple[int, VmId]:
        identity = self._network.get_peer_identity(vm)
        if identity is None:
            return (3, vm)
        if identity.failure_domain == self._own_vm.failure_domain:
            return (0, vm)
        return (1 if identity.region == self._own_vm.region else 2, vm)
