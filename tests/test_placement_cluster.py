"""Placement as a whole: VMs, engines that know the truth, and faults."""

import anyio
import pytest

from dotterelbridge.membership.view import Fencing
from dotterelbridge.targets.engine import OrderAction
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster
from tests.placement_fakes import create_adapter
from tests.placement_fakes import create_row

BOTH_KINDS = pytest.mark.parametrize("fencing", list(Fencing))


def run(scenario, **options):
    world = SimulatedCluster(**options)
    run_in_virtual_time(world.run, scenario)
    assert world.over_commits() == 0
    return world


def keys_of(rows):
    return {f"{row.name}@{row.version}" for row in rows}


async def load_all(world, rows, limit_s=120):
    world.sheet.set_rows(rows)
    keys = keys_of(rows)
    await world.wait_for(lambda: world.ready() >= keys, limit_s)


@pytest.mark.parametrize("vms", [1, 2, 3, 5])
def test_every_item_of_the_sheet_is_loaded(vms):
    async def scenario(world):
        rows = [create_row(f"m{i}") for i in range(6)]
        rows.append(create_adapter("a", "m3"))
        await load_all(world, rows)
        assert len(world.holders()) == 1

    run(scenario, vms=vms)


def test_adapter_is_loaded_beside_its_base():
    async def scenario(world):
        rows = [create_row(f"m{i}") for i in range(6)]
        rows.append(create_adapter("a", "m3"))
        await load_all(world, rows)
        for engine in world.engines.values():
            assert "a@1" not in engine.items or "m3@1" in engine.items

    run(scenario)


@BOTH_KINDS
def test_another_vm_goes_on_when_the_holder_dies(fencing):
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        holder = world.holders()[0]
        world.stop(holder.info.vm)
        rows = [create_row(f"m{i}") for i in range(4)]
        await load_all(world, rows)
        assert world.holders()[0].info.vm != holder.info.vm

    run(scenario, fencing=fencing)


@BOTH_KINDS
def test_holder_frozen_before_a_send_and_woken_over_commits_nothing(fencing):
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        holder = world.holders()[0]
        # Only one of the two fits on the only engine.
        holder.freeze()
        world.network.isolate([holder.info.vm])
        frozen_at = holder.placement.lease.term
        await world.wait_for(
            lambda: any(
                node is not holder and node.placement.lease.is_held()
                for node in world.nodes.values()
            )
        )
        world.sheet.set_rows([create_row("m0"), create_row("big", 600)])
        await anyio.sleep(20)
        holder.thaw()
        world.network.heal()
        await world.wait_for(lambda: "big@1" in world.ready())
        assert world.holders()[0].placement.lease.term > frozen_at

    run(scenario, fencing=fencing, targets=1)


@BOTH_KINDS
def test_order_of_a_frozen_holder_is_counted_by_its_successor(fencing):
    """The holder freezes between recording a load and sending it."""

    async def scenario(world):
        await load_all(world, [create_row("m0", 100)])
        holder = world.holders()[0]
        for link in holder.links.values():
            link.hold()
        world.sheet.set_rows([create_row("m0", 100), create_row("x", 500)])
        await world.wait_for(lambda: any_in_transit(holder))
        holder.freeze()
        world.network.isolate([holder.info.vm])
        world.sheet.set_rows([create_row("m0", 100), create_row("y", 600)])
        await world.wait_for(
            lambda: any(n is not holder for n in world.holders())
        )
        await anyio.sleep(15)
        holder.thaw()
        await anyio.sleep(1)
        world.network.heal()
        await world.wait_for(lambda: "y@1" in world.ready())

    run(scenario, fencing=fencing, targets=1)


def any_in_transit(node):
    holding = node.placement.term_state
    return bool(holding and holding.ledger.loads_in_transit())


@BOTH_KINDS
def test_holder_that_regains_its_lease_gives_its_orders_new_ids(fencing):
    """Its renewals fail for a moment; no other VM takes over."""

    async def scenario(world):
        await load_all(world, [create_row("m0", 100)])
        holder = world.holders()[0]
        placement = holder.placement
        term = placement.lease.term
        for node in world.nodes.values():
            if node is not holder:
                node.freeze()  # It grants still, but asks for nothing.
        world.network.isolate([holder.info.vm])
        await world.wait_for(lambda: not placement.lease.is_held())
        world.network.heal()
        await world.wait_for(placement.lease.is_held)
        assert placement.lease.term == term
        await load_all(world, [create_row(f"m{i}", 100) for i in range(6)])
        for node in world.nodes.values():
            node.thaw()
        for engine in world.engines.values():
            ids = [order.order_id for order in engine.orders]
            assert len(ids) == len(set(ids))

    run(scenario, fencing=fencing, targets=1)


