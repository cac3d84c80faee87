"""Load: one kind of request ends engines, beside busy and rare callers.

A simulation of requests, engines, entry VMs and the leader's tracker, without
network. Requests have a prompt part of their route, one of their session (few
are busy, many are rare), a caller and a body of their own; some sound requests
come again and again, as those that poll do. The requests that end engines come
at any VM and share most of this with sound ones: what sets them apart is a
prompt part, that they are the same request, or their caller. An engine that
ends breaks off all that it runs, and is back some seconds later.
"""

from collections import defaultdict
from datetime import timedelta
import heapq
import itertools
import random

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.quarantine.crash_tracker import CrashTracker
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import create_request_trait

BAD_TRAITS = {
    TraitKind.PART: "bad0",
    TraitKind.REQUEST: create_request_trait("bad"),
    TraitKind.CALLER: create_caller_trait("bad"),
}
SESSION_COUNT = 200
CALLER_COUNT = 50
POLLING_SHARE = 0.05
"""Sound requests that are the same as one before."""
DURATION_S = 60.0
CRASHING_PER_S = 1.0
FIRST_CRASHING_AT_S = 10.0
PROBE_DELAY_S = 0.1
REPORT_DELAY_S = (0.002, 0.04)
"""Shortest and longest way of a report to the leader."""
REPORT_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.1
CONTACT_S = 4.0
"""Time after the last crash before the limit from which three more requests
are allowed."""
CRASHES_BEFORE_LIMIT = {
    TraitKind.PART: 5,
    TraitKind.REQUEST: 3,
    TraitKind.CALLER: 8,
}
WATCH_DELAY_S = 0.1
"""Time until all VMs know of which traits they report answers."""
WAVE_INTERVAL_S = 15.0
"""Time between two crashes of some engines with a cause elsewhere."""
WAVE_SHARE = 0.3
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
    def incarnation(self):
        return f"e{self.number}", self.born


