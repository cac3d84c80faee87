"""The memory ledger, given inventories of an engine."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from dotterelbridge.errors import InvariantViolation
from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import OrderId
from dotterelbridge.membership.view import Fencing
from dotterelbridge.placement.ledger import LoadRefused
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import EngineRole
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import LoadedItem
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction

LATE_LIMIT_S = 40.0
TERM = 7


def create_ledger(fencing=Fencing.ENFORCED):
    return MemoryLedger({"t": fencing}, 10.0, LATE_LIMIT_S, 15.0)


def create_item(name, memory_mb=400):
    return EngineItem(
        kind=ItemKind.MODEL, name=name, version="1", memory_mb=memory_mb
    )


def create_order(number, action, item, term=TERM, role=None):
    return EngineOrder(
        order_id=OrderId(f"o{number}"),
        fencing_number=FencingNumber(term),
        action=action,
        item=item,
        role=role,
    )


def create_inventory(sequence, *items, **options):
    values = {
        "incarnation": "one",
        "kv_reserved_mb": 100,
        "fencing_number": FencingNumber(TERM),
    }
    return Inventory(
        target="t",
        memory_mb=1000,
        role=EngineRole.MIXED,
        items=[LoadedItem(item=item, state=LoadState.READY) for item in items],
        running=0,
        waiting=0,
        sequence=sequence,
        **(values | options),
    )


def load(ledger, number, item, now=0.0):
    order = create_order(number, OrderAction.LOAD, item)
    return ledger.open_load("t", order, now)


def get_accelerator(ledger):
    return ledger.accelerators["t"]


def test_unsettled_load_counts():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1), 0.0)
    load(ledger, 1, create_item("a", 500))
    with pytest.raises(LoadRefused, match="not enough free memory"):
        load(ledger, 2, create_item("b", 500))


def test_kv_room_is_kept_even_if_the_engine_reserves_less():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1, kv_reserved_mb=0), 0.0)
    with pytest.raises(LoadRefused):
        load(ledger, 1, create_item("a", 901))
    load(ledger, 2, create_item("a", 900))


def test_unload_frees_memory_only_when_it_is_seen():
    ledger = create_ledger()
    item = create_item("a", 800)
    ledger.apply_inventory(create_inventory(1, item), 0.0)
    order = create_order(1, OrderAction.UNLOAD, item)
    ledger.open_unload("t", order, 0.0)
    with pytest.raises(LoadRefused):
        load(ledger, 2, create_item("b", 800))
    ledger.apply_inventory(create_inventory(2), 1.0)
    load(ledger, 3, create_item("b", 800), 1.0)


def test_engine_without_a_recent_inventory_gets_no_load():
    ledger = create_ledger()
    with pytest.raises(LoadRefused, match="no recent inventory"):
        load(ledger, 1, create_item("a"))
    ledger.apply_inventory(create_inventory(1), 0.0)
    with pytest.raises(LoadRefused, match="no recent inventory"):
        load(ledger, 2, create_item("a"), 15.1)


def test_enforcing_engine_gets_no_load_before_it_knows_the_term():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1, fencing_number=TERM - 1), 0.0)
    with pytest.raises(LoadRefused, match="fencing number"):
        load(ledger, 1, create_item("a"))


def test_higher_fencing_number_frees_a_restored_load_if_enforced():
    ledger = create_ledger()
    old = create_order(1, OrderAction.LOAD, create_item("a", 800), term=3)
    restore(ledger, old)
    ledger.apply_inventory(create_inventory(1, fencing_number=3), 0.0)
    assert get_accelerator(ledger).free_mb == 100
    ledger.apply_inventory(create_inventory(2), 1.0)
    assert get_accelerator(ledger).free_mb == 900


def test_restored_load_counts_until_the_limit_at_an_ignoring_engine():
    ledger = create_ledger(Fencing.IGNORED)
    old = create_order(1, OrderAction.LOAD, create_item("a", 800), term=3)
    restore(ledger, old)
    ledger.apply_inventory(create_inventory(1), 0.0)
    assert get_accelerator(ledger).free_mb == 100
    ledger.remove_expired_orders(LATE_LIMIT_S - 0.1)
    assert get_accelerator(ledger).free_mb == 100
    ledger.remove_expired_orders(LATE_LIMIT_S)
    assert get_accelerator(ledger).free_mb == 900


def restore(ledger, order):
    source = create_ledger()
    source.apply_inventory(create_inventory(1, fencing_number=3), 0.0)
    opened = source.open_load("t", order, 0.0)
    ledger.restore(
        [opened.encode()], 0.0, record_lost=False, had_earlier_holder=True
    )


def test_restarted_engine_may_take_its_settled_orders_again():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1), 0.0)
    item = create_item("a", 500)
    load(ledger, 1, item)
    settled = create_inventory(2, item, settled_orders=[OrderId("o1")])
    ledger.apply_inventory(settled, 1.0)
    ledger.apply_inventory(create_inventory(0, incarnation="two"), 2.0)
    assert get_accelerator(ledger).free_mb == 400
    assert get_accelerator(ledger).needs_higher_fencing_number(TERM)
    ledger.apply_inventory(
        create_inventory(1, incarnation="two", fencing_number=TERM + 1), 3.0
    )
    assert get_accelerator(ledger).free_mb == 900


def test_inventory_of_an_earlier_incarnation_or_sequence_is_ignored():
    ledger = create_ledger()
    item = create_item("a")
    ledger.apply_inventory(create_inventory(5, item), 0.0)
    ledger.apply_inventory(create_inventory(4), 1.0)
    assert "a@1" in get_accelerator(ledger).copies
    ledger.apply_inventory(create_inventory(1, item, incarnation="two"), 2.0)
    ledger.apply_inventory(create_inventory(9), 3.0)
    assert get_accelerator(ledger).incarnation == "two"
    assert "a@1" in get_accelerator(ledger).copies


def test_contradicting_inventories_of_one_sequence_both_count():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(5, create_item("a")), 0.0)
    ledger.apply_inventory(create_inventory(5, create_item("b")), 1.0)
    assert get_accelerator(ledger).free_mb == 100


def test_overfull_inventory_stops_loads_and_is_no_violation():
    ledger = create_ledger()
    items = [create_item("a", 500), create_item("b", 500)]
    ledger.apply_inventory(create_inventory(1, *items), 0.0)
    with pytest.raises(LoadRefused, match="more than the accelerator"):
        load(ledger, 1, create_item("c", 1))


def test_record_lost_blocks_ignoring_engines_until_the_limit():
    ledger = create_ledger(Fencing.IGNORED)
    ledger.restore([], 0.0, record_lost=True, had_earlier_holder=False)
    ledger.apply_inventory(create_inventory(1), 30.0)
    with pytest.raises(LoadRefused, match="record was lost"):
        load(ledger, 1, create_item("a"), 39.9)
    load(ledger, 2, create_item("a"), LATE_LIMIT_S)


@pytest.mark.parametrize("had_earlier_holder", [True, False])
def test_engine_without_a_number_waits_only_after_an_earlier_holder(
    had_earlier_holder,
):
    ledger = create_ledger()
    ledger.restore(
        [], 0.0, record_lost=True, had_earlier_holder=had_earlier_holder
    )
    ledger.apply_inventory(create_inventory(1, fencing_number=0), 0.0)
    ledger.apply_inventory(create_inventory(2), 1.0)
    item = create_item("a")
    refusal_reason = ledger.find_refusal_reason("t", item, TERM, 1.0)
    assert (refusal_reason is not None) == had_earlier_holder


def test_role_change_commits_the_larger_kv_room_until_it_is_settled():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1, create_item("a")), 0.0)
    order = create_order(
        1, OrderAction.CHANGE_ROLE, None, role=EngineRole.DECODE
    )
    with pytest.raises(LoadRefused):
        ledger.open_role_change("t", order, 700, 0.0)
    ledger.open_role_change("t", order, 600, 0.0)
    with pytest.raises(LoadRefused, match="role change"):
        load(ledger, 2, create_item("b", 1))
    settled = create_inventory(
        2,
        create_item("a"),
        kv_reserved_mb=600,
        settled_orders=[OrderId("o1")],
    )
    ledger.apply_inventory(settled, 1.0)
    assert get_accelerator(ledger).free_mb == 0
    assert not get_accelerator(ledger).role_change_kv_mb


def test_invariant_stops_a_commitment_beyond_the_memory():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1), 0.0)
    ledger.find_refusal_reason = lambda *_: None
    with pytest.raises(InvariantViolation, match="over-committed"):
        load(ledger, 1, create_item("a", 901))


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["load", "unload", "deliver", "drop", "restart", "report", "wait"]
        ),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


class SimulatedEngine:
    """The actual state of an engine and the orders in transit to it."""

    def __init__(self, fencing):
        self.ledger = create_ledger(fencing)
        self.ledger.apply_inventory(create_inventory(0), 0.0)
        self.items = {}
        self.orders_in_transit = []
        self.incarnation = 1
        self.sequence = 1
        self.now = 0.0
        self.number = 0

    def perform(self, action, choice):
        getattr(self, action)(choice)

    def load(self, choice):
        self.number += 1
        item = create_item(f"m{choice}", 150 + 50 * choice)
        order = create_order(self.number, OrderAction.LOAD, item)
        try:
            self.ledger.open_load("t", order, self.now)
        except LoadRefused:
            return
        self.orders_in_transit.append((order, self.now))

    def unload(self, choice):
        self.items.pop(f"m{choice}@1", None)
        self.sequence += 1

    def deliver(self, choice):
        if not self.orders_in_transit:
            return
        order, sent_at = self.orders_in_transit[
            choice % len(self.orders_in_transit)
        ]
        if self.now - sent_at < LATE_LIMIT_S:
            self.items[f"{order.item.name}@1"] = order.item
            self.sequence += 1

    def drop(self, choice):
        if self.orders_in_transit:
            self.orders_in_transit.pop(choice % len(self.orders_in_transit))

    def restart(self, choice):
        self.items.clear()
        self.incarnation += 1
        self.sequence = 0

    def report(self, choice):
        inventory = create_inventory(
            self.sequence,
            *self.items.values(),
            incarnation=f"incarnation-{self.incarnation}",
        )
        self.ledger.apply_inventory(inventory, self.now)

    def wait(self, choice):
        self.now += 7.0
        self.ledger.remove_expired_orders(self.now)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(actions=ACTIONS, fencing=strategies.sampled_from(list(Fencing)))
def test_engine_stays_within_memory_after_any_sequence_of_events(
    actions, fencing
):
    """Orders arrive at once, late, twice or never, but within the limit."""
    engine = SimulatedEngine(fencing)
    for action, choice in actions:
        engine.perform(action, choice)
        used_mb = sum(item.memory_mb for item in engine.items.values())
        assert used_mb + 100 <= 1000


def test_open_order_is_restored_from_the_record():
    ledger = create_ledger()
    ledger.apply_inventory(create_inventory(1), 0.0)
    opened = load(ledger, 1, create_item("a"))
    successor = create_ledger()
    successor.restore(
        [opened.encode()], 5.0, record_lost=False, had_earlier_holder=True
    )
    restored = get_accelerator(successor).orders[OrderId("o1")]
    assert msgspec.to_builtins(restored.order) == msgspec.to_builtins(
        opened.order
    )
    assert restored.expires_at == 5.0 + LATE_LIMIT_S


def test_items_that_an_engine_started_with_are_no_sign_of_earlier_holders():
    ledger = create_ledger()
    ledger.restore([], 0.0, record_lost=True, had_earlier_holder=False)
    item = create_item("preloaded")
    ledger.apply_inventory(create_inventory(1, item, fencing_number=0), 0.0)
    ledger.apply_inventory(create_inventory(2, item), 1.0)
    load(ledger, 1, create_item("a"), 1.0)


def test_number_of_one_engine_makes_an_engine_without_a_number_wait():
    ledger = MemoryLedger(
        {"t": Fencing.ENFORCED, "u": Fencing.ENFORCED},
        10.0,
        LATE_LIMIT_S,
        15.0,
    )
    ledger.restore([], 0.0, record_lost=True, had_earlier_holder=False)
    other = msgspec.structs.replace(
        create_inventory(1, fencing_number=3), target="u"
    )
    ledger.apply_inventory(other, 0.0)
    ledger.apply_inventory(create_inventory(1, fencing_number=0), 0.0)
    ledger.apply_inventory(create_inventory(2), 1.0)
    with pytest.raises(LoadRefused, match="record was lost"):
        load(ledger, 1, create_item("a"), 1.0)
