"""Speeds of engines are found from the gaps of streams, and only from those.

Gaps are drawn as on an engine: steps, and prompts that are processed between
them, more of them on a busy engine.
"""

from datetime import timedelta
import random

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.engine_speeds import EngineSpeeds
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import StreamGap
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.fleet.target_evidence import TargetEvidence
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import LLM

SPEEDS = (0.6, 0.6, 1.0, 1.0, 1.6, 1.6, 1.6)
HELD = (
    ("h0", "l0", "l1"),
    ("h1", "l2", "l3"),
    ("h0", "h1", "l4"),
    ("h0", "h2", "l0"),
    ("h1", "h2", "l2"),
    ("h0", "l5", "l4"),
    ("h2", "l6", "l0"),
)
"""Each heavy model is on a few engines, most light ones are on one."""
STEP_MS = 48.0
"""Time of the ten steps of an event, on an engine of usual speed."""
PROMPT_MS = 22.0
USUAL_PROMPTS_PER_S = 10.0
"""Prompts that an engine processes between the steps."""


class Measured:
    """The fit of a fleet whose streams are drawn at random."""

    def __init__(self, speeds=SPEEDS, held=HELD, seed=1):
        self.clock = ManualClock(100.0)
        self.fit = EngineSpeeds(self.clock)
        self.true = dict(enumerate(speeds))
        self.held = held
        self.busy = dict.fromkeys(self.true, USUAL_PROMPTS_PER_S)
        self.random = random.Random(seed)
        self.loss = 0.0
        self.published = []

    def run(self, seconds, streams_per_s=4.0):
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(timedelta(seconds=0.25))
            for engine, models in enumerate(self.held):
                for model in models:
                    if self.random.random() < streams_per_s * 0.25 and (
                        self.random.random() >= self.loss
                    ):
                        self.fit.add(LLM, self.draw(engine, model))
            self.fit.update()
            self.published.append(self.percents())

    def draw(self, engine, model):
        pace = 1.0 if model.startswith("h") else 0.25
        steps = STEP_MS * pace * self.true[engine]
        gaps = sorted(
            steps * self.random.uniform(0.95, 1.1)
            + PROMPT_MS
            * sum(
                self.random.random() < self.busy[engine] * steps / 4000
                for _ in range(4)
            )
            for _ in range(16)
        )
        return StreamGap(f"e{engine}", 1, model, 1, gaps[8])

    def percents(self):
        return [self.fit.find_percent((f"e{e}", 1)) for e in self.true]


def relate(percents, reference=3):
    return [percent / percents[reference] for percent in percents]


def test_speeds_are_found_through_models_on_a_few_engines():
    for seed in range(5):
        measured = Measured(seed=seed)
        measured.run(8)
        for found, true in zip(
            relate(measured.percents()), SPEEDS, strict=True
        ):
            assert 0.75 * true < found < 1.3 * true
        ratio = measured.fit.find_gap_ms(key("h0")) / (
            measured.fit.find_gap_ms(key("l0"))
        )
        assert 2 < ratio < 6


def test_load_does_not_look_like_speed():
    """Prompts between the tokens of a busy engine stretch its gaps."""
    measured = Measured(speeds=(1.0,) * 7)
    measured.busy |= {4: 18.0, 5: 3.0, 6: 3.0}
    measured.run(20)
    assert all(70 <= p <= 140 for p in measured.percents())


def test_published_speeds_of_equal_engines_hardly_change():
    """Each change is sent to all VMs."""
    measured = Measured(speeds=(1.0,) * 7)
    measured.run(60, streams_per_s=1.0)
    changes = sum(
        a != b
        for before, after in zip(
            measured.published, measured.published[1:], strict=False
        )
        for a, b in zip(before, after, strict=True)
    )
    assert changes <= 60 * 7 / 10


def test_an_engine_without_evidence_has_the_usual_speed():
    measured = Measured(speeds=(0.6, 1.6), held=(("l0",), ("h0",)))
    measured.run(8)
    assert measured.percents() == [100, 100]
    assert measured.fit.find_percent(("unknown", 1)) == 100


def test_an_engine_that_turns_slow_is_seen_and_forgotten():
    """Its models are on no other engine; their paces are remembered."""
    held = (("h0", "l1"), ("h1", "l2"), ("l0", "l3"))
    measured = Measured(speeds=(1.0,) * 3, held=held)
    measured.run(20)
    measured.true[0] = 2.5
    measured.run(5)
    slow = measured.percents()
    assert slow[0] >= 1.5 * slow[1]
    measured.true[0] = 1.0
    measured.run(10)
    assert all(75 <= percent <= 130 for percent in measured.percents())
    measured.run(12, streams_per_s=0)
    assert measured.percents() == [100] * 3


def test_seconds_of_slowness_do_not_reach_placement():
    measured = Measured(speeds=(1.0,) * 7)
    measured.run(20)
    measured.true[2] = 2.5
    for _ in range(10):
        measured.run(0.5)
        if measured.clock.monotonic() > 123:
            measured.true[2] = 1.0
        assert measured.fit.find_lasting_speed(("e2", 1)) < 1.3


def test_lost_reports_leave_the_speeds_known():
    measured = Measured()
    measured.loss = 0.7
    measured.run(12)
    percents = measured.percents()
    assert max(percents[:2]) < min(percents[4:])


def test_a_restarted_engine_and_a_new_leader_start_anew():
    """Late reports of the incarnation before must not count for the next."""
    clock = ManualClock(100.0)
    state = FleetState(clock)
    state.update([create_target("e1", ["h0"]), create_target("e2", ["h0"])])
    evidence = TargetEvidence(state, clock, lambda: True)
    gaps = (
        StreamGap("e1", 1, "h0", 30, 80.0),
        StreamGap("e2", 1, "h0", 30, 30.0),
        StreamGap("gone", 1, "h0", 30, 30.0),
    )
    evidence.add_report(
        DemandReport(entry_vm="f1", items=(), stream_gaps=gaps)
    )
    evidence.speeds.update()
    old = state.targets["e1"]
    assert evidence.complete_load(old, TargetLoad()).speed_percent > 130
    new = create_target("e1", ["h0"], born=2)
    state.update([new])
    evidence.add_report(
        DemandReport(entry_vm="f1", items=(), stream_gaps=gaps)
    )
    clock.advance(timedelta(seconds=2))
    evidence.speeds.update()
    assert evidence.complete_load(new, TargetLoad()).speed_percent == 100
    successor = TargetEvidence(state, clock, lambda: True)
    assert successor.complete_load(old, TargetLoad()).speed_percent == 100


def test_memory_is_bounded():
    fit = EngineSpeeds(ManualClock(100.0))
    for number in range(60_000):
        gap = StreamGap(f"e{number % 2600}", 1, f"m{number % 1601}", 1, 20.0)
        fit.add(LLM, gap)
    assert sum(len(cell.samples) for cell in fit._cells.values()) <= 40_000
