"""Queueing, limits, refusals, retries and ejection."""

from datetime import timedelta
import random

import anyio
import pytest

from dotterelbridge.errors import InvariantViolation
from dotterelbridge.ids import Priority
from dotterelbridge.membership.view import MemberState
from dotterelbridge.routing.budget import RetryBudget
from dotterelbridge.routing.concurrency import ConcurrencyLimit
from dotterelbridge.routing.errors import DeadlinePassed
from dotterelbridge.routing.errors import DeadlineUnreachable
from dotterelbridge.routing.errors import ItemNotLoaded
from dotterelbridge.routing.errors import QueueFull
from dotterelbridge.routing.errors import RetriesExhausted
from dotterelbridge.routing.target import Outcome
from dotterelbridge.targets.client import ProbeOutcome
from tests.routing.fakes import QueuedCalls
from tests.routing.fakes import RouterHarness
from tests.routing.fakes import run_ready_tasks
from tests.serving.fakes import run_async

URGENT = Priority.URGENT
NORMAL = Priority.NORMAL
BACKGROUND = Priority.BACKGROUND
ONE_SLOT = {"initial_concurrency": 1, "concurrency_limit": 1}


@run_async
async def test_slots_are_granted_by_priority_then_earliest_deadline():
    harness = RouterHarness(**ONE_SLOT)
    harness.add_engine("e1")
    slot = await harness.router.acquire(harness.create_call())
    calls = [
        harness.create_call(BACKGROUND, 50),
        harness.create_call(NORMAL, 60),
        harness.create_call(NORMAL, 40),
        harness.create_call(URGENT, 70),
        harness.create_call(URGENT, 55),
    ]
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        for call in calls:
            await queued.start_call(call)
        for _ in calls:
            harness.router.release(slot, Outcome.SUCCEEDED)
            await run_ready_tasks()
            slot = queued.granted[-1]
    expected = [calls[i].request_id for i in (4, 3, 2, 1, 0)]
    assert queued.granted_request_ids == expected


@run_async
async def test_overdue_background_request_gets_its_share_of_slots():
    harness = RouterHarness(
        background_wait_limit_ms=1000,
        background_share_percent=25,
        **ONE_SLOT,
    )
    harness.add_engine("e1")
    slot = await harness.router.acquire(harness.create_call())
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(BACKGROUND, 1000))
        harness.advance(1.5)
        # However many urgent requests wait, the overdue background
        # request gets one slot in four.
        for _ in range(8):
            await queued.start_call(harness.create_call(URGENT, 1000))
        for _ in range(9):
            harness.router.release(slot, Outcome.SUCCEEDED)
            await run_ready_tasks()
            slot = queued.granted[-1]
    priorities = [granted.call.priority for granted in queued.granted]
    assert priorities.index(BACKGROUND) == 3


@pytest.mark.parametrize("priority", list(Priority))
def test_queue_is_bounded_for_each_priority(priority):
    async def check():
        harness = RouterHarness(
            urgent_queue_limit=3,
            normal_queue_limit=3,
            background_queue_limit=3,
        )
        async with anyio.create_task_group() as group:
            queued = QueuedCalls(harness, group)
            for _ in range(4):
                await queued.start_call(harness.create_call(priority))
            assert isinstance(queued.refused[0], QueueFull)
            assert queued.refused[0].retry_after > timedelta(0)
            assert len(queued.refused) == 1
            # Each priority has its own limit.
            other = URGENT if priority is not URGENT else NORMAL
            await queued.start_call(harness.create_call(other))
            assert len(queued.refused) == 1
            group.cancel_scope.cancel()
        assert harness.router.dump()["waiting_items"] == {}

    anyio.run(check)


@run_async
async def test_wait_beyond_the_deadline_is_refused_at_once():
    harness = RouterHarness(**ONE_SLOT)
    harness.add_engine("e1")
    await harness.run_call(harness.create_call(), seconds=4.0)
    held = await harness.router.acquire(harness.create_call())
    with pytest.raises(DeadlineUnreachable) as refused:
        await harness.router.acquire(harness.create_call(deadline_s=1.0))
    assert refused.value.retry_after >= timedelta(seconds=1)
    demand = harness.router.read_demand()["quote"]
    assert demand.missed == 1
    harness.router.release(held, Outcome.SUCCEEDED)


