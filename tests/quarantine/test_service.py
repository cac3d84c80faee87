"""VMs that are linked with the voters share evidence and quarantine."""

import random

import anyio
import pytest

from dotterelbridge.ids import Term
from dotterelbridge.quarantine.guard import CrashGuard
from dotterelbridge.quarantine.keeper import QuarantineKeeper
from dotterelbridge.quarantine.leader_link import PeerLeaderLink
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quarantine.service import QuarantineService
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.quarantine.traits import create_request_trait
from dotterelbridge.replication.contact import LeaderContact
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.quarantine.test_quarantine_keeper import FakeLog

REQUEST = create_request_trait("bad")
SETTINGS = QuarantineSettings()
VOTERS = ("v0", "v1", "v2")


class Vm:
    """A VM of a group; voters hold the log, others only report."""

    def __init__(self, group, name) -> None:
        clock = LoopClock()
        rng = random.Random(name)
        network = group.network.join(name)
        self.led_term: Term | None = None
        self.known_leader: str | None = None
        self.quarantine = Quarantine(name, SETTINGS, clock)
        self.service = QuarantineService(
            network,
            group.table,
            clock,
            lambda: self.led_term,
            lambda: self.known_leader,
            self._apply,
        )
        if name in VOTERS:
            self.service.keeper = QuarantineKeeper(
                group.log,
                group.table,
                SETTINGS,
                clock,
                rng,
                lambda: self.led_term is not None,
                lambda: list(group.vms),
                self.service.publish_watched,
                self.service.share_evidence,
            )
        contact = LeaderContact(
            network, lambda: self.known_leader, VOTERS, rng
        )
        link = PeerLeaderLink(network, self.service, contact, clock)
        self.guard = CrashGuard(self.quarantine, link, SETTINGS, clock)
        self.clock = clock

    def _apply(self, snapshot, watched) -> None:
        self.quarantine.activate(snapshot)
        self.guard.set_watched(watched)

    def crash(self, target, *traits) -> None:
        now = self.clock.monotonic()
        self.guard.record_closed_attempt((target, 0), traits, now, None)
        self.guard.record_crash((target, 0))

    def is_blocked(self, trait) -> bool:
        return bool(self.guard.find_blocked(lambda: (trait,)))


class Group:
    """Three voters and two VMs without the log."""

    def __init__(self, tasks) -> None:
        names = (*VOTERS, "w0", "w1")
        self.network = create_standin_network(names)
        self.table = QuarantineTable()
        self.log = FakeLog(self.table)
        self.vms = {name: Vm(self, name) for name in names}
        self.elect("v0", 1)
        for vm in self.vms.values():
            tasks.start_soon(vm.service.run)
            tasks.start_soon(vm.guard.run)

    def elect(self, leader, term) -> None:
        for name in VOTERS:
            vm = self.vms[name]
            vm.led_term = Term(term) if name == leader else None
            vm.known_leader = leader


def run_group(check) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            group = Group(tasks)
            await check(group)
            assert group.network.handler_errors == []
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


# Guards against VMs that each have to lose three targets.
@pytest.mark.parametrize("reporters", [("v0", "v1", "v2"), ("w0", "w1", "v1")])
def test_crashes_that_different_vms_saw_quarantine_on_all(reporters):
    async def check(group):
        for number, name in enumerate(reporters):
            group.vms[name].crash(f"e{number}", REQUEST)
            await anyio.sleep(0.6)
        await anyio.sleep(1)
        for vm in group.vms.values():
            assert vm.is_blocked(REQUEST)

    run_group(check)


def test_answer_at_one_vm_clears_what_others_saw():
    async def check(group):
        for number in range(4):
            group.vms["w0"].crash(f"e{number}", REQUEST)
            await anyio.sleep(0.6)
            if number == 1:
                assert group.vms["w1"].guard.is_alert
                group.vms["w1"].guard.record_answered((REQUEST,))
                await anyio.sleep(0.6)
        await anyio.sleep(1)
        assert not any(vm.is_blocked(REQUEST) for vm in group.vms.values())

    run_group(check)


def test_vm_that_missed_an_update_gets_the_next():
    async def check(group):
        group.network.isolate(["w1"])
        for number in range(3):
            group.vms["w0"].crash(f"e{number}", REQUEST)
            await anyio.sleep(0.6)
        await anyio.sleep(1)
        assert not group.vms["w1"].is_blocked(REQUEST)
        group.network.restore_links()
        await anyio.sleep(2)
        assert group.vms["w1"].is_blocked(REQUEST)

    run_group(check)


# Guards against domains that lose all targets while they are cut off.
def test_vm_that_reaches_no_leader_protects_itself():
    async def check(group):
        group.network.isolate(["w1"])
        for number in range(3):
            group.vms["w1"].crash(f"e{number}", REQUEST)
            await anyio.sleep(1.5)
        assert group.vms["w1"].is_blocked(REQUEST)
        assert not group.vms["w0"].is_blocked(REQUEST)

    run_group(check)


def test_quarantine_outlives_the_leader():
    async def check(group):
        for number in range(3):
            group.vms["w0"].crash(f"e{number}", REQUEST)
            await anyio.sleep(0.6)
        await anyio.sleep(1)
        group.elect("v1", 2)
        await anyio.sleep(2)
        assert all(vm.is_blocked(REQUEST) for vm in group.vms.values())

    run_group(check)
