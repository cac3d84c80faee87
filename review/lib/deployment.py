"""Starts a small deployment of the project's own programs on loopback.

The commands are those of the deploy file, each in a process of its own, with
a settings file made from the template as the platform makes it.
"""

import asyncio
import json
import os
from pathlib import Path
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = Path(__file__).resolve().parent.parent.parent
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 56,
    "recovery_s": 12,
    "fencing_required": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "load_burst_factor": 1.1,
}
ZONES = {"dub-a": "dub", "cork-a": "cork", "gal-a": "gal"}
_SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
_VALUE = re.compile(r"{{([\w.@]+)(\|json)?}}")


def render_template(text, fields):
    """Fill in a template of the deploy file."""
    text = _SECTION.sub(lambda m: _render_section(m, fields), text)
    return _VALUE.sub(lambda m: _render_value(m, fields), text)


def _render_section(match, fields):
    kind, path, body = match.groups()
    value = _find_value(path, fields)
    present = value is not None and value is not False
    if kind == "^":
        return "" if present else render_template(body, fields)
    if isinstance(value, dict):
        return "".join(
            render_template(body, fields | {"@": name, ".": entry})
            for name, entry in value.items()
        )
    return render_template(body, fields) if present else ""


def _find_value(path, fields):
    if path in fields:
        return fields[path]
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if value else None
    return value


def _render_value(match, fields):
    value = _find_value(match[1], fields)
    if value is None:
        return ""
    if isinstance(value, list) and not match[2]:
        return ",".join(map(str, value))
    return value if isinstance(value, str) else json.dumps(value)


def find_free_ports(count, hosts):
    """Return ports that are free at each of the addresses."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(h, port) for h in hosts):
            ports.append(port)
    return ports


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Node:
    """One process of the project, and the settings that it starts with."""

    def __init__(self, name, role, fields, folder, run, template):
        self.name = name
        self.role = role
        self.ip = fields["ip"]
        self.zone = fields["zone"]
        self.fields = fields
        self.process = None
        self._run = run.split()
        self._template = (ROOT / template).read_text()
        self._path = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"

    def start(self):
        """Start the process, as the platform does at each start."""
        self._path.write_text(render_template(self._template, self.fields))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["DOTTERELBRIDGE_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self._run,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        # Only the first start is a bootstrap.
        self.fields["bootstrap"] = False

    def kill(self):
        """End the process with SIGKILL."""
        self.process.kill()
        self.process.wait()

    async def terminate(self, grace_s=8.0):
        """Send SIGTERM, and SIGKILL after the grace time."""
        self.process.send_signal(signal.SIGTERM)
        ends_at = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.kill()

    def read_log(self):
        """Return what the process has logged so far, of all its starts."""
        return self._log.read_text(errors="replace")


class Deployment:
    """Three control VMs and some entry VMs, each at its own address."""

    def __init__(self, entry_count, platform_address, record):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        by_serves = {r["serves"][0]: r for r in roles["roles"].values()}
        base = 16 + os.getpid() % 200
        ips = [f"127.77.{base}.{n}" for n in range(1, 4 + entry_count)]
        ports = find_free_ports(4, ips)
        self.peer_port, self.control_port, self.front_port, self.ready_port = (
            ports
        )
        zones = list(ZONES)
        self.controls = []
        self.entries = []
        seeds = [f"{ip}:{self.control_port}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            is_control = number < 3
            role = by_serves["control" if is_control else "front"]
            name = (
                f"core-{number + 1}" if is_control else f"front-{number - 2}"
            )
            listen = (
                {"control": f"{ip}:{self.control_port}"}
                if is_control
                else {
                    "front": f"{ip}:{self.front_port}",
                    "ready": f"{ip}:{self.ready_port}",
                }
            )
            data = self.folder / f"{name}-data"
            if is_control:
                data.mkdir()
            fields = {
                "node_id": name,
                "ip": ip,
                "zone": zones[number % 3],
                "zones": ZONES,
                "listen": listen,
                "internal_ports": [self.peer_port, self.peer_port],
                "seeds": seeds,
                "bootstrap": True,
                "data_dir": str(data) if is_control else None,
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
                "cloud": {"address": platform_address, "rate_per_s": 44.0},
            }
            node = Node(
                name, role, fields, self.folder, role["run"], role["template"]
            )
            (self.controls if is_control else self.entries).append(node)

    @property
    def nodes(self):
        """All processes of the deployment."""
        return [*self.controls, *self.entries]

    async def start(self, configuration):
        """Start all processes, and return once all entry VMs are ready."""
        for node in self.nodes:
            node.start()
        await self.put_configuration(configuration)
        ends_at = time.monotonic() + 25
        for entry in self.entries:
            while await self._probe(entry) != 200:
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    async def put_configuration(self, configuration, timeout_s=25):
        """Send a configuration until a control VM acknowledges it."""
        body = json.dumps(configuration).encode()
        ends_at = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < ends_at:
            node = self.controls[number % 3]
            number += 1
            try:
                status, _, _ = await asyncio.wait_for(
                    call(
                        node.ip,
                        self.control_port,
                        "PUT",
                        "/dotterelbridge/config",
                        {"content-type": "application/json"},
                        body,
                    ),
                    1.0,
                )
            except (OSError, asyncio.TimeoutError, EOFError):
                status = None
            if status == 200:
                self.record(f"config {configuration['version']} acknowledged")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("no configuration was acknowledged")

    async def _probe(self, entry):
        try:
            status, _, _ = await asyncio.wait_for(
                call(
                    entry.ip,
                    self.ready_port,
                    "GET",
                    "/dotterelbridge/readiness",
                ),
                1.0,
            )
        except (OSError, asyncio.TimeoutError, EOFError):
            return None
        return status

    def find_leader(self):
        """Return the control VM that logged last that it was elected."""
        latest, leader = "", None
        for node in self.controls:
            for line in node.read_log().splitlines():
                if '"leader_elected"' not in line.lower():
                    continue
                try:
                    at = json.loads(line).get("timestamp", "")
                except ValueError:
                    continue
                if at > latest:
                    latest, leader = at, node
        return leader

    def stop(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """Return the first line and the headers of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_answer(reader):
    """Return status, headers and body of an HTTP response."""
    line, headers = await read_head(reader)
    status = int(line.split()[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += chunk[:-2]
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return status, headers, body


def write_request(method, path, headers, body=b""):
    """Return the bytes of an HTTP request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(host, port, method, path, headers=None, body=b""):
    """Send one request on a new connection and return its response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        headers = {"host": f"{host}:{port}"} | (headers or {})
        writer.write(write_request(method, path, headers, body))
        return await read_answer(reader)
    finally:
        writer.close()
