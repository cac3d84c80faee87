"""Rules of the protocol, each in a situation where it matters."""

import anyio
import pytest

from dotterelbridge.errors import NotCommitted
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.entries import encode_configuration
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import VoteRequest
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import create_memory_storage
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import TIMEOUT
from tests.replication_support import run_group

GROUP_ID = "g1"
VOTERS = ("v0", "v1", "v2")


def _create_command_entry(index, term, text):
    return Entry(index, term, EntryKind.COMMAND, "history", text)


def _prepare_storages(group, entries, ballot):
    """Stop all VMs and give each voter a prepared log."""
    members = tuple(Member(f"{vm}-a", vm, True) for vm in VOTERS)
    configuration = encode_configuration(Configuration(GROUP_ID, members))
    first = Entry(1, 1, EntryKind.CONFIGURATION, "", configuration)
    for vm in VOTERS:
        group.wipe(vm)
        storage = create_memory_storage(f"{vm}-a")
        storage.write_ballot(ballot)
        storage.append([first, *entries.get(vm, [])])
        group.storages[vm] = storage


def _carries_entries(frame):
    """Return whether a frame is an append with entries, or a snapshot."""
    if frame.name == "replication.snapshot":
        return True
    position = AppendRequest.__struct_fields__.index("entries")
    return frame.name == "replication.append" and bool(frame.body[position])


def _get_commit_index(group, vm):
    return group.nodes[vm].log.dump()["commit_index"]


def test_entry_of_an_earlier_term_is_not_committed_by_counting_copies():
    """A majority holds the entry, but the third voter may replace it."""

    async def scenario():
        async with run_group(3) as group:
            old = [_create_command_entry(2, 2, b"old")]
            _prepare_storages(group, {"v0": old, "v1": old}, Ballot(3))
            group.network.frame_filter = lambda source, sink, frame: (
                not _carries_entries(frame)
            )
            for vm in VOTERS:
                group.start(vm)
            await group.wait_until(
                lambda: any(
                    n.log.dump()["leading"] for n in _list_nodes(group)
                )
            )
            await anyio.sleep(10)
            assert max(_get_commit_index(group, vm) for vm in VOTERS) < 2
            group.network.frame_filter = lambda source, sink, frame: True
            assert await group.wait_until_equal() == [b"old"]

    run_in_virtual_time(scenario)


def _list_nodes(group):
    return group.nodes.values()


async def _request_vote(group, network, candidate, term, last):
    request = VoteRequest(
        log_name="main",
        group_id=GROUP_ID,
        recipient_id="v0-a",
        term=term,
        candidate_id=candidate,
        last_index=last[0],
        last_term=last[1],
        pre_vote=False,
        leadership_transfer=False,
    )
    reply = await network.request("v0", request, TIMEOUT)
    return reply.granted


def test_vote_needs_an_up_to_date_log_and_is_granted_once_per_term():
    async def scenario():
        async with run_group(3) as group:
            held = [_create_command_entry(2, 3, b"new")]
            _prepare_storages(group, {"v0": held}, Ballot(3))
            group.start("v0")
            network = group.network.join("spare")
            await anyio.sleep(5)
            longer_but_older = (9, 2)
            assert not await _request_vote(group, network, "v1-a", 50, (1, 1))
            assert not await _request_vote(
                group, network, "v1-a", 51, longer_but_older
            )
            assert await _request_vote(group, network, "v1-a", 52, (2, 3))
            assert await _request_vote(group, network, "v1-a", 52, (2, 3))
            assert not await _request_vote(group, network, "v2-a", 52, (2, 3))
            assert not await _request_vote(group, network, "v2-a", 51, (2, 3))
            assert group.storages["v0"].ballot == Ballot(52, "v1-a")

    run_in_virtual_time(scenario)


def test_restarted_voter_refuses_votes_for_an_election_timeout():
    async def scenario():
        async with run_group(3) as group:
            _prepare_storages(group, {}, Ballot(3))
            group.start("v0")
            network = group.network.join("spare")
            assert not await _request_vote(group, network, "v1-a", 50, (1, 1))
            assert group.storages["v0"].ballot == Ballot(3)
            await anyio.sleep(5)
            assert await _request_vote(group, network, "v1-a", 50, (1, 1))

    run_in_virtual_time(scenario)


