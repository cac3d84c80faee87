"""Streams that callers resume, on real nodes with two software versions."""

import contextlib

import anyio
import httpx
import pytest

from standins.fleet import StandinReplica
from standins.fleet import create_listener
from tests.gateway.support import wait_until
from tests.nodes.test_platform_path import ENTRY_ADDRESS
from tests.nodes.test_platform_path import HOST
from tests.nodes.test_platform_path import WAIT_TIMEOUT_S
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import run_deployment

pytestmark = pytest.mark.anyio
OTHER_ADDRESS = "127.0.0.5"
BREAK_BEFORE = 2
BEGUN = b"id: 0\ndata: v1\n\nid: 1\ndata: v1\n\n"
REST = b"id: 2\ndata: v1\n\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def begin_stream(deployment) -> bytes:
    """Return what a caller gets of a stream that breaks off, if it began."""
    text = b""
    url = f"http://{ENTRY_ADDRESS}:{deployment.caller_port}/q/x"
    headers = {
        "host": HOST,
        "x-dotterelbridge-request-id": "s1",
        "x-dotterelbridge-model": "m0",
        "x-dotterelbridge-deadline-ms": "15000",
    }
    async with httpx.AsyncClient(timeout=20) as client:
        with contextlib.suppress(httpx.RemoteProtocolError):
            async with client.stream("POST", url, headers=headers) as answer:
                if answer.status_code == 200:
                    async for data in answer.aiter_raw():
                        text += data
    return text


async def resume_stream(deployment) -> httpx.Response:
    return await deployment.send_request(
        "m0",
        OTHER_ADDRESS,
        x_dotterelbridge_request_id="s2",
        last_event_id="1",
        resumes="s1",
    )


# Guards against joined texts where the entry VM that began a stream is gone,
# and against streams that are lost though their version still serves.
async def test_stream_goes_on_at_its_version_after_its_entry_vm_is_lost(
    tmp_path,
):
    replicas = {
        version: StandinReplica(f"i-{version}", ["m0"], 1, version=version)
        for version in ("v1.1", "v1")
    }
    async with (
        run_deployment(tmp_path, (OTHER_ADDRESS,)) as deployment,
        anyio.create_task_group() as tasks,
    ):
        entries = deployment.list_app.entries

        async def start_replica(replica) -> None:
            listener = create_listener(replica, deployment.clock)
            tasks.start_soon(listener.run)
            address = f"127.0.0.1:{listener.port}"
            entries.append(replica.describe_instance(address, "a", "llm"))
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while not replica.served_items:
                    # The draining one, which breaks off, may still be listed.
                    with contextlib.suppress(httpx.RemoteProtocolError):
                        await deployment.send_request("m0", OTHER_ADDRESS)

        deployment.replica.break_before = BREAK_BEFORE
        await deployment.submit(create_configuration(resumable=True))
        async with anyio.create_task_group() as lost:
            entry = deployment.create_entry("f9", ENTRY_ADDRESS)
            lost.start_soon(entry.run_components)
            await deployment.wait_until_ready()
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while (text := await begin_stream(deployment)) == b"":
                    await anyio.sleep(0.05)
            assert text == BEGUN
            await wait_until(
                lambda: any(
                    path.stat().st_size
                    for path in tmp_path.glob("c*/streams/streams-0")
                )
            )
            lost.cancel_scope.cancel()

        entries[1]["state"] = "draining"
        await start_replica(replicas["v1.1"])
        assert (await resume_stream(deployment)).status_code == 503
        await start_replica(replicas["v1"])
        resumed = await resume_stream(deployment)
        assert (resumed.status_code, resumed.content) == (200, REST)
        resumed_ids = [
            dict(headers).get(b"last-event-id")
            for headers in replicas["v1.1"].received_headers
        ]
        assert set(resumed_ids) == {None}
        tasks.cancel_scope.cancel()
