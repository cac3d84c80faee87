"""A group whose VMs are found by seeds: it grows and replaces voters."""

from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import ReplicationError
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.recovering_log import create_recovering_log
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import create_memory_storage
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import HistoryMachine

SEEDS = ("v0", "v1", "v2")
PATIENCE_S = 60


class Seeded:
    """VMs of which the first three found the group; others join."""

    def __init__(self, tasks, losses) -> None:
        self.network = create_standin_network([f"v{n}" for n in range(8)])
        self.settings = ReplicationSettings(losses_tolerated=losses)
        self.logs = {}
        self.scopes = {}
        self.storages = {}
        self._tasks = tasks
        self._lives = 0

    def start(self, vm, founders=()) -> None:
        if vm not in self.storages:
            self._lives += 1
            self.storages[vm] = create_memory_storage(f"{vm}.{self._lives}")
        log = create_log_member(
            self.settings,
            self.network.join(vm),
            self.storages[vm],
            LoopClock(),
            founders,
            random.Random(vm),
            list_seeds=lambda: SEEDS,
        )
        log.add_state_machine("history", HistoryMachine({}))
        self.logs[vm] = log
        self.scopes[vm] = anyio.CancelScope()
        self._tasks.start_soon(self._run, vm)

    async def _run(self, vm) -> None:
        with self.scopes[vm]:
            await self.logs[vm].run()

    def kill(self, vm, lose_disk=False) -> None:
        self.network.leave(vm)
        self.scopes.pop(vm).cancel()
        del self.logs[vm]
        if lose_disk:
            del self.storages[vm]

    async def propose(self, vm, command) -> bool:
        """Return whether a command was certainly committed."""
        try:
            await self.logs[vm].propose(
                "history", command, timedelta(seconds=2)
            )
        except ReplicationError:
            return False
        return True

    def voters(self) -> set[str]:
        """Return the VMs that vote, as the leader knows them."""
        for log in self.logs.values():
            if log.has_leader_lease():
                return {member.vm for member in log.configuration.voters()}
        return set()

    async def wait_voters(self, *vms) -> None:
        with anyio.fail_after(PATIENCE_S):
            while self.voters() != set(vms):
                await anyio.sleep(0.05)


def run(losses, test) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            group = Seeded(tasks, losses)
            for vm in SEEDS:
                group.start(vm, SEEDS)
            await group.wait_voters(*SEEDS)
            await test(group)
            await group.network.close()
            tasks.cancel_scope.cancel()
            assert group.network.failures == []

    run_in_virtual_time(main)


def test_the_group_grows_to_what_the_tolerance_needs():
    async def test(group):
        for vm in ("v3", "v4", "v5"):
            group.start(vm)
        with anyio.fail_after(PATIENCE_S):
            while len(group.voters()) < 5:
                await anyio.sleep(0.05)
        await anyio.sleep(5)
        assert len(group.voters()) == 5

    run(2, test)


def test_a_vm_at_another_address_takes_the_place_of_one_that_is_gone():
    async def test(group):
        gone = next(
            vm for vm in SEEDS if not group.logs[vm].has_leader_lease()
        )
        group.kill(gone, lose_disk=True)
        group.start("v3")
        rest = [vm for vm in SEEDS if vm != gone]
        await group.wait_voters(*rest, "v3")

    run(1, test)


def test_a_voter_that_restarts_alone_keeps_its_place():
    async def test(group):
        vm = next(vm for vm in SEEDS if not group.logs[vm].has_leader_lease())
        group.kill(vm)
        await anyio.sleep(20)
        assert group.voters() == set(SEEDS)
        group.start(vm)
        await group.wait_voters(*SEEDS)

    run(1, test)


def test_a_replaced_voter_that_comes_back_joins_as_a_learner():
    async def test(group):
        vm = next(vm for vm in SEEDS if not group.logs[vm].has_leader_lease())
        group.network.isolate([vm])
        group.start("v3")
        rest = [other for other in SEEDS if other != vm]
        await group.wait_voters(*rest, "v3")
        group.network.heal()
        with anyio.fail_after(PATIENCE_S):
            while Member(
                member=group.logs[vm].member, vm=vm, voter=False
            ) not in next(
                log.configuration.members
                for log in group.logs.values()
                if log.has_leader_lease()
            ):
                await anyio.sleep(0.05)

    run(1, test)


def test_an_empty_vm_without_bootstrap_founds_nothing():
    async def main():
        async with anyio.create_task_group() as tasks:
            group = Seeded(tasks, 1)
            for vm in SEEDS:
                group.start(vm)
            await anyio.sleep(30)
            assert not any(
                log.configuration.members for log in group.logs.values()
            )
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def test_a_member_whose_disk_was_full_takes_part_again():
    async def main():
        async with anyio.create_task_group() as tasks:
            group = Seeded(tasks, 1)
            for vm in SEEDS[1:]:
                group.start(vm, SEEDS)
            storage = create_memory_storage("v0.1")
            machine = HistoryMachine({})

            def create_member():
                return create_log_member(
                    group.settings,
                    group.network.join("v0"),
                    storage,
                    LoopClock(),
                    SEEDS,
                    random.Random(1),
                )

            log = create_recovering_log(create_member, LoopClock())
            log.add_state_machine("history", machine)
            tasks.start_soon(log.run)
            group.logs["v0"] = log
            await group.wait_voters(*SEEDS)

            def refuse(entries):
                raise OSError(28, "No space left on device")

            storage.append, working = refuse, storage.append
            with anyio.fail_after(PATIENCE_S):
                while not await group.propose("v1", b"while full"):
                    await anyio.sleep(0.1)
            await anyio.sleep(3)
            storage.append = working
            with anyio.fail_after(PATIENCE_S):
                while b"while full" not in machine.commands:
                    await anyio.sleep(0.1)
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