@run_async
async def test_waiter_is_refused_when_its_deadline_passes():
    harness = RouterHarness(**ONE_SLOT)
    harness.add_engine("e1")
    held = await harness.router.acquire(harness.create_call())
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(deadline_s=2.0))
        harness.advance(1.9)
        await run_ready_tasks()
        assert queued.refused == []
        harness.advance(0.2)
        await run_ready_tasks()
        assert type(queued.refused[0]) is DeadlinePassed
    harness.router.release(held, Outcome.SUCCEEDED)


@run_async
async def test_item_that_is_loaded_nowhere_waits_up_to_its_deadline():
    harness = RouterHarness()
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(deadline_s=2.0))
        await queued.start_call(harness.create_call(deadline_s=4.0))
        assert harness.router.read_demand()["quote"].waiting == 2
        harness.advance(2.5)
        await run_ready_tasks()
        assert isinstance(queued.refused[0], ItemNotLoaded)
        harness.add_engine("e1")
        await run_ready_tasks()
        assert len(queued.granted) == 1


@run_async
async def test_urgent_call_preempts_a_background_stream():
    harness = RouterHarness(**ONE_SLOT)
    harness.add_engine("e1")
    background = await harness.router.acquire(harness.create_call(BACKGROUND))
    preempted = []

    def preempt():
        preempted.append(background)
        harness.router.release(background, Outcome.PREEMPTED)

    background.preempt = preempt
    slot = await harness.router.acquire(harness.create_call(URGENT))
    assert preempted == [background]
    assert background.preempted
    assert slot.call.priority is URGENT


@pytest.mark.parametrize(
    ("priority", "waiting", "preempted"),
    [(URGENT, 20, 1), (URGENT, 0, 0), (NORMAL, 20, 0)],
)
def test_urgent_call_preempts_at_an_engine_that_is_too_busy(
    priority, waiting, preempted
):
    async def check():
        harness = RouterHarness()
        harness.add_engine("e1")
        background = await harness.router.acquire(
            harness.create_call(BACKGROUND)
        )
        preemptions = []
        background.preempt = lambda: preemptions.append(1)
        harness.add_engine("e1", running=16, waiting=waiting)
        slot = await harness.router.acquire(harness.create_call(priority, 1.0))
        assert slot.target.view.info.target == "e1"
        assert len(preemptions) == preempted

    anyio.run(check)


@run_async
async def test_background_call_waits_for_a_free_batch_until_it_is_overdue():
    harness = RouterHarness(background_wait_limit_ms=1000)
    harness.add_engine("e1", running=16, waiting=3)
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(BACKGROUND, 100))
        await queued.start_call(harness.create_call(NORMAL))
        assert [s.call.priority for s in queued.granted] == [NORMAL]
        # The next load report shows free capacity.
        harness.add_engine("e1", running=3)
        await run_ready_tasks()
        assert len(queued.granted) == 2
        harness.add_engine("e1", running=16, waiting=3)
        await queued.start_call(harness.create_call(BACKGROUND, 100))
        harness.advance(1.1)
        harness.add_engine("e1", running=16, waiting=4)
        await run_ready_tasks()
        assert len(queued.granted) == 3


@run_async
async def test_background_stream_is_preempted_a_bounded_number_of_times():
    harness = RouterHarness(background_cancellations_limit=2, **ONE_SLOT)
    harness.add_engine("e1")
    call = harness.create_call(BACKGROUND, deadline_s=1000)
    call.preemptions = 2
    background = await harness.router.acquire(call)
    background.preempt = lambda: pytest.fail("was preempted")
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call(URGENT))
        assert queued.granted == []
        harness.router.release(background, Outcome.SUCCEEDED)
        await run_ready_tasks()
        assert len(queued.granted) == 1


