"""Tests of queueing, refusals and load balancing in the gateway's router."""

from collections import Counter
import contextlib
from datetime import timedelta
import random

import anyio
import msgspec
import pytest

from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.gateway.router import create_gateway_router
from dotterelbridge.gateway.settings import BalanceMode
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.targets.settings import TargetsSettings
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import DOMAIN
from tests.fleet.support import create_quarantine
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.permits.support import create_limiter
from tests.routes.support import LLM
from tests.routes.support import create_route
from tests.routes.support import create_route_set

SETTINGS = GatewaySettings(overfill_requests=0)
DEADLINE_S = 12.0
FIRST_BYTE_LIMIT_S = 2.4
"""Callers of a stream give up after four times its objective of 600 ms."""


class RouterHarness:
    """The router of one entry VM, without a network."""

    def __init__(
        self,
        vm_count=2,
        seed=1,
        fleet_state=None,
        limiter=None,
        settings=SETTINGS,
        balance=BalanceMode.REQUESTS,
    ) -> None:
        self.clock = LoopClock()
        self.fleet_state = fleet_state or FleetState(self.clock)
        self.quarantine = create_quarantine()
        self.router = create_gateway_router(
            self.fleet_state,
            self.clock,
            msgspec.structs.replace(settings, balance=balance),
            TargetsSettings(),
            random.Random(seed),
            DOMAIN,
            {DOMAIN: "r"},
            lambda: vm_count,
            self.quarantine,
            limiter or create_limiter(self.clock),
        )
        self.routes = create_route_set(1)

    def update_target(
        self, name="e1", held=("m0",), slots=1, running=0
    ) -> None:
        load = TargetLoad(running=running)
        target = create_target(name, held=list(held), slots=slots, load=load)
        self.fleet_state.update([target])

    def announce_load(self, model, seconds) -> None:
        """Announce that a model will be loaded after some seconds."""
        due = self.clock.monotonic() + seconds
        self.fleet_state.update(pending_loads={key(model): due})

    def create_call(
        self,
        model="m0",
        first_byte_limit_s=FIRST_BYTE_LIMIT_S,
        prompt_parts=(),
    ) -> GatewayCall:
        now = self.clock.monotonic()
        return GatewayCall(
            request=GatewayRequest(
                request_id="r1",
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
                prompt_parts=prompt_parts,
            ),
            route=create_route("quotes"),
            service=self.routes.find_service(LLM),
            item=key(model),
            started_at=now,
            deadline_at=now + DEADLINE_S,
            first_byte_deadline_at=now + first_byte_limit_s,
        )

    async def measure_refusal(self, call) -> tuple[float, timedelta]:
        """Return the wait before a refusal, and its Retry-After."""
        with pytest.raises(NoTargetAvailable) as refusal:
            await self.router.acquire(call)
        waited_s = self.clock.monotonic() - call.started_at
        return waited_s, refusal.value.retry_after


