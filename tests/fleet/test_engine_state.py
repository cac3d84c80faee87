"""The tracked state of an engine: only loads that fit are ordered."""

import pytest

from dotterelbridge.errors import InvariantViolation
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine_state import REPORT_LAG_S
from dotterelbridge.fleet.records import HeldModel
from tests.fleet.support import create_engine_state
from tests.fleet.support import create_report
from tests.routes.support import create_engine

AFTER_REPORT_LAG_S = REPORT_LAG_S + 0.1


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


def test_a_model_that_exceeds_the_memory_is_never_ordered():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    state = create_engine_state(held=["m0", "m1", "m2"], engine=engine)
    assert not state.can_load("m3")
    with pytest.raises(InvariantViolation):
        state.begin_order(load("m3"), 1.0)


def test_an_unanswered_load_counts_until_a_report_shows_otherwise():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    state = create_engine_state(held=["m0", "m1"], engine=engine)
    state.begin_order(load("m2"), 1.0)
    state.record_unanswered()
    state.apply_report(
        create_report(["m0", "m1"]), 1.0 + AFTER_REPORT_LAG_S / 4
    )
    assert not state.can_load("m3")
    state.apply_report(create_report(["m0", "m1"]), 1.0 + AFTER_REPORT_LAG_S)
    assert state.can_load("m3")


def test_only_one_load_may_follow_an_unload():
    """An engine accepts the load only after the unload is complete."""
    engine = create_engine(("m0", "m1", "m2", "m3", "m4"))
    state = create_engine_state(held=["m0", "m1", "m2"], engine=engine)
    state.begin_order(unload("m0"), 1.0)
    assert not state.can_load("m3")
    state.record_accepted(1.0, 1.0)
    assert state.can_load("m3")
    state.begin_order(load("m3", orders=1), 1.1)
    state.record_refused()
    assert state.used_mb == 300
    state.begin_order(load("m3", orders=1), 1.2)
    state.record_accepted(2.0, 1.2)
    assert sorted(state.models) == ["m1", "m2", "m3"]
    assert not state.can_load("m4")


def test_an_abandoned_unload_counts_as_loaded_until_a_report_shows_otherwise():
    engine = create_engine(("m0", "m1", "m2", "m3"))
    state = create_engine_state(held=["m0", "m1", "m2"], engine=engine)
    state.begin_order(unload("m0"), 1.0)
    state.record_accepted(1.0, 1.0)
    state.clear_model_move()
    assert not state.can_load("m3")
    state.apply_report(
        create_report(["m1", "m2"], 1), 1.0 + AFTER_REPORT_LAG_S
    )
    assert state.can_load("m3")


def test_no_load_while_a_previous_controllers_load_may_be_executing():
    """Guards against a new controller that ignores its predecessor's load.

    Seen on the day trouble-1.
    """
    state = create_engine_state(held=["m0", "m1"], is_busy=True, orders=15)
    assert state.has_foreign_load
    assert not state.takes_model_moves
    assert not state.takes_adapter_moves
    state.apply_report(create_report(["m0", "m1", "m2"], 15), 1.0)
    assert state.takes_model_moves


def test_the_unload_of_an_unused_adapter_counts_as_an_order():
    """Guards against orders with an outdated order count: 450 of 606 had one.

    The engine counts the immediate unload of an unused adapter.

    Seen on the day quiet-1.
    """
    held = [HeldModel("m0", 0, frozenset(("a1",)))]
    state = create_engine_state(held=held, orders=4)
    state.begin_order(unload("m0", "a1", 4), 1.0)
    state.record_already_done(1.0)
    assert state.orders_accepted == 5
    assert state.adapter_count == 0


def test_a_report_may_lower_the_tracked_number_of_orders():
    """An unload that waits for requests is counted only when complete."""
    held = [HeldModel("m0", 0, frozenset(("a1",)))]
    state = create_engine_state(held=held, orders=4)
    state.begin_order(unload("m0", "a1", 4), 1.0)
    state.record_accepted(1.0, 1.0)
    assert state.orders_accepted == 5
    state.apply_report(create_report(held, 4), 1.1)
    assert state.orders_accepted == 5
    state.apply_report(create_report(held, 4), 1.0 + AFTER_REPORT_LAG_S)
    assert state.orders_accepted == 4


def test_an_adapter_in_use_keeps_its_place_until_reported_unloaded():
    """Guards against a load that exceeds the engine's adapter places.

    Seen on the day scale-1.
    """
    held = [HeldModel("m0", 0, frozenset(("a1", "a2")))]
    state = create_engine_state(held=held, orders=4)
    state.begin_order(unload("m0", "a1", 4), 1.0)
    state.record_accepted(1.0, 1.0)
    assert not state.serves("m0", "a1")
    assert not state.can_load("m0", "a3")
    state.apply_report(create_report(held, 4), 1.0 + AFTER_REPORT_LAG_S)
    assert not state.can_load("m0", "a3")
    left = [HeldModel("m0", 0, frozenset(("a2",)))]
    state.apply_report(create_report(left, 5), 2.0 + AFTER_REPORT_LAG_S)
    assert state.can_load("m0", "a3")


def test_an_adapter_serves_once_its_load_is_complete():
    state = create_engine_state(held=["m0"])
    state.begin_order(load("m0", "a1"), 1.0)
    assert not state.serves("m0", "a1")
    state.record_accepted(1.0, 1.0)
    state.mark_adapter_ready("m0", "a1")
    state.apply_report(create_report(["m0"], 1), 1.1)
    assert state.serves("m0", "a1")
    state.apply_report(create_report(["m0"], 1), 1.0 + AFTER_REPORT_LAG_S)
    assert not state.serves("m0", "a1")


def test_an_adapter_with_an_unanswered_order_counts_whatever_reports_show():
    """Guards against exceeding the adapter places.

    An order was executed seconds late, after two reports without its
    adapter, when its place had been given to another one.

    Seen on the day lbc scale-1.
    """
    engine = create_engine(("m0", "m1"), memory_mb=310, adapter_places=1)
    state = create_engine_state(held=["m0"], engine=engine)
    state.begin_order(load("m0", "a1"), 1.0)
    state.apply_report(create_report(["m0"]), 1.0 + AFTER_REPORT_LAG_S)
    state.apply_report(create_report(["m0"]), 1.0 + 2 * AFTER_REPORT_LAG_S)
    assert not state.has_adapter_room("m0")
    state.record_accepted(4.0, 4.0)
    assert state.adapter_count == 1


def test_adapters_in_transit_take_adapter_places():
    state = create_engine_state(held=["m0"])
    state.apply_report(
        create_report(["m0"], loading_adapters=(("m0", "a1"), ("m0", "a2"))),
        1.0,
    )
    assert not state.can_load("m0", "a3")


def test_a_draining_model_serves_no_requests():
    state = create_engine_state(held=["m0", "m1"])
    state.start_draining("m0")
    assert not state.serves("m0")
    assert [held.model for held in state.list_served_models()] == ["m1"]