@pytest.mark.parametrize("priority", [NORMAL, BACKGROUND])
def test_only_urgent_calls_preempt(priority):
    async def check():
        harness = RouterHarness(**ONE_SLOT)
        harness.add_engine("e1")
        background = await harness.router.acquire(
            harness.create_call(BACKGROUND)
        )
        background.preempt = lambda: pytest.fail("was preempted")
        async with anyio.create_task_group() as group:
            await QueuedCalls(harness, group).start_call(
                harness.create_call(priority)
            )
            group.cancel_scope.cancel()

    anyio.run(check)


@run_async
async def test_cancelled_waiter_leaves_neither_slot_nor_queue_entry():
    harness = RouterHarness(**ONE_SLOT)
    harness.add_engine("e1")
    held = await harness.router.acquire(harness.create_call())
    async with anyio.create_task_group() as group:
        await QueuedCalls(harness, group).start_call(harness.create_call())
        # The slot is granted in the same step in which the caller
        # disconnects.
        group.cancel_scope.cancel()
        harness.router.release(held, Outcome.SUCCEEDED)
        assert harness.get_target("e1").in_flight == 1
    assert harness.get_target("e1").in_flight == 0
    assert harness.router.dump()["waiting_items"] == {}


def test_retries_are_a_share_of_first_attempts():
    budget = RetryBudget(percent=10, reserve=5)
    for _ in range(5):
        budget.record_retry()
    assert not budget.allows_retry
    for _ in range(10):
        budget.record_first_attempt()
    assert budget.allows_retry
    budget.record_retry()
    assert not budget.allows_retry


@run_async
async def test_failing_target_does_not_amplify_requests():
    harness = RouterHarness(
        retry_reserve=10, ejection_failures=100_000, attempts_limit=10
    )
    harness.add_engine("e1")
    attempts = 0
    for _ in range(1000):
        call = harness.create_call()
        while True:
            slot = await harness.router.acquire(call)
            attempts += 1
            harness.router.release(slot, Outcome.BROKEN)
            try:
                harness.router.charge_retry(call, slot.target)
            except RetriesExhausted:
                break
    # 10 percent retries, plus the reserve that is available at the start.
    assert attempts <= 1000 * 1.1 + 10 + 1


def fail_calls(harness, times, outcome=Outcome.BROKEN):
    """Return a coroutine that runs calls which fail."""

    async def run():
        for _ in range(times):
            slot = await harness.router.acquire(harness.create_call())
            harness.router.release(slot, outcome)

    return run()


@run_async
async def test_failing_target_is_ejected_and_probed():
    harness = RouterHarness(ejection_failures=3, ejection_ms=1000)
    harness.add_engine("bad")
    await fail_calls(harness, 3)
    harness.add_engine("good")
    assert harness.get_target("bad").is_ejected
    for _ in range(20):
        assert await harness.run_call(harness.create_call(), 0.01) == "good"
    harness.advance(2.0)
    assert harness.router.start_due_probes() == [harness.get_target("bad")]
    # Only one probe at a time.
    assert harness.router.start_due_probes() == []
    harness.get_target("bad").ejection.finish_probe(
        False, harness.clock.monotonic()
    )
    # The second ejection lasts longer.
    harness.advance(1.3)
    assert harness.router.start_due_probes() == []
    harness.advance(1.3)
    assert harness.router.start_due_probes() == [harness.get_target("bad")]


@run_async
async def test_readmitted_target_starts_with_one_request():
    harness = RouterHarness(ejection_failures=3)
    harness.add_engine("e1")
    await fail_calls(harness, 3)

    async def answer(timeout):
        return ProbeOutcome.UP

    target = harness.get_target("e1")
    target.client.probe = answer
    harness.advance(2.0)
    (due,) = harness.router.start_due_probes()
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        for _ in range(10):
            await queued.start_call(harness.create_call(deadline_s=1000))
        # While the only target is ejected, it gets one request, which
        # serves as a probe; all others wait.
        assert len(queued.granted) == 1
        await harness.router.probe(due)
        await run_ready_tasks()
        assert target.concurrency.limit == 1
        assert target.in_flight == 1
        harness.router.record_tokens(queued.granted[0], 1)
        await run_ready_tasks()
        # Slow start: the limit grows with each first token.
        assert target.in_flight == 2
        group.cancel_scope.cancel()


