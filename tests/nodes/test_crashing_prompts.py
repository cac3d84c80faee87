"""Requests with one part in their prompts end each replica that they reach.

The replicas come back empty-handed under new ids. Two entry VMs and three
control VMs run in one process, with the protocol classes of platform/.
"""

import itertools
import json

import anyio
import pytest

from tests.nodes.test_platform_path import ENTRY_ADDRESS
from tests.nodes.test_platform_path import HOST
from tests.nodes.test_platform_path import WAIT_TIMEOUT_S
from tests.nodes.test_platform_path import Deployment
from tests.nodes.test_platform_path import create_configuration
from tests.nodes.test_platform_path import wire
from tests.serving.fakes import FakeTarget

pytestmark = pytest.mark.anyio
ENTRY_ADDRESSES = (ENTRY_ADDRESS, "127.0.0.5")
REPLICA_COUNT = 3
SHARED_PART = "a0:100"
CRASHING_PART = "bad0:20"
CRASHING_BODY = b"this body ends each replica"
SOUND_PARTS = f"{SHARED_PART},ok:20"
RESTART_S = 0.5
REQUEST_INTERVAL_S = 0.25
CRASHES_BEFORE_LIMIT = 5
REQUESTS_ALLOWED_AFTERWARDS = 3
REQUESTS_AFTERWARDS = 16


@pytest.fixture
def anyio_backend():
    return "asyncio"


class CrashingReplica:
    """Ends when it begins to answer a request with the crashing part."""

    def __init__(
        self, number: int, deployment: Deployment, service: str, restart
    ) -> None:
        self._service = service
        self._names = (f"i-{number}{n:03}" for n in itertools.count())
        self._deployment = deployment
        self._restart = restart
        self._target = FakeTarget("", self._serve)
        self._writers = set()
        self._entry: dict = {}
        self.name = ""
        self.crash_count = 0

    async def start(self) -> None:
        self.name = next(self._names)
        await self._target.start()
        self._entry = {
            "id": self.name,
            "service": self._service,
            "address": f"127.0.0.1:{self._target.port}",
            "zone": "a",
            "state": "ready",
            "slots": 8,
            "born": 1,
            "models": self._list_models(),
        }
        self._deployment.list_app.entries.append(self._entry)

    async def stop(self) -> None:
        self._deployment.list_app.entries.remove(self._entry)
        await self._target.stop()
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def _list_models(self) -> list[dict]:
        return [{"name": "m0", "version": 1, "adapters": []}]

    async def _serve(self, received) -> None:
        self._writers.add(received.writer)
        if received.path == wire.REPORT_PATH:
            report = {"models": self._list_models(), "seq": 0, "born": 1}
            await received.answer(json.dumps(report).encode())
            return
        if received.path == wire.ORDER_PATH:
            await received.answer(b"{}", 409)
            return
        headers = {
            "x-dotterelbridge-server-stamp": "s",
            "x-dotterelbridge-request-id": received.headers[
                "x-dotterelbridge-request-id"
            ],
        }
        parts = received.headers.get("x-dotterelbridge-prompt-prefix", "")
        is_crashing = CRASHING_PART in parts or received.body == CRASHING_BODY
        if received.path.startswith("/s/") and not is_crashing:
            await received.answer(b"{}", headers=headers)
            return
        if not received.path.startswith("/s/"):
            await received.start_stream(headers)
        if is_crashing:
            if not received.path.startswith("/s/"):
                await received.send_chunk(b"id: 0\nda")
            self.crash_count += 1
            await self.stop()
            self._restart(self)
            return
        await received.send_chunk(b"id: 0\ndata: t\n\n")
        await received.send_chunk(b"")


class Harness:
    """Sends requests of both kinds to the two entry VMs in turn."""

    def __init__(self, folder, tasks, service="llm") -> None:
        self.deployment = Deployment(folder)
        self._path = "/q/x" if service == "llm" else "/s/x"
        self._tasks = tasks
        self._numbers = itertools.count()
        self.replicas = [
            CrashingReplica(
                n, self.deployment, service, self._schedule_restart
            )
            for n in range(REPLICA_COUNT)
        ]

    async def start(self) -> None:
        deployment = self.deployment
        deployment.list_app.entries = []
        for replica in self.replicas:
            await replica.start()
        nodes = [
            deployment.create_control(n, f"127.0.0.{n + 1}") for n in range(3)
        ]
        nodes += [
            deployment.create_entry(f"f{n}", address)
            for n, address in enumerate(ENTRY_ADDRESSES)
        ]
        self._tasks.start_soon(deployment.list_listener.run)
        for node in nodes:
            self._tasks.start_soon(node.run_components)
        configuration = create_configuration()
        configuration["routes"].append(
            configuration["routes"][0]
            | {
                "name": "r2",
                "path_prefix": "/s/",
                "kind": "safe",
                "timeout_ms": 5000,
                "max_attempts": 2,
                "service": "jobs",
                "sticky": False,
            }
        )
        configuration["services"].append({"name": "jobs", "max_conns": 100})
        await deployment.submit(configuration)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            for address in ENTRY_ADDRESSES:
                while await self.send_sound(address, self._path) != 200:
                    await anyio.sleep(0.05)

    @property
    def crash_count(self) -> int:
        return sum(replica.crash_count for replica in self.replicas)

    async def send_sound(self, address, path="/q/x") -> int:
        number = next(self._numbers)
        parts = f"{SOUND_PARTS},own{number}:50"
        return await self._send(address, path, parts, b"%d" % number)

    async def send_crashing(self, address) -> int:
        number = next(self._numbers)
        parts = f"{SHARED_PART},{CRASHING_PART},own{number}:50"
        return await self._send(address, "/q/x", parts, b"%d" % number)

    async def send_same(self, address, path) -> int:
        """Send the one request whose body ends each replica."""
        parts = f"{SOUND_PARTS},same:50"
        return await self._send(address, path, parts, CRASHING_BODY)

    async def _send(self, address, path, parts: str, body: bytes) -> int:
        response = await self.deployment.send_request(
            "m0",
            address,
            path,
            body,
            x_dotterelbridge_request_id=f"r{next(self._numbers)}",
            x_dotterelbridge_prompt_prefix=parts,
            host=HOST,
        )
        return response.status_code

    def _schedule_restart(self, replica) -> None:
        self._tasks.start_soon(self._restart_later, replica)

    async def _restart_later(self, replica) -> None:
        await anyio.sleep(RESTART_S)
        await replica.start()


# Guards against one kind of request ending one replica after the other.
async def test_requests_that_crash_replicas_are_soon_sent_no_more(tmp_path):
    async with anyio.create_task_group() as tasks:
        harness = Harness(tmp_path, tasks)
        await harness.start()
        addresses = itertools.cycle(ENTRY_ADDRESSES)
        statuses = []
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while (
                harness.crash_count < CRASHES_BEFORE_LIMIT
                and statuses[-REQUESTS_AFTERWARDS:]
                != [503] * REQUESTS_AFTERWARDS
            ):
                statuses.append(await harness.send_crashing(next(addresses)))
                await harness.send_sound(next(addresses))
                await anyio.sleep(REQUEST_INTERVAL_S)
        crash_count = harness.crash_count
        for _ in range(REQUESTS_AFTERWARDS):
            await harness.send_crashing(next(addresses))
            await anyio.sleep(REQUEST_INTERVAL_S)
        sound = [await harness.send_sound(a) for a in ENTRY_ADDRESSES]
        tasks.cancel_scope.cancel()
    assert harness.crash_count - crash_count <= REQUESTS_ALLOWED_AFTERWARDS
    assert sound == [200, 200]
