"""Who waits for a place and who is refused, under the loads it is for."""

from collections import Counter
import contextlib
from datetime import timedelta
import random

import anyio
import pytest

from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoPlace
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.gateway.router import Outcome
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.targets.settings import TargetsSettings
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import DOMAIN
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import LLM
from tests.routes.support import create_route
from tests.routes.support import create_route_set

SETTINGS = GatewaySettings(overfill_requests=0)
DEADLINE_S = 12.0
PATIENCE_S = 2.4
"""Four aims of 600 ms: callers of such a stream are gone then."""


class Entry:
    """The router of one entry VM, without a network."""

    def __init__(self, vms=2) -> None:
        self.clock = LoopClock()
        self.board = FleetState(self.clock)
        self.router = create_gateway_router(
            self.board,
            self.clock,
            SETTINGS,
            TargetsSettings(),
            random.Random(1),
            DOMAIN,
            {DOMAIN: "r"},
            lambda: vms,
        )
        self.routes = create_route_set(1)

    def show(self, name="e1", held=("m0",), slots=1, running=0) -> None:
        load = TargetLoad(running=running)
        target = create_target(name, held=list(held), slots=slots, load=load)
        self.board.update([target])

    def expect(self, model, seconds) -> None:
        """Say that a load is under way."""
        due = self.clock.monotonic() + seconds
        self.board.update(pending_loads={key(model): due})

    def create_call(self, model="m0", patience_s=PATIENCE_S) -> GatewayCall:
        now = self.clock.monotonic()
        return GatewayCall(
            request=GatewayRequest(
                request="r1",
                method="POST",
                host="quotes.example",
                target="/quotes/",
                path="/quotes/",
                headers=[],
                body=b"",
                deadline_ms=None,
                model=model,
                adapter="",
                last_event_id=b"",
            ),
            route=create_route("quotes"),
            service=self.routes.find_service(LLM),
            item=key(model),
            started_at=now,
            ends_at=now + DEADLINE_S,
            begins_by=now + patience_s,
        )

    async def time_refusal(self, call) -> tuple[float, timedelta]:
        """Return how long a call waited, and when it may come back."""
        with pytest.raises(NoPlace) as refusal:
            await self.router.acquire(call)
        waited_s = self.clock.monotonic() - call.started_at
        return waited_s, refusal.value.retry_after


def in_virtual_time(test):
    def run():
        async def main():
            await test(Entry())

        run_in_virtual_time(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@in_virtual_time
async def test_a_load_longer_than_callers_wait_is_refused_at_once(entry):
    """Seen on lbc scale-1: 170 streams held until their callers left."""
    entry.show(held=["m0"])
    entry.expect("m1", 4.0)
    waited_s, retry_after = await entry.time_refusal(entry.create_call("m1"))
    assert waited_s == 0
    assert timedelta(seconds=4) <= retry_after < timedelta(seconds=5)


@in_virtual_time
async def test_a_load_within_their_patience_is_waited_for(entry):
    entry.show(held=["m0"])
    entry.expect("m1", 1.2)
    async with anyio.create_task_group() as tasks:

        async def finish_load():
            await anyio.sleep(1.3)
            entry.show(held=["m0", "m1"])

        tasks.start_soon(finish_load)
        place = await entry.router.acquire(entry.create_call("m1"))
    assert place.target.target == "e1"


@in_virtual_time
async def test_callers_of_full_targets_hear_so_before_they_leave(entry):
    """A burst that all slots are taken by."""
    entry.show(slots=1)
    await entry.router.acquire(entry.create_call())
    waited_s, retry_after = await entry.time_refusal(entry.create_call())
    assert 0 < waited_s < 0.75 * PATIENCE_S
    assert retry_after


@in_virtual_time
async def test_callers_of_an_absent_model_hear_so_before_they_leave(entry):
    """Nobody gives orders while the log has no leader."""
    entry.show(held=["m0"])
    waited_s, _ = await entry.time_refusal(entry.create_call("m1"))
    assert 0 < waited_s < 0.75 * PATIENCE_S


@in_virtual_time
async def test_patient_callers_wait_for_the_next_giver_of_orders(entry):
    """Work of the night waits through a change of the log's leader."""
    entry.show(held=["m0"])
    call = entry.create_call("m1", patience_s=12.0)
    waited_s, _ = await entry.time_refusal(call)
    assert waited_s > 3.2


@in_virtual_time
async def test_a_freed_place_goes_to_the_first_that_will_leave(entry):
    entry.show(slots=1)
    taken = await entry.router.acquire(entry.create_call())
    order = []
    async with anyio.create_task_group() as tasks:

        async def wait(name, patience_s):
            call = entry.create_call(patience_s=patience_s)
            place = await entry.router.acquire(call)
            order.append(name)
            entry.router.release(place, Outcome.ANSWERED)

        tasks.start_soon(wait, "patient", 20.0)
        tasks.start_soon(wait, "hasty", 2.0)
        await anyio.sleep(0.1)
        entry.router.release(taken, Outcome.ANSWERED)
    assert order == ["hasty", "patient"]


def test_an_engine_that_looks_idle_is_not_stormed_by_all_vms():
    """A report is half a second old, and nine VMs act on the same one."""
    sent = Counter()

    async def main():
        entries = [Entry(vms=9) for _ in range(9)]
        for entry in entries:
            for name, running in (("e1", 4), ("e2", 12), ("e3", 12)):
                entry.show(name, slots=64, running=0)
                entry.show(name, slots=64, running=running)
        for _ in range(4):
            for entry in entries:
                place = await entry.router.acquire(entry.create_call())
                sent[place.target.target] += 1

    run_in_virtual_time(main)
    # 16 would make all three equal; the rest goes evenly.
    assert sent["e1"] < 24
    assert min(sent["e2"], sent["e3"]) >= 6


@in_virtual_time
async def test_a_target_that_lost_its_models_is_asked_ever_less(entry):
    """Seen on lbc scale-2: thirteen attempts of one request at an engine
    that had restarted, before the platform's list showed it.
    """
    entry.show(held=["m0"], slots=9)
    attempts = 0

    async def send_on():
        nonlocal attempts
        while True:
            with contextlib.suppress(NoPlace):
                place = await entry.router.acquire(entry.create_call())
                attempts += 1
                entry.router.release(place, Outcome.LACKING)
                await anyio.sleep(0.02)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_on)
        for number in range(40):
            await anyio.sleep(0.1)
            entry.show(held=["m0"], slots=9, running=number % 3)
        tasks.cancel_scope.cancel()
    assert 2 <= attempts <= 6


@in_virtual_time
async def test_news_that_an_item_has_come_end_its_lack(entry):
    entry.show(held=["m0"], slots=9)
    place = await entry.router.acquire(entry.create_call())
    entry.router.release(place, Outcome.LACKING)
    entry.show(held=[], slots=9)
    entry.show(held=["m0"], slots=9)
    before = entry.clock.monotonic()
    await entry.router.acquire(entry.create_call())
    assert entry.clock.monotonic() == before


# Guards against requests sent to an engine that others know to be dead.
@in_virtual_time
async def test_an_engine_that_the_news_call_silent_is_probed_first(entry):
    entry.show("e1", running=0, slots=8)
    entry.show("e2", running=7, slots=8)
    silent = create_target("e1", held=["m0"], slots=8, is_silent=True)
    entry.board.update([silent])
    place = await entry.router.acquire(entry.create_call("m0"))
    assert place.target.target == "e2"
