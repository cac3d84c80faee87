"""Test cluster: sheets and claims on several VMs, in-memory network.

The log is the real one or, for speed, a shared list of commands.
"""

import asyncio
from pathlib import Path
import random
from typing import ClassVar

import anyio

from dotterelbridge.claims.replicated_service import ReplicatedClaimService
from dotterelbridge.claims.replicated_service import create_claim_service
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import LogStorage
from dotterelbridge.replication.storage import create_memory_storage
from dotterelbridge.sheet.cells import COLUMNS
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.store import SheetStore
from dotterelbridge.sheet.store import create_sheet_store
from standins.log import SharedLog
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from standins.virtual_time import VirtualTimeLoop
from standins.virtual_time import run_in_virtual_time

WAIT_LIMIT_S = 120


def make_csv(*names: str, version: int = 1) -> bytes:
    """Return a CSV with one model per name."""
    lines = [
        f"model,liffeyside,{name},{version},,100,,,,dublin,yes"
        for name in names
    ]
    return "\n".join((",".join(COLUMNS), *lines)).encode()


def make_vms(domains: dict[str, int]) -> list[VmInfo]:
    """Return VMs named DOMAIN-N for each failure domain."""
    return [
        VmInfo(
            vm=VmId(f"{domain}-{number}"),
            business=Business("liffeyside"),
            failure_domain=FailureDomain(domain),
            region=Region(domain),
            host="127.0.0.1",
            port=0,
        )
        for domain, count in domains.items()
        for number in range(count)
    ]


class SheetCluster:
    """Runs the sheet store and claims of each VM on one event loop."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        domains: dict[str, int],
        control_vms: list[str],
        seed: int = 0,
        settings: SheetSettings | None = None,
        data_folder: Path | None = None,
        real_log: bool = False,
        claims: ClaimsSettings | None = None,
    ) -> None:
        self.vms = make_vms(domains)
        self.control_vms = [VmId(name) for name in control_vms]
        self.network = create_standin_network(
            [info.vm for info in self.vms], seed
        )
        self.log = SharedLog(seed)
        self.members: dict[VmId, ReplicatedLog] = {}
        self.claims: dict[VmId, ReplicatedClaimService] = {}
        self.stores: dict[VmId, SheetStore] = {}
        self.activated_revisions: dict[VmId, list[Revision]] = {}
        """Revisions activated since the last start of each VM."""
        self._settings = settings or SheetSettings()
        self._data_folder = data_folder
        self._group = group
        self._real_log = real_log
        self._claims_settings = claims or ClaimsSettings()
        self._storages: dict[VmId, LogStorage] = {}
        self._random = random.Random(seed)
        self._cancel_scopes: dict[VmId, anyio.CancelScope] = {}

    def start(self, *names: str) -> None:
        """Start the named VMs, or all VMs without a name."""
        for name in names or [info.vm for info in self.vms]:
            self._start(VmId(name))

    def stop(self, name: str) -> None:
        """Stop a VM as if its process were killed."""
        vm = VmId(name)
        self._cancel_scopes.pop(vm).cancel()
        self.network.leave(vm)
        self.log.members.pop(vm, None)
        self.members.pop(vm, None)
        self.claims.pop(vm, None)
        del self.stores[vm]

    def get_leader(self) -> VmId | None:
        """Return the VM whose real log holds the leader lease."""
        for vm, member in self.members.items():
            if vm in self.control_vms and member.has_leader_lease():
                return vm
        return None

    def get_revision(self, name: str) -> Revision:
        """Return the active revision of a VM."""
        return self.stores[VmId(name)].get_active_sheet().revision

    def get_source(self, name: str) -> VmId | None:
        """Return the VM that a VM polls for the sheet."""
        return self.stores[VmId(name)].dump()["source"]

    async def submit(self, name: str, number: int, content: bytes):
        """Submit a sheet to a VM."""
        return await self.stores[VmId(name)].submit(
            SheetNumber(number), content
        )

    async def wait_for(self, condition) -> float:
        """Wait until the condition holds and return the seconds it took."""
        clock = LoopClock()
        start = clock.monotonic()
        with anyio.fail_after(WAIT_LIMIT_S):
            while not condition():
                await anyio.sleep(0.01)
        return clock.monotonic() - start

    async def wait_until_active(self, revision: int, *names: str) -> float:
        """Wait for a revision on the named VMs, or on all without a name."""
        wanted = names or list(self.stores)
        return await self.wait_for(
            lambda: all(self.get_revision(name) >= revision for name in wanted)
        )

    def _start(self, vm: VmId) -> None:
        peers = self.network.join(vm)
        log = self._create_log(vm, peers)
        folder = None
        if vm in self.control_vms:
            folder = self._data_folder and self._data_folder / vm
        store = create_sheet_store(
            log,
            peers,
            self._settings,
            LoopClock(),
            KnownNames(),
            self.vms,
            self.control_vms,
            folder,
        )
        activated_revisions = self.activated_revisions[vm] = []
        store.subscribe(
            lambda sheet: activated_revisions.append(sheet.revision)
        )
        self.stores[vm] = store
        runs = [store.run]
        if log is not None:
            self.claims[vm] = create_claim_service(
                log,
                self._claims_settings,
                LoopClock(),
                vm,
                len(self.vms),
                vm in self.control_vms,
            )
            runs.append(self.claims[vm].run)
        if self._real_log:
            self.members[vm] = log
            runs.append(log.run)
        elif log is not None:
            log.apply_committed()
        scope = self._cancel_scopes[vm] = anyio.CancelScope()
        self._group.start_soon(self._run_vm, runs, scope)

    def _create_log(
        self, vm: VmId, peers: PeerNetwork
    ) -> ReplicatedLog | None:
        if self._real_log:
            return create_replicated_log(
                ReplicationSettings(),
                peers,
                self._get_storage(vm),
                LoopClock(),
                self.control_vms,
                random.Random(self._random.random()),
            )
        return self.log.add_member(vm) if vm in self.control_vms else None

    def _get_storage(self, vm: VmId) -> LogStorage | None:
        if vm not in self.control_vms:
            return None
        if vm not in self._storages:
            member_id = f"{vm}-life{len(self._storages)}"
            self._storages[vm] = create_memory_storage(member_id)
        return self._storages[vm]

    async def _run_vm(self, runs, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                for run in runs:
                    group.start_soon(run)


def run_cluster(scenario, *arguments, **options) -> None:
    """Run an async scenario with a SheetCluster in virtual time."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            cluster = SheetCluster(group, *arguments, **options)
            await scenario(cluster)
            group.cancel_scope.cancel()
        await cluster.network.close()

    run_in_virtual_time(run)