def test_learner_is_not_promoted_before_it_holds_all_commits():
    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            await group.propose(leader, b"one")
            wiped = next(vm for vm in group.vms if vm != leader)
            group.network.frame_filter = lambda source, sink, frame: (
                sink != wiped or not _carries_entries(frame)
            )
            group.wipe(wiped)
            node = group.start(wiped)
            log = group.nodes[leader].log
            await group.wait_until(
                lambda: log.configuration.find_member(node.log.member_id)
            )
            await anyio.sleep(30)
            assert not log.configuration.is_voter(node.log.member_id)
            group.network.frame_filter = lambda source, sink, frame: True
            await group.wait_until(group.has_only_current_members)

    run_in_virtual_time(scenario)


def test_learner_from_a_late_join_request_is_removed():
    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            vm = next(vm for vm in group.vms if vm != leader)
            log = group.nodes[leader].log
            await log.add_learner(f"{vm}-earlier", vm)
            await group.wait_until(group.has_only_current_members)

    run_in_virtual_time(scenario)


def test_late_join_request_does_not_remove_the_newer_member():
    """It arrives while the newer member is a learner that still lags."""

    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            wiped = next(vm for vm in group.vms if vm != leader)
            group.wipe(wiped)
            group.network.frame_filter = lambda source, sink, frame: (
                sink != wiped or not _carries_entries(frame)
            )
            node = group.start(wiped)
            log = group.nodes[leader].log
            await group.wait_until(
                lambda: log.configuration.find_member(node.log.member_id)
            )
            await log.add_learner(f"{wiped}-earlier", wiped)
            await anyio.sleep(5)
            assert log.configuration.find_member(node.log.member_id)
            group.network.frame_filter = lambda source, sink, frame: True
            await group.wait_until(group.has_only_current_members)

    run_in_virtual_time(scenario)


def test_learner_unknown_to_a_new_leader_joins_again():
    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            wiped, other = (vm for vm in group.vms if vm != leader)
            group.wipe(wiped)
            group.network.frame_filter = lambda source, sink, frame: (
                sink != other or not _carries_entries(frame)
            )
            node = group.start(wiped)
            await group.wait_until(
                lambda: node.log.configuration.find_member(node.log.member_id)
            )
            last = group.nodes[other].log.dump()["last_index"]
            group.kill(leader)
            group.kill(other)
            storage = group.storages[leader]
            storage.entries = [e for e in storage.entries if e.index <= last]
            await anyio.sleep(10)
            group.network.frame_filter = lambda source, sink, frame: True
            group.start(leader)
            group.start(other)
            await group.wait_until(group.has_only_current_members)

    run_in_virtual_time(scenario)


def test_read_does_not_apply_an_entry_that_the_leader_replaced():
    async def scenario():
        async with run_group(3) as group:
            good = [_create_command_entry(2, 3, b"good")]
            stale = [
                _create_command_entry(index, 2, b"stale")
                for index in (2, 3, 4)
            ]
            _prepare_storages(
                group, {"v0": good, "v1": good, "v2": stale}, Ballot(3)
            )
            group.network.frame_filter = lambda source, sink, frame: (
                sink != "v2" or not _carries_entries(frame)
            )
            for vm in VOTERS:
                group.start(vm)
            await group.wait_leader()
            with pytest.raises(NotCommitted):
                await group.nodes["v2"].log.read_barrier(TIMEOUT)
            assert group.nodes["v2"].machine.commands == []
            group.network.frame_filter = lambda source, sink, frame: True
            assert await group.wait_until_equal() == [b"good"]

    run_in_virtual_time(scenario)


def test_slow_entries_do_not_end_leadership():
    """Entries take longer than the election timeout; heartbeats do not."""

    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            term = group.nodes[leader].log.dump()["term"]
            group.network.frame_filter = lambda source, sink, frame: (
                not _carries_entries(frame)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(group.propose, leader, b"late")
                await anyio.sleep(3)
                assert group.find_leader() == leader
                group.network.frame_filter = lambda source, sink, frame: True
            assert group.nodes[leader].log.dump()["term"] == term
            assert await group.wait_until_equal() == [b"late"]

    run_in_virtual_time(scenario)
