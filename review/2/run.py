"""An unreadable entry in the platform's list, and the control processes.

Three control VMs and two entry VMs serve callers of one service with two
servers. For 40 s the platform's list holds one entry more, from another
writer, whose id is a JSON string that isn't text (an unpaired surrogate). The
platform starts each process that has ended again, after a second.
"""

import asyncio
import os
from pathlib import Path
import sys
import time
import uuid

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from deployment import Deployment  # noqa: E402
from deployment import call  # noqa: E402
from standins import Listing  # noqa: E402
from standins import Record  # noqa: E402
from standins import Server  # noqa: E402
from standins import create_configuration  # noqa: E402
from standins import create_route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVICE = "jobs-app"
HOST = "desk.example"
ENTRY_COUNT = 2
QUIET_S = 8.0
DAMAGED_S = 40.0
AFTERWARDS_S = 8.0
RESTART_DELAY_S = 1.0
ENDS_ALLOWED = 2
"""A fault from the third time on, on half of the core."""


class BookingServer(Server):
    """Answers each request."""

    async def handle(self, connection, request):
        if request.path == "/health":
            self.answer_health(connection, request)
            return
        self.answer(connection, request, 200, b'{"booked":true}')


async def supervise(deployment, ends, record):
    """Start processes that have ended by themselves again."""
    while True:
        await asyncio.sleep(0.05)
        for node in deployment.nodes:
            code = node.process.poll()
            if code is None or node.name in ends["restarting"]:
                continue
            record(f"the process of {node.name} ended with code {code}")
            ends[node.name] = ends.get(node.name, 0) + 1
            ends["restarting"].add(node.name)
            asyncio.get_running_loop().call_later(
                RESTART_DELAY_S, restart, node, ends, record
            )


def restart(node, ends, record):
    """Start a process again, as the platform does."""
    node.start()
    ends["restarting"].discard(node.name)
    record(f"the process of {node.name} is started again")


async def ask(deployment, counts, record):
    """Send one request after the other to each entry VM in turn."""
    number = 0
    while True:
        entry = deployment.entries[number % ENTRY_COUNT]
        number += 1
        headers = {
            "host": HOST,
            "x-dotterelbridge-request-id": uuid.uuid4().hex[:16],
            "x-dotterelbridge-deadline-ms": "2000",
        }
        try:
            status, _, _ = await asyncio.wait_for(
                call(
                    entry.ip,
                    deployment.front_port,
                    "POST",
                    "/book/1",
                    headers,
                    b"fitter",
                ),
                3,
            )
        except (OSError, EOFError, TimeoutError):
            status = None
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.2)


async def change_configuration(deployment, create, record):
    """Send a new version every 4 s; note those without acknowledgement."""
    version = 1
    while True:
        await asyncio.sleep(4.0)
        version += 1
        try:
            await deployment.put_configuration(create(version), timeout_s=4)
        except RuntimeError:
            record(f"config {version} had no acknowledgement in 4 s")


async def play(record):
    """Return the control VMs whose processes ended three times or more."""
    ends = {"restarting": set()}
    counts = {}
    listing = Listing()
    deployment = Deployment(ENTRY_COUNT, await listing.start(), record)
    servers = [
        BookingServer("i-1", SERVICE, "dub-a", 6, record),
        BookingServer("i-2", SERVICE, "cork-a", 6, record),
    ]

    def create(version):
        route = create_route("book", HOST, "/book/", SERVICE, "unsafe")
        return create_configuration([SERVICE], [route], version)

    tasks = []
    try:
        for server in servers:
            await server.start()
        sound = [server.describe() for server in servers]
        listing.show(sound)
        await deployment.start(create(1))
        tasks = [
            asyncio.create_task(supervise(deployment, ends, record)),
            asyncio.create_task(ask(deployment, counts, record)),
            asyncio.create_task(
                change_configuration(deployment, create, record)
            ),
        ]
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            record("the list holds an entry that can't be read")
            damaged = servers[0].describe() | {"id": "i-\ud800"}
            listing.show([*sound, damaged])
        await asyncio.sleep(DAMAGED_S)
        record("the list holds sound entries only")
        listing.show(sound)
        await asyncio.sleep(AFTERWARDS_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment.stop()
    del ends["restarting"]
    record(f"processes that ended by themselves: {ends}; answers: {counts}")
    if counts.get(200, 0) < 50:
        raise RuntimeError("too few answers")
    core = [node.name for node in deployment.controls]
    return [name for name in core if ends.get(name, 0) > ENDS_ALLOWED]


def main():
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        broken = asyncio.run(play(record))
    except Exception as error:
        record(f"could not run: {error!r}")
        return 2
    if 2 * len(broken) >= 3:
        record(f"Fault: processes ended three times on {', '.join(broken)}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