def in_virtual_time(test):
    def run():
        async def main():
            await test(RouterHarness())

        run_in_virtual_time(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


@in_virtual_time
async def test_load_longer_than_callers_wait_is_refused_at_once(harness):
    """Guards against holding streams until their callers give up.

    Seen in scenario lbc scale-1, with 170 streams.
    """
    harness.update_target(held=["m0"])
    harness.announce_load("m1", 4.0)
    waited_s, retry_after = await harness.measure_refusal(
        harness.create_call("m1")
    )
    assert waited_s == 0
    assert timedelta(seconds=4) <= retry_after < timedelta(seconds=5)


@in_virtual_time
async def test_request_waits_for_load_that_ends_in_time(harness):
    harness.update_target(held=["m0"])
    harness.announce_load("m1", 1.2)
    async with anyio.create_task_group() as tasks:

        async def finish_load():
            await anyio.sleep(1.3)
            harness.update_target(held=["m0", "m1"])

        tasks.start_soon(finish_load)
        slot = await harness.router.acquire(harness.create_call("m1"))
    assert slot.view.target == "e1"


@in_virtual_time
async def test_refusal_for_full_targets_precedes_caller_timeout(harness):
    """A burst of requests occupies all slots."""
    harness.update_target(slots=1)
    await harness.router.acquire(harness.create_call())
    waited_s, retry_after = await harness.measure_refusal(
        harness.create_call()
    )
    assert 0 < waited_s < 0.75 * FIRST_BYTE_LIMIT_S
    assert retry_after


@in_virtual_time
async def test_refusal_for_missing_model_precedes_caller_timeout(harness):
    """No VM sends load orders while the replicated log has no leader."""
    harness.update_target(held=["m0"])
    waited_s, _ = await harness.measure_refusal(harness.create_call("m1"))
    assert 0 < waited_s < 0.75 * FIRST_BYTE_LIMIT_S


@in_virtual_time
async def test_request_with_long_limit_waits_for_new_controller(harness):
    """Batch requests wait while the leader of the log changes."""
    harness.update_target(held=["m0"])
    call = harness.create_call("m1", first_byte_limit_s=12.0)
    waited_s, _ = await harness.measure_refusal(call)
    assert waited_s > 3.2


@in_virtual_time
async def test_free_slot_goes_to_request_with_earliest_deadline(harness):
    harness.update_target(slots=1)
    taken = await harness.router.acquire(harness.create_call())
    served = []
    async with anyio.create_task_group() as tasks:

        async def wait(name, first_byte_limit_s):
            call = harness.create_call(first_byte_limit_s=first_byte_limit_s)
            slot = await harness.router.acquire(call)
            served.append(name)
            harness.router.release(slot, AttemptOutcome.ANSWERED)

        tasks.start_soon(wait, "late deadline", 20.0)
        tasks.start_soon(wait, "early deadline", 2.0)
        await anyio.sleep(0.1)
        harness.router.release(taken, AttemptOutcome.ANSWERED)
    assert served == ["early deadline", "late deadline"]


def test_vms_do_not_all_choose_the_engine_reported_as_idle():
    """Guards against a herd effect: nine VMs act on the same old report."""
    sent = Counter()

    async def main():
        harnesses = [RouterHarness(vm_count=9) for _ in range(9)]
        for harness in harnesses:
            for name, running in (("e1", 4), ("e2", 12), ("e3", 12)):
                harness.update_target(name, slots=64, running=0)
                harness.update_target(name, slots=64, running=running)
        for _ in range(4):
            for harness in harnesses:
                slot = await harness.router.acquire(harness.create_call())
                sent[slot.view.target] += 1

    run_in_virtual_time(main)
    # Of 36 requests, about 17 to e1 and 9 to each of the others would make
    # all three loads equal.
    assert sent["e1"] < 24
    assert min(sent["e2"], sent["e3"]) >= 6


@in_virtual_time
async def test_target_without_its_models_is_tried_with_backoff(harness):
    """Guards against many attempts at an engine that has restarted.

    The platform's list shows a restart late. In scenario lbc scale-2, one
    request made thirteen attempts until then.
    """
    harness.update_target(held=["m0"], slots=9)
    attempts = 0

    async def send_requests():
        nonlocal attempts
        while True:
            with contextlib.suppress(NoTargetAvailable):
                slot = await harness.router.acquire(harness.create_call())
                attempts += 1
                harness.router.release(slot, AttemptOutcome.ITEM_MISSING)
                await anyio.sleep(0.02)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests)
        for number in range(40):
            await anyio.sleep(0.1)
            harness.update_target(held=["m0"], slots=9, running=number % 3)
        tasks.cancel_scope.cancel()
    assert 2 <= attempts <= 6


@in_virtual_time
async def test_update_that_shows_loaded_item_ends_backoff(harness):
    harness.update_target(held=["m0"], slots=9)
    slot = await harness.router.acquire(harness.create_call())
    harness.router.release(slot, AttemptOutcome.ITEM_MISSING)
    harness.update_target(held=[], slots=9)
    harness.update_target(held=["m0"], slots=9)
    started_at = harness.clock.monotonic()
    await harness.router.acquire(harness.create_call())
    assert harness.clock.monotonic() == started_at


# Guards against requests to an engine that the active controller already
# reports as silent.
@in_virtual_time
async def test_engine_reported_as_silent_is_probed_before_use(harness):
    harness.update_target("e1", running=0, slots=8)
    harness.update_target("e2", running=7, slots=8)
    silent = create_target("e1", held=["m0"], slots=8, is_silent=True)
    harness.fleet_state.update([silent])
    slot = await harness.router.acquire(harness.create_call("m0"))
    assert slot.view.target == "e2"
