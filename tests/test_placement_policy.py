"""What the placement policies decide, and how loads are paced."""

import random

import pytest

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import Priority
from dotterelbridge.placement.pacing import DomainWish
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.pacing import share_limit
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


def create_state(rows, placed, **options):
    """Return accelerators that hold the rows of ``placed``."""
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


def plan(state, **options):
    return create_policy(PlacementSettings(**options)).plan(state)


def loads_of(result):
    return sorted((load.item.name, load.target) for load in result.loads)


def unloads_of(result):
    return sorted((unload.key, unload.target) for unload in result.unloads)


def test_missing_items_are_spread_over_idle_accelerators():
    rows = [create_row("a", 500), create_row("b", 500)]
    result = plan(create_state(rows, [[], []]))
    assert {target for _, target in loads_of(result)} == {"t0", "t1"}


def test_urgent_items_are_loaded_first():
    rows = [
        create_row("slow", priority=Priority.BACKGROUND),
        create_row("fast", priority=Priority.URGENT),
    ]
    result = plan(create_state(rows, [[]]))
    first = min(result.loads, key=lambda load: load.urgency)
    assert first.item.name == "fast"


def test_item_that_is_nowhere_goes_before_one_that_other_domains_have():
    rows = [
        create_row("there", priority=Priority.URGENT),
        create_row("nowhere", priority=Priority.BACKGROUND),
    ]
    state = create_state(rows, [[]], elsewhere=frozenset({"there@1"}))
    first = min(plan(state).loads, key=lambda load: load.urgency)
    assert first.item.name == "nowhere"


def test_adapter_goes_beside_its_base():
    base, other = create_row("base"), create_row("other")
    adapter = create_adapter("a", "base")
    state = create_state([base, other, adapter], [[other], [base]])
    assert loads_of(plan(state)) == [("a", "t1")]


def test_base_gets_a_further_copy_where_no_base_has_room_for_the_adapter():
    base = create_row("base", 400)
    filler = create_row("filler", 500)
    adapter = create_adapter("a", "base", 100)
    state = create_state([base, filler, adapter], [[base, filler], []])
    assert loads_of(plan(state)) == [("a", "t1"), ("base", "t1")]


def test_surplus_copy_makes_room_for_a_missing_item():
    common, missing = create_row("common", 600), create_row("missing", 600)
    state = create_state([common, missing], [[common], [common]])
    result = plan(state)
    assert len(result.unloads) == 1
    assert result.unloads[0].key == "common@1"
    assert result.loads[0].target == result.unloads[0].target


def test_only_copy_is_not_given_up_for_another_item():
    rows = [create_row("a", 600), create_row("b", 600)]
    result = plan(create_state(rows, [[rows[0]]]))
    assert not result.unloads
    assert "needs 600 MB" in result.unreachable["b"]


def test_item_reachable_elsewhere_makes_room_for_one_that_is_nowhere():
    rows = [create_row("a", 600), create_row("b", 600)]
    state = create_state(rows, [[rows[0]]], elsewhere=frozenset({"a@1"}))
    result = plan(state)
    assert unloads_of(result) == [("a@1", "t0")]
    assert loads_of(result) == [("b", "t0")]


def test_item_in_demand_that_is_nowhere_takes_an_idle_items_room():
    rows = [create_row("a", 600), create_row("b", 600)]
    state = create_state(rows, [[rows[0]]], rates={"b": 1.0})
    result = plan(state)
    assert unloads_of(result) == [("a@1", "t0")]
    assert loads_of(result) == [("b", "t0")]


def test_item_takes_no_room_from_one_in_about_the_same_demand():
    rows = [create_row("a", 600), create_row("b", 600)]
    state = create_state(rows, [[rows[0]]], rates={"a": 0.6, "b": 1.0})
    result = plan(state)
    assert not result.unloads
    assert "b" in result.unreachable


def test_item_that_only_other_domains_have_is_absent_not_unreachable():
    rows = [create_row("a", 600), create_row("b", 600)]
    state = create_state(rows, [[rows[0]]], elsewhere=frozenset({"b@1"}))
    result = plan(state)
    assert "b" in result.absent
    assert not result.unreachable


def test_copies_follow_demand():
    rows = [create_row("hot"), create_row("cold")]
    state = create_state(
        rows, [rows, [], []], rates={"hot": 30.0, "cold": 0.1}
    )
    assert loads_of(plan(state)) == [("hot", "t1")]


def test_small_demand_gets_no_further_copy():
    rows = [create_row("a")]
    state = create_state(rows, [rows, []], rates={"a": 0.05})
    assert not plan(state).loads


def test_move_weight_keeps_a_copy_that_gains_little():
    rows = [create_row("a"), create_row("b")]
    state = create_state(
        rows, [[rows[0]], [rows[1]], []], rates={"a": 1.2, "b": 1.0}
    )
    assert plan(state, move_weight=0.1).loads
    assert not plan(state, move_weight=20.0).loads


def test_young_copy_is_not_given_up():
    common, missing = create_row("common", 600), create_row("missing", 600)
    state = create_state([common, missing], [[common], [common]])
    for accelerator in state.accelerators:
        accelerator.copies["common@1"].age_s = 10.0
    assert not plan(state).unloads


def test_base_under_an_adapter_is_not_given_up():
    base, missing = create_row("base", 600), create_row("missing", 600)
    adapter = create_adapter("a", "base")
    state = create_state(
        [base, missing, adapter], [[base, adapter], [base, adapter]]
    )
    keys = {key for key, _ in unloads_of(plan(state))}
    assert "base@1" not in keys


