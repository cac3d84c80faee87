"""Control VMs that find each other through seeds and their links."""

from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import ReplicationError
from dotterelbridge.replication.settings import ReplicationSettings
from standins.virtual_time import run_in_virtual_time
from tests.control_group import ControlGroup
from tests.control_group import LinkedNetwork

VMS = tuple(f"10.0.0.{number}:7380" for number in (1, 2, 3))
NEW_VM = "10.0.0.4:7380"
GONE_VMS = ("10.0.0.8:7380", "10.0.0.9:7380")
WAIT_TIMEOUT_S = 20


def run_scenario(test, losses=1) -> None:
    """Run a test with a group of three voters that has a leader."""

    async def main():
        async with anyio.create_task_group() as tasks:
            group = ControlGroup(
                tasks,
                ReplicationSettings(losses_tolerated=losses),
                LinkedNetwork(0, (0.001, 0.002)),
                random.Random(0),
            )
            for vm in VMS:
                group.start(vm, VMS, bootstrap=True)
            await wait_until(lambda: group.list_voters() == set(VMS))
            await test(group)
            await group.network.close()
            tasks.cancel_scope.cancel()
            assert group.network.handler_errors == []

    run_in_virtual_time(main)


async def wait_until(condition) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.05)


async def wait_for_read(group, vm, command) -> None:
    """Wait until a read through a VM finds the command."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            try:
                assert command in await group.read(vm, 0.9)
            except ReplicationError:
                await anyio.sleep(0.1)
            else:
                return


async def propose(group, command) -> None:
    log = group.nodes[group.find_leader()].log
    await log.propose("history", command, timedelta(seconds=2))


# Guards against a VM that never joins, because its seeds do not name the
# leader: it stayed empty, and the VM that it replaced stayed a voter.
def test_vm_joins_through_seeds_that_do_not_lead():
    async def test(group):
        await propose(group, b"before")
        followers = [vm for vm in VMS if vm != group.find_leader()]
        group.start(NEW_VM, followers)
        await wait_for_read(group, NEW_VM, b"before")

    run_scenario(test)


# Guards against a VM that lost its disk and never joins again, because its
# seeds are gone, although members of the group are linked to it.
def test_vm_that_lost_its_disk_joins_through_members_that_contact_it():
    async def test(group):
        await propose(group, b"before")
        vm = next(vm for vm in VMS if vm != group.find_leader())
        group.stop(vm, lose_disk=True)
        group.start(vm, GONE_VMS)
        await wait_for_read(group, vm, b"before")

    run_scenario(test)


# Guards against a new VM that never joins, because the only seed that exists
# has lost its disk as well.
def test_vm_joins_through_a_seed_that_lost_its_disk():
    async def test(group):
        await propose(group, b"before")
        seed = next(vm for vm in VMS if vm != group.find_leader())
        group.stop(seed, lose_disk=True)
        group.start(NEW_VM, (seed, *GONE_VMS))
        group.start(seed, (NEW_VM, *GONE_VMS))
        await wait_for_read(group, NEW_VM, b"before")

    run_scenario(test)
