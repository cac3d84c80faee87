"""One VM at a time sends orders, each for one state of the engine."""

from datetime import timedelta
import time

import anyio
import msgspec
import pytest
import structlog

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.authority_table import AuthorityTable
from dotterelbridge.fleet.authority_table import decode_previous_holder
from dotterelbridge.fleet.authority_table import encode_claim
from dotterelbridge.fleet.controller import create_fleet_controller
from dotterelbridge.fleet.demand import DemandTracker
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine import Verdict
from dotterelbridge.fleet.errors import EngineCallFailed
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.target_evidence import TargetEvidence
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_report
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import LLM
from tests.routes.support import activate_route_set
from tests.routes.support import create_engine
from tests.routes.support import create_route_set

SETTINGS = FleetSettings()
WAIT_TIMEOUT_S = 60
PLATFORM_LEASE_S = 3.0
"""The platform's lease time, in which orders may not come from two VMs."""


class FakeEngine(EngineControl):
    """An engine that executes orders immediately or does not answer."""

    def __init__(self, held=("m0",)) -> None:
        self.models = set(held)
        self.accepted = 0
        self.orders = []
        self.unanswered_orders = 0
        self.is_busy = False
        self.is_dead = False
        self.is_replaced = False
        self.on_connect = None
        """Called when a connection for an order is open."""
        self.clock = LoopClock()

    async def fetch_report(self, target, timeout):
        if self.is_dead:
            raise EngineCallFailed("connection reset", "check the engine")
        return create_report(
            sorted(self.models), self.accepted, is_busy=self.is_busy
        )

    async def send_order(
        self, target, order, holder, fencing_number, timeout, may_send
    ):
        if self.on_connect is not None:
            await anyio.sleep(0.01)
            self.on_connect()
            if not may_send():
                raise EngineCallFailed("not sent", "nothing to do")
        now = self.clock.monotonic()
        self.orders.append((now, holder, fencing_number, order))
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            await anyio.sleep(timeout.total_seconds())
            raise EngineCallFailed("no answer", "send it again")
        if self.is_replaced:
            return Verdict.OTHER_INCARNATION
        is_load = order.kind is OrderKind.LOAD
        if is_load and order.model in self.models:
            return Verdict.ALREADY_DONE
        if order.expected_orders != self.accepted:
            return Verdict.BUSY
        self.accepted += 1
        if is_load:
            self.models.add(order.model)
        else:
            self.models.discard(order.model)
        return Verdict.ACCEPTED


class FakeLog:
    """A replicated log whose leadership the test sets."""

    def __init__(self, table: AuthorityTable) -> None:
        self.table = table
        self.is_leading = True
        self.term = 1

    def has_leader_lease(self) -> bool:
        return self.is_leading

    async def propose(self, machine, command, timeout):
        await anyio.sleep(0.05)
        return self.table.apply(1, command)


class ControllerHarness:
    """A control VM that may send orders to one engine."""

    def __init__(self, tasks, table=None, vm="c1", settings=SETTINGS) -> None:
        clock = LoopClock()
        self.table = table or AuthorityTable()
        self.log = FakeLog(self.table)
        self.engine = FakeEngine()
        self.fleet_state = FleetState(clock)
        self.fleet_state.update([create_target("e1", held=["m0"])])
        self.demand = DemandTracker(clock)
        names = ("m0", "m1", "m2", "m3")
        routes = activate_route_set(
            create_route_set(engine=create_engine(names, adapter_places=0))
        )
        self.controller = create_fleet_controller(
            vm,
            self.log,
            self.fleet_state,
            routes,
            self.demand,
            self.engine,
            settings,
            clock,
            TargetEvidence(self.fleet_state, clock, lambda: True),
        )
        self.service = routes.find_service(LLM)
        tasks.start_soon(self.controller.run)

    def report_waiting_request(self, model) -> None:
        """Report that a request waits for a model."""
        items = (ItemDemand(key(model), 1, 0, 1),)
        self.demand.add_report(DemandReport(entry_vm="f1", items=items))
        self.controller.request_plan()

    async def wait(self, condition) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await anyio.sleep(0.01)


