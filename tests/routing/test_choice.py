"""Choice of a target by latency, load, cached prefixes and distance."""

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
from tests.routing.fakes import QueuedCalls
from tests.routing.fakes import RouterHarness
from tests.routing.fakes import run_ready_tasks
from tests.serving.fakes import model_row
from tests.serving.fakes import run_async

BASELINES = ["round_robin", "random", "least_outstanding"]
E1 = TargetId("e1")
QUOTE = ItemName("quote")


async def count_choices(harness, calls, duration_by_target=None):
    """Serve calls one after another; count them by target."""
    counts = Counter()
    for _ in range(calls):
        slot = await harness.router.acquire(harness.create_call())
        name = slot.target.view.info.target
        seconds = (duration_by_target or {}).get(name, 0.1)
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
    durations_s = {"e1": 0.1, "e2": 0.1, "slow": 1.0}
    counts = await count_choices(harness, 300, durations_s)
    # It still gets some requests, which would reveal a recovery.
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
async def test_unresponsive_target_loses_traffic_before_its_requests_end():
    harness = RouterHarness()
    harness.add_engine("e1")
    harness.add_engine("stuck")
    await count_choices(harness, 20)
    harness.add_engine("e1", waiting=2)
    slot = await harness.router.acquire(harness.create_call())
    assert slot.target.view.info.target == "stuck"
    # The overdue first token outweighs the queue of the other target.
    harness.advance(4.0)
    for _ in range(5):
        other = await harness.router.acquire(harness.create_call())
        assert other.target.view.info.target == "e1"


@run_async
async def test_own_requests_are_added_to_a_stale_load_report():
    harness = RouterHarness()
    harness.add_engine("e1", reported_at=1000.0)
    harness.add_engine("e2", reported_at=1000.0)
    await count_choices(harness, 20)
    counts = Counter()
    for _ in range(40):
        slot = await harness.router.acquire(harness.create_call())
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
        slot = await harness.router.acquire(harness.create_call())
        counts[slot.target.view.info.target] += 1
    assert counts["free"] >= 9


@run_async
async def test_request_not_yet_in_a_load_report_is_counted():
    harness = RouterHarness(report_lag_ms=1000)
    harness.add_engine("e1", reported_at=1000.0)
    await harness.router.acquire(harness.create_call())
    harness.advance(0.5)
    now = harness.clock.monotonic()
    harness.add_engine("e1", reported_at=now)
    assert harness.get_target("e1").count_sent_since_report() == 1
    harness.add_engine("e1", reported_at=now + 1.0)
    assert harness.get_target("e1").count_sent_since_report() == 0


@run_async
async def test_target_with_a_reported_queue_gets_no_requests():
    harness = RouterHarness()
    harness.add_engine("e1", waiting=5)
    harness.add_engine("e2")
    counts = await count_choices(harness, 20)
    assert counts["e2"] == 20


@run_async
async def test_target_with_the_longest_cached_prefix_is_chosen():
    harness = RouterHarness()
    for number in range(1, 9):
        harness.add_engine(f"e{number}")
    blocks = ("b1", "b2", "b3")
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(TargetId("e7"), QUOTE, blocks, now)
    for _ in range(20):
        slot = await harness.router.acquire(
            harness.create_call(prompt_blocks=blocks)
        )
        assert slot.target.view.info.target == "e7"
        harness.router.release(slot, Outcome.CANCELLED)


@run_async
async def test_cached_prefix_does_not_outweigh_a_full_batch():
    harness = RouterHarness()
    harness.add_engine("cached", running=16, waiting=1)
    harness.add_engine("cached", running=16)
    harness.add_engine("empty")
    await harness.run_call(harness.create_call(), 0.1)
    target = harness.get_target("cached")
    target.latency.record_first_token(0.1, harness.clock.monotonic())
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(
        TargetId("cached"), QUOTE, ("b1",), now
    )
    slot = await harness.router.acquire(
        harness.create_call(prompt_blocks=("b1",))
    )
    assert slot.target.view.info.target == "empty"


@run_async
async def test_cached_prefix_does_not_outweigh_a_long_queue():
    harness = RouterHarness()
    harness.add_engine("e1", waiting=20)
    harness.add_engine("e2")
    now = harness.clock.monotonic()
    harness.router.cache.add_sent_prompt(E1, QUOTE, ("b1",), now)
    slot = await harness.router.acquire(
        harness.create_call(prompt_blocks=("b1",))
    )
    assert slot.target.view.info.target == "e2"


def create_stored_event(sequence, block, model="quote@1"):
    return CacheEvent(
        sequence=sequence,
        kind=CacheEventKind.STORED,
        model=ItemName(model),
        block=block,
    )


