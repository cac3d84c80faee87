"""Load tests of targets that answer requests with errors."""

from datetime import timedelta
import random

import anyio
import msgspec
import pytest

from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.fleet.target_evidence import TargetEvidence
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.ids import VmId
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_target
from tests.gateway.test_router import RouterHarness

VM_COUNT = 18
ENGINE_COUNT = 15
SLOTS = 12
SERVICE_S = 1.0
REQUESTS_PER_S = 60
REPORT_S = 0.5
FAILING = "e0"
FAILS_FROM_S = 2.0
FAILS_UNTIL_S = 8.0
END_S = 20.0


class FailingEngineDay:
    """Entry VMs send to engines of which one fails for some seconds.

    The failing engine answers at once, so that its reports show no load.
    """

    def __init__(self, seed, error_evidence, repeatable_share=0.3) -> None:
        self.clock = LoopClock()
        self.random = random.Random(seed)
        self.fleet_state = FleetState(self.clock)
        self.evidence = TargetEvidence(
            self.fleet_state, self.clock, lambda: True
        )
        self.vms = [
            RouterHarness(
                VM_COUNT,
                seed + i,
                self.fleet_state,
                settings=GatewaySettings(error_evidence=error_evidence),
            )
            for i in range(VM_COUNT)
        ]
        self.running = dict.fromkeys((f"e{i}" for i in range(ENGINE_COUNT)), 0)
        self.repeatable_share = repeatable_share
        self.errors = 0
        self.refused = 0
        self.served_late = 0
        """Requests that the engine answered after it was sound again."""

    def is_failing(self) -> bool:
        now = self.clock.monotonic() - self.started_at
        return FAILS_FROM_S <= now < FAILS_UNTIL_S

    async def play(self) -> None:
        self.started_at = self.clock.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(self.report)
            while self.clock.monotonic() - self.started_at < END_S:
                group.start_soon(self.serve, self.random.choice(self.vms))
                await self.sleep(self.random.expovariate(REQUESTS_PER_S))
            group.cancel_scope.cancel()

    async def sleep(self, seconds) -> None:
        await self.clock.sleep(timedelta(seconds=seconds))

    async def report(self) -> None:
        while True:
            for name, running in self.running.items():
                self.vms[0].update_target(name, ["m0"], SLOTS, running)
            for i, vm in enumerate(self.vms):
                if vm.router.error_watch is not None:
                    answers = vm.router.error_watch.read_counts()
                    self.evidence.add_report(
                        DemandReport(
                            entry_vm=VmId(str(i)), items=(), answers=answers
                        )
                    )
            self.evidence.publish()
            await self.sleep(REPORT_S)

    async def serve(self, vm) -> None:
        call = vm.create_call()
        if self.random.random() < self.repeatable_share:
            call.route = msgspec.structs.replace(
                call.route, is_resumable=True, attempts=2
            )
        while True:
            try:
                slot = await vm.router.acquire(call)
            except NoTargetAvailable:
                self.refused += 1
                return
            call.attempts += 1
            name = slot.view.target
            if name == FAILING and self.is_failing():
                vm.router.release(slot, AttemptOutcome.SERVER_ERROR)
                call.excluded_targets.add(name)
                if call.attempts < call.route.attempts:
                    continue
                self.errors += 1
                return
            self.running[name] += 1
            await self.sleep(SERVICE_S)
            self.running[name] -= 1
            vm.router.release(slot, AttemptOutcome.ANSWERED)
            if name == FAILING and self.clock.monotonic() > (
                self.started_at + FAILS_UNTIL_S + 6
            ):
                self.served_late += 1
            return


def play_day(seed, **fields) -> FailingEngineDay:
    async def main():
        day = FailingEngineDay(seed, **fields)
        await day.play()
        return day

    return run_in_virtual_time(main)


@pytest.mark.parametrize("seed", range(3))
def test_engine_that_fails_at_once_draws_no_requests(seed):
    """Guards against an idle engine that fails its requests being chosen.

    Without evidence it gets a request of each VM again and again.
    """
    unaware = play_day(seed, error_evidence=False)
    aware = play_day(seed, error_evidence=True)
    assert aware.errors < unaware.errors / 3
    assert aware.refused == 0


@pytest.mark.parametrize("seed", range(3))
def test_engine_that_is_sound_again_gets_requests(seed):
    """Guards against a target that stays excluded after it has recovered."""
    assert play_day(seed, error_evidence=True).served_late > 0


def test_nothing_is_left_out_where_all_targets_fail_alike():
    """Guards against refusals where another target does no better."""

    async def main():
        vm = RouterHarness(settings=GatewaySettings(error_evidence=True))
        for name in ("e1", "e2"):
            vm.update_target(name, slots=50)
        for _ in range(20):
            slot = await vm.router.acquire(vm.create_call())
            vm.router.release(slot, AttemptOutcome.SERVER_ERROR)
        return vm.router.error_watch.read_counts()

    counts = run_in_virtual_time(main)
    assert min(count.errors for count in counts) >= 5


def test_measurement_at_a_plain_target_is_no_load_report():
    """Guards against plain targets being balanced by a load of zero.

    They report no load, so that VMs go by their own requests there.
    """

    async def main():
        vm = RouterHarness()
        vm.fleet_state.update([create_target("p1", held=["m0"])])
        target = create_target(
            "p1", held=["m0"], load=TargetLoad(error_percent=20)
        )
        vm.fleet_state.update([target])
        slot = await vm.router.acquire(vm.create_call())
        return slot.gateway_target.create_candidate(0.0, 1.0, 0.0)

    assert not run_in_virtual_time(main).is_reported
