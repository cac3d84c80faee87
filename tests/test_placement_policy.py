"""Placement policies and the load pacer."""

import random

import pytest

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import Priority
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.pacing import WantedLoads
from dotterelbridge.placement.pacing import compute_load_limit
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import CopyView
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import create_item
from dotterelbridge.placement.policy import create_policy
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.settings import PolicyName
from tests.placement_fakes import create_adapter
from tests.placement_fakes import create_row

USABLE_MB = 900


def create_plan_input(rows, placed, **options):
    """Return a plan input whose accelerators hold the rows of ``placed``."""
    accelerators = []
    for number, held in enumerate(placed):
        copies = {
            get_row_key(row): CopyView(item=create_item(row), age_s=1000.0)
            for row in held
        }
        used_mb = sum(row.memory_mb for row in held)
        accelerators.append(
            AcceleratorView(
                target=f"t{number}",
                usable_mb=USABLE_MB,
                free_mb=USABLE_MB - used_mb,
                copies=copies,
            )
        )
    return PlanInput(accelerators=accelerators, rows=rows, **options)


def create_plan(plan_input, **options):
    return create_policy(PlacementSettings(**options)).plan(plan_input)


def list_loads(result):
    return sorted((load.item.name, load.target) for load in result.loads)


def list_unloads(result):
    return sorted((unload.key, unload.target) for unload in result.unloads)


def test_missing_items_are_spread_over_idle_accelerators():
    rows = [create_row("a", 500), create_row("b", 500)]
    result = create_plan(create_plan_input(rows, [[], []]))
    assert {target for _, target in list_loads(result)} == {"t0", "t1"}


def test_urgent_items_are_loaded_first():
    rows = [
        create_row("slow", priority=Priority.BACKGROUND),
        create_row("fast", priority=Priority.URGENT),
    ]
    result = create_plan(create_plan_input(rows, [[]]))
    first = min(result.loads, key=lambda load: load.sort_key)
    assert first.item.name == "fast"


def test_item_without_copies_is_loaded_before_one_ready_elsewhere():
    rows = [
        create_row("there", priority=Priority.URGENT),
        create_row("nowhere", priority=Priority.BACKGROUND),
    ]
    plan_input = create_plan_input(
        rows, [[]], ready_elsewhere=frozenset({"there@1"})
    )
    first = min(create_plan(plan_input).loads, key=lambda load: load.sort_key)
    assert first.item.name == "nowhere"


def test_adapter_is_loaded_beside_its_base():
    base, other = create_row("base"), create_row("other")
    adapter = create_adapter("a", "base")
    plan_input = create_plan_input([base, other, adapter], [[other], [base]])
    assert list_loads(create_plan(plan_input)) == [("a", "t1")]


def test_base_gets_another_copy_where_no_base_has_room_for_the_adapter():
    base = create_row("base", 400)
    filler = create_row("filler", 500)
    adapter = create_adapter("a", "base", 100)
    plan_input = create_plan_input(
        [base, filler, adapter], [[base, filler], []]
    )
    assert list_loads(create_plan(plan_input)) == [("a", "t1"), ("base", "t1")]


def test_surplus_copy_is_evicted_for_a_missing_item():
    common, missing = create_row("common", 600), create_row("missing", 600)
    plan_input = create_plan_input([common, missing], [[common], [common]])
    result = create_plan(plan_input)
    assert len(result.unloads) == 1
    assert result.unloads[0].key == "common@1"
    assert result.loads[0].target == result.unloads[0].target


def test_only_copy_is_not_evicted_for_another_item():
    rows = [create_row("a", 600), create_row("b", 600)]
    result = create_plan(create_plan_input(rows, [[rows[0]]]))
    assert not result.unloads
    assert "needs 600 MB" in result.unreachable["b"]


def test_item_ready_elsewhere_is_evicted_for_one_without_copies():
    rows = [create_row("a", 600), create_row("b", 600)]
    plan_input = create_plan_input(
        rows, [[rows[0]]], ready_elsewhere=frozenset({"a@1"})
    )
    result = create_plan(plan_input)
    assert list_unloads(result) == [("a@1", "t0")]
    assert list_loads(result) == [("b", "t0")]


def test_item_in_demand_without_copies_replaces_an_idle_item():
    rows = [create_row("a", 600), create_row("b", 600)]
    plan_input = create_plan_input(rows, [[rows[0]]], rates={"b": 1.0})
    result = create_plan(plan_input)
    assert list_unloads(result) == [("a@1", "t0")]
    assert list_loads(result) == [("b", "t0")]


def test_item_does_not_replace_one_in_about_the_same_demand():
    rows = [create_row("a", 600), create_row("b", 600)]
    plan_input = create_plan_input(
        rows, [[rows[0]]], rates={"a": 0.6, "b": 1.0}
    )
    result = create_plan(plan_input)
    assert not result.unloads
    assert "b" in result.unreachable


