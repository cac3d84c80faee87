"""Whether a target has outlived the end of a connection; without network."""

import asyncio
from datetime import timedelta

from dotterelbridge.clock import ManualClock
from dotterelbridge.targets.liveness import Liveness
from dotterelbridge.targets.liveness import LivenessCheck
from dotterelbridge.targets.liveness import LivenessProbe
from tests.serving.fakes import run_async

LIMIT = timedelta(seconds=60)
PROBE = LivenessProbe()


class FakeProbes:
    """Probes of one target, which the test answers."""

    def __init__(self) -> None:
        self.replies: list[asyncio.Future[Liveness]] = []

    async def send(self, _: LivenessProbe) -> Liveness:
        reply = asyncio.get_running_loop().create_future()
        self.replies.append(reply)
        return await reply


async def pass_turns() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def start_calls(check: LivenessCheck, count: int) -> list[asyncio.Task]:
    return [
        asyncio.get_running_loop().create_task(check.confirm(PROBE))
        for _ in range(count)
    ]


# Guards against a reply that was on its way before the connection ended, and
# against a probe for each of many responses that end together.
@run_async
async def test_calls_share_the_next_probe_but_not_a_running_one():
    probes = FakeProbes()
    check = LivenessCheck(probes.send, LIMIT, ManualClock())
    first = start_calls(check, 1)
    await pass_turns()
    later = start_calls(check, 30)
    await pass_turns()
    assert len(probes.replies) == 1
    probes.replies[0].set_result(Liveness.RUNNING)
    await pass_turns()
    assert [call.done() for call in first + later] == [True] + [False] * 30
    probes.replies[1].set_result(Liveness.GONE)
    assert await asyncio.gather(*first, *later) == [True] + [False] * 30
    assert len(probes.replies) == 2


# Guards against callers that disconnect and end the probe of the others.
@run_async
async def test_cancelled_call_does_not_end_the_probe():
    probes = FakeProbes()
    check = LivenessCheck(probes.send, LIMIT, ManualClock())
    gone, waiting = start_calls(check, 2)
    await pass_turns()
    gone.cancel()
    await pass_turns()
    probes.replies[0].set_result(Liveness.RUNNING)
    assert await waiting
