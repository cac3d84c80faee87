"""A late second copy of a rejection, and a booking that then runs twice.

Three entry VMs serve callers that book on a plain service of two servers
with one slot each, so that bookings are often rejected because a server is
full. One of the two servers is faulty for 5 s at a time: it sends a second
copy of 3 in 100 of its answers, late, where the next response on the
connection is expected. The other is sound; when it is full it also names a
Retry-After.
"""

import asyncio
import os
from pathlib import Path
import random
import sys
import time
import uuid

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from deployment import Deployment  # noqa: E402
from deployment import read_answer  # noqa: E402
from deployment import write_request  # noqa: E402
from standins import Listing  # noqa: E402
from standins import Record  # noqa: E402
from standins import Server  # noqa: E402
from standins import create_configuration  # noqa: E402
from standins import create_route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVICE = "jobs-app"
HOST = "desk.example"
ENTRY_COUNT = 3
LOAD_S = 95.0
WORK_S = 0.015
SPOILED_SHARE = 0.03
GARBLE_S = 5.0
"""Length of one disruption; it comes again after a pause."""
PAUSE_S = 1.0
RETRY_AFTER_S = 20
DEADLINE_MS = 2000
PROMISES = (408, 421, 429, 503)


class BookingServer(Server):
    """Runs one booking at a time and rejects others with 503."""

    def __init__(self, name, zone, record, runs, rng, garbles, asks_to_wait):
        super().__init__(name, SERVICE, zone, 1, record)
        self._runs = runs
        self._rng = rng
        self._garbles = garbles
        self._asks_to_wait = asks_to_wait
        self._running = 0
        self.copies = 0

    async def handle(self, connection, request):
        if connection.late_copy:
            # "An extra response may arrive late, at the point where the next
            # response is expected."
            connection.send(connection.late_copy)
            connection.late_copy = b""
            self.copies += 1
            self.record(f"{self.name} sends a late copy of an answer")
        if request.path == "/health":
            self.answer_health(connection, request)
            return
        if self._running >= self.slots:
            headers = {}
            if self._asks_to_wait:
                headers["retry-after"] = str(RETRY_AFTER_S)
            self.record(f"{self.name} rejects {request.request_id} (full)")
            self._keep_copy(
                connection,
                self.answer(
                    connection,
                    request,
                    503,
                    b"{}",
                    {"x-dotterelbridge-not-executed": "1"} | headers,
                ),
            )
            return
        self._running += 1
        self._runs.setdefault(request.request_id, []).append(self.name)
        self.record(f"{self.name} runs {request.request_id}")
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self._running -= 1
        self._keep_copy(
            connection,
            self.answer(connection, request, 200, b'{"booked":true}'),
        )

    def _keep_copy(self, connection, data):
        is_garbling = time.monotonic() % (GARBLE_S + PAUSE_S) < GARBLE_S
        if (
            self._garbles
            and is_garbling
            and self._rng.random() < SPOILED_SHARE
        ):
            connection.late_copy = data


async def book(entry, port, record, answers, ends_at):
    """Book again and again on one kept connection."""
    reader = writer = None
    while time.monotonic() < ends_at:
        request_id = uuid.uuid4().hex[:16]
        if writer is None:
            reader, writer = await asyncio.open_connection(entry.ip, port)
        headers = {
            "host": HOST,
            "x-dotterelbridge-request-id": request_id,
            "x-dotterelbridge-deadline-ms": str(DEADLINE_MS),
        }
        record(f"client sends booking {request_id} to {entry.name}")
        writer.write(write_request("POST", "/book/1", headers, b"fitter"))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                status, fields, _ = await read_answer(reader)
        except (OSError, EOFError, TimeoutError):
            status, fields = None, {"connection": "close"}
        answers[request_id] = status
        record(f"client gets {status} for {request_id}")
        if fields.get("connection", "").lower() == "close":
            writer.close()
            writer = None
        if status in PROMISES:
            await asyncio.sleep(
                min(0.1, float(fields.get("retry-after", 0.1)))
            )
        await asyncio.sleep(0.005)
    if writer is not None:
        writer.close()


async def play(record):
    """Return the bookings that ran more than once."""
    rng = random.Random(1)
    runs = {}
    answers = {}
    listing = Listing()
    deployment = Deployment(ENTRY_COUNT, await listing.start(), record)
    servers = [
        BookingServer("i-sound", "cork-a", record, runs, rng, False, True),
        BookingServer("i-faulty", "dub-a", record, runs, rng, TROUBLE, False),
    ]
    try:
        for server in servers:
            await server.start()
        listing.show([server.describe() for server in servers])
        await deployment.start(
            create_configuration(
                [SERVICE],
                [create_route("book", HOST, "/book/", SERVICE, "unsafe")],
            )
        )
        await asyncio.sleep(3.0)
        ends_at = time.monotonic() + LOAD_S
        await asyncio.gather(
            *(
                book(entry, deployment.front_port, record, answers, ends_at)
                for entry in deployment.entries
            )
        )
        await asyncio.sleep(1.0)
    finally:
        deployment.stop()
    copies = servers[1].copies
    twice = {key: at for key, at in runs.items() if len(at) > 1}
    refused = [
        key for key, s in answers.items() if s in PROMISES and key in runs
    ]
    record(
        f"{len(answers)} bookings, {len(runs)} ran, {copies} late copies; "
        f"{len(twice)} ran more than once; {len(refused)} were refused "
        "although they ran"
    )
    for key, at in twice.items():
        record(
            f"TWICE: {key} ran at {', '.join(at)}; answer {answers.get(key)}"
        )
    for key in refused:
        record(f"REFUSED: {key} ran; answer {answers[key]}")
    if len(runs) < 100:
        raise RuntimeError("too few bookings ran")
    return twice


def main():
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        twice = asyncio.run(play(record))
    except Exception as error:
        record(f"could not run: {error!r}")
        return 2
    return 1 if twice else 0


if __name__ == "__main__":
    sys.exit(main())
