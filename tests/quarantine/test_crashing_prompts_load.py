"""Load: one kind of request ends engines, beside busy and rare callers.

A simulation of requests, engines, entry VMs and the leader's tracker, without
network. Requests have a trait of their route, a trait of their caller (few are
busy, many are rare) and a trait of their own. The requests that end engines
share route and caller with sound ones and come at any VM. An engine that ends
breaks off all that it runs, and is back some seconds later.
"""

from collections import defaultdict
from datetime import timedelta
import heapq
import itertools
import random

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.quarantine.crash_tracker import CrashTracker
from dotterelbridge.quarantine.crash_watch import CrashWatch
from tests.fleet.support import create_target

BAD_PART = "bad0"
CALLER_COUNT = 200
DURATION_S = 60.0
CRASHING_PER_S = 1.0
FIRST_CRASHING_AT_S = 10.0
PROBE_DELAY_S = 0.1
REPORT_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.1
CONTACT_S = 4.0
"""Time after the fifth crash from which three more requests are allowed."""
CRASHES_BEFORE_LIMIT = 5
REQUESTS_ALLOWED_AFTERWARDS = 3


class Request:
    def __init__(self, vm, traits, is_crashing) -> None:
        self.vm = vm
        self.traits = traits
        self.is_crashing = is_crashing
        self.first_event_at = None


class Engine:
    def __init__(self, number) -> None:
        self.number = number
        self.born = 0
        self.is_up = True
        self.running: set[Request] = set()

    @property
    def view(self):
        return create_target(
            f"e{self.number}", born=self.born, phase=TargetPhase.READY
        )


class Simulation:
    """Runs events in their order of time; a trait may become quarantined."""

    def __init__(self, seed, vm_count, engine_count, requests_per_s):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.tracker = CrashTracker(FleetSettings(), self.clock)
        self.watches = [CrashWatch(self.clock) for _ in range(vm_count)]
        self.engines = [Engine(number) for number in range(engine_count)]
        self.quarantined: dict[str, float] = {}
        self.crashed_at: list[float] = []
        self.sent_crashing_at: list[float] = []
        self.refused: dict[str, int] = defaultdict(int)
        self._requests_per_s = requests_per_s
        self._numbers = itertools.count()
        self._events: list = []
        self._callers = [f"c{number}" for number in range(CALLER_COUNT)]
        self._weights = [1 / (number + 1) for number in range(CALLER_COUNT)]

    def run(self) -> None:
        self._schedule(0.0, self._arrive_sound)
        self._schedule(FIRST_CRASHING_AT_S, self._arrive_crashing)
        self._schedule(0.0, self._report_answers)
        self._schedule(0.0, self._check)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > DURATION_S:
                return
            self.clock.advance(timedelta(seconds=at - self.now))
            action()

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def _schedule(self, delay_s, action) -> None:
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _arrive_sound(self) -> None:
        self._schedule(
            self.random.expovariate(self._requests_per_s), self._arrive_sound
        )
        caller = self.random.choices(self._callers, self._weights)[0]
        self._send(("a0", caller), is_crashing=False)

    def _arrive_crashing(self) -> None:
        self._schedule(
            self.random.expovariate(CRASHING_PER_S), self._arrive_crashing
        )
        self._send(("a0", "c3", BAD_PART), is_crashing=True)

    def _send(self, traits, is_crashing) -> None:
        engines = [engine for engine in self.engines if engine.is_up]
        if self.quarantined.keys() & set(traits):
            self.refused["crashing" if is_crashing else "sound"] += 1
            return
        if not engines:
            return
        vm = self.random.choice(self.watches)
        engine = self.random.choice(engines)
        request = Request(vm, traits, is_crashing)
        engine.running.add(request)
        if is_crashing:
            self.sent_crashing_at.append(self.now)
            delay_s = self.random.uniform(0.02, 0.2)
            self._schedule(delay_s, lambda: self._crash(engine, request))
            return
        delay_s = self.random.uniform(0.03, 0.5)
        self._schedule(delay_s, lambda: self._begin(engine, request))

    def _begin(self, engine, request) -> None:
        if request not in engine.running:
            return
        request.first_event_at = self.now
        duration_s = self.random.uniform(0.1, 2.0)
        self._schedule(duration_s, lambda: self._finish(engine, request))

    def _finish(self, engine, request) -> None:
        if request in engine.running:
            engine.running.remove(request)
            request.vm.record_answered(request.traits)

    def _crash(self, engine, request) -> None:
        if request not in engine.running:
            return
        self.crashed_at.append(self.now)
        view = engine.view
        watches = []
        for broken in engine.running:
            broken.vm.record_closed_attempt(
                view, broken.traits, broken.first_event_at
            )
            watches.append(broken.vm)
        engine.running.clear()
        engine.is_up = False
        self._schedule(
            PROBE_DELAY_S, lambda: [w.record_crash(view) for w in watches]
        )
        self._schedule(
            self.random.uniform(3.0, 6.0), lambda: self._restart(engine)
        )

    def _restart(self, engine) -> None:
        engine.born += 1
        engine.is_up = True

    def _report_answers(self) -> None:
        self._schedule(REPORT_INTERVAL_S, self._report_answers)
        for watch in self.watches:
            self.tracker.record_answered(watch.read_answered_traits())

    def _check(self) -> None:
        self._schedule(CHECK_INTERVAL_S, self._check)
        for watch in self.watches:
            while watch._reports:
                report = watch._reports.pop(0)
                self.tracker.record_crash(
                    (report.target, report.born),
                    report.traits,
                    self.quarantined,
                )
        for trait in self.tracker.list_suspects():
            self.quarantined.setdefault(trait, self.now)
            self.tracker.record_cause(trait)

    def count_sent_too_late(self) -> int:
        if len(self.crashed_at) < CRASHES_BEFORE_LIMIT:
            return 0
        limit = self.crashed_at[CRASHES_BEFORE_LIMIT - 1] + CONTACT_S
        return sum(at > limit for at in self.sent_crashing_at)


SIZES = {"8": (8, 5, 60.0), "57": (57, 45, 400.0), "194": (194, 39, 480.0)}
"""Entry VMs, engines and sound requests a second."""
CASES = [
    *(("8", seed) for seed in [*range(12), 83, 128]),
    *((size, seed) for size in ("57", "194") for seed in range(2)),
]


# Guards against refusing what sound requests have in common with crashing
# ones, and against engines that go on ending.
@pytest.mark.parametrize(("size", "seed"), CASES)
def test_only_the_crashing_part_is_quarantined_and_in_time(size, seed):
    simulation = Simulation(seed, *SIZES[size])
    simulation.run()
    assert set(simulation.quarantined) == {BAD_PART}
    assert simulation.count_sent_too_late() <= REQUESTS_ALLOWED_AFTERWARDS
    assert simulation.refused["crashing"]
    assert not simulation.refused["sound"]