class Simulation:
    """Runs events in their order of time; a trait may become quarantined."""

    def __init__(self, seed, vm_count, engine_count, requests_per_s, bad):
        self.bad = bad
        """What sets the crashing requests apart; None without any."""
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.tracker = CrashTracker(FleetSettings(), self.clock)
        self.watches = [CrashWatch(self.clock) for _ in range(vm_count)]
        self.engines = [Engine(number) for number in range(engine_count)]
        self.quarantined: dict[str, float] = {}
        self.crashed_at: list[float] = []
        self.sent_crashing_at: list[float] = []
        self.watched: frozenset[str] = frozenset()
        self.refused: dict[str, int] = defaultdict(int)
        self._requests_per_s = requests_per_s
        self._numbers = itertools.count()
        self._events: list = []
        self._sessions = [f"c{number}" for number in range(SESSION_COUNT)]
        self._session_weights = [1 / (n + 1) for n in range(SESSION_COUNT)]
        self._callers = [
            create_caller_trait(f"h{number}") for number in range(CALLER_COUNT)
        ]
        self._caller_weights = [1 / (n + 1) ** 2 for n in range(CALLER_COUNT)]

    def run(self) -> None:
        self._schedule(0.0, self._arrive_sound)
        if self.bad is not None:
            self._schedule(FIRST_CRASHING_AT_S, self._arrive_crashing)
        self._schedule(WAVE_INTERVAL_S, self._crash_some)
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
        self._send(self._draw_traits(), is_crashing=False)

    def _draw_traits(self) -> tuple[str, ...]:
        """Return the traits of a sound request."""
        session = self.random.choices(self._sessions, self._session_weights)[0]
        caller = self.random.choices(self._callers, self._caller_weights)[0]
        number = next(self._numbers)
        if self.random.random() < POLLING_SHARE:
            number = "poll"
        request = create_request_trait(f"{number}-{caller}")
        return "a0", session, request, caller

    def _arrive_crashing(self) -> None:
        self._schedule(
            self.random.expovariate(CRASHING_PER_S), self._arrive_crashing
        )
        part, session, request, caller = self._draw_traits()
        bad = BAD_TRAITS[self.bad]
        match self.bad:
            case TraitKind.PART:
                traits = (part, session, request, caller, bad)
            case TraitKind.REQUEST:
                traits = (part, "c3", bad, self._callers[0])
            case TraitKind.CALLER:
                traits = (part, session, request, bad)
        self._send(traits, is_crashing=True)

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
            request.vm.record_answered(request.traits, self.watched)

    def _crash(self, engine, request) -> None:
        if request in engine.running:
            self.crashed_at.append(self.now)
            self._end(engine)

    def _crash_some(self) -> None:
        """End some engines at the same moment, whatever they run."""
        self._schedule(WAVE_INTERVAL_S, self._crash_some)
        for engine in self.engines:
            if engine.is_up and self.random.random() < WAVE_SHARE:
                self._end(engine)

    def _end(self, engine) -> None:
        incarnation = engine.incarnation
        watches = []
        for broken in engine.running:
            broken.vm.record_closed_attempt(
                incarnation, broken.traits, broken.first_event_at
            )
            watches.append(broken.vm)
        engine.running.clear()
        engine.is_up = False
        for watch in watches:
            self._schedule(
                PROBE_DELAY_S * self.random.uniform(0.75, 1.25),
                lambda watch=watch: self._report_crash(watch, incarnation),
            )
        self._schedule(
            self.random.uniform(3.0, 6.0), lambda: self._restart(engine)
        )

    def _report_crash(self, watch, incarnation) -> None:
        watch.record_crash(incarnation)
        while watch._crashes:
            report = watch._crashes.pop(0).create_report(self.now)
            self._schedule(
                self.random.uniform(*REPORT_DELAY_S),
                lambda report=report: self._record_crash(report),
            )

    def _record_crash(self, report) -> None:
        self.tracker.record_crash(
            (report.target, report.born),
            report.attempts,
            self.quarantined,
            report.closed_ms_ago / 1000,
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
        watched = self.tracker.list_watched()
        self._schedule(WATCH_DELAY_S, lambda: self._set_watched(watched))
        for trait in self.tracker.list_suspects():
            self.quarantined.setdefault(trait, self.now)
            self.tracker.record_cause(trait)

    def _set_watched(self, watched) -> None:
        self.watched = watched

    def count_sent_too_late(self) -> int:
        crash_count = CRASHES_BEFORE_LIMIT[self.bad]
        if len(self.crashed_at) < crash_count:
            return 0
        limit = self.crashed_at[crash_count - 1] + CONTACT_S
        return sum(at > limit for at in self.sent_crashing_at)


SIZES = {"8": (8, 5, 60.0), "57": (57, 45, 400.0), "194": (194, 39, 480.0)}
"""Entry VMs, engines and sound requests a second."""
CASES = [
    *(("8", seed) for seed in [*range(12), 83, 128]),
    *((size, seed) for size in ("57", "194") for seed in range(2)),
]


# Guards against refusing what sound requests have in common with crashing
# ones, and against engines that go on ending.
@pytest.mark.parametrize("bad", list(TraitKind), ids=lambda kind: kind.name)
@pytest.mark.parametrize(("size", "seed"), CASES)
def test_only_what_crashes_is_quarantined_and_in_time(size, seed, bad):
    simulation = Simulation(seed, *SIZES[size], bad)
    simulation.run()
    assert set(simulation.quarantined) == {BAD_TRAITS[bad]}
    assert simulation.count_sent_too_late() <= REQUESTS_ALLOWED_AFTERWARDS
    assert simulation.refused["crashing"]
    assert not simulation.refused["sound"]


# Guards against evidence from crashes that have their cause elsewhere.
@pytest.mark.parametrize(("size", "seed"), CASES)
def test_crashes_with_another_cause_quarantine_nothing(size, seed):
    simulation = Simulation(seed, *SIZES[size], None)
    simulation.run()
    assert not simulation.quarantined
