"""One request ends each replica that runs it, and is sent again and again.

The same path, caller and body each time, under a new ID, at any entry VM.
The replicas come back empty-handed under new ids.
"""

import itertools

import anyio
import pytest

from tests.nodes.test_crashing_prompts import ENTRY_ADDRESSES
from tests.nodes.test_crashing_prompts import REQUEST_INTERVAL_S
from tests.nodes.test_crashing_prompts import Harness
from tests.nodes.test_platform_path import WAIT_TIMEOUT_S

pytestmark = pytest.mark.anyio
CRASHES_BEFORE_LIMIT = 3
CONTACT_S = 4.0
"""Time after the third crash from which three more requests are allowed."""
REQUESTS_ALLOWED_AFTERWARDS = 3
REQUESTS_AFTERWARDS = 16


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against one request that is sent to one replica after the other.
@pytest.mark.parametrize(
    ("service", "path"),
    [("llm", "/q/x"), ("jobs", "/s/x")],
    ids=["stream", "safe"],
)
async def test_request_that_crashes_replicas_is_soon_sent_no_more(
    tmp_path, service, path
):
    async with anyio.create_task_group() as tasks:
        harness = Harness(tmp_path, tasks, service)
        await harness.start()
        addresses = itertools.cycle(ENTRY_ADDRESSES)
        clock = harness.deployment.clock

        async def send_both() -> int:
            status = await harness.send_same(next(addresses), path)
            await harness.send_sound(next(addresses), path)
            await anyio.sleep(REQUEST_INTERVAL_S)
            return status

        with anyio.fail_after(WAIT_TIMEOUT_S):
            while harness.crash_count < CRASHES_BEFORE_LIMIT:
                await send_both()
            ends_at = clock.monotonic() + CONTACT_S
            while clock.monotonic() < ends_at:
                await send_both()
        crash_count = harness.crash_count
        statuses = [await send_both() for _ in range(REQUESTS_AFTERWARDS)]
        with anyio.fail_after(WAIT_TIMEOUT_S):
            for address in ENTRY_ADDRESSES:
                while await harness.send_sound(address, path) != 200:
                    await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert harness.crash_count - crash_count <= REQUESTS_ALLOWED_AFTERWARDS
    assert statuses[-1] == 503
