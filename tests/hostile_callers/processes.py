"""The processes under test: an entry VM, a control VM, and the daemon."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
import contextlib
import os
from pathlib import Path
import random
import subprocess
import sys
import threading
import time

from dotterelbridge.serving.settings import ServingSettings
from standins.demo import SETTINGS_TEMPLATE
from standins.demo import SHEET_CSV
from standins.ports import find_free_ports
from tests.nodes.test_node_template import TEMPLATE
from tests.nodes.test_node_template import render_template
from tests.soak.callers import Operator
from tests.soak.callers import Record
from tests.soak.callers import write_request
from tests.soak.processes import ROOT
from tests.soak.processes import ProcessGroup
from tests.soak.processes import VmProcess
from tests.soak.replicas import Replica
from tests.soak.replicas import ReplicaList
from tests.soak.replicas import read_message

START_LIMIT_S = 40.0
LOWERED_LIMITS = {
    "head_limit_kb": 16,
    "body_limit_kb": 1024,
    "memory_limit_mb": 8,
}
"""Settings of [serving] with which a small crowd exceeds them."""
_IDS = iter(range(1, 1 << 30))


def write_limits(settings: str) -> str:
    """Add the lowered limits to a settings file, as far as they exist."""
    lines = [
        f"{name} = {value}\n"
        for name, value in LOWERED_LIMITS.items()
        if name in ServingSettings.__struct_fields__
    ]
    return settings.replace("[serving]\n", "[serving]\n" + "".join(lines))


class ProcessState:
    """What the kernel reports about a process."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")

    def read_memory_kb(self, field: str) -> int:
        """Return a field of the status file, such as VmRSS."""
        status = (self._folder / "status").read_text()
        return int(status.partition(f"{field}:")[2].split()[0])

    def reset_peak(self) -> None:
        """Set VmHWM to the present resident memory."""
        (self._folder / "clear_refs").write_text("5")

    def count_descriptors(self) -> int:
        return len(os.listdir(self._folder / "fd"))


class Service:
    """A listener under test, and an ordinary request to it."""

    def __init__(self, address: tuple[str, int], request: bytes) -> None:
        self.address = address
        self.request = request

    async def call(self) -> bytes:
        """Send the ordinary request; return the status of its response."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            number = b"q%d" % next(_IDS)
            writer.write(self.request.replace(b"NUMBER", number))
            return (await read_message(reader)).line.split()[1].encode()
        finally:
            writer.close()

    async def wait_until_served(self, statuses: tuple[bytes, ...]) -> None:
        """Repeat the ordinary request until it gets one of the statuses."""
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    if await self.call() in statuses:
                        return
                await asyncio.sleep(0.1)


class LoopThread:
    """An event loop beside the test, for stand-ins and callers."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def run(self, coroutine: Coroutine):
        """Run a coroutine to its end; return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def stop(self) -> None:
        """End the loop; called after all sockets are closed."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class LimitedVm(VmProcess):
    """The process of a VM with lowered limits."""

    def write_settings(self) -> None:
        text = render_template(TEMPLATE.read_text(), self.fields)
        self._settings.write_text(write_limits(text))


class Deployment:
    """Three control VMs and an entry VM in front of one replica."""

    def __init__(self, folder: Path, loop: LoopThread) -> None:
        self._folder = folder
        self._loop = loop
        self._list = ReplicaList()
        self.record = Record()

    def start(self) -> None:
        """Start the control VMs with a configuration."""
        self._loop.run(self._start())

    async def _start(self) -> None:
        address = await self._list.start()
        rng = random.Random(1)
        replica = Replica("jobs", Counter(), rng)
        await replica.start()
        self._list.replicas.append(replica)
        self.group = ProcessGroup(self._folder, 1, address, 1)
        for vm in self.group.all:
            vm.__class__ = LimitedVm
        self.entry = self.group.entries[0]
        for control in self.group.controls:
            control.start()
        async with asyncio.timeout(START_LIMIT_S):
            await Operator(self.group, self.record, rng).submit(1)

    def stop(self) -> None:
        """End all processes and close all sockets."""
        self.group.stop()

        async def close() -> None:
            self._list.replicas[0].crash()
            self._list.stop()
            await asyncio.sleep(0.1)

        self._loop.run(close())

    def restart_entry(self) -> Service:
        """Start a fresh entry VM; return when it serves requests."""
        self.entry.kill()
        self.entry.start()
        headers = {"x-dotterelbridge-request-id": "NUMBER"}
        service = Service(
            (self.entry.ip, self.group.caller_port),
            write_request("POST", "/look/x", headers, b"job"),
        )
        self._loop.run(service.wait_until_served((b"200",)))
        return service

    def restart_control(self) -> Service:
        """Start one control VM anew; return when operators can read."""
        control = self.group.controls[0]
        control.kill()
        control.start()
        service = Service(
            (control.ip, self.group.operator_port),
            write_request("GET", "/dotterelbridge/config", {}),
        )
        self._loop.run(service.wait_until_served((b"200",)))
        return service

    @property
    def control_pid(self) -> int:
        return self.group.controls[0]._process.pid

    def is_control_alive(self) -> bool:
        return self.group.controls[0].exit_code is None

    @property
    def entry_pid(self) -> int:
        return self.entry._process.pid

    def is_entry_alive(self) -> bool:
        return self.entry.exit_code is None


class Daemon:
    """The daemon with the OpenAI listener and one service stand-in."""

    def __init__(self, folder: Path, loop: LoopThread) -> None:
        self._folder = folder
        self._loop = loop
        names = (
            "caller",
            "operator",
            "peer",
            "engine1",
            "engine2",
            "service",
        )
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        self._process: subprocess.Popen | None = None

    def start(self) -> Service:
        """Start a fresh daemon; return when it answers requests."""
        (self._folder / "token").write_text("operator-token")
        (self._folder / "secret").write_text("peer-secret")
        (self._folder / "sheet.csv").write_text(SHEET_CSV)
        text = SETTINGS_TEMPLATE.format(folder=self._folder, **self.ports)
        config = self._folder / "settings.ini"
        config.write_text(write_limits(text))
        with open(self._folder / "daemon.log", "ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "dotterelbridge.daemon",
                    "--config",
                    config,
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        service = Service(
            ("127.0.0.1", self.ports["caller"]),
            write_request("POST", "/services/absent/x", {}, b"job"),
        )
        # Without a sheet in force, 503 is the listener's own answer.
        self._loop.run(service.wait_until_served((b"404", b"503")))
        return service

    @property
    def pid(self) -> int:
        return self._process.pid

    def is_alive(self) -> bool:
        return self._process.poll() is None

    def stop(self) -> None:
        """End the process, if it was started."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


def wait_for(condition, limit_s: float = START_LIMIT_S) -> bool:
    """Return whether a condition comes to hold."""
    ends_at = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > ends_at:
            return False
        time.sleep(0.05)
    return True