def test_gap_in_cache_events_lowers_the_trust_in_older_entries():
    index = CacheIndex()
    index.apply(
        E1, [create_stored_event(1, "a"), create_stored_event(2, "b")], 10.0
    )
    blocks = ("a", "b")
    assert index.estimate_cached_share(E1, QUOTE, blocks, 11.0) == 1.0
    index.apply(E1, [create_stored_event(7, "c")], 20.0)
    assert index.gap_count == 1
    assert index.estimate_cached_share(E1, QUOTE, blocks, 21.0) == 0.5
    assert index.estimate_cached_share(E1, QUOTE, blocks, 1000.0) == 0.0


def test_removed_and_cleared_blocks_are_forgotten():
    index = CacheIndex()
    index.apply(
        E1, [create_stored_event(1, "a"), create_stored_event(2, "b")], 10.0
    )
    removed = CacheEvent(
        sequence=3, kind=CacheEventKind.REMOVED, model=QUOTE, block="b"
    )
    # Events that were applied before have no effect.
    index.apply(
        E1,
        [create_stored_event(1, "a"), create_stored_event(2, "b"), removed],
        11.0,
    )
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
async def test_targets_at_the_shortest_distance_are_preferred():
    harness = RouterHarness()
    harness.add_engine("far", domain="cork-1", region="cork")
    harness.add_engine("near", domain="dublin-2")
    assert await harness.run_call(harness.create_call(), 0.01) == "near"
    harness.add_engine("own")
    for _ in range(10):
        assert await harness.run_call(harness.create_call(), 0.01) == "own"


@run_async
async def test_unresponsive_domain_counts_as_unreachable_for_a_while():
    harness = RouterHarness()
    for name in ("far1", "far2"):
        harness.add_engine(name, domain="cork-1", region="cork")

    async def send(outcome):
        slot = await harness.router.acquire(harness.create_call())
        if outcome is Outcome.SUCCEEDED:
            harness.router.record_tokens(slot, 1)
        harness.router.release(slot, outcome)

    await send(Outcome.SILENT)
    await send(Outcome.SILENT)
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(deadline_s=1.0))
        harness.advance(1.1)
        await run_ready_tasks()
        assert isinstance(queued.refused[0], ItemNotLoaded)
    # One more unanswered request renews the state; a response ends it.
    harness.advance(4.0)
    await send(Outcome.SILENT)
    with pytest.raises(TimeoutError), anyio.fail_after(0.01):
        await send(Outcome.SILENT)
    harness.advance(5.1)
    await send(Outcome.SUCCEEDED)
    await send(Outcome.SILENT)
    await send(Outcome.SUCCEEDED)


@run_async
async def test_unanswered_requests_do_not_make_the_local_domain_unreachable():
    harness = RouterHarness()
    harness.add_engine("own")
    for _ in range(5):
        slot = await harness.router.acquire(harness.create_call())
        harness.router.release(slot, Outcome.SILENT)


@run_async
async def test_remote_target_is_used_when_only_it_meets_the_deadline():
    harness = RouterHarness()
    harness.add_engine("own")
    harness.add_engine("far", domain="cork-1", region="cork")
    await count_choices(harness, 5)
    harness.add_engine("own", waiting=500)
    slot = await harness.router.acquire(harness.create_call(deadline_s=1.0))
    assert slot.target.view.info.target == "far"
    slot = await harness.router.acquire(harness.create_call(deadline_s=100.0))
    assert slot.target.view.info.target == "own"


@run_async
async def test_version_on_the_sheet_is_used_as_soon_as_it_is_ready():
    harness = RouterHarness(rows=(model_row(version="2"),))
    harness.add_engine("old", items=("quote@1",))
    slot = await harness.router.acquire(harness.create_call())
    assert slot.model == "quote@1"
    harness.add_engine("new", items=("quote@2",))
    for _ in range(10):
        slot = await harness.router.acquire(harness.create_call())
        assert slot.model == "quote@2"


@run_async
async def test_version_pinned_by_the_caller_is_the_only_one_used():
    harness = RouterHarness()
    harness.add_engine("e1", items=("quote@1",))
    harness.add_engine("e2", items=("quote@2",))
    for _ in range(10):
        slot = await harness.router.acquire(harness.create_call(version="2"))
        assert slot.model == "quote@2"


@run_async
async def test_engine_without_the_item_is_avoided_for_a_while():
    harness = RouterHarness(not_ready_ms=1000)
    harness.add_engine("e1")
    harness.add_engine("e2")
    slot = await harness.router.acquire(harness.create_call())
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
        slot = await harness.router.acquire(harness.create_call())
        counts[slot.target.view.info.target] += 1
    assert set(counts.values()) == {10}
