"""Membership: states, leaving marks and digests on every VM."""

import random

import anyio
import pytest

from dotterelbridge.errors import PlacementError
from dotterelbridge.membership.platform import PlatformList
from dotterelbridge.membership.platform import PlatformListError
from dotterelbridge.membership.platform import PlatformMember
from dotterelbridge.membership.platform import PlatformState
from dotterelbridge.membership.records import MarkBody
from dotterelbridge.membership.records import RecordTable
from dotterelbridge.membership.records import TargetBody
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.vms import VmTable
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster
from tests.placement_fakes import create_row

LEAVING_LIMIT_S = 3.0
"""A leaving target gets no new work anywhere after this time."""


class FixedPlatform(PlatformList):
    """A platform list that the test sets."""

    def __init__(self):
        self.members = []
        self.broken = False

    async def fetch(self, timeout):
        if self.broken:
            raise PlatformListError("no list", "wait")
        return list(self.members)

    async def close(self):
        return


def run(scenario, **options):
    world = SimulatedCluster(**options)
    run_in_virtual_time(world.run, scenario)


def views(world, target):
    return [n.membership.get_targets()[target] for n in world.nodes.values()]


def is_leaving_everywhere(world, target):
    return all(v.state is MemberState.LEAVING for v in views(world, target))


def states_of(world, vm):
    return {
        node.membership.get_vm_state(vm)
        for name, node in world.nodes.items()
        if name != vm
    }


def test_all_vms_see_all_targets_and_their_items():
    async def scenario(world):
        world.sheet.set_rows([create_row("m0")])
        await world.wait_for(
            lambda: all(
                any("m0@1" in v.ready_items for v in views(world, name))
                for name in ("d0-t0", "d1-t0", "d2-t0")
            )
        )
        assert all(
            v.state is MemberState.LIVE and v.takes_new_work
            for name in world.engines
            for v in views(world, name)
        )

    run(scenario, domains=3, targets=1)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_operators_mark_reaches_every_vm_within_three_seconds(loss):
    async def scenario(world):
        await anyio.sleep(10)
        world.network.conditions.loss = loss
        world.nodes["d2-v1"].membership.mark_leaving("d0-t0")
        took_s = await world.wait_for(
            lambda: is_leaving_everywhere(world, "d0-t0")
        )
        assert took_s <= LEAVING_LIMIT_S

    for seed in range(5):
        run(scenario, domains=3, seed=seed)


def test_targets_own_word_reaches_every_vm_within_three_seconds():
    async def scenario(world):
        await anyio.sleep(10)
        world.engines["d1-t2"].leaving = True
        took_s = await world.wait_for(
            lambda: is_leaving_everywhere(world, "d1-t2")
        )
        assert took_s <= LEAVING_LIMIT_S

    run(scenario, domains=3)


def test_clearing_the_mark_reaches_every_vm():
    async def scenario(world):
        await anyio.sleep(5)
        world.nodes["d0-v0"].membership.mark_leaving("d1-t0")
        await world.wait_for(lambda: is_leaving_everywhere(world, "d1-t0"))
        world.nodes["d1-v2"].membership.clear_leaving("d1-t0")
        await world.wait_for(
            lambda: all(
                v.state is MemberState.LIVE for v in views(world, "d1-t0")
            )
        )

    run(scenario, domains=2)


def test_leaving_vm_is_known_everywhere():
    async def scenario(world):
        await anyio.sleep(5)
        world.nodes["d0-v0"].membership.mark_leaving("d0-v0")
        took_s = await world.wait_for(
            lambda: states_of(world, "d0-v0") == {MemberState.LEAVING}
        )
        assert took_s <= LEAVING_LIMIT_S

    run(scenario, domains=2)


def test_unknown_name_is_refused_with_the_remedy():
    async def scenario(world):
        with pytest.raises(PlacementError, match="dotterelbridge targets"):
            world.nodes["d0-v0"].membership.mark_leaving("nonsense")

    run(scenario)


def test_platform_list_marks_and_a_broken_one_keeps_the_last():
    platform = FixedPlatform()

    async def scenario(world):
        await anyio.sleep(5)
        platform.members = [
            PlatformMember(
                id="d0-t1",
                kind="target",
                failure_domain="d0",
                address="127.0.0.1",
                state=PlatformState.LEAVING,
            )
        ]
        await world.wait_for(lambda: is_leaving_everywhere(world, "d0-t1"))
        platform.broken = True
        await anyio.sleep(30)
        assert is_leaving_everywhere(world, "d0-t1")

    run(scenario, domains=2, platform=platform)


def test_dead_vm_is_suspected_then_lost_and_live_again_after_a_restart():
    async def scenario(world):
        await anyio.sleep(10)
        first = world.nodes["d0-v0"].membership.incarnation
        world.stop("d0-v0")
        await world.wait_for(
            lambda: (
                world.nodes["d0-v1"].membership.get_vm_state("d0-v0")
                is MemberState.SUSPECT
            )
        )
        await world.wait_for(
            lambda: states_of(world, "d0-v0") == {MemberState.LOST}
        )
        world.start("d0-v0")
        await world.wait_for(
            lambda: states_of(world, "d0-v0") == {MemberState.LIVE}
        )
        assert world.nodes["d0-v0"].membership.incarnation != first

    run(scenario, domains=2)


