"""Streams that replicas send with neither a length nor chunks.

Clients read such streams to their end. In their midst the process of the
front is killed. With TROUBLE=0 it is not.
"""

import asyncio
from pathlib import Path
import secrets
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import deployment as lib  # noqa: E402

CLIENTS = 8
EVENTS = 47
GAP_S = 0.05


class UnframedEngine(lib.Replica):
    """A sound engine whose streams end with their connection."""

    async def run(self, head, method, target, body, reader, writer):
        request = self.note_run(head, method, target, body)
        self.record(f"server {self.name} runs {request}")
        writer.write((
            f"HTTP/1.1 200 OK\r\n{lib.ID}: {request}\r\n"
            f"{lib.STAMP}: {self.name}.1\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        ).encode())
        for number in range(1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {request}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(GAP_S)
        self.record(f"server {self.name} has sent all of {request}")
        raise ConnectionError("the answer ends with its connection")


class Stream:
    """What a client saw of one stream."""

    def __init__(self, request) -> None:
        self.request = request
        self.head = None
        self.body = b""
        self.is_reset = False

    @property
    def looks_complete(self) -> bool:
        """Whether HTTP and the events say that this is all.

        A body with neither a length nor chunks ends where its connection is
        closed without a reset; a stream that ends inside an event was broken
        off.
        """
        return (
            self.head is not None
            and " 200 " in self.head.first
            and not self.head.get("content-length")
            and not self.head.get("transfer-encoding")
            and not self.is_reset
            and self.body.endswith(b"\n\n")
        )

    @property
    def event_count(self) -> int:
        return self.body.count(b"\n\n")


async def read_stream(number, front, d, record, streams) -> None:
    await asyncio.sleep(number * 0.1)
    stream = Stream(secrets.token_hex(8))
    streams.append(stream)
    reader, writer = await asyncio.open_connection(front.ip, d.front_port)
    writer.write((
        f"POST /quote/1 HTTP/1.1\r\nHost: {lib.HOST}\r\n"
        f"{lib.ID}: {stream.request}\r\nX-Dotterelbridge-Model: m0\r\n"
        "X-Dotterelbridge-Token-Count: 700,300\r\n"
        f"X-Dotterelbridge-Prompt-Prefix: {secrets.token_hex(4)}:700\r\n"
        "X-Dotterelbridge-Deadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n"
    ).encode())
    record(f"client: {stream.request} to {front.name}")
    try:
        stream.head = await lib.read_head(reader)
        if stream.head.get("transfer-encoding"):
            stream.body = await lib.read_body(reader, stream.head)
        else:
            while data := await reader.read(65536):
                stream.body += data
    except (OSError, EOFError) as error:
        stream.is_reset = True
        record(f"client: {stream.request} breaks off: {error!r}")
    writer.close()
    record(f"client: {stream.request} ends after {stream.event_count} events"
           f"; looks complete: {stream.looks_complete}")


async def play(record, trouble) -> bool:
    replicas = [
        UnframedEngine("i-q1", "quote-llm", "dub-a", record, {"m0", "m1"}, 64),
        UnframedEngine("i-q2", "quote-llm", "cork-a", record, {"m0"}, 64),
        lib.Replica("i-j1", "jobs-app", "dub-a", record),
    ]
    async with lib.run_deployment(record, replicas) as d:
        front = d.fronts[0]
        await asyncio.sleep(5)
        streams: list[Stream] = []
        tasks = [
            asyncio.create_task(read_stream(n, front, d, record, streams))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(CLIENTS * 0.1 + 0.7)
        if trouble:
            record.say(f"{front.name} is killed")
            front.signal(signal.SIGKILL)
        await asyncio.wait(tasks, timeout=15)
        whole = sum(s.event_count == EVENTS for s in streams)
        false_ends = [
            s for s in streams
            if s.looks_complete and s.event_count < EVENTS
        ]
        record.say(f"streams {len(streams)}, whole {whole}; cut and looking "
                   f"complete: {len(false_ends)}, after "
                   f"{sorted(s.event_count for s in false_ends)} events "
                   f"of {EVENTS}")
        return bool(false_ends)


lib.main(HERE, play)
