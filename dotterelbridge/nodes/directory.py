"""Which control VMs there are, from the seeds on."""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.nodes.settings import describe_vm
from dotterelbridge.peers.websocket_network import WebsocketNetwork

_CHECK_INTERVAL = timedelta(seconds=1)


class ControlDirectory:
    """Keeps links to the control VMs, and ranks them by distance.

    The seeds count until the control VMs are known by name, and again
    while none of these is reached.
    """

    def __init__(
        self,
        network: WebsocketNetwork,
        own: VmInfo,
        seeds: Iterable[VmId],
        list_known: Callable[[], Iterable[VmId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._own = own
        self._seeds = tuple(seeds)
        self._list_known = list_known
        self._clock = clock

    def set_seeds(self, seeds: Iterable[VmId]) -> None:
        """Take seeds from changed settings."""
        self._seeds = tuple(seeds)
        self.update()

    def list_all(self) -> list[VmId]:
        """Return the control VMs that are known, without this VM."""
        known = [vm for vm in self._list_known() if vm != self._own.vm]
        if any(self._network.is_connected(vm) for vm in known):
            return known
        return [
            vm
            for vm in dict.fromkeys([*known, *self._seeds])
            if vm != self._own.vm
        ]

    def rank(self) -> list[VmId]:
        """Return the control VMs, the nearest first."""
        return sorted(self.list_all(), key=self._rate_distance)

    def update(self) -> None:
        """Dial what is known now."""
        self._network.set_dialled_peers(
            describe_vm(vm) for vm in self.list_all()
        )

    async def run(self) -> None:
        """Keep the links up to date until cancelled."""
        while True:
            self.update()
            await self._clock.sleep(_CHECK_INTERVAL)

    def _rate_distance(self, vm: VmId) -> tuple[int, VmId]:
        identity = self._network.get_peer_identity(vm)
        if identity is None:
            return (3, vm)
        if identity.failure_domain == self._own.failure_domain:
            return (0, vm)
        return (1 if identity.region == self._own.region else 2, vm)
