"""Which revision is in force on which VM."""

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

CONCURRENT_REQUESTS = 32


class SheetStatusReader:
    """Asks VMs for the sheet in force.

    Only the VMs with the log have links to all others at a large size,
    so a VM without it lets one of them ask.
    """

    def __init__(
        self,
        network: PeerNetwork,
        vms: Sequence[VmInfo],
        holders: Sequence[VmId],
        source: SheetSource,
        detached_ms: Callable[[], int],
        settings: SheetSettings,
    ) -> None:
        self._network = network
        self._vms = vms
        self._holders = holders
        self._source = source
        self._detached_ms = detached_ms
        self._timeout = timedelta(milliseconds=settings.status_timeout_ms)

    async def read(self) -> list[VmSheetStatus]:
        """Return the status of all VMs, those unreachable included."""
        if self._network.own_id not in self._holders:
            table = await self._ask_holders()
            if table:
                return table
        return await self._ask_all()

    async def answer(
        self, sender: VmId, request: SheetStatusRequest
    ) -> SheetStatus:
        """Answer another VM's request."""
        if not request.all_vms:
            return SheetStatus(vms=(self._describe_own(),))
        return SheetStatus(vms=tuple(await self._ask_all()))

    async def _ask_holders(self) -> list[VmSheetStatus]:
        request = SheetStatusRequest(all_vms=True)
        for holder in self._holders:
            if not self._network.is_connected(holder):
                continue
            try:
                answer = await self._network.request(
                    holder, request, 2 * self._timeout
                )
            except PeerError:
                continue
            return list(answer.vms)
        return []

    async def _ask_all(self) -> list[VmSheetStatus]:
        table: dict[VmId, VmSheetStatus] = {}
        limit = anyio.Semaphore(CONCURRENT_REQUESTS)

        async def ask(info: VmInfo) -> None:
            async with limit:
                table[info.vm] = await self._ask(info)

        async with anyio.create_task_group() as group:
            for info in self._vms:
                group.start_soon(ask, info)
        return [table[vm] for vm in sorted(table)]

    async def _ask(self, info: VmInfo) -> VmSheetStatus:
        if info.vm == self._network.own_id:
            return self._describe_own()
        try:
            answer = await self._network.request(
                info.vm, SheetStatusRequest(all_vms=False), self._timeout
            )
        except PeerError:
            return VmSheetStatus(
                vm=info.vm,
                failure_domain=info.failure_domain,
                reachable=False,
            )
        return answer.vms[0]

    def _describe_own(self) -> VmSheetStatus:
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
