"""Control VMs that find each other through seeds and their links."""

import anyio

from dotterelbridge.errors import ReplicationError
from tests.control_group_scenario import VMS as ALL_VMS
from tests.control_group_scenario import propose
from tests.control_group_scenario import run_scenario

VMS = ALL_VMS[:3]
NEW_VM = "10.0.0.4:7380"
GONE_VMS = ("10.0.0.8:7380", "10.0.0.9:7380")
WAIT_TIMEOUT_S = 20


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
