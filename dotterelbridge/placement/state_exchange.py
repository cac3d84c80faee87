"""Requests the placement state of every failure domain."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta

import anyio

from dotterelbridge.errors import PeerError
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.placement.lease import Lease
from dotterelbridge.placement.messages import PlacementState
from dotterelbridge.placement.messages import PlacementStateRequest

STATE_REQUEST_TIMEOUT = timedelta(seconds=2)


class StateExchange:
    """Requests placement states from lease holders and answers requests.

    The holder of another failure domain is reached through any VM of that
    domain.
    """

    def __init__(
        self,
        network: PeerNetwork,
        lease: Lease,
        own_vm: VmInfo,
        vms: Sequence[VmInfo],
        list_domains: Callable[[], list[FailureDomain]],
        create_state: Callable[[], PlacementState],
    ) -> None:
        self._network = network
        self._lease = lease
        self._own_vm = own_vm
        self._vm_infos = {vm.vm: vm for vm in vms}
        self._list_domains = list_domains
        self._create_state = create_state
        network.register_handler(PlacementStateRequest, self._handle_request)

    async def fetch_all(self) -> list[PlacementState]:
        """Return the state of each failure domain, the local one first.

        Other domains that cannot be reached are left out.
        """
        states = [await self._fetch_own_state()]
        domains = self._list_domains()
        domains.remove(self._own_vm.failure_domain)
        async with anyio.create_task_group() as tasks:
            for domain in domains:
                tasks.start_soon(self._fetch_domain_state, domain, states)
        return states

    async def _fetch_own_state(self) -> PlacementState:
        holder = self._lease.holder
        if self._lease.is_held() or holder in (None, self._own_vm.vm):
            return self._create_state()
        request = PlacementStateRequest(forward=False)
        try:
            return await self._network.request(
                holder, request, STATE_REQUEST_TIMEOUT
            )
        except PeerError:
            return PlacementState(domain=self._own_vm.failure_domain)

    async def _fetch_domain_state(
        self, domain: FailureDomain, states: list[PlacementState]
    ) -> None:
        request = PlacementStateRequest(forward=True)
        for vm, info in sorted(self._vm_infos.items()):
            if info.failure_domain != domain or not self._network.is_connected(
                vm
            ):
                continue
            try:
                states.append(
                    await self._network.request(
                        vm, request, STATE_REQUEST_TIMEOUT
                    )
                )
            except PeerError:
                continue
            return

    async def _handle_request(
        self, sender: VmId, message: Message
    ) -> PlacementState:
        if message.forward:
            return await self._fetch_own_state()
        return self._create_state()