def run_controller_test(test, **fields) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            await test(ControllerHarness(tasks, **fields))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def test_a_requested_model_is_loaded_and_published():
    async def test(harness):
        harness.report_waiting_request("m1")
        await harness.wait(
            lambda: harness.fleet_state.targets["e1"].holds("m1")
        )

    run_controller_test(test)


def test_an_unanswered_order_is_resent_with_the_same_order_count():
    async def test(harness):
        harness.engine.unanswered_orders = 2
        harness.report_waiting_request("m1")
        await harness.wait(lambda: "m1" in harness.engine.models)
        sent = [order for _, _, _, order in harness.engine.orders[:3]]
        assert len({order.expected_orders for order in sent}) == 1
        assert len({order.model for order in sent}) == 1

    run_controller_test(test)


def test_no_order_is_sent_if_the_lease_expires_while_connecting():
    """A process that is frozen at that point wakes with an open connection.

    Its successor has begun to send orders meanwhile.
    """

    async def test(harness):
        connected = []

        def expire_lease():
            connected.append(True)
            harness.log.is_leading = False

        harness.engine.on_connect = expire_lease
        harness.report_waiting_request("m1")
        await harness.wait(lambda: connected)
        await anyio.sleep(1)
        assert not harness.engine.orders

    run_controller_test(test)


def test_the_first_controller_does_not_wait():
    async def test(harness):
        harness.report_waiting_request("m1")
        await harness.wait(lambda: harness.engine.orders)
        assert harness.engine.orders[0][0] < PLATFORM_LEASE_S

    run_controller_test(test)


def test_a_new_controller_sends_no_order_while_the_previous_one_may():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 0))

    async def test(harness):
        elected_at = LoopClock().monotonic()
        harness.report_waiting_request("m1")
        await harness.wait(lambda: harness.engine.orders)
        assert harness.engine.orders[0][0] - elected_at > PLATFORM_LEASE_S

    run_controller_test(test, table=table)


def measure_first_order_s(claims) -> float:
    """Return the seconds until c1 sends an order after earlier claims."""
    table = AuthorityTable()
    for index, claim in enumerate(claims, start=1):
        table.apply(index, claim)
    waits_s = []

    async def test(harness):
        elected_at = LoopClock().monotonic()
        harness.log.term = 9
        harness.report_waiting_request("m1")
        await harness.wait(lambda: harness.engine.orders)
        waits_s.append(harness.engine.orders[0][0] - elected_at)

    run_controller_test(test, table=table)
    return waits_s[0]


def test_the_controller_resumes_immediately_after_a_restart():
    """Covers a restart after all processes were killed at the same time."""
    claims = [
        encode_claim("c0", 1),
        encode_claim("c1", 2),
        encode_claim("c1", 2, is_exclusive=True),
    ]
    assert measure_first_order_s(claims) < 1


def test_a_controller_that_restarts_during_its_wait_waits_again():
    claims = [encode_claim("c0", 1), encode_claim("c1", 2)]
    assert measure_first_order_s(claims) > PLATFORM_LEASE_S


def test_a_controller_waits_for_one_that_was_active_in_between():
    claims = [
        encode_claim("c1", 1, is_exclusive=True),
        encode_claim("c0", 2),
    ]
    assert measure_first_order_s(claims) > PLATFORM_LEASE_S


def test_a_late_claim_of_a_previous_leader_is_ignored():
    claims = [
        encode_claim("c1", 2),
        encode_claim("c0", 3),
        encode_claim("c1", 2, is_exclusive=True),
    ]
    assert measure_first_order_s(claims) > PLATFORM_LEASE_S


def test_after_its_wait_a_controller_has_no_predecessor_to_wait_for():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 0))

    async def test(harness):
        await harness.wait(lambda: harness.controller.can_send_orders)

    run_controller_test(test, table=table)
    result = decode_previous_holder(table.apply(9, encode_claim("c1", 7)))
    assert result is None