class ClusterRunner:
    """Nine VMs on the real log, for tests whose steps are synchronous."""

    DOMAINS: ClassVar = {"dublin": 3, "cork": 3, "galway": 3}
    CONTROL_VMS: ClassVar = ["dublin-0", "cork-0", "galway-0"]

    def __init__(self) -> None:
        self.cluster: SheetCluster | None = None
        self._loop = VirtualTimeLoop()
        self._stop = asyncio.Event()
        self._task: asyncio.Task | None = None

    def run(self, coroutine):
        """Run a coroutine on the cluster's event loop until it completes."""
        return self._loop.run_until_complete(coroutine)

    def start(self) -> None:
        """Start all VMs and wait for a leader."""
        self._task = self._loop.create_task(self._run())
        self.run(self._wait_ready())

    def stop(self, name: str) -> None:
        """Stop a VM as if its process were killed."""

        async def stop() -> None:
            self.cluster.stop(name)

        self.run(stop())

    def isolate_domain(self, domain: str) -> None:
        """Partition a failure domain from the others."""
        names = [
            info.vm
            for info in self.cluster.vms
            if info.failure_domain == domain
        ]
        self.cluster.network.isolate(names)

    def close(self) -> None:
        """Stop all VMs."""
        self._stop.set()
        self.run(self._task)
        self._loop.close()

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self.cluster = SheetCluster(
                group,
                self.DOMAINS,
                self.CONTROL_VMS,
                real_log=True,
                claims=ClaimsSettings(attempt_limit_s=60, answer_age_s=60),
            )
            self.cluster.start()
            await self._stop.wait()
            group.cancel_scope.cancel()
        await self.cluster.network.close()

    async def _wait_ready(self) -> None:
        while self.cluster is None:
            await asyncio.sleep(0)
        await self.cluster.wait_for(self.cluster.get_leader)
        await asyncio.sleep(1)
