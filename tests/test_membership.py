"""Membership state on all VMs: liveness, leaving marks and digests."""

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

MAX_LEAVING_DELAY_S = 3.0
"""Time after which no VM sends new requests to a leaving target."""


class FakePlatformList(PlatformList):
    """Platform list with entries set by the test."""

    def __init__(self):
        self.members = []
        self.is_unreadable = False

    async def fetch(self, timeout):
        if self.is_unreadable:
            raise PlatformListError("no list", "wait")
        return list(self.members)

    async def close(self):
        return


def run_scenario(scenario, **options):
    cluster = SimulatedCluster(**options)
    run_in_virtual_time(cluster.run, scenario)


def list_views(cluster, target):
    return [n.membership.get_targets()[target] for n in cluster.nodes.values()]


def is_leaving_on_all_vms(cluster, target):
    return all(
        v.state is MemberState.LEAVING for v in list_views(cluster, target)
    )


def collect_vm_states(cluster, vm):
    return {
        node.membership.get_vm_state(vm)
        for name, node in cluster.nodes.items()
        if name != vm
    }


def test_all_vms_see_all_targets_and_their_items():
    async def scenario(cluster):
        cluster.sheet.set_rows([create_row("m0")])
        await cluster.wait_for(
            lambda: all(
                any("m0@1" in v.ready_items for v in list_views(cluster, name))
                for name in ("d0-t0", "d1-t0", "d2-t0")
            )
        )
        assert all(
            v.state is MemberState.LIVE and v.takes_new_work
            for name in cluster.engines
            for v in list_views(cluster, name)
        )

    run_scenario(scenario, domains=3, targets=1)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_leaving_mark_reaches_every_vm_within_three_seconds(loss):
    async def scenario(cluster):
        await anyio.sleep(10)
        cluster.network.conditions.loss_share = loss
        cluster.nodes["d2-v1"].membership.mark_leaving("d0-t0")
        took_s = await cluster.wait_for(
            lambda: is_leaving_on_all_vms(cluster, "d0-t0")
        )
        assert took_s <= MAX_LEAVING_DELAY_S

    for seed in range(5):
        run_scenario(scenario, domains=3, seed=seed)


def test_leaving_report_of_target_reaches_every_vm_within_three_seconds():
    async def scenario(cluster):
        await anyio.sleep(10)
        cluster.engines["d1-t2"].leaving = True
        took_s = await cluster.wait_for(
            lambda: is_leaving_on_all_vms(cluster, "d1-t2")
        )
        assert took_s <= MAX_LEAVING_DELAY_S

    run_scenario(scenario, domains=3)


def test_cleared_leaving_mark_reaches_every_vm():
    async def scenario(cluster):
        await anyio.sleep(5)
        cluster.nodes["d0-v0"].membership.mark_leaving("d1-t0")
        await cluster.wait_for(lambda: is_leaving_on_all_vms(cluster, "d1-t0"))
        cluster.nodes["d1-v2"].membership.clear_leaving("d1-t0")
        await cluster.wait_for(
            lambda: all(
                v.state is MemberState.LIVE
                for v in list_views(cluster, "d1-t0")
            )
        )

    run_scenario(scenario, domains=2)


def test_leaving_vm_is_known_everywhere():
    async def scenario(cluster):
        await anyio.sleep(5)
        cluster.nodes["d0-v0"].membership.mark_leaving("d0-v0")
        took_s = await cluster.wait_for(
            lambda: (
                collect_vm_states(cluster, "d0-v0") == {MemberState.LEAVING}
            )
        )
        assert took_s <= MAX_LEAVING_DELAY_S

    run_scenario(scenario, domains=2)


def test_unknown_name_is_rejected_with_remedy():
    async def scenario(cluster):
        with pytest.raises(PlacementError, match="dotterelbridge targets"):
            cluster.nodes["d0-v0"].membership.mark_leaving("nonsense")

    run_scenario(scenario)


def test_platform_list_marks_leaving_and_last_one_stays_when_unreadable():
    platform = FakePlatformList()

    async def scenario(cluster):
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
        await cluster.wait_for(lambda: is_leaving_on_all_vms(cluster, "d0-t1"))
        platform.is_unreadable = True
        await anyio.sleep(30)
        assert is_leaving_on_all_vms(cluster, "d0-t1")

    run_scenario(scenario, domains=2, platform=platform)


def test_stopped_vm_becomes_suspect_then_lost_and_live_after_restart():
    async def scenario(cluster):
        await anyio.sleep(10)
        first = cluster.nodes["d0-v0"].membership.incarnation
        cluster.stop("d0-v0")
        await cluster.wait_for(
            lambda: (
                cluster.nodes["d0-v1"].membership.get_vm_state("d0-v0")
                is MemberState.SUSPECT
            )
        )
        await cluster.wait_for(
            lambda: collect_vm_states(cluster, "d0-v0") == {MemberState.LOST}
        )
        cluster.start("d0-v0")
        await cluster.wait_for(
            lambda: collect_vm_states(cluster, "d0-v0") == {MemberState.LIVE}
        )
        assert cluster.nodes["d0-v0"].membership.incarnation != first

    run_scenario(scenario, domains=2)


