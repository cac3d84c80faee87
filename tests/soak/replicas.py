"""Stand-ins of plain replicas with faults, and of the list that names them."""

import asyncio
from collections import Counter
import contextlib
import json
import random
import time

_NOT_RUN = "x-dotterelbridge-not-executed"
_REQUEST_ID = "x-dotterelbridge-request-id"
_EXPECTED_INSTANCE = "x-dotterelbridge-expect-instance"
_STAMP = "x-dotterelbridge-server-stamp"
LATE_COPY_SHARE = 0.03
WORK_S = (0.01, 0.08)
SLOTS = 4


class HttpMessage:
    """One request or response, as it was read."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes):
        self.line = line
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a message with a length.

    :raises EOFError: the connection ended before its end.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.rstrip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (field.partition(":") for field in fields)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(line, headers, body)


class Replica:
    """A replica of a plain service, which is often full.

    It sends second copies of some answers, late, where the next response on
    the connection is expected.
    """

    count = 0

    def __init__(
        self,
        service: str,
        runs: Counter,
        rng: random.Random,
        version: str = "v1",
    ) -> None:
        Replica.count += 1
        self.version = version
        self.id = f"i-{Replica.count}"
        self.service = service
        self.state = "ready"
        self._runs = runs
        self._random = rng
        self._running = 0
        self._born = int(time.time() * 1000)
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=512
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def describe(self) -> dict:
        """Return the entry of the list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": f"127.0.0.1:{self._port}",
            "zone": "a",
            "version": self.version,
            "slots": SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self._born,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        late_copy = b""
        with contextlib.suppress(EOFError, OSError):
            while True:
                request = await read_message(reader)
                writer.write(late_copy)
                late_copy = await self._answer(request, writer)
                if self._random.random() >= LATE_COPY_SHARE:
                    late_copy = b""
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: HttpMessage, writer) -> bytes:
        request_id = request.headers.get(_REQUEST_ID, "")
        if request.headers.get(_EXPECTED_INSTANCE, self.id) != self.id:
            return self._write(writer, 421, request_id, _NOT_RUN)
        if self._running >= SLOTS:
            return self._write(writer, 503, request_id, _NOT_RUN)
        self._running += 1
        try:
            if request_id:
                self._runs[request_id] += 1
            await asyncio.sleep(self._random.uniform(*WORK_S))
        finally:
            self._running -= 1
        return self._write(writer, 200, request_id, _STAMP)

    def _write(
        self, writer, status: int, request_id: str, header: str
    ) -> bytes:
        body = json.dumps({"id": request_id, "service": self.service}).encode()
        head = [
            f"HTTP/1.1 {status} -",
            f"{header}: 1",
            f"content-length: {len(body)}",
        ]
        if request_id:
            head.append(f"{_REQUEST_ID}: {request_id}")
        data = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        writer.write(data)
        return data


class ReplicaList:
    """The platform's list; may hold odd entries of another writer."""

    ODD_ENTRIES = (
        b'{"id":"i-\\ud800","service":"jobs"}',
        b"[" * 50_000 + b"]" * 50_000,
        b'{"id":"i-x","slots":' + b"9" * 6000 + b"}",
        b'{"id":"i-\xff"}',
        b"7",
    )

    def __init__(self) -> None:
        self.replicas: list[Replica] = []
        self.odd_entries: list[bytes] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(EOFError, OSError):
            while True:
                await read_message(reader)
                entries = [
                    json.dumps(replica.describe()).encode()
                    for replica in self.replicas
                ]
                body = b'{"instances":[%b],"next":null}' % b",".join(
                    [*self.odd_entries, *entries]
                )
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
        writer.close()
