"""Real processes of a deployment on loopback, and signals to them.

Each control and entry VM is a process of platform/launch.py with an address
of its own and a settings file made from the platform's template.
"""

import asyncio
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import time

from tests.nodes.test_node_template import TEMPLATE
from tests.nodes.test_node_template import render_template

ROOT = Path(__file__).resolve().parent.parent.parent
GRACE_S = 8.0
CONTROL_COUNT = 3
FAILURE_DOMAINS = ("a", "b", "c")
RESTART_DELAY_S = 0.3
_PORT_RANGE = range(20000, 30000)
"""Below the ports that the kernel gives to outgoing connections."""


class VmProcess:
    """The process of one VM."""

    def __init__(self, name: str, fields: dict, folder: Path) -> None:
        self.name = name
        self.ip = fields["ip"]
        self.is_control = "control" in fields["listen"]
        self.disturbed_at = time.monotonic()
        """When the harness last started, stopped or froze the process."""
        self.killed_at = float("-inf")
        self.is_stopping = False
        """Whether the harness has told the process to end."""
        self.is_frozen = False
        self.fields = fields
        """What the platform fills into the settings template."""
        self._settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def write_settings(self) -> None:
        """Replace the settings file at once."""
        text = render_template(TEMPLATE.read_text(), self.fields)
        temporary = self._settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self._settings)

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.fields["bootstrap"] = False
        self.is_stopping = False
        self.disturbed_at = time.monotonic()
        with open(self._log, "ab") as log:
            self._process = self._spawn(log.fileno())

    def _spawn(self, log: int) -> subprocess.Popen:
        """Start the process; it logs to a descriptor."""
        return subprocess.Popen(
            [sys.executable, "platform/launch.py"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "DOTTERELBRIDGE_SETTINGS": str(self._settings),
                "PYTHONPATH": str(ROOT),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def handles(self, signum: signal.Signals) -> bool:
        """Return whether a signal no longer has its default action."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return False
        caught = status.partition("SigCgt:")[2].split()
        return bool(caught) and bool(int(caught[0], 16) >> signum - 1 & 1)

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self.is_stopping = True
        self.disturbed_at = self.killed_at = time.monotonic()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def terminate(self) -> int | None:
        """Stop the process; return its exit code, or None after the grace."""
        self.is_stopping = True
        self.disturbed_at = time.monotonic()
        self.send_signal(signal.SIGTERM)
        ends_at = time.monotonic() + GRACE_S
        while time.monotonic() < ends_at:
            if self.exit_code is not None:
                return self.exit_code
            await asyncio.sleep(0.02)
        self.kill()
        return None

    async def freeze(self, duration_s: float) -> None:
        """Suspend the process for a time."""
        self.is_frozen = True
        self.disturbed_at = time.monotonic()
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.send_signal(signal.SIGCONT)
        self.disturbed_at = time.monotonic()
        self.is_frozen = False

    def read_log(self) -> str:
        """Return what the process has written since its first start."""
        return self._log.read_text(errors="replace")


class ProcessGroup:
    """The processes of all VMs; starts those again that end by themselves."""

    def __init__(
        self, folder: Path, entry_count: int, list_address: str, seed: int
    ) -> None:
        rng = random.Random(f"{seed}-{os.getpid()}")
        network = f"127.{rng.randrange(16, 240)}.{rng.randrange(1, 255)}"
        count = CONTROL_COUNT + entry_count
        ips = [f"{network}.{number}" for number in range(1, count + 1)]
        (
            self.peer_port,
            self.operator_port,
            self.caller_port,
            self.ready_port,
        ) = choose_ports(4, ips, rng)
        seeds = [f"{ip}:{self.operator_port}" for ip in ips[:CONTROL_COUNT]]
        self.own_ends: list[str] = []
        """Processes that ended by themselves, with their exit codes."""
        self.controls: list[VmProcess] = []
        self.entries: list[VmProcess] = []
        for number, ip in enumerate(ips):
            is_control = number < CONTROL_COUNT
            name = f"{'core' if is_control else 'front'}-{number}"
            data_folder = folder / f"{name}-data"
            if is_control:
                data_folder.mkdir()
                listen = {"control": f"{ip}:{self.operator_port}"}
            else:
                listen = {
                    "front": f"{ip}:{self.caller_port}",
                    "ready": f"{ip}:{self.ready_port}",
                }
            fields = {
                "node_id": name,
                "ip": ip,
                "zone": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "zones": {domain: "r" for domain in FAILURE_DOMAINS},
                "listen": listen,
                "internal_ports": [self.peer_port, self.peer_port],
                "seeds": seeds,
                "bootstrap": True,
                "data_dir": str(data_folder) if is_control else None,
                "fault_tolerance": {"machines": 1},
                "bounds": {"grace_s": GRACE_S, "budget_extra": 56},
                "cloud": {"address": list_address},
            }
            process = VmProcess(name, fields, folder)
            (self.controls if is_control else self.entries).append(process)

    @property
    def all(self) -> list[VmProcess]:
        """All processes."""
        return [*self.controls, *self.entries]

    @property
    def core_disturbed_at(self) -> float:
        """When a control VM was last started, stopped or frozen."""
        return max(control.disturbed_at for control in self.controls)

    def start(self) -> None:
        """Start all processes."""
        for process in self.all:
            process.start()

    async def supervise(self) -> None:
        """Record processes that end by themselves and start them again."""
        while True:
            await asyncio.sleep(0.05)
            for process in self.all:
                if process.is_stopping or process.exit_code is None:
                    continue
                self.own_ends.append(f"{process.name}: {process.exit_code}")
                process.is_stopping = True
                asyncio.get_running_loop().call_later(
                    RESTART_DELAY_S, process.start
                )

    def stop(self) -> None:
        """End all processes with SIGKILL."""
        for process in self.all:
            process.send_signal(signal.SIGCONT)
            process.kill()


def choose_ports(count: int, ips: list[str], rng: random.Random) -> list[int]:
    """Return ports that are free at each of the addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = rng.choice(_PORT_RANGE)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