@BOTH_KINDS
def test_minority_sends_nothing_and_the_majority_goes_on(fencing):
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        holder = world.holders()[0]
        world.network.isolate([holder.info.vm])
        await world.wait_for(
            lambda: any(n is not holder for n in world.holders())
        )
        assert not holder.placement.lease.is_held()
        await load_all(world, [create_row(f"m{i}") for i in range(4)])
        world.network.heal()
        await anyio.sleep(10)
        assert len(world.holders()) == 1

    run(scenario, fencing=fencing)


def test_domain_cut_off_goes_on_placing_on_its_own_engines():
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        world.network.isolate(
            [v.vm for v in world.vms if v.failure_domain == "d0"]
        )
        rows = [create_row(f"m{i}") for i in range(5)]
        world.sheet.set_rows(rows)
        keys = keys_of(rows)
        await world.wait_for(
            lambda: world.ready("d0") >= keys and world.ready("d1") >= keys
        )

    run(scenario, domains=2)


def test_domain_cut_off_loads_what_its_callers_ask_for():
    async def scenario(world):
        rows = [create_row(f"m{i}", 400) for i in range(8)]
        world.sheet.set_rows(rows)
        await world.wait_for(lambda: world.ready() == keys_of(rows), 300)
        beyond = sorted(world.ready("d1") - world.ready("d0"))[0]
        cut_off = [v.vm for v in world.vms if v.failure_domain == "d0"]
        world.network.isolate(cut_off)
        name = beyond.partition("@")[0]
        for vm in cut_off:
            world.demands[vm].arrivals = {name: 10}
        await world.wait_for(lambda: beyond in world.ready("d0"), 600)
        world.network.heal()
        await world.wait_for(lambda: world.ready() == keys_of(rows), 600)
        assert world.over_commits() == 0

    run(scenario, domains=2, targets=2)


@BOTH_KINDS
def test_all_vms_restart_at_once_while_orders_are_late(fencing):
    async def scenario(world):
        await load_all(world, [create_row("m0", 100)])
        for engine in world.engines.values():
            engine.faults.late = 1.0
            engine.faults.late_max_s = 30.0
        world.sheet.set_rows([create_row("m0", 100), create_row("x", 500)])
        await world.wait_for(lambda: any_in_transit(world.holders()[0]))
        await anyio.sleep(0.1)
        for vm in list(world.nodes):
            world.stop(vm)
        for engine in world.engines.values():
            engine.faults.late = 0.0
        world.sheet.set_rows([create_row("m0", 100), create_row("y", 600)])
        for info in world.vms:
            world.start(info.vm)
        await world.wait_for(lambda: "y@1" in world.ready())

    run(scenario, fencing=fencing, targets=1)


def test_terms_start_above_the_engines_numbers_after_all_vms_restart():
    async def scenario(world):
        for engine in world.engines.values():
            engine.fencing_number = 5000
        await load_all(world, [create_row("m0")])
        assert world.holders()[0].placement.lease.term > 5000

    run(scenario)


@BOTH_KINDS
def test_target_that_restarts_empty_is_filled_again(fencing):
    async def scenario(world):
        rows = [create_row(f"m{i}") for i in range(4)]
        await load_all(world, rows)
        for engine in world.engines.values():
            engine.restart()
        await world.wait_for(lambda: world.ready() >= keys_of(rows))

    run(scenario, fencing=fencing, targets=1)


@BOTH_KINDS
def test_lagging_inventories_do_not_over_commit(fencing):
    async def scenario(world):
        for engine in world.engines.values():
            engine.faults.inventory_lag_s = 4.0
        rows = [create_row(f"m{i}", 240) for i in range(6)]
        await load_all(world, rows)
        replaced = [create_row(f"n{i}", 240) for i in range(6)]
        await load_all(world, replaced)

    run(scenario, fencing=fencing, targets=2)


@BOTH_KINDS
def test_lost_late_and_doubled_orders_do_not_over_commit(fencing):
    async def scenario(world):
        for engine in world.engines.values():
            engine.faults.lost = 0.2
            engine.faults.late = 0.2
            engine.faults.duplicated = 0.3
            engine.faults.answer_lost = 0.2
        for turn in range(3):
            rows = [create_row(f"m{turn}-{i}", 280) for i in range(6)]
            await load_all(world, rows, limit_s=900)

    run(scenario, fencing=fencing, targets=2)


def test_refused_and_failed_loads_back_off_and_succeed_in_the_end():
    async def scenario(world):
        for engine in world.engines.values():
            engine.faults.refused = 0.3
            engine.faults.load_failed = 0.3
        rows = [create_row(f"m{i}") for i in range(8)]
        await load_all(world, rows)

    run(scenario)


def test_loads_at_a_weight_store_that_refuses_are_not_repeated_at_once():
    async def scenario(world):
        for engine in world.engines.values():
            engine.faults.load_failed = 1.0
        world.sheet.set_rows([create_row("m0")])
        await anyio.sleep(60)
        # Waits of 0.5 to 1 s that double on each of three engines.
        assert 3 <= sum(e.loads for e in world.engines.values()) <= 30

    run(scenario)