def test_an_address_reused_by_another_engine_gets_one_order():
    """Guards against forty orders per second to an address that another
    engine has taken over, until the platform's list drops the old engine.

    Seen on the day lbc scale-1.
    """

    async def test(harness):
        harness.engine.is_replaced = True
        harness.report_waiting_request("m1")
        await harness.wait(lambda: harness.engine.orders)
        await anyio.sleep(2)
        assert len(harness.engine.orders) == 1
        assert not harness.fleet_state.targets["e1"].takes_new_work

    run_controller_test(test)


def test_a_model_without_room_on_any_engine_is_logged_once():
    async def test(harness):
        harness.engine.models |= {"m1", "m2"}
        for name in ("m0", "m1", "m2"):
            items = (ItemDemand(key(name), 1, 1, 0),)
            report = DemandReport(entry_vm=f"f-{name}", items=items)
            harness.demand.add_report(report)
        harness.report_waiting_request("m3")
        await anyio.sleep(1.5)

    with structlog.testing.capture_logs() as lines:
        run_controller_test(test)
    logged = [line for line in lines if line["event"] == "item_absent"]
    assert [(line["model"], line["waiting"]) for line in logged] == [("m3", 1)]


# Guards against each entry VM losing requests to a dead engine until the
# platform's list drops it seconds later.
def test_an_engine_without_reports_is_published_as_silent_until_it_reports():
    async def test(harness):
        await harness.wait(lambda: harness.controller.can_send_orders)
        harness.engine.is_dead = True
        await harness.wait(lambda: harness.fleet_state.targets["e1"].is_silent)
        harness.engine.is_dead = False
        await harness.wait(
            lambda: not harness.fleet_state.targets["e1"].is_silent
        )

    run_controller_test(test)


def test_a_vm_that_lost_leadership_sends_no_orders():
    async def test(harness):
        await harness.wait(lambda: harness.controller.can_send_orders)
        harness.log.is_leading = False
        harness.report_waiting_request("m1")
        before = len(harness.engine.orders)
        await anyio.sleep(5)
        assert len(harness.engine.orders) == before
        assert not harness.controller.can_send_orders

    run_controller_test(test)


def test_a_load_ordered_by_the_previous_controller_is_awaited():
    """Guards against a new controller that overfills the engine's memory.

    Seen on the day trouble-1.
    """

    async def test(harness):
        harness.engine.is_busy = True
        harness.report_waiting_request("m1")
        await anyio.sleep(2)
        assert harness.engine.orders == []
        # The previous controller's load is complete: room for one model.
        harness.engine.models |= {"m2"}
        harness.engine.accepted += 1
        harness.engine.is_busy = False
        harness.report_waiting_request("m1")
        await harness.wait(lambda: harness.engine.orders)
        assert len(harness.engine.models) <= 3

    run_controller_test(test)


@pytest.mark.parametrize("is_on", [False, True])
def test_placement_knows_speeds_only_with_the_setting(is_on):
    async def test(harness):
        speeds = harness.controller._find_speeds(harness.service, [])
        assert (speeds is not None) == is_on

    settings = msgspec.structs.replace(SETTINGS, place_by_speed=is_on)
    run_controller_test(test, settings=settings)


def test_a_repeated_claim_in_one_term_gets_the_same_answer():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 1))
    first = table.apply(2, encode_claim("c1", 2))
    assert table.apply(3, encode_claim("c1", 2)) == first
    other = AuthorityTable()
    other.restore_snapshot(table.take_snapshot())
    assert other.apply(4, encode_claim("c1", 2)) == first


def test_the_clock_includes_suspended_time():
    """A controller must find its lease expired after a suspension."""
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    reading = SystemClock().monotonic()
    after = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= reading <= after


def test_default_settings_respect_the_platforms_lease_time():
    wait = timedelta(milliseconds=SETTINGS.holder_wait_ms)
    assert wait > timedelta(seconds=PLATFORM_LEASE_S)
