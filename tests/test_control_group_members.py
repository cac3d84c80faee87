"""Which members of a group of control VMs count, with faults on the way."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.errors import ReplicationError
from tests.control_group_scenario import VMS
from tests.control_group_scenario import find_follower
from tests.control_group_scenario import list_member_vms
from tests.control_group_scenario import list_members
from tests.control_group_scenario import list_voter_ids
from tests.control_group_scenario import propose
from tests.control_group_scenario import propose_all_the_time
from tests.control_group_scenario import run_scenario
from tests.control_group_scenario import wait_for_any_read
from tests.control_group_scenario import wait_for_voter_change
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


# Guards against a VM that stops a group of three for good, because it loses
# its disk a second time while its former and its new member both count.
@pytest.mark.parametrize("changes", [1, 2])
def test_vm_may_lose_its_disk_again_while_it_is_replaced(changes):
    async def test(group):
        await propose(group, b"before")
        vm = find_follower(group)
        group.stop(vm, lose_disk=True)
        group.start(vm, VMS[:3])
        for _ in range(changes):
            await wait_for_voter_change(group)
        group.stop(vm, lose_disk=True)
        group.start(vm, VMS[:3])
        await anyio.sleep(3)
        await wait_for_any_read(group, b"before")

    run_scenario(test)


# Guards against the same in a group of five that lost two disks.
def test_one_of_two_lost_disks_may_be_lost_again():
    async def test(group):
        await propose(group, b"before")
        leader = group.find_leader()
        first, second = [vm for vm in VMS[:5] if vm != leader][:2]
        group.stop(first, lose_disk=True)
        group.stop(second, lose_disk=True)
        group.start(first, VMS[:5])
        await wait_for_voter_change(group)
        group.stop(first, lose_disk=True)
        await anyio.sleep(2)
        group.start(first, VMS[:5])
        group.start(second, VMS[:5])
        await anyio.sleep(3)
        await wait_for_any_read(group, b"before")

    run_scenario(test, count=5, losses=2)


# Guards against the same with a learner that replaces a silent voter on
# another VM, and is lost at once.
def test_successor_of_a_silent_voter_may_be_lost_at_once():
    async def test(group):
        await propose(group, b"before")
        group.stop(find_follower(group), lose_disk=True, power_loss=True)
        group.start(VMS[3], VMS[:3])
        await wait_for_voter_change(group)
        group.stop(VMS[3], lose_disk=True)
        await anyio.sleep(3)
        await wait_for_any_read(group, b"before")

    run_scenario(test)


# Guards against a VM that keeps its vote lost, because a leader that knows no
# initial voters took it from its former member.
def test_replaced_member_gets_its_vote_from_any_leader():
    async def test(group):
        for vm in VMS[:3]:
            group.stop(vm)
        for vm in VMS[:3]:
            group.start(vm, VMS[:3])
        await wait_until(group.find_leader)
        vm = find_follower(group)
        group.stop(vm, lose_disk=True)
        member_id = group.start(vm, VMS[:3]).log.member_id
        await wait_until(
            lambda: (
                len(list_members(group)) == 3
                and member_id in list_voter_ids(group)
            )
        )

    run_scenario(test, losses=0)


# Guards against a leader that was replaced and still counts when its successor
# has had 4 s to catch up, so that the next loss leaves no majority.
@pytest.mark.parametrize("seed", [1, 5])
def test_next_voter_may_be_lost_after_a_leader_was_replaced(seed):
    async def test(group):
        await propose(group, b"before")
        leader = group.find_leader()
        others = [vm for vm in VMS[:3] if vm != leader]
        await anyio.sleep(1)
        group.stop(leader, lose_disk=True, power_loss=True)
        group.start(VMS[3], others)
        await anyio.sleep(4)
        vm = next(vm for vm in others if vm != group.find_leader())
        group.stop(vm, lose_disk=True)
        group.start(vm, VMS[:3])
        await anyio.sleep(3)
        await wait_for_any_read(group, b"before")

    run_scenario(test, seed=seed, latency_s=(0.002, 0.012))


# Guards against a voter that is gone and counts for as long as leaders change
# within silent_voter_ms.
def test_gone_voter_is_replaced_while_leaders_change():
    async def test(group):
        gone = find_follower(group)
        group.stop(gone, lose_disk=True)
        group.start(VMS[3], VMS[:3])
        for _ in range(4):
            await anyio.sleep(2.5)
            log = group.nodes[group.find_leader()].log
            await log.transfer_leadership(timedelta(seconds=1))
            await wait_until(group.find_leader, step_s=0.01)
        assert group.list_voters() == {*VMS[:4]} - {gone}

    run_scenario(test)


# Guards against members that stay listed for VMs that are gone for good, each
# of which costs messages, dialling and links.
def test_learners_that_are_gone_are_removed():
    async def test(group):
        for vm in VMS[3:5]:
            group.start(vm, VMS[:3])
            await wait_until(lambda vm=vm: vm in list_member_vms(group))
            group.stop(vm, lose_disk=True, power_loss=True)
        await wait_until(lambda: list_member_vms(group) == set(VMS[:3]))

    run_scenario(test)


# Guards against a learner that stays out after it was away for long.
def test_removed_learner_joins_again_when_it_is_back():
    async def test(group):
        group.start(VMS[3], VMS[:3])
        await wait_until(lambda: VMS[3] in list_member_vms(group))
        await propose(group, b"before")
        group.network.isolate([VMS[3]])
        await wait_until(lambda: VMS[3] not in list_member_vms(group))
        group.network.restore_links()
        await wait_until(lambda: VMS[3] in list_member_vms(group))

    run_scenario(test)


# Guards against ended members that stay listed, because requests to join in
# their name arrive late.
def test_late_request_to_join_leaves_no_ended_member():
    async def test(group):
        vm = find_follower(group)
        ended_id = group.nodes[vm].log.member_id
        group.stop(vm, lose_disk=True, power_loss=True)
        group.start(VMS[3], VMS[:3])
        expected = {*VMS[:4]} - {vm}
        await wait_until(lambda: list_member_vms(group) == expected)
        leader = group.nodes[group.find_leader()].log
        await leader.add_learner(ended_id, vm)
        await wait_until(lambda: list_member_vms(group) == expected)

    run_scenario(test)


# Guards against a leader that stops and hands over to a voter that is gone, so
# that the group waits for an election timeout.
def test_leader_that_stops_hands_over_to_a_voter_that_answers():
    async def test(group):
        await propose(group, b"before")
        await anyio.sleep(1)
        leader = group.find_leader()
        group.stop(next(vm for vm in VMS[:5] if vm != leader))
        await anyio.sleep(2)
        await group.nodes[leader].log.transfer_leadership(timedelta(seconds=2))
        await wait_until(lambda: group.find_leader() not in (None, leader))

    run_scenario(test, count=5, losses=2)


# Guards against a learner that is never promoted while commands are committed
# all the time, because its replies take longer than those of the voters.
@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.06])
def test_slow_learner_replaces_a_silent_voter_under_load(delay_s):
    async def test(group):
        for vm in VMS[:3]:
            group.network.set_latency_s(vm, VMS[3], 0.002 + delay_s)
        gone = find_follower(group)
        group.stop(gone, lose_disk=True, power_loss=True)
        group.start(VMS[3], VMS[:3])
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(propose_all_the_time, group)
            await wait_until(
                lambda: group.list_voters() == {*VMS[:4]} - {gone}
            )
            tasks.cancel_scope.cancel()

    run_scenario(test)


# Guards against a VM that keeps its disk, comes back at another address and
# is never reached there.
def test_vm_that_moved_to_another_address_is_reached():
    async def test(group):
        old_vm = find_follower(group)
        storage = group.storages[old_vm]
        group.stop(old_vm)
        group.storages[VMS[3]] = storage
        group.start(VMS[3], VMS[:3])
        await anyio.sleep(2)
        await propose(group, b"after")
        with anyio.fail_after(20):
            while True:
                try:
                    assert b"after" in await group.read(VMS[3], 0.9)
                    return
                except ReplicationError:
                    await anyio.sleep(0.1)

    run_scenario(test)
