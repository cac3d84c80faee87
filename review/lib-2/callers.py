"""Ordinary callers that book on kept connections, and a slow service."""

import asyncio
import secrets

import deployment as lib

WORK_S = 0.3


class BookingService(lib.Replica):
    """A sound plain service whose requests take a while."""

    async def run(self, head, method, target, body, reader, writer):
        request = self.note_run(head, method, target, body)
        self.record(f"server {self.name} runs {request}")
        await asyncio.sleep(WORK_S)
        writer.write(lib.make_answer(
            200, f"done {request}".encode(),
            [(lib.ID, request), (lib.STAMP, f"{self.name}.1")],
        ))


class Bookings:
    """Callers that book one after the other, each on a kept connection."""

    def __init__(self, front, deployment, record, count) -> None:
        self._front = front
        self._deployment = deployment
        self._record = record
        self.answered = 0
        self.cut: list[str] = []
        """Ids of requests on kept connections that closed without answer."""
        self.not_connected = 0
        self._is_over = False
        self._tasks = [
            asyncio.create_task(self._book()) for _ in range(count)
        ]

    async def stop(self) -> None:
        self._is_over = True
        await asyncio.wait(self._tasks, timeout=3)
        for task in self._tasks:
            task.cancel()

    def list_lost(self, replicas) -> list[str]:
        """Return the cut requests that a replica has run."""
        ran = {run["id"] for replica in replicas for run in replica.runs}
        return [request for request in self.cut if request in ran]

    async def _book(self) -> None:
        while not self._is_over:
            try:
                reader, writer = await asyncio.open_connection(
                    self._front.ip, self._deployment.front_port
                )
            except OSError as error:
                self.not_connected += 1
                self._record(f"client: no connection: {error!r}")
                await asyncio.sleep(0.5)
                continue
            await self._book_on(reader, writer)
            writer.close()

    async def _book_on(self, reader, writer) -> None:
        is_kept = False
        while not self._is_over:
            request = secrets.token_hex(8)
            self._record(f"client: {request} to {self._front.name}")
            try:
                writer.write((
                    f"POST /book/1 HTTP/1.1\r\nHost: {lib.HOST}\r\n"
                    f"{lib.ID}: {request}\r\n"
                    "X-Dotterelbridge-Deadline-Ms: 2000\r\n"
                    "Content-Length: 2\r\n\r\n{}"
                ).encode())
                head = await lib.read_head(reader)
                await lib.read_body(reader, head)
            except (OSError, EOFError) as error:
                self._record(f"client: {request} has no answer: {error!r}")
                if is_kept:
                    self.cut.append(request)
                return
            self._record(f"client: {request} gets {head.first}")
            self.answered += 1
            is_kept = True
            if head.get("connection").lower() == "close":
                return
