"""Choice of a target: speed, load, prefixes and distance."""

from collections import Counter

import anyio
import pytest

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.routing.errors import ItemNotLoaded
from dotterelbridge.routing.target import Outcome
from dotterelbridge.targets.cache_index import CacheIndex
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import CacheEventKind
from tests.routing.fakes import RouterHarness
from tests.routing.fakes import Waiting
from tests.routing.fakes import settle
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async

BASELINES = ["round_robin", "random", "least_outstanding"]
E1 = TargetId("e1")
QUOTE = ItemName("quote")


async def count_choices(harness, calls, seconds_of=None):
    """Serve calls one after another; count the targets."""
    counts = Counter()
    for _ in range(calls):
        slot = await harness.router.acquire(harness.call())
        name = slot.target.view.info.target
        seconds = (seconds_of or {}).get(name, 0.1)
        harness.advance(seconds)
        harness.router.record_tokens(slot, 1)
        harness.router.release(slot, Outcome.SUCCEEDED)
        counts[name] += 1
    return counts


@run_async
async def test_slow_target_loses_traffic():
    harness = RouterHarness()
    for name in ("e1", "e2", "slow"):
        harness.add_engine(name)
    speeds = {"e1": 0.1, "e2": 0.1, "slow": 1.0}
    counts = await count_choices(harness, 300, speeds)
    # It still gets some, by which its recovery would show.
    assert 0 < counts["slow"] < 30


@run_async
async def test_target_that_recovers_gets_traffic_again():
    harness = RouterHarness()
    harness.add_engine("e1")
    harness.add_engine("e2")
    await count_choices(harness, 100, {"e1": 0.1, "e2": 1.0})
    harness.advance(60)
    counts = await count_choices(harness, 1000)
    assert counts["e2"] > 200


@run_async
async def test_target_that_answers_nothing_loses_traffic_before_its_end():
    harness = RouterHarness()
    harness.add_engine("e1")
    harness.add_engine("stuck")
    await count_choices(harness, 20)
    harness.add_engine("e1", waiting=2)
    slot = await harness.router.acquire(harness.call())
    assert slot.target.view.info.target == "stuck"
    # No first token for long: worse than the other's queue.
    harness.advance(4.0)
    for _ in range(5):
        other = await harness.router.acquire(harness.call())
        assert other.target.view.info.target == "e1"


@run_async
async def test_own_requests_count_on_top_of_a_stale_report():
    harness = RouterHarness()
    harness.add_engine("e1", reported_at=1000.0)
    harness.add_engine("e2", reported_at=1000.0)
    await count_choices(harness, 20)
    counts = Counter()
    for _ in range(40):
        slot = await harness.router.acquire(harness.call())
        counts[slot.target.view.info.target] += 1
    assert counts["e1"] == counts["e2"] == 20


@run_async
async def test_requests_beyond_an_engines_capacity_count_as_waiting():
    harness = RouterHarness()
    for name in ("full", "free"):
        harness.add_engine(name, running=16, waiting=1, reported_at=1000.0)
    harness.add_engine("full", running=15, reported_at=1000.0)
    harness.add_engine("free", running=5, reported_at=1000.0)
    counts = Counter()
    for _ in range(11):
        slot = await harness.router.acquire(harness.call())
        counts[slot.target.view.info.target] += 1
    assert counts["free"] >= 9


@run_async
async def test_request_that_a_lagging_report_misses_is_counted():
    harness = RouterHarness(report_lag_ms=1000)
    harness.add_engine("e1", reported_at=1000.0)
    await harness.router.acquire(harness.call())
    harness.advance(0.5)
    now = harness.clock.monotonic()
    harness.add_engine("e1", reported_at=now)
    assert harness.target("e1").sent_since_report() == 1
    harness.add_engine("e1", reported_at=now + 1.0)
    assert harness.target("e1").sent_since_report() == 0


@run_async
async def test_reported_queue_keeps_requests_away():
    harness = RouterHarness()
    harness.add_engine("e1", waiting=5)
    harness.add_engine("e2")
    counts = await count_choices(harness, 20)
    assert counts["e2"] == 20


