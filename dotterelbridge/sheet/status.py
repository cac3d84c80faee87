"""Collects the active sheet revision of each VM."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta

import anyio

from dotterelbridge.errors import PeerError
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.sheet.messages import SheetStatus
from dotterelbridge.sheet.messages import SheetStatusRequest
from dotterelbridge.sheet.messages import VmSheetStatus
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.source import SheetSource

CONCURRENT_REQUEST_LIMIT = 32


class SheetStatusReader:
    """Requests the status of the active sheet from VMs.

    In a large deployment only the control VMs have links to all others, so
    any other VM lets a control VM collect the status.
    """

    def __init__(
        self,
        network: PeerNetwork,
        vms: Sequence[VmInfo],
        control_vms: Sequence[VmId],
        source: SheetSource,
        detached_ms: Callable[[], int],
        settings: SheetSettings,
    ) -> None:
        self._network = network
        self._vms = vms
        self._control_vms = control_vms
        self._source = source
        self._detached_ms = detached_ms
        self._timeout = timedelta(milliseconds=settings.status_timeout_ms)

    async def read(self) -> list[VmSheetStatus]:
        """Return the status of all VMs, including unreachable ones."""
        if self._network.own_id not in self._control_vms:
            statuses = await self._request_from_control_vm()
            if statuses:
                return statuses
        return await self._request_all()

    async def handle_status_request(
        self, sender: VmId, request: SheetStatusRequest
    ) -> SheetStatus:
        """Handle a status request of another VM."""
        if not request.all_vms:
            return SheetStatus(vms=(self._create_own_status(),))
        return SheetStatus(vms=tuple(await self._request_all()))

    async def _request_from_control_vm(self) -> list[VmSheetStatus]:
        request = SheetStatusRequest(all_vms=True)
        for control_vm in self._control_vms:
            if not self._network.is_connected(control_vm):
                continue
            try:
                reply = await self._network.request(
                    control_vm, request, 2 * self._timeout
                )
            except PeerError:
                continue
            return list(reply.vms)
        return []

    async def _request_all(self) -> list[VmSheetStatus]:
        statuses: dict[VmId, VmSheetStatus] = {}
        semaphore = anyio.Semaphore(CONCURRENT_REQUEST_LIMIT)

        async def request_one(info: VmInfo) -> None:
            async with semaphore:
                statuses[info.vm] = await self._request_status(info)

        async with anyio.create_task_group() as group:
            for info in self._vms:
                group.start_soon(request_one, info)
        return [statuses[vm] for vm in sorted(statuses)]

    async def _request_status(self, info: VmInfo) -> VmSheetStatus:
        if info.vm == self._network.own_id:
            return self._create_own_status()
        try:
            reply = await self._network.request(
                info.vm, SheetStatusRequest(all_vms=False), self._timeout
            )
        except PeerError:
            return VmSheetStatus(
                vm=info.vm,
                failure_domain=info.failure_domain,
                reachable=False,
            )
        return reply.vms[0]

    def _create_own_status(self) -> VmSheetStatus:
        own = self._network.own_id
        domain = next(i.failure_domain for i in self._vms if i.vm == own)
        sheet = self._source.get_active_sheet()
        return VmSheetStatus(
            vm=own,
            failure_domain=domain,
            reachable=True,
            revision=sheet.revision,
            number=sheet.number,
            digest=sheet.digest,
            detached_ms=self._detached_ms(),
        )
