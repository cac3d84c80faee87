"""Steps of features/shutdown.feature: a real process and SIGTERM."""

import asyncio
import contextlib
import signal
import sys

import anyio
import httpx
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.serving.fakes import FakeTarget
from tests.serving.fakes import token_event
from tests.serving.fakes import wait_refused
from tests.serving.fakes import wait_until

scenarios("../features/shutdown.feature")

BODY = b'{"model": "quote", "stream": true}'
DONE = b"data: [DONE]\n\n"
FIRST_TOKEN_COUNT = 3
TOKEN_COUNT = 400
LARGE_EVENT = b"data: " + b"x" * 32768 + b"\n\n"
LARGE_EVENT_COUNT = 400
"""Together far more than the sockets and buffers can hold."""


class Caller:
    """One caller on a raw connection that can stop reading."""

    def __init__(self) -> None:
        self.received = b""
        self.is_accepted = False
        self.reading = asyncio.Event()
        self.reading.set()

    async def run(self, port: int) -> None:
        """Send the request and read until the connection closes."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1024
        )
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            b"expect: 100-continue\r\n"
            b"content-length: %d\r\n\r\n" % len(BODY)
        )
        # The server sends it once it has accepted the request.
        await reader.readuntil(b"100 Continue\r\n\r\n")
        self.is_accepted = True
        writer.write(BODY)
        while True:
            await self.reading.wait()
            chunk = await reader.read(65536)
            if not chunk:
                break
            self.received += chunk
        writer.close()

    @property
    def stream(self) -> bytes:
        """The body, decoded from its HTTP chunks."""
        head, _, rest = self.received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        body = b""
        while True:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            if not length:
                assert rest == b"\r\n"
                return body
            body += rest[:length]
            rest = rest[length + 2 :]


class ShutdownContext:
    """Engine, daemon process and callers of a scenario, on one event loop."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.events = [token_event(n) for n in range(TOKEN_COUNT)]
        self.resume_event = None
        self.engine = None
        self.process = None
        self.port = 0
        self.callers = []
        self.tasks = []

    def run(self, coroutine):
        """Run a coroutine, with a timeout."""
        return self.runner.run(asyncio.wait_for(coroutine, 60))

    async def start_engine(self) -> None:
        self.resume_event = asyncio.Event()

        async def stream_and_wait(received):
            await received.start_stream()
            await received.send_tokens(0, FIRST_TOKEN_COUNT)
            await self.resume_event.wait()
            with contextlib.suppress(ConnectionError):
                for event in self.events[FIRST_TOKEN_COUNT:]:
                    await received.send_chunk(event)
                await received.finish_stream()

        self.engine = FakeTarget("e1", stream_and_wait)
        await self.engine.start()

    async def start_daemon(self, concurrency: int) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.serving.shutdown_process",
            str(self.engine.port),
            str(concurrency),
            stdout=asyncio.subprocess.PIPE,
        )
        self.port = int(await self.process.stdout.readline())
        # A full pipe would block the daemon when it logs.
        self.tasks.append(asyncio.create_task(self.process.stdout.read()))

    async def start_callers(self, count: int) -> list[Caller]:
        callers = [Caller() for _ in range(count)]
        self.callers += callers
        self.tasks += [
            asyncio.create_task(caller.run(self.port)) for caller in callers
        ]
        return callers

    async def finish(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
def context():
    context = ShutdownContext()
    yield context
    context.run(context.finish())
    context.runner.close()


@given("an engine that holds its streams open")
def start_engine(context):
    context.run(context.start_engine())


@given("an engine that holds streams of 13 MB open")
def start_large_engine(context):
    context.events[FIRST_TOKEN_COUNT:] = [LARGE_EVENT] * LARGE_EVENT_COUNT
    context.run(context.start_engine())


@given(parsers.parse("a daemon with room for {count:d} streams"))
def start_daemon(context, count):
    context.run(context.start_daemon(count))


@given(parsers.parse("{count:d} callers in mid-stream"))
def start_streams(context, count):
    async def start():
        callers = await context.start_callers(count)
        last = token_event(FIRST_TOKEN_COUNT - 1)
        await wait_until(lambda: all(last in c.received for c in callers))

    context.run(start())


@given(parsers.parse("{count:d} callers that wait for a slot"))
def start_waiting(context, count):
    async def start():
        count_before = len(context.engine.received)
        callers = await context.start_callers(count)
        await wait_until(lambda: all(caller.is_accepted for caller in callers))
        assert len(context.engine.received) == count_before

    context.run(start())


@given(parsers.parse("{count:d} callers in mid-stream that stop reading"))
def start_slow_readers(context, count):
    start_streams(context, count)
    for caller in context.callers:
        caller.reading.clear()


@when("the daemon gets SIGTERM")
def send_signal(context):
    context.process.send_signal(signal.SIGTERM)


@then("it is live but not ready")
def check_readiness(context):
    async def check():
        url = f"http://127.0.0.1:{context.port}"
        async with httpx.AsyncClient() as client:
            with anyio.fail_after(20):
                while (await client.get(f"{url}/readyz")).status_code != 503:
                    await anyio.sleep(0.01)
            assert (await client.get(f"{url}/healthz")).status_code == 200

    context.run(check())


@when("it has stopped accepting connections")
def wait_until_refused(context):
    context.run(wait_refused(context.port))


@when("the engine lets its streams end")
def end_streams(context):
    async def end():
        context.resume_event.set()

    context.run(end())


@when("the callers read on")
def resume_reading(context):
    async def read():
        for caller in context.callers:
            caller.reading.set()

    context.run(read())


@then("every caller has its stream byte for byte")
def check_streams(context):
    async def check():
        await asyncio.gather(*context.tasks)

    context.run(check())
    expected = b"".join(context.events) + DONE
    wrong = [c for c in context.callers if c.stream != expected]
    assert wrong == []


@then("the daemon has ended with status 0")
def check_status(context):
    assert context.run(context.process.wait()) == 0
