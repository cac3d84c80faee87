"""Sheets and claims on several VMs over the in-memory network.

The log is the real one, or for speed a shared list of commands.
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

GENEROUS_S = 120


def make_csv(*names: str, version: int = 1) -> bytes:
    """Return a sheet with a model of each name."""
    lines = [
        f"model,liffeyside,{name},{version},,100,,,,dublin,yes"
        for name in names
    ]
    return "\n".join((",".join(COLUMNS), *lines)).encode()


def make_vms(domains: dict[str, int]) -> list[VmInfo]:
    """Return VMs DOMAIN-N for each failure domain."""
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
    """Runs stores on one event loop and restarts them."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        domains: dict[str, int],
        holders: list[str],
        seed: int = 0,
        settings: SheetSettings | None = None,
        data_folder: Path | None = None,
        real_log: bool = False,
        claims: ClaimsSettings | None = None,
    ) -> None:
        self.vms = make_vms(domains)
        self.holders = [VmId(name) for name in holders]
        self.network = create_standin_network(
            [info.vm for info in self.vms], seed
        )
        self.log = SharedLog(seed)
        self.members: dict[VmId, ReplicatedLog] = {}
        self.claims: dict[VmId, ReplicatedClaimService] = {}
        self.stores: dict[VmId, SheetStore] = {}
        self.seen: dict[VmId, list[Revision]] = {}
        """Revisions that came into force in the present life of a VM."""
        self._settings = settings or SheetSettings()
        self._data_folder = data_folder
        self._group = group
        self._real_log = real_log
        self._claims_settings = claims or ClaimsSettings()
        self._storages: dict[VmId, LogStorage] = {}
        self._random = random.Random(seed)
        self._lives: dict[VmId, anyio.CancelScope] = {}

    def start(self, *names: str) -> None:
        """Start the named VMs; all without a name."""
        for name in names or [info.vm for info in self.vms]:
            self._start(VmId(name))

    def stop(self, name: str) -> None:
        """End a VM as if its process were killed."""
        vm = VmId(name)
        self._lives.pop(vm).cancel()
        self.network.leave(vm)
        self.log.members.pop(vm, None)
        self.members.pop(vm, None)
        self.claims.pop(vm, None)
        del self.stores[vm]

    def leader(self) -> VmId | None:
        """Return the VM whose real log leads with a lease."""
        for vm, member in self.members.items():
            if vm in self.holders and member.has_leader_lease():
                return vm
        return None

    def revision(self, name: str) -> Revision:
        """Return the revision in force on a VM."""
        return self.stores[VmId(name)].get_active_sheet().revision

    def source(self, name: str) -> VmId | None:
        """Return the VM that feeds a VM."""
        return self.stores[VmId(name)].dump()["source"]

    async def submit(self, name: str, number: int, content: bytes):
        """Submit a sheet at a VM."""
        return await self.stores[VmId(name)].submit(
            SheetNumber(number), content
        )

    async def wait_for(self, condition) -> float:
        """Wait until the condition holds; returns the seconds it took."""
        clock = LoopClock()
        start = clock.monotonic()
        with anyio.fail_after(GENEROUS_S):
            while not condition():
                await anyio.sleep(0.01)
        return clock.monotonic() - start

    async def wait_in_force(self, revision: int, *names: str) -> float:
        """Wait for a revision on the named VMs; on all without a name."""
        wanted = names or list(self.stores)
        return await self.wait_for(
            lambda: all(self.revision(name) >= revision for name in wanted)
        )

    def _start(self, vm: VmId) -> None:
        peers = self.network.join(vm)
        log = self._create_log(vm, peers)
        folder = None
        if vm in self.holders:
            folder = self._data_folder and self._data_folder / vm
        store = create_sheet_store(
            log,
            peers,
            self._settings,
            LoopClock(),
            KnownNames(),
            self.vms,
            self.holders,
            folder,
        )
        seen = self.seen[vm] = []
        store.subscribe(lambda sheet: seen.append(sheet.revision))
        self.stores[vm] = store
        runs = [store.run]
        if log is not None:
            self.claims[vm] = create_claim_service(
                log,
                self._claims_settings,
                LoopClock(),
                vm,
                len(self.vms),
                vm in self.holders,
            )
            runs.append(self.claims[vm].run)
        if self._real_log:
            self.members[vm] = log
            runs.append(log.run)
        elif log is not None:
            log.apply_committed()
        scope = self._lives[vm] = anyio.CancelScope()
        self._group.start_soon(self._live, runs, scope)

    def _create_log(
        self, vm: VmId, peers: PeerNetwork
    ) -> ReplicatedLog | None:
        if self._real_log:
            return create_replicated_log(
                ReplicationSettings(),
                peers,
                self._find_storage(vm),
                LoopClock(),
                self.holders,
                random.Random(self._random.random()),
            )
        return self.log.add_member(vm) if vm in self.holders else None

    def _find_storage(self, vm: VmId) -> LogStorage | None:
        if vm not in self.holders:
            return None
        if vm not in self._storages:
            life = f"{vm}-life{len(self._storages)}"
            self._storages[vm] = create_memory_storage(life)
        return self._storages[vm]

    async def _live(self, runs, scope: anyio.CancelScope) -> None:
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
    HOLDERS: ClassVar = ["dublin-0", "cork-0", "galway-0"]

    def __init__(self) -> None:
        self.cluster: SheetCluster | None = None
        self._loop = VirtualTimeLoop()
        self._stop = asyncio.Event()
        self._task: asyncio.Task | None = None

    def do(self, coroutine):
        """Run a coroutine on the cluster's loop to its end."""
        return self._loop.run_until_complete(coroutine)

    def start(self) -> None:
        """Start all VMs and wait for a leader."""
        self._task = self._loop.create_task(self._run())
        self.do(self._wait_ready())

    def stop(self, name: str) -> None:
        """End a VM as if its process were killed."""

        async def stop() -> None:
            self.cluster.stop(name)

        self.do(stop())

    def cut_off(self, domain: str) -> None:
        """Cut a failure domain off from the others."""
        names = [
            info.vm
            for info in self.cluster.vms
            if info.failure_domain == domain
        ]
        self.cluster.network.isolate(names)

    def close(self) -> None:
        """End all VMs."""
        self._stop.set()
        self.do(self._task)
        self._loop.close()

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self.cluster = SheetCluster(
                group,
                self.DOMAINS,
                self.HOLDERS,
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
        await self.cluster.wait_for(self.cluster.leader)
        await asyncio.sleep(1)
