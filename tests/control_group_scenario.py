"""Runs a test with a group of control VMs that has a leader."""

import contextlib
from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import ReplicationError
from dotterelbridge.replication.settings import ReplicationSettings
from standins.virtual_time import run_in_virtual_time
from tests.control_group import ControlGroup
from tests.control_group import LinkedNetwork

VMS = tuple(f"10.0.0.{number}:7380" for number in range(1, 8))
"""The first ones are the voters at the start."""
LATENCY_S = (0.001, 0.002)


def run_scenario(test, count=3, losses=1, seed=0, latency_s=LATENCY_S) -> None:
    """Run a test in virtual time with a group of ``count`` voters."""

    async def main():
        async with anyio.create_task_group() as tasks:
            group = create_group(tasks, losses, seed, latency_s)
            voters = VMS[:count]
            for vm in voters:
                group.start(vm, voters, bootstrap=True)
            await wait_until(lambda: group.list_voters() == set(voters))
            await test(group)
            await group.network.close()
            tasks.cancel_scope.cancel()
            assert group.network.handler_errors == []

    run_in_virtual_time(main)


def create_group(tasks, losses=1, seed=0, latency_s=LATENCY_S) -> ControlGroup:
    """Return a group without VMs."""
    return ControlGroup(
        tasks,
        ReplicationSettings(losses_tolerated=losses),
        LinkedNetwork(seed, latency_s),
        random.Random(seed),
    )


async def wait_until(condition, limit_s=20, step_s=0.05) -> None:
    """Wait until the condition holds."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(step_s)


async def wait_for_any_read(group, command, limit_s=20) -> None:
    """Wait until a read through any VM finds the command."""
    with anyio.fail_after(limit_s):
        while True:
            for vm in list(group.nodes):
                try:
                    assert command in await group.read(vm, 0.9)
                    return
                except ReplicationError:
                    await anyio.sleep(0.1)


async def propose(group, command) -> None:
    """Have the leader commit a command."""
    log = group.nodes[group.find_leader()].log
    await log.propose("history", command, timedelta(seconds=2))


async def propose_all_the_time(group) -> None:
    """Have the leaders commit commands until cancelled."""
    while True:
        with contextlib.suppress(ReplicationError, KeyError):
            await propose(group, b"load")
        await anyio.sleep(0.002)


def list_members(group) -> list:
    """Return the members, as the leader knows them."""
    leader = group.find_leader()
    if leader is None:
        return []
    return list(group.nodes[leader].log.configuration.members)


def list_member_vms(group) -> set[str]:
    """Return the VMs of voters and learners."""
    return {member.vm for member in list_members(group)}


def list_voter_ids(group) -> set[str]:
    """Return the member ids of the voters."""
    return {m.member_id for m in list_members(group) if m.voter}


async def wait_for_voter_change(group) -> None:
    """Wait until the leader appends a change of the voters."""
    voters = list_voter_ids(group)
    await wait_until(lambda: list_voter_ids(group) != voters, step_s=0.0005)


def find_follower(group) -> str:
    """Return a voter that does not lead."""
    leader = group.find_leader()
    return min(vm for vm in group.list_voters() if vm != leader)
