"""What an engine holds: nothing is ordered that may not fit."""

import pytest

from dotterelbridge.errors import InvariantViolation
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine_state import REPORT_LAG_S
from dotterelbridge.fleet.records import HeldModel
from tests.fleet.support import create_account
from tests.fleet.support import create_report
from tests.routes.support import create_engine

LATER = REPORT_LAG_S + 0.1


def load(model, adapter="", orders=0):
    return Order(
        kind=OrderKind.LOAD,
        model=model,
        adapter=adapter,
        expected_orders=orders,
    )


def unload(model, adapter="", orders=0):
    return Order(
        kind=OrderKind.UNLOAD,
        model=model,
        adapter=adapter,
        expected_orders=orders,
    )


def test_a_model_beyond_the_memory_is_never_ordered():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    account = create_account(held=["m0", "m1", "m2"], engine=engine)
    assert not account.fits("m3")
    with pytest.raises(InvariantViolation):
        account.open_order(load("m3"), 1.0)


def test_an_unanswered_load_counts_until_a_report_tells_otherwise():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    account = create_account(held=["m0", "m1"], engine=engine)
    account.open_order(load("m2"), 1.0)
    account.settle_unanswered()
    account.apply_report(create_report(["m0", "m1"]), 1.0 + LATER / 4)
    assert not account.fits("m3")
    account.apply_report(create_report(["m0", "m1"]), 1.0 + LATER)
    assert account.fits("m3")


def test_one_load_may_follow_an_unload_and_no_second_one():
    """An engine accepts the load only when the unload is done."""
    engine = create_engine(("m0", "m1", "m2", "m3", "m4"))
    account = create_account(held=["m0", "m1", "m2"], engine=engine)
    account.open_order(unload("m0"), 1.0)
    assert not account.fits("m3")
    account.settle_accepted(1.0, 1.0)
    assert account.fits("m3")
    account.open_order(load("m3", orders=1), 1.1)
    account.settle_refused()
    assert account.used_mb == 300
    account.open_order(load("m3", orders=1), 1.2)
    account.settle_accepted(2.0, 1.2)
    assert sorted(account.models) == ["m1", "m2", "m3"]
    assert not account.fits("m4")


def test_an_unload_that_was_given_up_counts_until_a_report_tells():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    account = create_account(held=["m0", "m1", "m2"], engine=engine)
    account.open_order(unload("m0"), 1.0)
    account.settle_accepted(1.0, 1.0)
    account.give_up_moving()
    assert not account.fits("m3")
    account.apply_report(create_report(["m1", "m2"], 1), 1.0 + LATER)
    assert account.fits("m3")


def test_no_load_while_another_holders_may_be_under_way():
    """Seen on trouble-1: a new holder did not see the old one's load."""
    account = create_account(held=["m0", "m1"], is_busy=True, orders=15)
    assert account.has_foreign_load
    assert not account.takes_model_moves
    assert not account.takes_adapter_moves
    account.apply_report(create_report(["m0", "m1", "m2"], 15), 1.0)
    assert account.takes_model_moves


def test_the_unload_of_an_unused_adapter_counts_as_an_order():
    """Seen on quiet-1: 450 of 606 orders named the number before."""
    held = [HeldModel("m0", 0, frozenset(("a1",)))]
    account = create_account(held=held, orders=4)
    account.open_order(unload("m0", "a1", 4), 1.0)
    account.settle_held(1.0)
    assert account.orders_accepted == 5
    assert account.adapter_count == 0


def test_the_number_of_orders_may_be_lower_than_was_thought():
    """An unload that waits is accepted, and counted when it is done."""
    held = [HeldModel("m0", 0, frozenset(("a1",)))]
    account = create_account(held=held, orders=4)
    account.open_order(unload("m0", "a1", 4), 1.0)
    account.settle_accepted(1.0, 1.0)
    assert account.orders_accepted == 5
    account.apply_report(create_report(held, 4), 1.1)
    assert account.orders_accepted == 5
    account.apply_report(create_report(held, 4), 1.0 + LATER)
    assert account.orders_accepted == 4


def test_an_adapter_in_use_keeps_its_place_until_it_is_seen_gone():
    """Seen on scale-1: the next one was one too many for the engine."""
    held = [HeldModel("m0", 0, frozenset(("a1", "a2")))]
    account = create_account(held=held, orders=4)
    account.open_order(unload("m0", "a1", 4), 1.0)
    account.settle_accepted(1.0, 1.0)
    assert not account.serves("m0", "a1")
    assert not account.fits("m0", "a3")
    account.apply_report(create_report(held, 4), 1.0 + LATER)
    assert not account.fits("m0", "a3")
    left = [HeldModel("m0", 0, frozenset(("a2",)))]
    account.apply_report(create_report(left, 5), 2.0 + LATER)
    assert account.fits("m0", "a3")


def test_an_adapter_serves_once_its_load_is_finished():
    account = create_account(held=["m0"])
    account.open_order(load("m0", "a1"), 1.0)
    assert not account.serves("m0", "a1")
    account.settle_accepted(1.0, 1.0)
    account.finish_adapter("m0", "a1")
    account.apply_report(create_report(["m0"], 1), 1.1)
    assert account.serves("m0", "a1")
    account.apply_report(create_report(["m0"], 1), 1.0 + LATER)
    assert not account.serves("m0", "a1")


def test_an_adapter_whose_order_is_open_counts_whatever_reports_show():
    """Seen on lbc scale-1: an order carried out seconds late, after two
    reports without its adapter, was one more than the engine's places.
    """
    engine = create_engine(("m0", "m1"), memory_mb=310, adapter_places=1)
    account = create_account(held=["m0"], engine=engine)
    account.open_order(load("m0", "a1"), 1.0)
    account.apply_report(create_report(["m0"]), 1.0 + LATER)
    account.apply_report(create_report(["m0"]), 1.0 + 2 * LATER)
    assert not account.has_adapter_room("m0")
    account.settle_accepted(4.0, 4.0)
    assert account.adapter_count == 1


def test_adapter_places_count_what_is_on_its_way():
    account = create_account(held=["m0"])
    account.apply_report(
        create_report(["m0"], loading_adapters=(("m0", "a1"), ("m0", "a2"))),
        1.0,
    )
    assert not account.fits("m0", "a3")


def test_a_model_taken_out_of_use_serves_nobody():
    account = create_account(held=["m0", "m1"])
    account.start_dropping("m0")
    assert not account.serves("m0")
    assert [held.model for held in account.list_served()] == ["m1"]