def test_item_ready_only_in_other_domains_is_absent_not_unreachable():
    rows = [create_row("a", 600), create_row("b", 600)]
    plan_input = create_plan_input(
        rows, [[rows[0]]], ready_elsewhere=frozenset({"b@1"})
    )
    result = create_plan(plan_input)
    assert "b" in result.absent
    assert not result.unreachable


def test_copies_follow_demand():
    rows = [create_row("hot"), create_row("cold")]
    plan_input = create_plan_input(
        rows, [rows, [], []], rates={"hot": 30.0, "cold": 0.1}
    )
    assert list_loads(create_plan(plan_input)) == [("hot", "t1")]


def test_small_demand_gets_no_extra_copy():
    rows = [create_row("a")]
    plan_input = create_plan_input(rows, [rows, []], rates={"a": 0.05})
    assert not create_plan(plan_input).loads


def test_move_weight_prevents_a_copy_with_little_gain():
    rows = [create_row("a"), create_row("b")]
    plan_input = create_plan_input(
        rows, [[rows[0]], [rows[1]], []], rates={"a": 1.2, "b": 1.0}
    )
    assert create_plan(plan_input, move_weight=0.1).loads
    assert not create_plan(plan_input, move_weight=20.0).loads


def test_recently_loaded_copy_is_not_evicted():
    common, missing = create_row("common", 600), create_row("missing", 600)
    plan_input = create_plan_input([common, missing], [[common], [common]])
    for accelerator in plan_input.accelerators:
        accelerator.copies["common@1"].age_s = 10.0
    assert not create_plan(plan_input).unloads


def test_base_of_a_loaded_adapter_is_not_evicted():
    base, missing = create_row("base", 600), create_row("missing", 600)
    adapter = create_adapter("a", "base")
    plan_input = create_plan_input(
        [base, missing, adapter], [[base, adapter], [base, adapter]]
    )
    keys = {key for key, _ in list_unloads(create_plan(plan_input))}
    assert "base@1" not in keys


def test_draining_copy_is_kept_when_it_is_wanted_again():
    row = create_row("a")
    plan_input = create_plan_input([row], [[row]])
    plan_input.accelerators[0].copies["a@1"].draining = True
    result = create_plan(plan_input)
    assert result.cancelled_drains == [("t0", "a@1")]
    assert not result.loads


def test_copy_whose_unload_was_sent_is_replaced():
    row = create_row("a")
    plan_input = create_plan_input([row], [[row], []])
    copy = plan_input.accelerators[0].copies["a@1"]
    copy.draining = True
    copy.unload_sent = True
    assert list_loads(create_plan(plan_input)) == [("a", "t1")]


def test_leaving_accelerators_copies_are_replaced():
    row = create_row("a")
    plan_input = create_plan_input([row], [[row], []])
    plan_input.accelerators[0].leaving = True
    result = create_plan(plan_input)
    assert list_loads(result) == [("a", "t1")]
    assert not result.unloads


def test_off_sheet_copy_is_unloaded():
    row = create_row("gone")
    assert list_unloads(create_plan(create_plan_input([], [[row]]))) == [
        ("gone@1", "t0")
    ]


def test_min_copies_are_spread_over_the_domains():
    row = create_row("a", min_copies=5)
    plan_input = create_plan_input([row], [[], [], []], domain_count=3)
    assert len(create_plan(plan_input).loads) == 1
    plan_input = create_plan_input([row], [[row], [], []], domain_count=3)
    assert len(create_plan(plan_input).loads) == 1


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("name", list(PolicyName))
def test_plans_fit_the_memory_and_move_nothing_twice(name, seed):
    generator = random.Random(seed)
    rows = [create_row(f"m{i}", generator.randint(50, 400)) for i in range(10)]
    rows += [create_adapter(f"a{i}", f"m{i}") for i in range(4)]
    placed = [[], [], []]
    for row in rows:
        held = generator.choice(placed)
        if sum(r.memory_mb for r in held) + row.memory_mb <= USABLE_MB:
            held.append(row)
    plan_input = create_plan_input(
        rows,
        placed,
        rates={r.name: generator.uniform(0, 20) for r in rows},
        waiting_counts={r.name: generator.randint(0, 2) for r in rows},
    )
    free_mb = {a.target: a.free_mb for a in plan_input.accelerators}
    held = {a.target: set(a.copies) for a in plan_input.accelerators}
    sizes = {get_row_key(r): r.memory_mb for r in rows}
    result = create_plan(plan_input, policy=name)
    for unload in result.unloads:
        held[unload.target].remove(unload.key)
        free_mb[unload.target] += sizes[unload.key]
    for load in result.loads:
        key = f"{load.item.name}@{load.item.version}"
        assert key not in held[load.target]
        held[load.target].add(key)
        free_mb[load.target] -= load.item.memory_mb
    assert min(free_mb.values()) >= 0


