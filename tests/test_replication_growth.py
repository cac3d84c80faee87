"""A group with losses_tolerated set: it adds and replaces voters."""

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
WAIT_TIMEOUT_S = 60


class SeededGroup:
    """VMs of which the first three form the group; others join it."""

    def __init__(self, tasks, losses) -> None:
        self.network = create_standin_network([f"v{n}" for n in range(8)])
        self.settings = ReplicationSettings(losses_tolerated=losses)
        self.logs = {}
        self.scopes = {}
        self.storages = {}
        self._tasks = tasks
        self._storage_count = 0

    def start(self, vm, initial_voters=()) -> None:
        if vm not in self.storages:
            self._storage_count += 1
            self.storages[vm] = create_memory_storage(
                f"{vm}.{self._storage_count}"
            )
        log = create_log_member(
            self.settings,
            self.network.join(vm),
            self.storages[vm],
            LoopClock(),
            initial_voters,
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
        """Return whether the command is known to be committed."""
        try:
            await self.logs[vm].propose(
                "history", command, timedelta(seconds=2)
            )
        except ReplicationError:
            return False
        return True

    def list_voters(self) -> set[str]:
        """Return the VMs of the voters, as the leader knows them."""
        for log in self.logs.values():
            if log.has_leader_lease():
                return {
                    member.vm for member in log.configuration.list_voters()
                }
        return set()

    async def wait_voters(self, *vms) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while self.list_voters() != set(vms):
                await anyio.sleep(0.05)


def run_scenario(losses, test) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            group = SeededGroup(tasks, losses)
            for vm in SEEDS:
                group.start(vm, SEEDS)
            await group.wait_voters(*SEEDS)
            await test(group)
            await group.network.close()
            tasks.cancel_scope.cancel()
            assert group.network.handler_errors == []

    run_in_virtual_time(main)


def test_group_grows_to_the_voters_that_losses_tolerated_needs():
    async def test(group):
        for vm in ("v3", "v4", "v5"):
            group.start(vm)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while len(group.list_voters()) < 5:
                await anyio.sleep(0.05)
        await anyio.sleep(5)
        assert len(group.list_voters()) == 5

    run_scenario(2, test)


def test_vm_at_another_address_replaces_a_lost_voter():
    async def test(group):
        gone = next(
            vm for vm in SEEDS if not group.logs[vm].has_leader_lease()
        )
        group.kill(gone, lose_disk=True)
        group.start("v3")
        rest = [vm for vm in SEEDS if vm != gone]
        await group.wait_voters(*rest, "v3")

    run_scenario(1, test)


def test_voter_that_restarts_with_no_learner_available_stays_a_voter():
    async def test(group):
        vm = next(vm for vm in SEEDS if not group.logs[vm].has_leader_lease())
        group.kill(vm)
        await anyio.sleep(20)
        assert group.list_voters() == set(SEEDS)
        group.start(vm)
        await group.wait_voters(*SEEDS)

    run_scenario(1, test)


def test_replaced_voter_that_comes_back_joins_as_a_learner():
    async def test(group):
        vm = next(vm for vm in SEEDS if not group.logs[vm].has_leader_lease())
        group.network.isolate([vm])
        group.start("v3")
        rest = [other for other in SEEDS if other != vm]
        await group.wait_voters(*rest, "v3")
        group.network.restore_links()
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while Member(
                member_id=group.logs[vm].member_id, vm=vm, voter=False
            ) not in next(
                log.configuration.members
                for log in group.logs.values()
                if log.has_leader_lease()
            ):
                await anyio.sleep(0.05)

    run_scenario(1, test)


def test_vms_without_initial_voters_form_no_group():
    async def main():
        async with anyio.create_task_group() as tasks:
            group = SeededGroup(tasks, 1)
            for vm in SEEDS:
                group.start(vm)
            await anyio.sleep(30)
            assert not any(
                log.configuration.members for log in group.logs.values()
            )
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def test_member_takes_part_again_after_its_disk_was_full():
    async def main():
        async with anyio.create_task_group() as tasks:
            group = SeededGroup(tasks, 1)
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
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while not await group.propose("v1", b"while full"):
                    await anyio.sleep(0.1)
            await anyio.sleep(3)
            storage.append = working
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while b"while full" not in machine.commands:
                    await anyio.sleep(0.1)
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