def test_draining_copy_is_kept_when_it_is_wanted_again():
    row = create_row("a")
    state = create_state([row], [[row]])
    state.accelerators[0].copies["a@1"].draining = True
    result = plan(state)
    assert result.revived == [("t0", "a@1")]
    assert not result.loads


def test_copy_whose_unload_was_sent_is_not_counted_on():
    row = create_row("a")
    state = create_state([row], [[row], []])
    copy = state.accelerators[0].copies["a@1"]
    copy.draining = True
    copy.unload_sent = True
    assert loads_of(plan(state)) == [("a", "t1")]


def test_leaving_accelerators_copies_are_replaced():
    row = create_row("a")
    state = create_state([row], [[row], []])
    state.accelerators[0].leaving = True
    result = plan(state)
    assert loads_of(result) == [("a", "t1")]
    assert not result.unloads


def test_off_sheet_copy_is_unloaded():
    row = create_row("gone")
    assert unloads_of(plan(create_state([], [[row]]))) == [("gone@1", "t0")]


def test_min_copies_are_spread_over_the_domains():
    row = create_row("a", min_copies=5)
    state = create_state([row], [[], [], []], domain_count=3)
    assert len(plan(state).loads) == 1
    state = create_state([row], [[row], [], []], domain_count=3)
    assert len(plan(state).loads) == 1


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
    state = create_state(
        rows,
        placed,
        rates={r.name: generator.uniform(0, 20) for r in rows},
        waiting={r.name: generator.randint(0, 2) for r in rows},
    )
    free_mb = {a.target: a.free_mb for a in state.accelerators}
    held = {a.target: set(a.copies) for a in state.accelerators}
    sizes = {get_row_key(r): r.memory_mb for r in rows}
    result = plan(state, policy=name)
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
    state = create_state(
        [*rows, wanted],
        [rows],
        rates={"used": 5.0, "idle": 0.1},
        waiting={"wanted": 1},
    )
    result = plan(state, policy=PolicyName.LRU)
    assert unloads_of(result) == [("idle@1", "t0")]
    assert loads_of(result) == [("wanted", "t0")]


def test_static_fills_the_memory_evenly_and_ignores_demand():
    rows = [create_row("a", 300), create_row("b", 300)]
    state = create_state(rows, [[], []], rates={"a": 100.0})
    result = plan(state, policy=PolicyName.STATIC)
    assert len(result.loads) == 4


def test_shares_of_the_weight_store_add_up_and_keep_a_floor():
    assert share_limit(7, 3, [3], 0) == 3
    assert share_limit(7, 1, [0, 0], 0) == 7
    assert share_limit(7, 9, [], silent=2) == 5
    assert share_limit(2, 1, [50, 50], 0) == 1
    assert share_limit(2, 5, [], silent=14) == 1


def create_pacer(**options):
    return LoadPacer(PlacementSettings(**options), random.Random(1))


def test_pacer_keeps_the_rate_and_the_loads_at_once():
    pacer = create_pacer(loads_per_s=2.0, concurrent_loads=3)
    pacer.set_shares(5, 0, [])
    assert pacer.may_load(ItemKind.MODEL, 0, 0.0)
    pacer.note_load(ItemKind.MODEL, 0.0)
    assert not pacer.may_load(ItemKind.MODEL, 1, 0.4)
    assert pacer.may_load(ItemKind.MODEL, 2, 0.5)
    assert not pacer.may_load(ItemKind.MODEL, 3, 9.0)


def test_pacer_limits_adapters_in_transit_over_all_domains():
    pacer = create_pacer(adapters_in_transit=16)
    wish = DomainWish(heard=True, adapters_wanting=8)
    pacer.set_shares(0, 8, [wish])
    assert pacer.may_load(ItemKind.ADAPTER, 7, 0.0)
    assert not pacer.may_load(ItemKind.ADAPTER, 8, 0.0)


def test_silent_domain_keeps_a_floor_of_one():
    pacer = create_pacer(concurrent_loads=2)
    pacer.set_shares(5, 0, [DomainWish(heard=False, wanting=50)])
    assert pacer.may_load(ItemKind.MODEL, 0, 0.0)
    assert not pacer.may_load(ItemKind.MODEL, 1, 0.0)


def test_failures_back_off_with_jitter_up_to_the_limit():
    pacer = create_pacer(backoff_first_s=1.0, backoff_limit_s=8.0)
    waits = []
    for attempt in range(8):
        pacer.note_failure("t", "a@1", 0.0)
        wait = next(
            w / 100
            for w in range(1, 900)
            if not pacer.is_backed_off("t", "a@1", w / 100)
        )
        waits.append(wait)
        assert 2**attempt / 2 <= wait <= 8.01 or wait >= 4.0
    assert max(waits) <= 8.01
    pacer.note_success("t", "a@1")
    assert not pacer.is_backed_off("t", "a@1", 0.0)


def test_copy_is_added_where_one_accelerator_carries_more_than_its_share():
    """No item is hot by itself, but the five stand together."""
    busy = [create_row(f"busy{i}", 100) for i in range(5)]
    idle = [create_row(f"idle{i}", 100) for i in range(5)]
    rates = {row.name: 2.0 for row in busy}
    state = create_state(busy + idle, [busy, idle], rates=rates)
    loads = loads_of(plan(state))
    assert loads
    assert all(name.startswith("busy") for name, _ in loads)
    assert {target for _, target in loads} == {"t1"}


def test_even_load_gets_no_copy():
    left = [create_row(f"l{i}", 100) for i in range(5)]
    right = [create_row(f"r{i}", 100) for i in range(5)]
    rates = {row.name: 2.0 for row in left + right}
    state = create_state(left + right, [left, right], rates=rates)
    assert not plan(state).loads