def test_sheet_that_does_not_fit_names_what_is_unreachable():
    async def scenario(world):
        rows = [create_row(f"m{i}", 400) for i in range(7)]
        world.sheet.set_rows(rows)
        await world.wait_for(lambda: len(world.ready()) == 6)
        await anyio.sleep(20)
        unreachable = world.holders()[0].placement.term_state.plan.unreachable
        missing = keys_of(rows) - world.ready()
        assert {f"{name}@1" for name in unreachable} == missing
        assert "needs 400 MB" in next(iter(unreachable.values()))

    run(scenario, targets=3)


def test_items_that_fit_the_business_but_no_domain_are_all_reachable():
    async def scenario(world):
        rows = [create_row(f"m{i}", 400) for i in range(8)]
        world.sheet.set_rows(rows)
        await world.wait_for(lambda: world.ready() == keys_of(rows), 300)

    run(scenario, domains=2, targets=2)


def test_old_version_stays_until_the_new_one_is_ready():
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        world.sheet.set_rows([create_row("m0", version="2")])
        while "m0@2" not in world.ready():
            assert "m0@1" in world.ready()
            await anyio.sleep(0.05)
        await world.wait_for(lambda: "m0@1" not in world.ready())

    run(scenario)


def test_copy_is_drained_before_it_is_unloaded():
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        engine = next(e for e in world.engines.values() if e.items)
        engine.running["m0@1"] = 2
        world.sheet.set_rows([])
        node = next(iter(world.nodes.values()))
        target = engine.info.target
        await world.wait_for(
            lambda: not node.membership.targets()[target].ready_items
        )
        await anyio.sleep(30)
        assert "m0@1" in engine.items
        engine.running.clear()
        await world.wait_for(lambda: not engine.items)
        assert engine.cut_requests == 0

    run(scenario)


def test_leaving_target_gets_no_load():
    async def scenario(world):
        engine = world.engines["d0-t0"]
        world.nodes["d0-v1"].membership.mark_leaving("d0-t0")
        await anyio.sleep(3)
        await load_all(world, [create_row(f"m{i}", 150) for i in range(9)])
        assert not engine.items

    run(scenario)


def test_hot_item_gets_further_copies():
    async def scenario(world):
        rows = [create_row(f"m{i}", 150) for i in range(6)]
        await load_all(world, rows)
        for demand in world.demands.values():
            demand.arrivals = {"m0": 40, "m1": 1}
        await world.wait_for(lambda: world.count_copies("m0@1") == 3)

    run(scenario)


def test_demand_that_turns_over_while_loads_are_in_the_air():
    async def scenario(world):
        for engine in world.engines.values():
            engine.load_s = 8.0
        rows = [create_row(f"m{i}", 250) for i in range(6)]
        await load_all(world, rows)
        for turn in range(6):
            for demand in world.demands.values():
                demand.arrivals = {f"m{turn}": 60}
            await anyio.sleep(12)
        await world.wait_for(lambda: world.ready() >= keys_of(rows))

    run(scenario)


def test_steady_demand_settles_without_further_moves():
    async def scenario(world):
        rows = [create_row(f"m{i}", 150) for i in range(12)]
        await load_all(world, rows)
        for demand in world.demands.values():
            demand.arrivals = {f"m{i}": 2 + i for i in range(12)}
        await anyio.sleep(300)
        before = count_orders(world)
        await anyio.sleep(600)
        assert count_orders(world) == before

    run(scenario)


def count_orders(world):
    moves = (OrderAction.LOAD, OrderAction.UNLOAD)
    return sum(
        order.action in moves
        for engine in world.engines.values()
        for order in engine.orders
    )


def test_pause_stops_moves_and_resume_lets_them_go_on():
    async def scenario(world):
        await load_all(world, [create_row("m0")])
        other = next(n for n in world.nodes.values() if n.info.vm != "x")
        other.placement.set_paused(True)
        await anyio.sleep(2)
        rows = [create_row("m0"), create_row("m1")]
        world.sheet.set_rows(rows)
        await anyio.sleep(20)
        assert world.ready() == {"m0@1"}
        other.placement.set_paused(False)
        await world.wait_for(lambda: world.ready() == keys_of(rows))

    run(scenario)


def test_loads_at_once_stay_within_the_limit_of_the_weight_store():
    async def scenario(world):
        for engine in world.engines.values():
            engine.load_s = 5.0
        rows = [create_row(f"m{i}", 200) for i in range(8)]
        world.sheet.set_rows(rows)
        most = 0
        while world.ready("d0") | world.ready("d1") < keys_of(rows):
            most = max(most, count_loading(world))
            await anyio.sleep(0.05)
        # Two domains share four; each may think itself alone for the
        # second that its wish takes to arrive.
        assert 2 <= most <= 4 + 4

    run(scenario, domains=2, placement={"concurrent_loads": 4})


def count_loading(world):
    return sum(
        loaded.state.value == "loading"
        for engine in world.engines.values()
        for loaded in engine.items.values()
    )