def test_late_heartbeat_of_an_earlier_life_is_ignored():
    table = VmTable("a", ["a", "b"], 2.5, 8.0, now=0.0)
    assert table.hear("b", 1, 1.0)
    assert table.hear("b", 2, 2.0)
    assert not table.hear("b", 1, 3.0)
    table.check_silence(4.6)
    assert table.state("b") is MemberState.SUSPECT


def test_domain_cut_off_keeps_the_last_digest_and_comes_back():
    async def scenario(world):
        world.sheet.set_rows([create_row("m0")])
        await world.wait_for(
            lambda: all("m0@1" in v.ready_items for v in views(world, "d1-t0"))
        )
        world.network.isolate(
            [v.vm for v in world.vms if v.failure_domain == "d0"]
        )
        view = world.nodes["d0-v0"].membership
        await world.wait_for(
            lambda: view.get_targets()["d1-t0"].state is MemberState.SUSPECT
        )
        assert "m0@1" in view.get_targets()["d1-t0"].ready_items
        world.nodes["d1-v0"].membership.mark_leaving("d1-t0")
        await anyio.sleep(20)
        assert not view.is_domain_reachable("d1")
        world.network.heal()
        took_s = await world.wait_for(
            lambda: is_leaving_everywhere(world, "d1-t0")
        )
        assert took_s <= 10

    run(scenario, domains=2, targets=1)


def test_vm_without_a_link_to_a_domain_hears_it_through_its_neighbours():
    async def scenario(world):
        for other in world.vms:
            if other.failure_domain == "d1":
                world.network.cut("d0-v2", other.vm)
                world.network.cut(other.vm, "d0-v2")
        await anyio.sleep(60)
        view = world.nodes["d0-v2"].membership
        assert view.is_domain_reachable("d1")
        assert view.get_targets()["d1-t0"].state is MemberState.LIVE

    run(scenario, domains=2, targets=1)


def test_one_way_loss_is_repaired_through_the_others():
    async def scenario(world):
        await anyio.sleep(5)
        world.network.cut("d0-v0", "d0-v1")
        world.nodes["d0-v0"].membership.mark_leaving("d0-t0")
        took_s = await world.wait_for(
            lambda: is_leaving_everywhere(world, "d0-t0")
        )
        assert took_s <= LEAVING_LIMIT_S

    run(scenario)


def test_target_that_only_the_backup_reaches_stays_live():
    async def scenario(world):
        await anyio.sleep(5)
        for vm in ("d0-v0", "d0-v1", "d0-v2"):
            world.nodes[vm].links["d0-t0"].cut = True
            seen = set()
            for _ in range(300):
                seen |= {v.state for v in views(world, "d0-t0")}
                await anyio.sleep(0.1)
            assert seen == {MemberState.LIVE}
            world.nodes[vm].links["d0-t0"].cut = False

    run(scenario)


def test_dead_target_is_suspected_then_lost_on_every_vm():
    async def scenario(world):
        await anyio.sleep(5)
        world.engines["d0-t0"].up = False
        for state in (MemberState.SUSPECT, MemberState.LOST):
            await world.wait_for(
                lambda state=state: all(
                    v.state is state for v in views(world, "d0-t0")
                )
            )
        world.engines["d0-t0"].up = True
        await world.wait_for(
            lambda: all(
                v.state is MemberState.LIVE for v in views(world, "d0-t0")
            )
        )

    run(scenario, domains=2)


def test_draining_items_are_not_ready():
    async def scenario(world):
        world.sheet.set_rows([create_row("m0")])
        await world.wait_for(
            lambda: all("m0@1" in v.ready_items for v in views(world, "d0-t0"))
        )
        world.nodes["d0-v1"].membership.set_draining("d0-t0", ["m0@1"])
        took_s = await world.wait_for(
            lambda: not any(v.ready_items for v in views(world, "d0-t0")),
        )
        assert took_s <= LEAVING_LIMIT_S

    run(scenario, domains=2, targets=1)


@pytest.mark.parametrize("seed", range(20))
def test_tables_agree_whatever_the_order_of_arrival(seed):
    generator = random.Random(seed)
    tables = [RecordTable(name) for name in "abc"]
    sent = []
    for step in range(60):
        table = generator.choice(tables)
        name = generator.choice(["x", "y"])
        body = generator.choice(
            [
                MarkBody(leaving=step % 2 == 0),
                TargetBody(state="live", items=(f"m{step}@1",)),
            ]
        )
        record = table.put("d", name, body)
        sent.extend([record] if record else [])
    for table in tables:
        shuffled = sent * 2
        generator.shuffle(shuffled)
        table.merge(shuffled)
    assert len({t.hash_of("d") for t in tables}) == 1
    assert len({tuple(sorted(map(str, t.records("d")))) for t in tables}) == 1


def test_sync_answers_only_what_the_asker_lacks():
    full, partial = RecordTable("a"), RecordTable("b")
    first = full.put("d", "x", MarkBody(leaving=True))
    partial.merge([first])
    second = full.put("d", "y", MarkBody(leaving=True))
    newer = list(full.find_newer("d", partial.versions("d")))
    assert newer == [second]
    assert list(partial.find_newer("d", full.versions("d"))) == []
