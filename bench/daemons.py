"""Nine daemons as processes on this machine, for the benches."""

import contextlib
from datetime import datetime
import json
import os
from pathlib import Path
import signal
import subprocess
import sys

import httpx

from standins.ports import find_free_ports

TOKEN = "bench-token"
DOMAINS = ("dublin", "cork", "galway")

SETTINGS_HEAD = """\
[daemon]
vm = {vm}
operator_port = {operator}
operator_token_file = {folder}/token
peer_secret_file = {folder}/secret
{data_folder}

[serving]
host = 127.0.0.1
port = {caller}
balancer_lead_s = 0
"""
DOMAIN_SECTION = """
[failure_domain:{domain}]
business = liffeyside
region = {domain}
"""
VM_SECTION = """
[vm:{vm}]
failure_domain = {domain}
address = 127.0.0.1
peer_port = {port}
voter = {voter}
"""


class Daemons:
    """Nine daemons as real processes."""

    def __init__(self, folder: Path, more_settings: str = "") -> None:
        self._folder = folder
        self._more_settings = more_settings
        self.names = [f"{d}-{n}" for d in DOMAINS for n in range(3)]
        ports = iter(find_free_ports(3 * len(self.names)))
        self._peer_ports = dict(zip(self.names, ports, strict=False))
        self._operator_ports = dict(zip(self.names, ports, strict=False))
        self._caller_ports = dict(zip(self.names, ports, strict=False))
        self.processes: dict[str, subprocess.Popen] = {}
        (folder / "token").write_text(TOKEN)
        (folder / "secret").write_text("bench-secret")
        for name in self.names:
            self._write_settings(name)

    def start(self, name: str) -> None:
        """Start one daemon; its log goes on in its file."""
        with self.log_path(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "dotterelbridge.daemon",
                    "--config",
                    str(self._folder / f"{name}.ini"),
                ],
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """End one daemon without warning."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        """End all daemons."""
        for name in list(self.processes):
            self.kill(name)

    def freeze(self, name: str) -> None:
        """Stop a daemon as SIGSTOP does."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a stopped daemon go on."""
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def find_caller_url(self, name: str) -> str:
        """Return where a daemon takes callers' requests."""
        return f"http://127.0.0.1:{self._caller_ports[name]}"

    def create_client(self, name: str) -> httpx.Client:
        """Return a client for a daemon's operators' listener."""
        return httpx.Client(
            base_url=f"http://127.0.0.1:{self._operator_ports[name]}",
            headers={"Authorization": f"Bearer {TOKEN}"},
            timeout=15,
            trust_env=False,
        )

    def read_in_force(self, name: str) -> dict[int, float]:
        """Return when each revision came in force, first time, by the log."""
        found: dict[int, float] = {}
        for line in self.log_path(name).read_text().splitlines():
            with contextlib.suppress(ValueError):
                record = json.loads(line)
                if record.get("event") == "sheet_in_force":
                    at = datetime.fromisoformat(record["timestamp"])
                    found.setdefault(record["revision"], at.timestamp())
        return found

    def read_starts(self, name: str) -> list[float]:
        """Return when a daemon started, by its log."""
        starts = []
        for line in self.log_path(name).read_text().splitlines():
            with contextlib.suppress(ValueError):
                record = json.loads(line)
                if record.get("event") == "daemon_started":
                    at = datetime.fromisoformat(record["timestamp"])
                    starts.append(at.timestamp())
        return starts

    def log_path(self, name: str) -> Path:
        """Return where a daemon's log lines go."""
        return self._folder / f"{name}.log"

    def _write_settings(self, name: str) -> None:
        is_voter = name.endswith("-0")
        data = f"data_folder = {self._folder}/{name}" if is_voter else ""
        parts = [
            SETTINGS_HEAD.format(
                vm=name,
                operator=self._operator_ports[name],
                caller=self._caller_ports[name],
                folder=self._folder,
                data_folder=data,
            )
        ]
        parts += [DOMAIN_SECTION.format(domain=d) for d in DOMAINS]
        parts += [
            VM_SECTION.format(
                vm=vm,
                domain=vm.partition("-")[0],
                port=self._peer_ports[vm],
                voter="true" if vm.endswith("-0") else "false",
            )
            for vm in self.names
        ]
        parts.append(self._more_settings)
        (self._folder / f"{name}.ini").write_text("".join(parts))