@run_async
async def test_longest_prefix_draws_the_request():
    harness = RouterHarness()
    for number in range(1, 9):
        harness.add_engine(f"e{number}")
    blocks = ("b1", "b2", "b3")
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(TargetId("e7"), QUOTE, blocks, now)
    for _ in range(20):
        slot = await harness.router.acquire(harness.call(prompt_blocks=blocks))
        assert slot.target.view.info.target == "e7"
        harness.router.release(slot, Outcome.CANCELLED)


@run_async
async def test_prefix_does_not_draw_requests_to_a_full_engine():
    harness = RouterHarness()
    harness.add_engine("cached", running=16, waiting=1)
    harness.add_engine("cached", running=16)
    harness.add_engine("empty")
    await harness.serve(harness.call(), 0.1)
    target = harness.target("cached")
    target.speed.record_first_token(0.1, harness.clock.monotonic())
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(
        TargetId("cached"), QUOTE, ("b1",), now
    )
    slot = await harness.router.acquire(harness.call(prompt_blocks=("b1",)))
    assert slot.target.view.info.target == "empty"


@run_async
async def test_prefix_does_not_outweigh_a_long_queue():
    harness = RouterHarness()
    harness.add_engine("e1", waiting=20)
    harness.add_engine("e2")
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(E1, QUOTE, ("b1",), now)
    slot = await harness.router.acquire(harness.call(prompt_blocks=("b1",)))
    assert slot.target.view.info.target == "e2"


def stored(sequence, block, model="quote@1"):
    return CacheEvent(
        sequence=sequence,
        kind=CacheEventKind.STORED,
        model=ItemName(model),
        block=block,
    )


def test_missed_cache_events_make_older_entries_doubtful():
    index = CacheIndex()
    index.apply(E1, [stored(1, "a"), stored(2, "b")], 10.0)
    blocks = ("a", "b")
    assert index.estimate_cached_share(E1, QUOTE, blocks, 11.0) == 1.0
    index.apply(E1, [stored(7, "c")], 20.0)
    assert index.gap_count == 1
    assert index.estimate_cached_share(E1, QUOTE, blocks, 21.0) == 0.5
    assert index.estimate_cached_share(E1, QUOTE, blocks, 1000.0) == 0.0


def test_removed_and_cleared_blocks_are_forgotten():
    index = CacheIndex()
    index.apply(E1, [stored(1, "a"), stored(2, "b")], 10.0)
    removed = CacheEvent(
        sequence=3, kind=CacheEventKind.REMOVED, model=QUOTE, block="b"
    )
    # Repeated events change nothing.
    index.apply(E1, [stored(1, "a"), stored(2, "b"), removed], 11.0)
    assert index.estimate_cached_share(E1, QUOTE, ("a", "b"), 11.0) == 0.5
    cleared = CacheEvent(sequence=4, kind=CacheEventKind.CLEARED, model=QUOTE)
    index.apply(E1, [cleared], 12.0)
    assert len(index) == 0


def test_cache_index_is_bounded():
    index = CacheIndex(max_entry_count=10)
    for number in range(100):
        index.add_sent_prompt(E1, QUOTE, (f"b{number}",), float(number))
    assert len(index) == 10
    assert index.estimate_cached_share(E1, QUOTE, ("b99",), 99.0) == 1.0


@run_async
async def test_near_targets_come_first():
    harness = RouterHarness()
    harness.add_engine("far", domain="cork-1", region="cork")
    harness.add_engine("near", domain="dublin-2")
    assert await harness.serve(harness.call(), 0.01) == "near"
    harness.add_engine("own")
    for _ in range(10):
        assert await harness.serve(harness.call(), 0.01) == "own"


