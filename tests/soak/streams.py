"""Streams of two software versions, and callers that resume them."""

import asyncio
import itertools
import random

from tests.soak.callers import DEADLINE_S
from tests.soak.callers import Record
from tests.soak.callers import write_request
from tests.soak.processes import ProcessGroup
from tests.soak.replicas import HttpMessage
from tests.soak.replicas import Replica

EVENT_COUNT = 12
EVENT_GAP_S = 0.02
BREAK_SHARE = 0.04
"""Share of events before which a replica breaks off."""
TRY_COUNT = 4
TRY_GAP_S = 0.1


class StreamReplica(Replica):
    """Streams events that name its version, and resumes any stream."""

    async def _answer(self, request: HttpMessage, writer) -> bytes:
        headers = request.headers
        instance = headers.get("x-dotterelbridge-expect-instance", self.id)
        if not request.line.startswith("POST") or instance != self.id:
            return await super()._answer(request, writer)
        request_id = headers["x-dotterelbridge-request-id"]
        writer.write(
            b"HTTP/1.1 200 -\r\nx-dotterelbridge-server-stamp: 1\r\n"
            b"content-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n"
            b"x-dotterelbridge-request-id: %b\r\n\r\n" % request_id.encode()
        )
        first = int(headers.get("last-event-id", -1)) + 1
        for number in range(first, EVENT_COUNT):
            if self._random.random() < BREAK_SHARE:
                writer.transport.abort()
                raise EOFError
            event = b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        return b""


class StreamCaller:
    """Reads streams, and resumes those that break off at any entry VM."""

    _numbers = itertools.count(1)

    def __init__(
        self, group: ProcessGroup, record: Record, rng: random.Random
    ) -> None:
        self._group = group
        self._record = record
        self._random = rng

    async def run(self) -> None:
        """Read streams until cancelled."""
        while True:
            await self._read_stream()
            await asyncio.sleep(self._random.uniform(0, 0.05))

    async def _read_stream(self) -> None:
        """Read one stream; a fault if what came does not fit together."""
        versions: list[str] = []
        resumes = None
        for _ in range(TRY_COUNT):
            request_id = f"s{next(self._numbers):015x}"
            headers = {
                "x-dotterelbridge-request-id": request_id,
                "x-dotterelbridge-deadline-ms": str(int(DEADLINE_S * 1000)),
            }
            if versions:
                headers["last-event-id"] = str(len(versions) - 1)
                headers["resumes"] = resumes
            known_count = len(versions)
            is_whole = await self._read_answer(headers, versions)
            if known_count and len(versions) > known_count:
                self._record.statuses["resumed"] += 1
            if versions and resumes is None:
                resumes = request_id
            if is_whole:
                break
            await asyncio.sleep(TRY_GAP_S)
        name = f"the stream of {resumes}"
        if len(set(versions)) > 1:
            self._record.faults.append(f"{name} has {versions}")
        if is_whole and len(versions) != EVENT_COUNT:
            self._record.faults.append(f"{name} ends after {len(versions)}")

    async def _read_answer(self, headers: dict, versions: list[str]) -> bool:
        """Add the versions of the events; return whether all have come."""
        entry = self._random.choice(self._group.entries)
        writer = None
        try:
            async with asyncio.timeout(2 * DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    entry.ip, self._group.caller_port
                )
                writer.write(write_request("POST", "/read/x", headers, b"job"))
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split()[1])
                self._record.statuses[f"stream {status}"] += 1
                return status == 200 and await self._read_events(
                    reader, versions
                )
        except (OSError, EOFError, TimeoutError) as error:
            self._record.statuses[f"stream {type(error).__name__}"] += 1
            return False
        finally:
            if writer is not None:
                writer.close()

    async def _read_events(self, reader, versions: list[str]) -> bool:
        text = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            text += (await reader.readexactly(size + 2))[:size]
            *events, text = text.split(b"\n\n")
            for event in events:
                number, version = event.decode().splitlines()
                if number != f"id: {len(versions)}":
                    self._record.faults.append(
                        f"{number} after {len(versions)} events"
                    )
                versions.append(version)
        return True
