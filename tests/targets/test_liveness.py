"""Whether a target has outlived the end of a connection; without network."""

import asyncio
from datetime import timedelta

from dotterelbridge.clock import ManualClock
from dotterelbridge.targets.liveness import Liveness
from dotterelbridge.targets.liveness import LivenessCheck
from dotterelbridge.targets.liveness import LivenessQuery
from tests.serving.fakes import run_async

LIMIT = timedelta(seconds=60)
QUERY = LivenessQuery()


class FakeQuestions:
    """Questions to one target, which the test answers."""

    def __init__(self) -> None:
        self.replies: list[asyncio.Future[Liveness]] = []

    async def ask(self, _: LivenessQuery) -> Liveness:
        reply = asyncio.get_running_loop().create_future()
        self.replies.append(reply)
        return await reply


async def pass_turns() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def start_calls(check: LivenessCheck, count: int) -> list[asyncio.Task]:
    return [
        asyncio.get_running_loop().create_task(check.confirm(QUERY))
        for _ in range(count)
    ]


# Guards against a reply that was on its way before the connection ended, and
# against a question for each of many answers that end together.
@run_async
async def test_calls_share_the_next_question_but_not_a_running_one():
    questions = FakeQuestions()
    check = LivenessCheck(questions.ask, LIMIT, ManualClock())
    first = start_calls(check, 1)
    await pass_turns()
    later = start_calls(check, 30)
    await pass_turns()
    assert len(questions.replies) == 1
    questions.replies[0].set_result(Liveness.RUNNING)
    await pass_turns()
    assert [call.done() for call in first + later] == [True] + [False] * 30
    questions.replies[1].set_result(Liveness.GONE)
    assert await asyncio.gather(*first, *later) == [True] + [False] * 30
    assert len(questions.replies) == 2


# Guards against callers that disconnect and end the question of the others.
@run_async
async def test_cancelled_call_does_not_end_the_question():
    questions = FakeQuestions()
    check = LivenessCheck(questions.ask, LIMIT, ManualClock())
    gone, waiting = start_calls(check, 2)
    await pass_turns()
    gone.cancel()
    await pass_turns()
    questions.replies[0].set_result(Liveness.RUNNING)
    assert await waiting
