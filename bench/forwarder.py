"""Carries the links between processes, so that they can be cut.

Reads the links as one JSON line on standard input, prints ``ready``, then
takes commands, one a line: ``{"cut": [A, B]}``, ``{"heal": [A, B]}`` for
one direction, ``{"bytes": true}``, which prints the bytes by direction.
"""

import asyncio
from collections import Counter
import json
import sys

import msgspec

CHUNK_BYTES = 65536


class Link(msgspec.Struct, frozen=True, kw_only=True):
    """A listener of one client towards one server."""

    client: str
    server: str
    listen_port: int
    port: int
    delay_ms: float = 0.0
    """Time that a byte takes each way."""


class Forwarder:
    """All links; a cut direction holds its bytes back until it heals."""

    def __init__(self) -> None:
        self._open: dict[tuple[str, str], asyncio.Event] = {}
        self._bytes: Counter[str] = Counter()

    async def listen(self, link: Link) -> None:
        """Carry the connections of one link."""

        async def on_connect(reader, writer) -> None:
            await self._carry(link, reader, writer)

        await asyncio.start_server(on_connect, "127.0.0.1", link.listen_port)

    def execute(self, command: dict) -> None:
        """Execute one command."""
        if "cut" in command:
            self._gate(*command["cut"]).clear()
        if "heal" in command:
            self._gate(*command["heal"]).set()
        if "bytes" in command:
            print(json.dumps(self._bytes), flush=True)

    def _gate(self, source: str, sink: str) -> asyncio.Event:
        gate = self._open.get((source, sink))
        if gate is None:
            gate = self._open[source, sink] = asyncio.Event()
            gate.set()
        return gate

    async def _carry(self, link: Link, reader, writer) -> None:
        there = self._gate(link.client, link.server)
        back = self._gate(link.server, link.client)
        writers = [writer]
        try:
            await there.wait()
            await back.wait()
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", link.port
            )
            writers.append(up_writer)
            delay_s = link.delay_ms / 1000
            up = f"{link.client} {link.server}"
            down = f"{link.server} {link.client}"
            await asyncio.gather(
                self._pump(reader, up_writer, there, up, delay_s),
                self._pump(up_reader, writer, back, down, delay_s),
            )
        except OSError:
            pass
        finally:
            for each in writers:
                each.transport.abort()

    async def _pump(self, reader, writer, gate, name, delay_s) -> None:
        loop = asyncio.get_running_loop()
        while chunk := await reader.read(CHUNK_BYTES):
            await gate.wait()
            self._bytes[name] += len(chunk)
            if delay_s:
                loop.call_later(delay_s, writer.write, chunk)
            else:
                writer.write(chunk)
                await writer.drain()
        await asyncio.sleep(delay_s)
        # The end of one direction ends the link: no user half-closes.
        raise ConnectionResetError


async def main() -> None:
    """Forward until standard input ends."""
    forwarder = Forwarder()
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader(limit=1 << 24)
    protocol = asyncio.StreamReaderProtocol(lines)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    for link in msgspec.json.decode(await lines.readline(), type=list[Link]):
        await forwarder.listen(link)
    print("ready", flush=True)
    while line := await lines.readline():
        forwarder.execute(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