def test_lru_evicts_the_least_used_for_an_item_that_waits():
    rows = [create_row("used", 400), create_row("idle", 400)]
    wanted = create_row("wanted", 400)
    plan_input = create_plan_input(
        [*rows, wanted],
        [rows],
        rates={"used": 5.0, "idle": 0.1},
        waiting_counts={"wanted": 1},
    )
    result = create_plan(plan_input, policy=PolicyName.LRU)
    assert list_unloads(result) == [("idle@1", "t0")]
    assert list_loads(result) == [("wanted", "t0")]


def test_static_fills_the_memory_evenly_and_ignores_demand():
    rows = [create_row("a", 300), create_row("b", 300)]
    plan_input = create_plan_input(rows, [[], []], rates={"a": 100.0})
    result = create_plan(plan_input, policy=PolicyName.STATIC)
    assert len(result.loads) == 4


def test_load_limits_add_up_and_are_at_least_one():
    assert compute_load_limit(7, 3, [3], 0) == 3
    assert compute_load_limit(7, 1, [0, 0], 0) == 7
    assert compute_load_limit(7, 9, [], unreachable_count=2) == 5
    assert compute_load_limit(2, 1, [50, 50], 0) == 1
    assert compute_load_limit(2, 5, [], unreachable_count=14) == 1


def create_pacer(**options):
    return LoadPacer(PlacementSettings(**options), random.Random(1))


def test_pacer_limits_the_rate_and_the_concurrent_loads():
    pacer = create_pacer(loads_per_s=2.0, concurrent_loads=3)
    pacer.update_limits(5, 0, [])
    assert pacer.is_load_allowed(ItemKind.MODEL, 0, 0.0)
    pacer.count_load(ItemKind.MODEL, 0.0)
    assert not pacer.is_load_allowed(ItemKind.MODEL, 1, 0.4)
    assert pacer.is_load_allowed(ItemKind.MODEL, 2, 0.5)
    assert not pacer.is_load_allowed(ItemKind.MODEL, 3, 9.0)


def test_pacer_limits_adapters_in_transit_over_all_domains():
    pacer = create_pacer(adapters_in_transit=16)
    wanted_loads = WantedLoads(is_reachable=True, adapters_wanted=8)
    pacer.update_limits(0, 8, [wanted_loads])
    assert pacer.is_load_allowed(ItemKind.ADAPTER, 7, 0.0)
    assert not pacer.is_load_allowed(ItemKind.ADAPTER, 8, 0.0)


def test_unreachable_domain_keeps_a_limit_of_one():
    pacer = create_pacer(concurrent_loads=2)
    pacer.update_limits(
        5, 0, [WantedLoads(is_reachable=False, models_wanted=50)]
    )
    assert pacer.is_load_allowed(ItemKind.MODEL, 0, 0.0)
    assert not pacer.is_load_allowed(ItemKind.MODEL, 1, 0.0)


def test_failures_back_off_with_jitter_up_to_the_limit():
    pacer = create_pacer(backoff_first_s=1.0, backoff_limit_s=8.0)
    waits = []
    for attempt in range(8):
        pacer.record_failure("t", "a@1", 0.0)
        wait = next(
            w / 100
            for w in range(1, 900)
            if not pacer.is_backed_off("t", "a@1", w / 100)
        )
        waits.append(wait)
        assert 2**attempt / 2 <= wait <= 8.01 or wait >= 4.0
    assert max(waits) <= 8.01
    pacer.reset_failures("t", "a@1")
    assert not pacer.is_backed_off("t", "a@1", 0.0)


def test_copy_is_added_where_one_accelerator_carries_more_than_its_share():
    """No single item has high demand, but five share one accelerator."""
    busy = [create_row(f"busy{i}", 100) for i in range(5)]
    idle = [create_row(f"idle{i}", 100) for i in range(5)]
    rates = {row.name: 2.0 for row in busy}
    plan_input = create_plan_input(busy + idle, [busy, idle], rates=rates)
    loads = list_loads(create_plan(plan_input))
    assert loads
    assert all(name.startswith("busy") for name, _ in loads)
    assert {target for _, target in loads} == {"t1"}


def test_even_load_gets_no_copy():
    left = [create_row(f"l{i}", 100) for i in range(5)]
    right = [create_row(f"r{i}", 100) for i in range(5)]
    rates = {row.name: 2.0 for row in left + right}
    plan_input = create_plan_input(left + right, [left, right], rates=rates)
    assert not create_plan(plan_input).loads
