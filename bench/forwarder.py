"""Carries the links between processes, so that they can be cut.

Reads the links as one JSON line on standard input, prints ``ready``, then
takes commands, one a line: ``{"cut": [A, B]}``, ``{"heal": [A, B]}`` for
one direction, ``{"bytes": true}``, which prints the bytes by direction.
"""

import asyncio
from collections import Counter
import json
import socket
import sys

import msgspec

CHUNK_BYTES = 65536
LOOPBACK = "127.0.0.1"
BACKLOG = 1024
FILLERS = 4
"""Connections that fill the queue of a listener that accepts nothing."""


class Link(msgspec.Struct, frozen=True, kw_only=True):
    """A listener of one client towards one server."""

    client: str
    server: str
    listen_port: int
    port: int
    delay_ms: float = 0.0
    """Time that a byte takes each way."""


class Listener:
    """The listening end of a link; blocked, it lets new connections wait.

    With a full queue the kernel drops what asks for a connection, as a
    cut network does, so that the client's connect runs into its timeout.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.open = asyncio.Event()
        self.open.set()
        self.socket = socket.create_server(
            (LOOPBACK, link.listen_port), backlog=BACKLOG
        )
        self.socket.setblocking(False)
        self._fillers: list[socket.socket] = []

    def block(self) -> None:
        """Accept nothing from now on."""
        if not self.open.is_set():
            return
        self.open.clear()
        self.socket.listen(0)
        self._fill()

    def unblock(self) -> None:
        """Accept again."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self.socket.listen(BACKLOG)
        self.open.set()

    async def accept(self) -> socket.socket:
        """Return the next connection while the link is not cut."""
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            connection, _ = await loop.sock_accept(self.socket)
            if self.open.is_set():
                return connection
            # The accept had begun before the cut; its place is taken again.
            self._fillers.append(connection)
            self._fill()

    def _fill(self) -> None:
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOOPBACK, self.link.listen_port))
            self._fillers.append(filler)


class Forwarder:
    """All links; a cut direction holds its bytes back until it heals."""

    def __init__(self) -> None:
        self._open: dict[tuple[str, str], asyncio.Event] = {}
        self._listeners: list[Listener] = []
        self._tasks: set[asyncio.Task] = set()
        self._bytes: Counter[str] = Counter()

    def listen(self, link: Link) -> None:
        """Carry the connections of one link."""
        listener = Listener(link)
        self._listeners.append(listener)
        self._start_task(self._serve(listener))

    async def _serve(self, listener: Listener) -> None:
        while True:
            connection = await listener.accept()
            streams = await asyncio.open_connection(sock=connection)
            self._start_task(self._carry(listener.link, *streams))

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def execute(self, command: dict) -> None:
        """Execute one command."""
        if "cut" in command:
            self._gate(*command["cut"]).clear()
            self._update_listeners()
        if "heal" in command:
            self._gate(*command["heal"]).set()
            self._update_listeners()
        if "bytes" in command:
            print(json.dumps(self._bytes), flush=True)

    def _update_listeners(self) -> None:
        for listener in self._listeners:
            link = listener.link
            there = self._gate(link.client, link.server)
            back = self._gate(link.server, link.client)
            if there.is_set() and back.is_set():
                if not listener.open.is_set():
                    listener.unblock()
            else:
                listener.block()

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
                LOOPBACK, link.port
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
        forwarder.listen(link)
    print("ready", flush=True)
    while line := await lines.readline():
        forwarder.execute(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
