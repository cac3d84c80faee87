"""A VM without a leader quarantines by its own evidence."""

from datetime import timedelta

import anyio

from dotterelbridge.quarantine.guard import create_lone_crash_guard
from dotterelbridge.quarantine.traits import create_request_trait
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time

REQUEST = create_request_trait("bad")
RETRY_AFTER = timedelta(seconds=60)
BAD_PART = "bad0"


class Harness:
    """The guard of a lone VM in virtual time."""

    def __init__(self, tasks) -> None:
        self.clock = LoopClock()
        self.guard = create_lone_crash_guard(self.clock)
        tasks.start_soon(self.guard.run)

    async def crash(self, number, *attempts, began_s_ago=0.01) -> None:
        """Let a target end under requests with these traits."""
        incarnation = (f"e{number}", 0)
        started_at = self.clock.monotonic() - began_s_ago
        for traits in attempts:
            self.guard.record_closed_attempt(
                incarnation, traits, started_at, None
            )
        self.guard.record_crash(incarnation)
        await anyio.sleep(0.05)

    def is_blocked(self, *traits) -> bool:
        return bool(self.guard.find_blocked(lambda: traits))


def run_guard(check) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            await check(Harness(tasks))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def test_same_request_is_blocked_after_three_crashes():
    async def check(harness):
        for number in range(3):
            assert not harness.is_blocked(REQUEST)
            await harness.crash(number, (REQUEST, "a0"))
            harness.guard.record_answered(("a0",))
        assert harness.is_blocked(REQUEST)
        assert not harness.is_blocked("a0")
        assert harness.guard.find_retry_after([REQUEST]) == RETRY_AFTER

    run_guard(check)


def test_part_of_different_requests_is_blocked():
    async def check(harness):
        for number in range(3):
            request = create_request_trait(str(number))
            await harness.crash(number, (request, "a0", BAD_PART))
            harness.guard.record_answered(("a0",))
        assert harness.is_blocked(BAD_PART)
        assert not harness.is_blocked("a0")

    run_guard(check)


# Guards against one engine of a small VM that ends again and again.
def test_crashes_of_one_target_count_each():
    async def check(harness):
        for _ in range(3):
            await harness.crash(1, (REQUEST,))
            await anyio.sleep(1)
        assert harness.is_blocked(REQUEST)

    run_guard(check)


# Guards against suspecting what runs on all targets when a rack loses power.
def test_requests_that_were_running_before_are_no_evidence():
    async def check(harness):
        for number in range(3):
            await harness.crash(number, (REQUEST,), began_s_ago=1.0)
        assert not harness.is_blocked(REQUEST)

    run_guard(check)


def test_answer_in_between_clears_a_request():
    async def check(harness):
        for number in range(4):
            await harness.crash(number, (REQUEST,))
            if number == 1:
                harness.guard.record_answered((REQUEST,))
        assert not harness.is_blocked(REQUEST)

    run_guard(check)


def test_block_ends_after_its_time():
    async def check(harness):
        for number in range(3):
            await harness.crash(number, (REQUEST,))
        await anyio.sleep(RETRY_AFTER.total_seconds() + 1)
        assert not harness.is_blocked(REQUEST)

    run_guard(check)
