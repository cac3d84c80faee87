"""Which limits a VM knows, and when it takes them as ended."""

from datetime import timedelta
import random

import anyio
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.limiter import create_rate_limiter
from dotterelbridge.targets.statements import TargetStatement
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.permits.support import IssuerChannel
from tests.permits.support import advance
from tests.permits.support import create_limiter

TARGET = ("e1", 1)


class Harness:
    """The limiter of one VM on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        rng = random.Random(1)
        issuer = PermitIssuer(self.clock, rng, lambda vm_count: 1.0)
        self.channel = IssuerChannel(issuer)
        self.limiter = create_rate_limiter(
            self.channel, lambda: 8, self.clock, rng
        )

    def answer(self, limit=None, status=200, age_s=0.1, unreadable=False):
        """Record an answer to a request that was sent ``age_s`` ago."""
        statement = TargetStatement(
            rate_limit_per_s=limit, unreadable=unreadable
        )
        sent_at = self.clock.monotonic() - age_s
        self.limiter.record_answer(TARGET, status, statement, sent_at)

    @property
    def limit(self):
        return self.limiter.find_limit(TARGET)


def test_limit_holds_from_the_first_answer_that_names_it():
    harness = Harness()
    assert harness.limiter.allows_request(TARGET, is_interactive=True)
    harness.answer(2.9)
    assert harness.limit == 2.9
    assert not harness.limiter.allows_request(TARGET, is_interactive=True)
    assert harness.limiter.count_limited() == 1
    assert harness.limiter.dump()["limits"] == {"e1": 2.9}


def test_leader_is_told_once_until_it_has_told_all():
    harness = Harness()
    harness.answer(2.9)
    harness.answer(2.9)
    assert len(harness.channel.notices) == 1
    advance(harness.clock, 1)
    harness.answer(2.9)
    assert len(harness.channel.notices) == 2
    harness.limiter.apply_shared({TARGET: 2.9})
    advance(harness.clock, 1)
    harness.answer(2.9)
    assert len(harness.channel.notices) == 2
    harness.answer(1.5)
    assert harness.channel.notices[-1].requests_per_s == 1.5


def test_limit_from_the_leader_holds_for_a_vm_that_was_not_told():
    harness = Harness()
    harness.limiter.apply_shared({TARGET: 2.9})
    assert harness.limit == 2.9
    harness.limiter.apply_shared({TARGET: 0.5})
    assert harness.limit == 0.5


def test_latest_of_own_and_shared_limit_counts():
    harness = Harness()
    harness.answer(8.0)
    advance(harness.clock, 1)
    harness.limiter.apply_shared({TARGET: 2.0})
    assert harness.limit == 2.0
    advance(harness.clock, 1)
    harness.answer(4.0)
    assert harness.limit == 4.0


def test_limit_ends_with_an_answer_without_it():
    harness = Harness()
    harness.answer(2.9)
    advance(harness.clock, 1)
    harness.answer()
    assert harness.limit is None
    assert harness.channel.notices[-1].requests_per_s is None


@pytest.mark.parametrize(
    "fields",
    [{"age_s": 5}, {"status": 503}, {"status": 421}, {"unreadable": True}],
    ids=["sent before", "refusal", "misdirected", "unreadable"],
)
def test_limit_outlives_answers_that_may_not_tell(fields):
    harness = Harness()
    harness.answer(2.9)
    advance(harness.clock, 1)
    harness.answer(**fields)
    assert harness.limit == 2.9


def test_limit_that_this_vm_knows_to_have_ended_is_not_imposed_again():
    harness = Harness()
    harness.limiter.apply_shared({TARGET: 2.9})
    advance(harness.clock, 1)
    harness.answer()
    harness.limiter.apply_shared({TARGET: 2.9})
    assert harness.limit is None
    advance(harness.clock, 1)
    harness.limiter.apply_shared({TARGET: 3.5})
    assert harness.limit == 3.5


def test_limit_that_another_vm_saw_end_is_dropped():
    harness = Harness()
    harness.answer(2.9)
    harness.limiter.apply_shared({TARGET: 2.9})
    advance(harness.clock, 1)
    harness.limiter.apply_shared({})
    assert harness.limit is None


# Guards against an older list of the leader that undoes a fresh answer.
def test_fresh_answer_outlives_an_older_list_of_the_leader():
    harness = Harness()
    harness.limiter.apply_shared({TARGET: 2.9})
    advance(harness.clock, 1)
    harness.answer(3.1)
    advance(harness.clock, 0.1)
    harness.limiter.apply_shared({})
    assert harness.limit == 3.1


async def grant_permit(limiter, clock) -> None:
    limiter.apply_shared({TARGET: 1.0})
    limiter.order_permit([TARGET], timedelta(seconds=1), is_interactive=True)
    await clock.sleep(timedelta(seconds=0.01))


def run_limiter(check):
    async def run():
        clock = LoopClock()
        limiter = create_limiter(clock)
        async with anyio.create_task_group() as group:
            group.start_soon(limiter.run)
            await check(limiter, clock)
            group.cancel_scope.cancel()

    run_in_virtual_time(run)


def test_permit_is_good_for_one_request():
    async def check(limiter, clock):
        await grant_permit(limiter, clock)
        assert limiter.allows_request(TARGET, is_interactive=True)
        limiter.record_request(TARGET, is_interactive=True)
        assert not limiter.allows_request(TARGET, is_interactive=True)

    run_limiter(check)


# Guards against permits that a paused process uses all at once afterwards.
def test_permit_expires():
    async def check(limiter, clock):
        await grant_permit(limiter, clock)
        await clock.sleep(timedelta(seconds=1.1))
        assert not limiter.allows_request(TARGET, is_interactive=True)

    run_limiter(check)


def test_permit_of_an_interactive_request_is_reserved_at_first():
    async def check(limiter, clock):
        await grant_permit(limiter, clock)
        assert not limiter.allows_request(TARGET, is_interactive=False)
        await clock.sleep(timedelta(seconds=0.6))
        assert limiter.allows_request(TARGET, is_interactive=False)

    run_limiter(check)
