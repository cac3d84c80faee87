"""Orders: by one VM at a time, each for one state of the engine."""

from datetime import timedelta
import time

import anyio
import structlog

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.authority_table import AuthorityTable
from dotterelbridge.fleet.authority_table import decode_other
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
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_report
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import activate_route_set
from tests.routes.support import create_engine
from tests.routes.support import create_route_set

SETTINGS = FleetSettings()
PATIENCE_S = 60
LEASE_S = 3.0
"""Time in which no two VMs may take turns, as the platform says."""


class FakeEngine(EngineControl):
    """One engine that carries orders out at once, or stays silent."""

    def __init__(self, held=("m0",)) -> None:
        self.models = set(held)
        self.accepted = 0
        self.orders = []
        self.silent_orders = 0
        self.is_busy = False
        self.is_dead = False
        self.answers_as_another = False
        self.clock = LoopClock()

    async def fetch_report(self, target, timeout):
        if self.is_dead:
            raise EngineCallFailed("a reset", "check the engine")
        return create_report(
            sorted(self.models), self.accepted, is_busy=self.is_busy
        )

    async def send_order(self, target, order, holder, fencing_number, timeout):
        now = self.clock.monotonic()
        self.orders.append((now, holder, fencing_number, order))
        if self.silent_orders:
            self.silent_orders -= 1
            await anyio.sleep(timeout.total_seconds())
            raise EngineCallFailed("silence", "send it again")
        if self.answers_as_another:
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
    """A log that this VM leads or not, as the test says."""

    def __init__(self, table: AuthorityTable) -> None:
        self.table = table
        self.is_leading = True
        self.term = 1

    def has_leader_lease(self) -> bool:
        return self.is_leading

    async def propose(self, machine, command, timeout):
        await anyio.sleep(0.05)
        return self.table.apply(1, command)


class World:
    """One VM that may give orders to one engine."""

    def __init__(self, tasks, table=None, vm="c1") -> None:
        clock = LoopClock()
        self.table = table or AuthorityTable()
        self.log = FakeLog(self.table)
        self.engine = FakeEngine()
        self.board = FleetState(clock)
        self.board.update([create_target("e1", held=["m0"])])
        self.demand = DemandTracker(clock)
        names = ("m0", "m1", "m2", "m3")
        routes = activate_route_set(
            create_route_set(engine=create_engine(names, adapter_places=0))
        )
        self.ordering = create_fleet_controller(
            vm,
            self.log,
            self.board,
            routes,
            self.demand,
            self.engine,
            SETTINGS,
            clock,
        )
        tasks.start_soon(self.ordering.run)

    def ask_for(self, model) -> None:
        """Report that a request waits for a model."""
        items = (ItemDemand(key(model), 1, 0, 1),)
        self.demand.add_report(DemandReport(entry_vm="f1", items=items))
        self.ordering.request_plan()

    async def wait(self, condition) -> None:
        with anyio.fail_after(PATIENCE_S):
            while not condition():
                await anyio.sleep(0.01)


def run(test, **fields) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            await test(World(tasks, **fields))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def test_a_wanted_model_is_loaded_and_shown_to_all():
    async def test(world):
        world.ask_for("m1")
        await world.wait(lambda: world.board.targets["e1"].holds("m1"))

    run(test)


def test_an_order_without_an_answer_is_sent_again_for_the_same_state():
    async def test(world):
        world.engine.silent_orders = 2
        world.ask_for("m1")
        await world.wait(lambda: "m1" in world.engine.models)
        sent = [order for _, _, _, order in world.engine.orders[:3]]
        assert len({order.expected_orders for order in sent}) == 1
        assert len({order.model for order in sent}) == 1

    run(test)


def test_the_first_holder_of_all_waits_for_nobody():
    async def test(world):
        world.ask_for("m1")
        await world.wait(lambda: world.engine.orders)
        assert world.engine.orders[0][0] < LEASE_S

    run(test)


def test_a_new_holder_gives_no_order_while_the_former_may():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 0))

    async def test(world):
        elected_at = LoopClock().monotonic()
        world.ask_for("m1")
        await world.wait(lambda: world.engine.orders)
        assert world.engine.orders[0][0] - elected_at > LEASE_S

    run(test, table=table)


def run_after_claims(claims) -> float:
    """Return the seconds until c1 gives an order after earlier claims."""
    table = AuthorityTable()
    for index, claim in enumerate(claims, start=1):
        table.apply(index, claim)
    waited = []

    async def test(world):
        elected_at = LoopClock().monotonic()
        world.log.term = 9
        world.ask_for("m1")
        await world.wait(lambda: world.engine.orders)
        waited.append(world.engine.orders[0][0] - elected_at)

    run(test, table=table)
    return waited[0]