@run_async
async def test_only_target_is_used_even_while_it_is_ejected():
    harness = RouterHarness(ejection_failures=2)
    harness.add_engine("e1")
    await fail_calls(harness, 2)
    assert harness.get_target("e1").is_ejected
    slot = await harness.router.acquire(harness.create_call())
    assert slot.target.view.info.target == "e1"


@run_async
async def test_refusals_by_a_busy_engine_do_not_eject_it():
    harness = RouterHarness(ejection_failures=2, initial_concurrency=10)
    harness.add_engine("e1")
    await fail_calls(harness, 20, Outcome.OVERLOADED)
    target = harness.get_target("e1")
    assert not target.is_ejected
    assert 1 <= target.concurrency.limit < 10


@run_async
async def test_leaving_target_gets_no_new_work():
    harness = RouterHarness()
    harness.add_engine("e1")
    harness.add_engine("e2")
    harness.add_engine("e1", state=MemberState.LEAVING)
    names = {
        await harness.run_call(harness.create_call(), 0.01) for _ in range(20)
    }
    assert names == {"e2"}
    # The engine reported that it is leaving before the membership view
    # shows it.
    slot = await harness.router.acquire(harness.create_call())
    harness.router.release(slot, Outcome.LEAVING)
    async with anyio.create_task_group() as group:
        queued = QueuedCalls(harness, group)
        await queued.start_call(harness.create_call())
        assert queued.granted == []
        group.cancel_scope.cancel()


def test_slot_at_a_leaving_target_violates_an_invariant():
    harness = RouterHarness()
    harness.add_engine("e1")
    target = harness.get_target("e1")
    harness.add_engine("e1", state=MemberState.LEAVING)
    with pytest.raises(InvariantViolation):
        target.acquire_slot(
            harness.create_call(), "quote@1", harness.clock.monotonic()
        )


def test_limit_grows_while_fast_and_shrinks_when_slow():
    limit = ConcurrencyLimit(initial=4, maximum=20)
    now = 0.0
    for _ in range(100):
        now += 1
        limit.record_first_token(0.1, limit.limit, now)
    assert limit.limit == 20
    for _ in range(5):
        now += 3
        limit.record_first_token(2.0, limit.limit, now)
    assert limit.limit < 10
    for _ in range(200):
        now += 100
        limit.record_overload(now)
    assert limit.limit == 1


def test_unused_limit_does_not_grow():
    limit = ConcurrencyLimit(initial=10, maximum=100)
    for second in range(100):
        limit.record_first_token(0.1, 2, float(second))
    assert limit.limit == 10


@pytest.mark.parametrize("seed", range(3))
def test_random_traffic_neither_loses_nor_duplicates_slots(seed):
    """No slot is lost or granted twice, whatever the order of events."""

    async def check():
        rng = random.Random(seed)
        harness = RouterHarness(
            seed=seed, initial_concurrency=3, concurrency_limit=6
        )
        async with anyio.create_task_group() as group:
            queued = QueuedCalls(harness, group)
            running = []
            for step in range(2000):
                choice = rng.random()
                if choice < 0.05:
                    state = rng.choice(list(MemberState))
                    harness.add_engine(f"e{rng.randint(1, 3)}", state=state)
                elif choice < 0.5:
                    await queued.start_call(
                        harness.create_call(
                            rng.choice(list(Priority)), rng.random()
                        )
                    )
                elif choice < 0.6:
                    harness.advance(rng.random() / 10)
                elif running:
                    slot = running.pop(rng.randrange(len(running)))
                    if rng.random() < 0.7:
                        harness.router.record_tokens(slot, 1)
                    outcome = rng.choice(list(Outcome))
                    harness.router.release(slot, outcome)
                await run_ready_tasks()
                running += queued.granted
                queued.granted.clear()
                state = harness.router.dump()
                held = sum(t["in_flight"] for t in state["targets"].values())
                assert held == len(running), step
            group.cancel_scope.cancel()
        assert harness.router.dump()["waiting_items"] == {}

    anyio.run(check)
