"""What the replicated log says while it finds no leader."""

from datetime import timedelta

import anyio
import pytest
import structlog

from dotterelbridge.errors import NotCommitted
from dotterelbridge.replication.event_limiter import EventLimiter
from dotterelbridge.replication.events import ReplicationEvent
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import run_group


def _find(logs, event):
    return [line for line in logs if line["event"] == event.name.lower()]


def test_elections_without_a_majority_say_who_did_not_answer():
    async def scenario():
        async with run_group(3) as group:
            await group.wait_leader()
            await group.wait_until_equal()
            for vm in group.vms:
                group.kill(vm)
            with structlog.testing.capture_logs() as logs:
                group.start("v0")
                await anyio.sleep(5)
                with pytest.raises(NotCommitted):
                    await group.propose("v0", b"refused", timedelta(seconds=1))
        recovered = _find(logs, ReplicationEvent.STATE_RECOVERED)[0]
        assert set(recovered["voters"].values()) == {"v0", "v1", "v2"}
        assert not recovered["empty"]
        failed = _find(logs, ReplicationEvent.ELECTION_FAILED)
        assert set(failed[0]["unanswered"]) == {"v1", "v2"}
        assert len(failed) <= 4
        refused = _find(logs, ReplicationEvent.LEADER_UNREACHABLE)[0]
        assert refused["silence_s"] >= 5
        assert refused["connected"] == []

    run_in_virtual_time(scenario)


def test_refused_vote_says_that_the_log_of_the_candidate_is_older():
    async def scenario():
        async with run_group(3) as group:
            leader = await group.wait_leader()
            behind, ahead = [vm for vm in group.vms if vm != leader]
            group.kill(behind)
            await group.propose(leader, b"not on the other disk")
            group.kill(leader)
            group.kill(ahead)
            group.network.block_link(ahead, behind)
            with structlog.testing.capture_logs() as logs:
                group.start(behind)
                group.start(ahead)
                await anyio.sleep(5)
        refused = _find(logs, ReplicationEvent.VOTE_REFUSED)
        assert refused[-1]["reason"] == "the candidate's log is older"
        assert refused[-1]["candidate"].startswith(behind)

    run_in_virtual_time(scenario)


def test_repeated_event_is_logged_at_growing_intervals():
    async def scenario():
        limiter = EventLimiter(LoopClock())
        with structlog.testing.capture_logs() as logs:
            for _ in range(6000):
                limiter.log(ReplicationEvent.ELECTION_FAILED, "key")
                await anyio.sleep(0.1)
        assert len(logs) < 20
        counted = sum(line["omitted_before"] + 1 for line in logs)
        assert 5000 < counted <= 6000

    run_in_virtual_time(scenario)