def test_the_holder_goes_on_at_once_after_a_restart():
    """Seen on days that end with all processes killed at once."""
    claims = [
        encode_claim("c0", 1),
        encode_claim("c1", 2),
        encode_claim("c1", 2, is_settled=True),
    ]
    assert run_after_claims(claims) < 1


def test_a_holder_that_restarts_before_it_has_waited_waits_anew():
    claims = [encode_claim("c0", 1), encode_claim("c1", 2)]
    assert run_after_claims(claims) > LEASE_S


def test_a_holder_waits_for_one_that_came_between():
    claims = [
        encode_claim("c1", 1, is_settled=True),
        encode_claim("c0", 2),
    ]
    assert run_after_claims(claims) > LEASE_S


def test_a_late_claim_of_a_former_leader_changes_nothing():
    claims = [
        encode_claim("c1", 2),
        encode_claim("c0", 3),
        encode_claim("c1", 2, is_settled=True),
    ]
    assert run_after_claims(claims) > LEASE_S


def test_a_holder_that_has_waited_leaves_nobody_to_wait_for():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 0))

    async def test(world):
        await world.wait(lambda: world.ordering.may_order)

    run(test, table=table)
    again = decode_other(table.apply(9, encode_claim("c1", 7)))
    assert again is None


def test_an_address_that_another_engine_took_gets_one_order():
    """Seen on lbc scale-1: forty orders a second until it was off the
    platform's list.
    """

    async def test(world):
        world.engine.answers_as_another = True
        world.ask_for("m1")
        await world.wait(lambda: world.engine.orders)
        await anyio.sleep(2)
        assert len(world.engine.orders) == 1
        assert not world.board.targets["e1"].takes_new_work

    run(test)


def test_a_model_that_no_engine_has_room_for_is_told_once():
    async def test(world):
        world.engine.models |= {"m1", "m2"}
        for name in ("m0", "m1", "m2"):
            items = (ItemDemand(key(name), 1, 1, 0),)
            report = DemandReport(entry_vm=f"f-{name}", items=items)
            world.demand.add_report(report)
        world.ask_for("m3")
        await anyio.sleep(1.5)

    with structlog.testing.capture_logs() as lines:
        run(test)
    told = [line for line in lines if line["event"] == "item_absent"]
    assert [(line["model"], line["waiting"]) for line in told] == [("m3", 1)]


# Guards against callers lost to a dead engine by each entry VM in its turn,
# until the platform's list drops it seconds later.
def test_all_vms_hear_of_an_engine_that_reports_no_more_until_it_does():
    async def test(world):
        await world.wait(lambda: world.ordering.may_order)
        world.engine.is_dead = True
        await world.wait(lambda: world.board.targets["e1"].is_silent)
        world.engine.is_dead = False
        await world.wait(lambda: not world.board.targets["e1"].is_silent)

    run(test)


def test_a_vm_that_leads_no_more_gives_no_orders():
    async def test(world):
        await world.wait(lambda: world.ordering.may_order)
        world.log.is_leading = False
        world.ask_for("m1")
        before = len(world.engine.orders)
        await anyio.sleep(5)
        assert len(world.engine.orders) == before
        assert not world.ordering.may_order

    run(test)


def test_a_load_of_a_former_holder_is_waited_for():
    """Seen on trouble-1: the engine was ordered beyond its memory."""

    async def test(world):
        world.engine.is_busy = True
        world.ask_for("m1")
        await anyio.sleep(2)
        assert world.engine.orders == []
        # What the former holder loaded is there now: one place is left.
        world.engine.models |= {"m2"}
        world.engine.accepted += 1
        world.engine.is_busy = False
        world.ask_for("m1")
        await world.wait(lambda: world.engine.orders)
        assert len(world.engine.models) <= 3

    run(test)


def test_a_repeated_claim_of_one_term_has_one_answer():
    table = AuthorityTable()
    table.apply(1, encode_claim("c0", 1))
    first = table.apply(2, encode_claim("c1", 2))
    assert table.apply(3, encode_claim("c1", 2)) == first
    other = AuthorityTable()
    other.restore_snapshot(table.take_snapshot())
    assert other.apply(4, encode_claim("c1", 2)) == first


def test_the_clock_counts_suspended_time():
    """A holder that was suspended must find its lease over."""
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    reading = SystemClock().monotonic()
    after = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= reading <= after


def test_settings_keep_the_platforms_time_between_holders():
    wait = timedelta(milliseconds=SETTINGS.holder_wait_ms)
    assert wait > timedelta(seconds=LEASE_S)
