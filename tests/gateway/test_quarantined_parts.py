"""Requests with a quarantined trait, and evidence of crashes."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.request import PromptPart
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.quarantine.quarantine import QuarantinedTrait
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import get_kind
from dotterelbridge.targets.statements import TargetStatement
from tests.fleet.support import RETRY_AFTER
from tests.gateway.support import HOST
from tests.gateway.support import SIGNED_HEADERS
from tests.gateway.support import run_gateway
from tests.gateway.support import wait_until
from tests.gateway.test_router import in_virtual_time
from tests.routes.support import LLM
from tests.serving.fakes import run_async

TARGET = ("e1", 1)
BAD_PROMPT = ("a0", "bad0", "own1")
SOUND_PROMPT = ("a0", "c0", "own2")


def create_call(harness, part_ids=BAD_PROMPT):
    parts = tuple(PromptPart(part_id, 10) for part_id in part_ids)
    return harness.create_call(prompt_parts=parts)


def quarantine(harness, version=1, trial=0, vm="") -> None:
    entry = QuarantinedTrait("bad0", trial, vm)
    harness.quarantine.activate(QuarantineSnapshot(version, (entry,)))


async def expect_refusal(harness, call) -> None:
    with pytest.raises(NoTargetAvailable) as refusal:
        await harness.router.acquire(call)
    assert refusal.value.reason is UnavailableReason.QUARANTINED
    assert refusal.value.retry_after == RETRY_AFTER


@in_virtual_time
async def test_request_with_a_quarantined_part_is_refused_at_once(harness):
    harness.update_target()
    quarantine(harness)
    started_at = harness.clock.monotonic()
    await expect_refusal(harness, create_call(harness))
    assert harness.clock.monotonic() == started_at
    await harness.router.acquire(create_call(harness, SOUND_PROMPT))


@in_virtual_time
async def test_own_part_of_a_request_is_never_quarantined(harness):
    harness.update_target()
    quarantine(harness)
    await harness.router.acquire(create_call(harness, ("a0", "bad0")))


# Guards against requests that wait for the replicas that crashed.
@in_virtual_time
async def test_waiting_request_is_refused_once_its_part_is_quarantined(
    harness,
):
    harness.update_target(slots=1)
    slot = await harness.router.acquire(create_call(harness, SOUND_PROMPT))
    async with anyio.create_task_group() as group:
        group.start_soon(expect_refusal, harness, create_call(harness))
        await anyio.sleep(0.05)
        quarantine(harness)
        harness.router.release(slot, AttemptOutcome.ANSWERED)
        started_at = harness.clock.monotonic()
    assert harness.clock.monotonic() == started_at
    assert slot.gateway_target.in_flight == 0


@in_virtual_time
async def test_trial_is_a_single_attempt(harness):
    harness.update_target(slots=8)
    quarantine(harness)
    quarantine(harness, 2, 1, "f1")
    call = create_call(harness)
    slot = await harness.router.acquire(call)
    await expect_refusal(harness, create_call(harness))
    call.attempts = 1
    harness.router.release(slot, AttemptOutcome.CLOSED)
    await expect_refusal(harness, call)


@in_virtual_time
async def test_request_with_two_quarantined_parts_is_no_trial(harness):
    harness.update_target(slots=8)
    quarantine(harness)
    entries = (QuarantinedTrait("bad0", 1, "f1"), QuarantinedTrait("bad1"))
    harness.quarantine.activate(QuarantineSnapshot(2, entries))
    await expect_refusal(
        harness, create_call(harness, ("bad0", "bad1", "own1"))
    )
    await harness.router.acquire(create_call(harness))


@run_async
async def test_retry_after_a_crash_is_refused_as_of_unknown_outcome():
    """The request has run, so that "not run" would be false."""
    async with run_gateway() as gateway:

        async def crash(received):
            quarantine(gateway)
            received.reset()

        target = await gateway.add_target("e1", crash, service=LLM)
        response = await gateway.call(
            "/drafts/", headers={"dotterelbridge-prompt-parts": "bad0:1,o:1"}
        )
        assert response.status_code == 502
        refused = await gateway.call(
            "/drafts/", headers={"dotterelbridge-prompt-parts": "bad0:1,o:1"}
        )
        assert refused.status_code == 503
        assert float(refused.headers["retry-after"]) == 60
        assert len(target.received) == 1


@run_async
async def test_crash_is_reported_with_the_parts_it_may_be_due_to():
    async with run_gateway() as gateway:
        target = None

        async def crash(received):
            await target.stop()
            received.reset()

        target = await gateway.add_target("e1", crash, service=LLM)
        await gateway.call(
            "/quotes/", headers={"dotterelbridge-prompt-parts": "p1:1,o:1"}
        )
        with anyio.fail_after(10):
            crash = await gateway.router.crash_watch.wait_for_crash()
    assert crash.incarnation == ("e1", 1)
    kinds = [get_kind(trait) for trait in crash.traits]
    assert "p1" in crash.traits
    assert sorted(kind.name for kind in kinds) == ["CALLER", "PART", "REQUEST"]


# Guards against evidence from broken answers of targets that live on.
@run_async
async def test_broken_answer_of_a_living_target_is_no_crash():
    async with run_gateway() as gateway:

        async def reset(received):
            received.reset()

        await gateway.add_target("e1", reset, service=LLM)
        await gateway.call(
            "/quotes/", headers={"dotterelbridge-prompt-parts": "p1:1,o:1"}
        )
        await wait_until(
            lambda: gateway.router.dump()["targets"]["e1"]["ejection"] == "in"
        )
        with pytest.raises(TimeoutError), anyio.fail_after(0.05):
            await gateway.router.crash_watch.wait_for_crash()


# Guards against evidence from connections that are reset on the way, also
# that of the probe.
@run_async
async def test_target_whose_connections_are_reset_has_not_crashed():
    async with run_gateway(health_path="/health") as gateway:

        async def reset(received):
            received.reset()

        target = await gateway.add_target("e1", reset)
        await gateway.call("/book/a")
        await wait_until(lambda: len(target.received) >= 2)
        await wait_until(
            lambda: gateway.router.dump()["targets"]["e1"]["is_unreachable"]
        )
        with pytest.raises(TimeoutError), anyio.fail_after(0.05):
            await gateway.router.crash_watch.wait_for_crash()


# Guards against crashes that nobody notices since the target wanted no
# requests.
@pytest.mark.parametrize(
    "statement",
    [
        TargetStatement(wait=timedelta(seconds=30)),
        TargetStatement(rate_limit_per_s=0.05),
    ],
    ids=["asked to wait", "rate limit"],
)
def test_crash_of_a_target_that_wants_few_requests_is_noticed(statement):
    async def check():
        async with run_gateway(health_path="/health") as gateway:
            target = None

            async def crash(received):
                client = gateway.router._targets["t1"].client
                client.record_statement(statement)
                client._on_answer(200, statement, gateway.clock.monotonic())
                # No permit for a probe is to be had in time.
                gateway.router._limiter._channel.issuer.wait_for_predecessor()
                await target.stop()
                received.reset()

            target = await gateway.add_target("t1", crash)
            await gateway.call("/book/a")
            with anyio.fail_after(10):
                crash = await gateway.router.crash_watch.wait_for_crash()
            assert crash.incarnation == ("t1", 1)

    run_async(check)()


@run_async
async def test_complete_answer_is_reported_with_its_shared_parts():
    async with run_gateway() as gateway:

        async def answer(received):
            await received.start_stream(SIGNED_HEADERS)
            await received.send_chunk(b"id: 0\ndata: t\n\n")
            await received.send_chunk(b"")

        await gateway.add_target("e1", answer, service=LLM)
        await gateway.call(
            "/quotes/", headers={"dotterelbridge-prompt-parts": "a:1,b:1,o:1"}
        )
        watch = gateway.router.crash_watch
        await wait_until(lambda: gateway.app.in_flight == 0)
        assert watch.read_answered_traits() == ("a", "b")
        assert watch.read_answered_traits() == ()


def read_reports(watch) -> list[list[str]]:
    """Return the traits of all crashes so far."""
    return [crash.traits for crash in watch._crashes]


def test_streams_that_ran_on_are_not_suspected():
    clock = ManualClock(10.0)
    watch = CrashWatch(clock)
    watch.record_closed_attempt(TARGET, ("running",), 8.5)
    watch.record_closed_attempt(TARGET, ("begun",), 9.5)
    watch.record_closed_attempt(TARGET, ("waiting",), None)
    watch.record_crash(TARGET)
    assert read_reports(watch) == [["begun", "waiting"]]
    assert watch.read_answered_traits() == ("running",)


def test_attempts_that_end_after_the_failed_probe_are_reported_too():
    watch = CrashWatch(ManualClock())
    for part in ("p1", "p2"):
        watch.record_closed_attempt(TARGET, (part,), None)
        watch.record_crash(TARGET)
    watch.record_closed_attempt(TARGET, ("p3",), None)
    assert read_reports(watch) == [["p1"], ["p2"], ["p3"]]


@run_async
async def test_target_that_left_has_not_crashed():
    async with run_gateway() as gateway:

        async def crash(received):
            gateway.update_target("e1", service=LLM, phase=TargetPhase.LEAVING)
            received.reset()

        await gateway.add_target("e1", crash, service=LLM)
        await gateway.call("/quotes/")
        gateway.remove_target("e1")
        assert read_reports(gateway.router.crash_watch) == []


# Guards against our own retries of a request that has crashed two targets.
@run_async
async def test_request_that_may_crash_targets_is_not_repeated():
    async with run_gateway(ejection_ms=5000) as gateway:

        async def reset(received):
            received.reset()

        for name in ("t1", "t2", "t3"):
            await gateway.add_target(name, reset)
        response = await gateway.call("/look/a")
        assert response.status_code == 502
        received = [len(t.received) for t in gateway.targets.values()]
        assert sum(received) == 2
        report_traits = gateway.router.crash_watch._closed_attempts.values()
        traits = {t for attempts in report_traits for t in attempts[0].traits}
        gateway.fleet_state.update(watched_traits=frozenset(traits))
        await gateway.call("/look/a")
        received = [len(t.received) for t in gateway.targets.values()]
        assert sum(received) == 3


# Guards against answers that clear a request, but are not reported.
@run_async
async def test_answer_is_reported_for_traits_that_are_watched():
    async with run_gateway() as gateway:

        async def answer(received):
            await received.answer(b"-", headers=SIGNED_HEADERS)

        await gateway.add_target("t1", answer)
        watch = gateway.router.crash_watch
        await gateway.call("/look/a")
        assert watch.read_answered_traits() == ()
        caller = create_caller_trait(HOST)
        gateway.fleet_state.update(watched_traits=frozenset((caller, "p9")))
        await gateway.call("/look/a")
        assert watch.read_answered_traits() == (caller,)
