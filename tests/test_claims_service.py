"""A keyed call runs at most once, whatever happens to its commands."""

import random

import anyio
import pytest

from dotterelbridge.claims.errors import AttemptReleased
from dotterelbridge.claims.errors import ClaimsNotReady
from dotterelbridge.claims.errors import ClaimTableFull
from dotterelbridge.claims.errors import UndatedKeyRefused
from dotterelbridge.claims.replicated_service import ReplicatedClaimService
from dotterelbridge.claims.replicated_service import create_claim_service
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import VmId
from standins.log import SharedLog
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time

BUSINESS = Business("trinacria")
KEY = IdempotencyKey("booking-1")
ANSWER = RecordedResponse(status=201, headers=[("x", "y")], body=b"booked")


class ClaimVms:
    """Claim services of several VMs on one shared log."""

    def __init__(self, count: int, settings: ClaimsSettings, seed: int):
        self.log = SharedLog(seed)
        self.services: list[ReplicatedClaimService] = []
        for number in range(count):
            vm = VmId(f"vm-{number}")
            member = self.log.add_member(vm)
            service = create_claim_service(
                member, settings, LoopClock(), vm, count, True
            )
            self.services.append(service)


def run_vms(scenario, count=3, settings=None, seed=0) -> None:
    """Run a scenario with services in virtual time."""

    async def run() -> None:
        vms = ClaimVms(count, settings or ClaimsSettings(), seed)
        async with anyio.create_task_group() as group:
            for service in vms.services:
                group.start_soon(service.run)
            await anyio.sleep(1)
            await scenario(vms)
            group.cancel_scope.cancel()

    run_in_virtual_time(run)


async def begin(service, attempt, key=KEY, digest="d") -> ClaimState:
    """Claim a key and return the state."""
    reply = await service.begin(BUSINESS, key, digest, AttemptId(attempt))
    return reply.state


def test_an_answer_recorded_on_one_vm_is_given_by_another():
    async def scenario(vms):
        one, two, _ = vms.services
        assert await begin(one, "a1") is ClaimState.GRANTED
        assert await begin(two, "a2") is ClaimState.IN_PROGRESS
        await one.record(BUSINESS, KEY, AttemptId("a1"), ANSWER)
        reply = await two.begin(BUSINESS, KEY, "d", AttemptId("a2"))
        assert reply.state is ClaimState.RECORDED
        assert reply.answer == ANSWER
        assert await begin(two, "a3", digest="e") is ClaimState.MISMATCH

    run_vms(scenario)


def test_without_a_majority_the_claim_is_refused_as_not_committed():
    async def scenario(vms):
        vms.log.has_majority = False
        with pytest.raises(NotCommitted):
            await begin(vms.services[0], "a1")
        vms.log.has_majority = True
        assert await begin(vms.services[1], "a2") is ClaimState.GRANTED

    run_vms(scenario)


def test_a_lost_answer_to_a_claim_is_asked_for_again():
    async def scenario(vms):
        one, two, _ = vms.services
        vms.log.lost_reply_share = 0.9
        assert await begin(one, "a1") is ClaimState.GRANTED
        vms.log.lost_reply_share = 0.0
        assert await begin(two, "a2") is ClaimState.IN_PROGRESS

    run_vms(scenario)


def test_a_claim_of_unknown_fate_frees_its_key_in_the_background():
    async def scenario(vms):
        one, two, _ = vms.services
        vms.log.lost_reply_share = 1.0
        with pytest.raises(CommitUnknown, match="was not run"):
            await begin(one, "a1")
        assert await_states(vms) == 1
        vms.log.lost_reply_share = 0.0
        await one.wait_settled()
        assert await begin(two, "a2") is ClaimState.GRANTED

    def await_states(vms) -> int:
        return vms.services[0].dump()["outcomes_waiting"]

    run_vms(scenario)


def test_a_cancelled_claim_frees_its_key():
    async def scenario(vms):
        one, two, _ = vms.services
        vms.log.lost_reply_share = 1.0
        with anyio.move_on_after(0.2):
            await begin(one, "a1")
        vms.log.lost_reply_share = 0.0
        await one.wait_settled()
        assert await begin(two, "a2") is ClaimState.GRANTED

    run_vms(scenario)


def test_a_late_repetition_of_a_freed_claim_is_not_granted():
    async def scenario(vms):
        one, two, _ = vms.services
        vms.log.duplicate_share = 1.0
        assert await begin(one, "a1") is ClaimState.GRANTED
        vms.log.duplicate_share = 0.0
        await one.release(BUSINESS, KEY, AttemptId("a1"))
        vms.log.commit_duplicates()
        with pytest.raises(AttemptReleased):
            await begin(one, "a1")
        assert await begin(two, "a2") is ClaimState.GRANTED

    run_vms(scenario)


def test_an_outcome_is_recorded_after_the_majority_returns():
    async def scenario(vms):
        one, two, _ = vms.services
        await begin(one, "a1")
        vms.log.has_majority = False
        await one.record(BUSINESS, KEY, AttemptId("a1"), ANSWER)
        await anyio.sleep(30)
        vms.log.has_majority = True
        await one.wait_settled()
        assert await begin(two, "a2") is ClaimState.RECORDED

    run_vms(scenario)


