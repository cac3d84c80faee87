"""Which members of a group of control VMs count, with faults on the way."""

import anyio

from tests.control_group_scenario import VMS
from tests.control_group_scenario import find_follower
from tests.control_group_scenario import list_member_vms
from tests.control_group_scenario import propose
from tests.control_group_scenario import run_scenario
from tests.control_group_scenario import wait_for_any_read
from tests.control_group_scenario import wait_until


# Guards against a learner that is gone and is promoted in place of a silent
# voter, because nothing was committed since it was last heard.
def test_learner_that_is_gone_is_not_promoted():
    async def test(group):
        group.start(VMS[3], VMS[:3])
        await wait_until(lambda: VMS[3] in list_member_vms(group))
        await propose(group, b"before")
        await anyio.sleep(2)
        group.stop(VMS[3])
        await anyio.sleep(1)
        vm = find_follower(group)
        group.stop(vm, lose_disk=True)
        await anyio.sleep(5)
        group.start(vm, VMS[:3])
        await wait_for_any_read(group, b"before")

    run_scenario(test)


# Guards against the same within the tolerated losses: a learner is gone for
# good, and later one voter is down for long.
def test_one_voter_may_be_down_after_a_learner_is_gone():
    async def test(group):
        for vm in VMS[3:5]:
            group.start(vm, VMS[:3])
            await wait_until(lambda vm=vm: vm in list_member_vms(group))
        await propose(group, b"before")
        await anyio.sleep(2)
        group.stop(VMS[3], lose_disk=True)
        await anyio.sleep(5)
        group.stop(find_follower(group))
        await anyio.sleep(6)
        await wait_for_any_read(group, b"before")

    run_scenario(test)
