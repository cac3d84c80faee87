"""Submits sheets and follows their revision on every VM."""

import asyncio
import pathlib
import time

import httpx

from bench.deployment import LOOPBACK
from bench.deployment import TOKEN
from bench.deployment import Deployment
from bench.trace import SheetChange
from dotterelbridge.ids import VmId

TRACES = pathlib.Path(__file__).parent / "traces"
SHEET_TIMEOUT_S = 30.0
STATUS_INTERVAL_S = 0.2
STATUS_TIMEOUT_S = 1.0


class SheetWatch:
    """Follows the sheet's revision on every VM."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._revisions: dict[VmId, int] = dict.fromkeys(deployment.vms, 0)
        self.unreachable: set[str] = set()
        """VMs that are killed, stopped or cut off now."""
        self.reverts = 0
        self.refusals: list[str] = []
        self.in_force_s: list[float] = []
        headers = {"Authorization": f"Bearer {TOKEN}"}
        self._client = httpx.AsyncClient(headers=headers)

    async def run(self) -> None:
        """Ask every VM for its revision until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for vm in self._deployment.vms:
                tasks.create_task(self._watch(vm))

    async def submit(self, event: SheetChange, vm: VmId) -> bool:
        """Submit a sheet and wait until it is in force.

        The time counts from the acceptance to the last VM that could be
        reached all the while.
        """
        content = (TRACES / event.sheet).read_bytes()
        url = f"{self._url(vm)}/sheet?number={event.number}"
        try:
            answer = await self._client.put(
                url, content=content, timeout=SHEET_TIMEOUT_S
            )
        except httpx.TransportError as error:
            self.refusals.append(f"sheet {event.number}: {error!r}")
            return False
        if not answer.is_success:
            self.refusals.append(f"sheet {event.number}: {answer.text}")
            return False
        revision = answer.json()["revision"]
        self.in_force_s.append(await self._wait_in_force(revision))
        return True

    async def _wait_in_force(self, revision: int) -> float:
        started = time.monotonic()
        waiting = set(self._revisions)
        while time.monotonic() - started < SHEET_TIMEOUT_S:
            waiting -= self.unreachable
            waiting = {v for v in waiting if self._revisions[v] < revision}
            if not waiting:
                return time.monotonic() - started
            await asyncio.sleep(STATUS_INTERVAL_S / 4)
        return SHEET_TIMEOUT_S

    def _url(self, vm: VmId) -> str:
        port = self._deployment.operator_ports[vm]
        return f"http://{LOOPBACK}:{port}/operators/v1"

    async def _watch(self, vm: VmId) -> None:
        while True:
            try:
                answer = await self._client.get(
                    f"{self._url(vm)}/status", timeout=STATUS_TIMEOUT_S
                )
                revision = answer.json()["sheet_revision"]
                ready = vm not in self.unreachable
                self.reverts += ready and revision < self._revisions[vm]
                self._revisions[vm] = revision
            except httpx.TransportError:
                pass
            await asyncio.sleep(STATUS_INTERVAL_S)
