"""How control VMs pass requests for credit on to the leader."""

from datetime import timedelta
import random

import anyio
import msgspec
import pytest

from dotterelbridge.ids import VmId
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.service import CreditService
from dotterelbridge.quotas.standby import STANDBY_LIMIT_S
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.quotas.support import SETTINGS
from tests.quotas.support import create_team
from tests.routes.support import activate_route_set
from tests.routes.support import create_route_set

LEADER, RELAY, ENTRY = VmId("leader"), VmId("relay"), VmId("entry")
TEAM = create_team()
OTHER_TEAM = create_team(name="b")
TIMEOUT = timedelta(seconds=1)


class Harness:
    """A leader, a control VM that passes requests on, and an entry VM."""

    def __init__(self) -> None:
        self.network = create_standin_network([LEADER, RELAY, ENTRY])
        self.leader_by_vm = {LEADER: LEADER, RELAY: LEADER}
        self.term_by_vm = {LEADER: 1}
        self.services = [self._create_service(vm) for vm in (LEADER, RELAY)]
        self.entry = self.network.join(ENTRY)

    def _create_service(self, vm):
        route_set = msgspec.structs.replace(
            create_route_set(), teams=(TEAM, OTHER_TEAM)
        )
        return CreditService(
            self.network.join(vm),
            LoopClock(),
            SETTINGS,
            activate_route_set(route_set),
            lambda: self.term_by_vm.get(vm),
            lambda: self.leader_by_vm[vm],
            lambda: 0.5,
            random.Random(1),
        )

    async def ask(self, *demands, replies=None):
        request = CreditRequest(demands=demands)
        reply = await self.entry.request(RELAY, request, TIMEOUT)
        if replies is not None:
            replies.append(reply)
        return reply


def run_service(check):
    async def run():
        harness = Harness()
        async with anyio.create_task_group() as group:
            for service in harness.services:
                group.start_soon(service.run)
            await anyio.sleep(5)
            await check(harness)
            group.cancel_scope.cancel()
        await harness.network.close()
        assert not harness.network.handler_errors

    run_in_virtual_time(run)


def create_demand(*units, team=TEAM, ahead=0.0):
    needs = tuple(CreditNeed(number, 0) for number in units)
    return TeamDemand(team.name, needs, ahead)


# Answers that reach the wrong VM would let it use credit of another.
def test_merged_requests_get_their_own_answers():
    async def check(harness):
        replies = []
        async with anyio.create_task_group() as group:
            for demands in (
                [create_demand(10, 500)],
                [create_demand(20, team=OTHER_TEAM)],
                [create_demand(30), create_demand(500, team=OTHER_TEAM)],
                [create_demand(ahead=4)],
                [create_demand(ahead=8)],
            ):

                async def ask(demands=demands):
                    replies.append((demands, await harness.ask(*demands)))

                group.start_soon(ask)
        for demands, reply in replies:
            assert len(reply.credits) == len(demands)
            for demand, credit in zip(demands, reply.credits, strict=True):
                assert credit.team == demand.team
                assert [wait >= 0 for wait in credit.waits_ms] == [
                    need.units < 500 for need in demand.needs
                ]
                assert credit.ahead_units == demand.ahead_units

    run_service(check)


# The load of the leader would otherwise follow the number of entry VMs.
def test_requests_of_many_vms_go_to_the_leader_in_few_messages():
    async def check(harness):
        counts = []
        harness.network.frame_filter = lambda source, destination, frame: (
            counts.append(destination) or True
        )
        async with anyio.create_task_group() as group:
            for _ in range(100):
                group.start_soon(harness.ask, create_demand(1))
        assert counts.count(RELAY) >= 100
        assert counts.count(LEADER) <= 3

    run_service(check)


async def ask_for_all(harness, seconds):
    """Ask again and again; return the units that were granted."""
    granted = 0
    for _ in range(int(seconds / 0.05)):
        reply = await harness.ask(create_demand(2))
        if reply.is_available:
            granted += 2 * (reply.credits[0].waits_ms[0] >= 0)
        await anyio.sleep(0.05)
    return granted


# An election must not refuse what lies beneath a quota, nor let more pass
# than this VM's part of it.
@pytest.mark.parametrize("loss", ["unknown", "isolated", "disputed"])
def test_control_vm_issues_its_part_until_there_is_a_leader(loss):
    async def check(harness):
        if loss == "unknown":
            harness.leader_by_vm[RELAY] = None
        elif loss == "isolated":
            harness.network.isolate([LEADER])
        else:
            harness.term_by_vm.clear()
            harness.leader_by_vm[LEADER] = RELAY
        granted = await ask_for_all(harness, STANDBY_LIMIT_S)
        tolerated = (8 * 100 + 100) * 0.1
        rate_s = 0.8 * 1.2 + 0.3 * (STANDBY_LIMIT_S - 1.2)
        part = (100 * rate_s + tolerated * 0.125) / 2
        assert 0.5 * part <= granted <= part + 10
        assert not (await harness.ask(create_demand(1))).is_available

    run_service(check)


# What was issued without a leader counts for the next one.
def test_leader_learns_what_was_issued_without_it():
    async def check(harness):
        await harness.ask(create_demand(1))
        before = harness.services[0].dump()["buckets"]["a"]["level"]
        harness.network.isolate([LEADER])
        granted = await ask_for_all(harness, 1)
        harness.network.restore_links()
        await anyio.sleep(0.2)
        assert (await harness.ask(create_demand(1))).is_available
        after = harness.services[0].dump()["buckets"]["a"]
        assert granted > 0
        assert after["level"] < before or after["level"] < after["capacity"]
        assert after["issued_in_window"] >= granted

    run_service(check)


# What the last leader issued may still be used when the next one starts.
def test_new_term_starts_with_a_part_of_the_bucket():
    async def check(harness):
        harness.term_by_vm[LEADER] = 2
        (credit,) = (await harness.ask(create_demand(50))).credits
        assert credit.waits_ms[0] < 0

    run_service(check)