def test_a_stopping_vm_waits_a_bounded_time_for_its_outcomes():
    async def scenario(vms):
        one, two, _ = vms.services
        await begin(one, "a1")
        vms.log.has_majority = False
        await one.record(BUSINESS, KEY, AttemptId("a1"), ANSWER)
        started = anyio.current_time()
        await one.drain()
        waited = anyio.current_time() - started
        assert waited == pytest.approx(settings.drain_limit_s)
        vms.log.has_majority = True
        await one.drain()
        assert one.dump()["outcomes_waiting"] == 0
        assert await begin(two, "a2") is ClaimState.RECORDED

    settings = ClaimsSettings()
    run_vms(scenario, settings=settings)


def test_a_dead_entry_process_leaves_in_progress_then_unknown():
    settings = ClaimsSettings(attempt_limit_s=60)

    async def scenario(vms):
        one, two, _ = vms.services
        assert await begin(one, "a1") is ClaimState.GRANTED
        await anyio.sleep(20)
        assert await begin(two, "a2") is ClaimState.IN_PROGRESS
        await anyio.sleep(100)
        assert await begin(two, "a3") is ClaimState.UNKNOWN
        await anyio.sleep(4 * 3600)
        assert await begin(two, "a4") is ClaimState.UNKNOWN

    run_vms(scenario, settings=settings)


def test_a_too_large_answer_expires_at_once():
    settings = ClaimsSettings(answer_limit_kb=1)
    large = RecordedResponse(status=200, headers=[], body=b"x" * 2000)

    async def scenario(vms):
        one, two, _ = vms.services
        await begin(one, "a1")
        await one.record(BUSINESS, KEY, AttemptId("a1"), large)
        assert await begin(two, "a2") is ClaimState.EXPIRED

    run_vms(scenario, settings=settings)


def test_a_full_table_and_an_undated_key_are_refused_as_not_run():
    settings = ClaimsSettings(attempts_limit=1)

    async def scenario(vms):
        await begin(vms.services[0], "a1")
        with pytest.raises(ClaimTableFull):
            await begin(vms.services[0], "a2", key=IdempotencyKey("k2"))

    run_vms(scenario, settings=settings)

    async def refuse_undated(vms):
        with pytest.raises(UndatedKeyRefused, match="UUIDv7"):
            await begin(vms.services[0], "a1")
        assert await begin(
            vms.services[0], "a1", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
        )

    run_vms(refuse_undated, settings=ClaimsSettings(require_dated_keys=True))


def test_claims_wait_for_the_time_of_a_second_vm():
    async def run() -> None:
        vms = ClaimVms(2, ClaimsSettings(), 0)
        with pytest.raises(ClaimsNotReady):
            await begin(vms.services[0], "a1")

    run_in_virtual_time(run)


class Booking:
    """A service that counts the runs of each key."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}

    def run(self, key: str) -> RecordedResponse:
        """Run once more and return an answer that tells the count."""
        self.runs[key] = self.runs.get(key, 0) + 1
        body = f"{key}:{self.runs[key]}".encode()
        return RecordedResponse(status=201, headers=[], body=body)


async def call_once(
    service, booking, key, attempt, generator
) -> RecordedResponse | None:
    """Do what an entry VM does with one keyed call; it may die midway."""
    try:
        reply = await service.begin(BUSINESS, key, "d", attempt)
    except ReplicationError:
        return None
    if reply.state is not ClaimState.GRANTED:
        return reply.answer
    fate = generator.random()
    if fate < 0.15:
        return None
    if fate < 0.3:
        await service.release(BUSINESS, key, attempt)
        return None
    await anyio.sleep(generator.uniform(0, 2))
    answer = booking.run(key)
    if fate < 0.4:
        return None
    if fate < 0.5:
        await service.abandon(BUSINESS, key, attempt)
        return None
    await service.record(BUSINESS, key, attempt, answer)
    return answer


def run_random_calls(seed: int, calls: int) -> dict[str, int]:
    """Resend calls through all VMs while the log misbehaves."""
    generator = random.Random(seed)
    booking = Booking()
    settings = ClaimsSettings(
        attempt_limit_s=5, answer_age_s=20, begin_timeout_ms=1000
    )

    async def call(vms, number: int) -> None:
        key = IdempotencyKey(f"key-{generator.randrange(calls // 6)}")
        await anyio.sleep(generator.uniform(0, 60))
        service = generator.choice(vms.services)
        attempt = AttemptId(f"attempt-{number}")
        answer = None
        with anyio.move_on_after(generator.choice([0.1, 1, 60])):
            answer = await call_once(service, booking, key, attempt, generator)
        if answer is not None:
            assert answer.body == f"{key}:1".encode()

    async def disturb(log) -> None:
        while True:
            log.lost_reply_share = generator.choice([0.0, 0.3, 0.8])
            log.rejection_share = generator.choice([0.0, 0.3])
            log.duplicate_share = generator.choice([0.0, 0.5])
            log.has_majority = generator.random() < 0.9
            lagging = generator.choice(list(log.members.values()))
            lagging.is_lagging = not lagging.is_lagging
            log.commit_duplicates()
            await anyio.sleep(generator.uniform(0.1, 3))

    async def scenario(vms) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(disturb, vms.log)
            async with anyio.create_task_group() as callers:
                for number in range(calls):
                    callers.start_soon(call, vms, number)
            group.cancel_scope.cancel()
        assert max(booking.runs.values()) == 1

    run_vms(scenario, settings=settings, seed=seed)
    return booking.runs


@pytest.mark.parametrize("seed", range(6))
def test_random_calls_run_at_most_once(seed):
    runs = run_random_calls(seed, 300)
    assert len(runs) > 10


@pytest.mark.soak
def test_many_random_calls_run_at_most_once():
    for seed in range(1000, 1300):
        run_random_calls(seed, 600)
