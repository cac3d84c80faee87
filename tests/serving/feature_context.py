"""A ServingHarness on an event loop, for synchronous feature steps."""

import asyncio
import contextlib

import httpx

from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.targets.settings import TargetsSettings
from tests.serving.fakes import model_row
from tests.serving.fakes import run_serving
from tests.serving.fakes import stream_body
from tests.serving.test_callers import CHAT
from tests.serving.test_callers import create_client

STEP_TIMEOUT_S = 60


class Reply:
    """The response to one caller."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


class FeatureContext:
    """Engines, harness and callers of a scenario; started on first use."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.stopping = None
        self.harness_task = None
        self.engines = []
        self.row = {"deadline_ms": 30000}
        self.routing = {}
        self.tokens = 30
        self.replies: list[Reply] = []
        self.tasks: list[asyncio.Task] = []
        self.harness = None
        self.client = None

    def run(self, coroutine):
        """Run a coroutine, with a timeout."""
        return self.runner.run(asyncio.wait_for(coroutine, STEP_TIMEOUT_S))

    def add_engine(self, name, handler) -> None:
        """Add an engine; call it before the first caller starts."""
        self.engines.append((name, handler))

    async def start(self) -> None:
        """Start the harness unless it is running."""
        if self.harness is not None:
            return
        started = asyncio.Event()
        self.stopping = asyncio.Event()
        self.harness_task = asyncio.create_task(self._run_harness(started))
        await started.wait()

    async def _run_harness(self, started: asyncio.Event) -> None:
        """Keep the harness open.

        It is entered and left in one task, as its cancel scopes require.
        """
        async with (
            run_serving(
                rows=(model_row(**self.row),),
                routing=RoutingSettings(**self.routing),
                targets=TargetsSettings(silence_limit_ms=500),
            ) as self.harness,
            create_client(self.harness) as self.client,
        ):
            for name, handler in self.engines:
                await self.harness.add_engine(name, handler)
            started.set()
            await self.stopping.wait()

    async def start_caller(self, **headers: str) -> Reply:
        """Start a caller in its own task."""
        await self.start()
        reply = Reply()
        self.replies.append(reply)
        self.tasks.append(asyncio.create_task(self._call(reply, headers)))
        return reply

    async def _call(self, reply: Reply, headers: dict[str, str]) -> None:
        body = {"model": "quote", "stream": True}
        named = {
            f"Dotterelbridge-{name.capitalize()}": value
            for name, value in headers.items()
        }
        with contextlib.suppress(httpx.RemoteProtocolError):
            async with self.client.stream(
                "POST", CHAT, json=body, headers=named
            ) as response:
                reply.status = response.status_code
                reply.headers = response.headers
                async for chunk in response.aiter_raw():
                    reply.body += chunk
                reply.is_complete = True

    async def finish_callers(self) -> None:
        """Wait until every caller has its response."""
        await asyncio.gather(*self.tasks)

    def list_complete(self) -> list[Reply]:
        """Return the replies that equal the whole stream byte for byte."""
        expected = stream_body(self.tokens)
        return [
            r for r in self.replies if r.is_complete and r.body == expected
        ]

    def list_refused(self, status: int) -> list[Reply]:
        """Return the replies with a status that report the call as not run."""
        return [
            reply
            for reply in self.replies
            if reply.status == status
            and reply.headers["dotterelbridge-run"] == "no"
        ]

    def count_requests(self) -> int:
        """Return the number of requests that all engines received."""
        targets = self.harness.targets.values()
        return sum(len(target.received) for target in targets)

    def close(self) -> None:
        """Stop the harness and close the event loop."""

        async def finish():
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            if self.harness is not None:
                self.stopping.set()
                await self.harness_task

        self.run(finish())
        self.runner.close()
