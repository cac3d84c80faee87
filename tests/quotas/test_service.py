"""How control VMs pass requests for credit on to the leader."""

from datetime import timedelta
import random

import anyio
import msgspec

from dotterelbridge.ids import VmId
from dotterelbridge.quotas.messages import CreditNeed
from dotterelbridge.quotas.messages import CreditRequest
from dotterelbridge.quotas.messages import TeamDemand
from dotterelbridge.quotas.service import CreditService
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
            random.Random(1),
            SETTINGS,
            activate_route_set(route_set),
            lambda: self.term_by_vm.get(vm),
            lambda: self.leader_by_vm[vm],
            lambda: 1.0,
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
                [create_demand(ahead=2)],
                [create_demand(ahead=3)],
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


def test_request_without_a_leader_is_answered_as_unavailable():
    async def check(harness):
        harness.leader_by_vm[RELAY] = None
        assert not (await harness.ask(create_demand(1))).is_available
        harness.leader_by_vm[RELAY] = LEADER
        harness.network.isolate([LEADER])
        assert not (await harness.ask(create_demand(1))).is_available
        harness.network.restore_links()
        assert (await harness.ask(create_demand(1))).is_available

    run_service(check)


# Two control VMs that each take the other for the leader must not pass a
# request back and forth.
def test_two_vms_that_name_each_other_refuse():
    async def check(harness):
        harness.term_by_vm.clear()
        harness.leader_by_vm[LEADER] = RELAY
        assert not (await harness.ask(create_demand(1))).is_available

    run_service(check)


# What the last leader issued may still be used when the next one starts.
def test_new_term_starts_with_a_part_of_the_bucket():
    async def check(harness):
        harness.term_by_vm[LEADER] = 2
        (credit,) = (await harness.ask(create_demand(50))).credits
        assert credit.waits_ms[0] < 0

    run_service(check)