@run_async
async def test_domain_that_answers_nothing_counts_as_cut_off_for_a_while():
    harness = RouterHarness()
    for name in ("far1", "far2"):
        harness.add_engine(name, domain="cork-1", region="cork")

    async def send(outcome):
        slot = await harness.router.acquire(harness.call())
        if outcome is Outcome.SUCCEEDED:
            harness.router.record_tokens(slot, 1)
        harness.router.release(slot, outcome)

    await send(Outcome.SILENT)
    await send(Outcome.SILENT)
    async with anyio.create_task_group() as group:
        waiting = Waiting(harness, group)
        await waiting.start(harness.call(deadline_s=1.0))
        harness.advance(1.1)
        await settle()
        assert isinstance(waiting.refused[0], ItemNotLoaded)
    # One more silence after a while renews it, an answer ends it.
    harness.advance(4.0)
    await send(Outcome.SILENT)
    with pytest.raises(TimeoutError), anyio.fail_after(0.01):
        await send(Outcome.SILENT)
    harness.advance(5.1)
    await send(Outcome.SUCCEEDED)
    await send(Outcome.SILENT)
    await send(Outcome.SUCCEEDED)


@run_async
async def test_silence_in_the_own_domain_cuts_nothing_off():
    harness = RouterHarness()
    harness.add_engine("own")
    for _ in range(5):
        slot = await harness.router.acquire(harness.call())
        harness.router.release(slot, Outcome.SILENT)


@run_async
async def test_far_target_is_used_when_the_deadline_holds_only_there():
    harness = RouterHarness()
    harness.add_engine("own")
    harness.add_engine("far", domain="cork-1", region="cork")
    await count_choices(harness, 5)
    harness.add_engine("own", waiting=500)
    slot = await harness.router.acquire(harness.call(deadline_s=1.0))
    assert slot.target.view.info.target == "far"
    slot = await harness.router.acquire(harness.call(deadline_s=100.0))
    assert slot.target.view.info.target == "own"


@run_async
async def test_version_on_the_sheet_is_used_as_soon_as_it_is_ready():
    harness = RouterHarness(rows=(model_row(version="2"),))
    harness.add_engine("old", items=("quote@1",))
    slot = await harness.router.acquire(harness.call())
    assert slot.model == "quote@1"
    harness.add_engine("new", items=("quote@2",))
    for _ in range(10):
        slot = await harness.router.acquire(harness.call())
        assert slot.model == "quote@2"


@run_async
async def test_version_that_the_caller_names_is_the_only_one():
    harness = RouterHarness()
    harness.add_engine("e1", items=("quote@1",))
    harness.add_engine("e2", items=("quote@2",))
    for _ in range(10):
        slot = await harness.router.acquire(harness.call(version="2"))
        assert slot.model == "quote@2"


@run_async
async def test_engine_that_lost_an_item_is_avoided_for_a_while():
    harness = RouterHarness(not_ready_ms=1000)
    harness.add_engine("e1")
    harness.add_engine("e2")
    slot = await harness.router.acquire(harness.call())
    lost = slot.target.view.info.target
    harness.router.release(slot, Outcome.NOT_READY)
    counts = await count_choices(harness, 8, {"e1": 0.01, "e2": 0.01})
    assert lost not in counts
    harness.advance(1.0)
    assert lost in await count_choices(harness, 50, {"e1": 0.01, "e2": 0.01})


@pytest.mark.parametrize("chooser", BASELINES)
def test_baselines_are_selectable(chooser):
    async def check():
        harness = RouterHarness(chooser=chooser)
        for name in ("e1", "e2", "e3"):
            harness.add_engine(name)
        counts = await count_choices(harness, 300)
        assert min(counts.values()) > 50
        if chooser == "round_robin":
            assert set(counts.values()) == {100}

    anyio.run(check)


@run_async
async def test_least_outstanding_counts_requests_in_flight():
    harness = RouterHarness(chooser="least_outstanding")
    for name in ("e1", "e2", "e3"):
        harness.add_engine(name)
    counts = Counter()
    for _ in range(30):
        slot = await harness.router.acquire(harness.call())
        counts[slot.target.view.info.target] += 1
    assert set(counts.values()) == {10}
