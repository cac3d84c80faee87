"""Callers of an entry VM whose process is killed under their answers.

The kernel closes the connections of a killed process in the ordinary way, so
that whatever the callers have must show that it is not all.
"""

import asyncio
from collections import Counter
import contextlib
import random
import signal
import socket

import pytest

from tests.soak.callers import Operator
from tests.soak.callers import Record
from tests.soak.callers import write_request
from tests.soak.processes import ProcessGroup
from tests.soak.replicas import HttpMessage
from tests.soak.replicas import Replica
from tests.soak.replicas import ReplicaList

START_LIMIT_S = 60.0
EVENTS_BEFORE_KILL = 3
EVENT_GAP_S = 0.02
LONG_BODY = b"x" * 4_000_000
RECEIVE_BUFFER_BYTES = 4096
WITHIN_GRACE_S = 3.0


class UnframedReplica(Replica):
    """Answers with neither a length nor chunks, as its service does."""

    async def _answer(self, request: HttpMessage, writer) -> bytes:
        if not request.line.startswith("POST"):
            return await super()._answer(request, writer)
        is_stream = self.service == "texts"
        content_type = "text/event-stream" if is_stream else "image/x-test"
        request_id = request.headers["x-dotterelbridge-request-id"]
        head = [
            "HTTP/1.1 200 -",
            "x-dotterelbridge-server-stamp: 1",
            f"x-dotterelbridge-request-id: {request_id}",
            f"content-type: {content_type}",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        if not is_stream:
            writer.write(LONG_BODY)
            await writer.drain()
            raise EOFError
        number = 0
        while not writer.is_closing():
            writer.write(b"id: %d\ndata: text\n\n" % number)
            number += 1
            await asyncio.sleep(EVENT_GAP_S)
        raise EOFError


class Answer:
    """What a caller has received until its connection ended."""

    def __init__(self) -> None:
        self.received = b""
        self.was_reset = False

    @property
    def head(self) -> bytes:
        return self.received.partition(b"\r\n\r\n")[0]

    @property
    def body(self) -> bytes:
        return self.received.partition(b"\r\n\r\n")[2]

    @property
    def looks_whole(self) -> bool:
        """Whether nothing shows a reader of HTTP and events a cut."""
        if self.was_reset:
            return False
        if b"transfer-encoding" in self.head:
            return self.body.endswith(b"0\r\n\r\n")
        if b"content-length: " in self.head:
            length = self.head.partition(b"content-length: ")[2].split()[0]
            return len(self.body) >= int(length)
        if b"event-stream" in self.head:
            return self.body.endswith(b"\n\n")
        return True


class Caller:
    """Sends one request and reads its answer."""

    def __init__(self, group: ProcessGroup, path: str, version: str) -> None:
        self._address = (group.entries[0].ip, group.caller_port)
        headers = {
            "x-dotterelbridge-request-id": "r1",
            "x-dotterelbridge-deadline-ms": "60000",
        }
        request = write_request("POST", path, headers, b"job")
        self._request = request.replace(b"HTTP/1.1", b"HTTP/%b" % version)
        self.answer = Answer()

    async def call(self) -> None:
        """Send the request, once the entry VM serves, and read its start."""
        while not self.answer.received.startswith(b"HTTP/1.1 200"):
            with contextlib.suppress(OSError, EOFError):
                await self._open()
            await asyncio.sleep(0.1)
        while (
            b"event-stream" in self.answer.head
            and self.answer.body.count(b"\n\n") < EVENTS_BEFORE_KILL
        ):
            self.answer.received += await self._reader.read(1024)

    async def _open(self) -> None:
        with socket.socket() as plain:
            plain.setblocking(False)
            plain.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            loop = asyncio.get_running_loop()
            await loop.sock_connect(plain, self._address)
            self._reader, self._writer = await asyncio.open_connection(
                sock=plain.dup(), limit=1024
            )
        self._writer.write(self._request)
        self.answer.received = await self._reader.readuntil(b"\r\n\r\n")

    async def read_to_end(self) -> None:
        """Read until the connection ends."""
        try:
            while data := await self._reader.read(65536):
                self.answer.received += data
        except OSError:
            self.answer.was_reset = True
        self._writer.close()


@contextlib.asynccontextmanager
async def run_deployment(folder):
    """Run three control VMs and an entry VM before two replicas."""
    rng = random.Random(1)
    listing = ReplicaList()
    group = ProcessGroup(folder, 1, await listing.start(), 1)
    try:
        for service in ("texts", "jobs"):
            replica = UnframedReplica(service, Counter(), rng)
            await replica.start()
            listing.replicas.append(replica)
        group.start()
        await Operator(group, Record(), rng).submit(1)
        yield group
    finally:
        group.stop()
        for replica in listing.replicas:
            replica.crash()
        listing.stop()
        # The transports close their sockets in the next cycles.
        await asyncio.sleep(0.1)


async def kill(group: ProcessGroup) -> None:
    group.entries[0].kill()


async def stop_and_kill(group: ProcessGroup) -> None:
    """Stop the entry VM, and kill it while it waits for its answers."""
    entry = group.entries[0]
    entry.send_signal(signal.SIGTERM)
    await asyncio.sleep(WITHIN_GRACE_S)
    entry.kill()


# Guards against an answer without a length that a killed entry VM has cut and
# that looks whole to its caller (review/8).
@pytest.mark.parametrize(
    ("path", "version", "end"),
    [
        ("/read/x", b"1.1", kill),
        ("/read/x", b"1.1", stop_and_kill),
        ("/read/x", b"1.0", kill),
        ("/look/x", b"1.1", kill),
        ("/look/x", b"1.0", kill),
    ],
    ids=["stream", "stop", "http-1.0", "long", "long-http-1.0"],
)
def test_answer_that_a_killed_entry_vm_cuts_does_not_look_whole(
    tmp_path, path, version, end
):
    async def check() -> Answer:
        async with run_deployment(tmp_path) as group:
            caller = Caller(group, path, version)
            async with asyncio.timeout(START_LIMIT_S):
                await caller.call()
            await end(group)
            await caller.read_to_end()
        return caller.answer

    answer = asyncio.run(check())
    assert len(answer.body) < len(LONG_BODY)
    assert not answer.looks_whole