def test_late_heartbeat_of_earlier_incarnation_is_ignored():
    table = VmTable("a", ["a", "b"], 2.5, 8.0, now=0.0)
    assert table.record_heartbeat("b", 1, 1.0)
    assert table.record_heartbeat("b", 2, 2.0)
    assert not table.record_heartbeat("b", 1, 3.0)
    table.update_states(4.6)
    assert table.get_state("b") is MemberState.SUSPECT


def test_unreachable_domain_keeps_last_digest_and_recovers():
    async def scenario(cluster):
        cluster.sheet.set_rows([create_row("m0")])
        await cluster.wait_for(
            lambda: all(
                "m0@1" in v.ready_items for v in list_views(cluster, "d1-t0")
            )
        )
        cluster.network.isolate(
            [v.vm for v in cluster.vms if v.failure_domain == "d0"]
        )
        view = cluster.nodes["d0-v0"].membership
        await cluster.wait_for(
            lambda: view.get_targets()["d1-t0"].state is MemberState.SUSPECT
        )
        assert "m0@1" in view.get_targets()["d1-t0"].ready_items
        cluster.nodes["d1-v0"].membership.mark_leaving("d1-t0")
        await anyio.sleep(20)
        assert not view.is_domain_reachable("d1")
        cluster.network.restore_links()
        took_s = await cluster.wait_for(
            lambda: is_leaving_on_all_vms(cluster, "d1-t0")
        )
        assert took_s <= 10

    run_scenario(scenario, domains=2, targets=1)


def test_vm_without_link_to_domain_gets_its_state_through_local_vms():
    async def scenario(cluster):
        for other in cluster.vms:
            if other.failure_domain == "d1":
                cluster.network.block_link("d0-v2", other.vm)
                cluster.network.block_link(other.vm, "d0-v2")
        await anyio.sleep(60)
        view = cluster.nodes["d0-v2"].membership
        assert view.is_domain_reachable("d1")
        assert view.get_targets()["d1-t0"].state is MemberState.LIVE

    run_scenario(scenario, domains=2, targets=1)


def test_update_lost_on_one_way_link_arrives_through_other_vms():
    async def scenario(cluster):
        await anyio.sleep(5)
        cluster.network.block_link("d0-v0", "d0-v1")
        cluster.nodes["d0-v0"].membership.mark_leaving("d0-t0")
        took_s = await cluster.wait_for(
            lambda: is_leaving_on_all_vms(cluster, "d0-t0")
        )
        assert took_s <= MAX_LEAVING_DELAY_S

    run_scenario(scenario)


def test_target_reachable_by_one_poller_only_stays_live():
    async def scenario(cluster):
        await anyio.sleep(5)
        for vm in ("d0-v0", "d0-v1", "d0-v2"):
            cluster.nodes[vm].links["d0-t0"].cut = True
            seen = set()
            for _ in range(300):
                seen |= {v.state for v in list_views(cluster, "d0-t0")}
                await anyio.sleep(0.1)
            assert seen == {MemberState.LIVE}
            cluster.nodes[vm].links["d0-t0"].cut = False

    run_scenario(scenario)


def test_stopped_target_becomes_suspect_then_lost_on_every_vm():
    async def scenario(cluster):
        await anyio.sleep(5)
        cluster.engines["d0-t0"].up = False
        for state in (MemberState.SUSPECT, MemberState.LOST):
            await cluster.wait_for(
                lambda state=state: all(
                    v.state is state for v in list_views(cluster, "d0-t0")
                )
            )
        cluster.engines["d0-t0"].up = True
        await cluster.wait_for(
            lambda: all(
                v.state is MemberState.LIVE
                for v in list_views(cluster, "d0-t0")
            )
        )

    run_scenario(scenario, domains=2)


def test_draining_items_are_not_ready():
    async def scenario(cluster):
        cluster.sheet.set_rows([create_row("m0")])
        await cluster.wait_for(
            lambda: all(
                "m0@1" in v.ready_items for v in list_views(cluster, "d0-t0")
            )
        )
        cluster.nodes["d0-v1"].membership.set_draining("d0-t0", ["m0@1"])
        took_s = await cluster.wait_for(
            lambda: (
                not any(v.ready_items for v in list_views(cluster, "d0-t0"))
            ),
        )
        assert took_s <= MAX_LEAVING_DELAY_S

    run_scenario(scenario, domains=2, targets=1)


@pytest.mark.parametrize("seed", range(20))
def test_tables_converge_for_any_order_of_arrival(seed):
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
    assert len({t.get_domain_hash("d") for t in tables}) == 1
    assert (
        len({tuple(sorted(map(str, t.list_records("d")))) for t in tables})
        == 1
    )


def test_sync_returns_only_records_that_the_requester_lacks():
    full, partial = RecordTable("a"), RecordTable("b")
    first = full.put("d", "x", MarkBody(leaving=True))
    partial.merge([first])
    second = full.put("d", "y", MarkBody(leaving=True))
    newer = list(full.find_newer("d", partial.list_versions("d")))
    assert newer == [second]
    assert list(partial.find_newer("d", full.list_versions("d"))) == []
