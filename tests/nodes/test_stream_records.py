"""Records of streams on real nodes, with links over loopback."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.ids import ItemName
from dotterelbridge.resumption.recorder import StreamOrigin
from tests.nodes.test_platform_path import ENTRY_ADDRESS
from tests.nodes.test_platform_path import TIMEOUT
from tests.nodes.test_platform_path import WAIT_TIMEOUT_S
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import run_deployment

pytestmark = pytest.mark.anyio
OTHER_ADDRESS = "127.0.0.5"
LLM = ItemName("llm")
RECORDED = StreamOrigin(LLM, "v6")
LISTED = StreamOrigin(LLM, "v7")


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against parts that work alone and are not connected: records that
# reach no control VM or disk, and a list whose versions nobody watches.
async def test_streams_are_found_from_another_entry_vm(tmp_path):
    addresses = (ENTRY_ADDRESS, OTHER_ADDRESS)
    async with run_deployment(tmp_path, addresses) as deployment:
        deployment.list_app.entries[1]["version"] = LISTED.software
        await deployment.submit(create_configuration())
        await deployment.wait_until_ready()
        *_, first, second = deployment.nodes

        async def wait_for(expected, request_id, horizon_s) -> None:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while expected != await second.stream_recorder.find_origin(
                    request_id,
                    [LLM],
                    "r1",
                    "",
                    timedelta(seconds=horizon_s),
                    TIMEOUT,
                ):
                    await anyio.sleep(0.05)

        first.stream_recorder.record_begun(
            "s1", RECORDED, "r1", "", timedelta(seconds=30)
        )
        await wait_for(RECORDED, "s1", 30)
        await wait_for(LISTED, "s2", 0.5)
        await wait_for(None, "s2", 600)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while len(list(tmp_path.glob("c*/streams/streams-0"))) < 2:
                await anyio.sleep(0.05)
