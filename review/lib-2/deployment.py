"""A small deployment for the scripts of this review.

Three control VMs and some entry VMs run as processes of their own, started
with the command of deploy/system.toml and settings made from
platform/node.ini. The platform's list, the replicas, the operator and the
clients are stand-ins in this module; all of them use loopback addresses.
"""

import asyncio
from contextlib import asynccontextmanager
from contextlib import suppress
import json
import os
from pathlib import Path
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = {"dub-a": "dub", "cork-a": "cork", "gal-a": "gal"}
NET = "127.83"
HOST = "desk.example"
BOUNDS = {
    "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 4000,
    "grace_s": 8, "config_apply_ms": 2500, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_extra": 56, "recovery_s": 12,
    "fencing_required": False, "lease_ms": 3000, "ceiling_window_s": 5,
    "load_burst_factor": 1.1,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "fleet",
             "stream", "engine"]
STAMP = "X-Dotterelbridge-Server-Stamp"
ID = "X-Dotterelbridge-Request-Id"
NOT_RUN = "X-Dotterelbridge-Not-Executed"


class CannotRun(Exception):
    """The case could not be played."""


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as DEPLOY.md describes it."""

    def look_up(path: str, scopes: list):
        if path == ".":
            return scopes[-1][0]
        if path == "@":
            return scopes[-1][1]
        for value, _ in reversed(scopes):
            found = value
            for key in path.split("."):
                if isinstance(found, dict) and key in found:
                    found = found[key]
                elif isinstance(found, list) and key.isdigit():
                    found = found[int(key)] if int(key) < len(found) else None
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def show(value) -> str:
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text: str, scopes: list) -> str:
        section = re.search(r"\{\{([#^])([^}]+)\}\}", text)
        if section:
            end = "{{/%s}}" % section[2]
            stop = text.index(end, section.end())
            body = text[section.end():stop]
            value = look_up(section[2], scopes)
            middle = ""
            if section[1] == "^":
                if value is None or value is False:
                    middle = fill(body, scopes)
            elif isinstance(value, dict):
                middle = "".join(
                    fill(body, [*scopes, (v, k)]) for k, v in value.items()
                )
            elif isinstance(value, list):
                middle = "".join(
                    fill(body, [*scopes, (v, i)]) for i, v in enumerate(value)
                )
            elif value is not None and value is not False:
                middle = fill(body, scopes)
            return (
                fill(text[: section.start()], scopes)
                + middle
                + fill(text[stop + len(end):], scopes)
            )

        def replace(match) -> str:
            name, _, form = match[1].partition("|")
            value = look_up(name, scopes)
            return json.dumps(value) if form == "json" else show(value)

        return re.sub(r"\{\{([^}]+)\}\}", replace, text)

    return fill(template, [(fields, "")])


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")
        self._began = time.monotonic()

    def __call__(self, *words) -> None:
        at = time.monotonic() - self._began
        print(f"{at:8.3f}", *words, file=self._file, flush=True)

    def say(self, *words) -> None:
        """Record a line and print it."""
        self(*words)
        print(*words, flush=True)


class Head:
    """First line and headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.headers[name.lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        return self.headers.get(name.lower(), default)


async def read_head(reader) -> Head:
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader, head: Head) -> bytes:
    if head.get("transfer-encoding"):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    length = head.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    if head.first.startswith("HTTP/"):
        return await reader.read()
    return b""


def make_answer(status: int, body: bytes = b"", headers=()) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A stand-in that answers HTTP requests on one address."""

    def __init__(self) -> None:
        self.port = 0
        self.address = "127.0.0.1"
        self._writers = set()

    async def start(self, address: str = "127.0.0.1") -> None:
        self.address = address
        self._server = await asyncio.start_server(self._serve, address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self.handle(head, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.LimitOverrunError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer) -> None:
        raise NotImplementedError


class PlatformList(Server):
    """GET /instances of the platform."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas: list[Replica] = []

    async def handle(self, head, body, reader, writer) -> None:
        entries = [r.describe() for r in self.replicas if r.is_listed]
        answer = json.dumps({"instances": entries, "next": None}).encode()
        writer.write(make_answer(
            200, answer, [("Content-Type", "application/json")]
        ))


class Replica(Server):
    """A sound server of one service; holds models if it is an engine."""

    def __init__(self, name, service, zone, record, models=None, slots=6):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.models = models
        self.slots = slots
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_listed = True
        self.orders = 0
        self.runs: list[dict] = []
        """What was run: id, method, target and body of each request."""
        self.active = 0

    def describe(self) -> dict:
        entry = {
            "id": self.name, "service": self.service, "zone": self.zone,
            "address": f"{self.address}:{self.port}", "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "born": self.born,
        }
        if self.models is not None:
            entry |= {"stage": "combined", "models": self._list_models()}
        return entry

    def _list_models(self) -> list:
        return [
            {"name": m, "version": 1, "adapters": []}
            for m in sorted(self.models)
        ]

    async def handle(self, head, body, reader, writer) -> None:
        method, target, _ = head.first.split(" ")
        expected = head.get("X-Dotterelbridge-Expect-Instance", self.name)
        if expected != self.name:
            writer.write(make_answer(421, b"", [(NOT_RUN, "1")]))
        elif target == "/dotterelbridge/report":
            writer.write(make_answer(200, json.dumps({
                "stage": "combined", "models": self._list_models(),
                "busy": False, "seq": self.orders, "queued": 0,
                "active": self.active, "kv_used": 0, "kv_total": 100000,
                "handles": 0, "born": self.born,
            }).encode(), [("Content-Type", "application/json")]))
        elif target == "/dotterelbridge/order":
            writer.write(make_answer(self.order(json.loads(body))))
        elif target == "/health":
            writer.write(make_answer(
                200, b"", [("X-Dotterelbridge-Instance-Id", self.name)]
            ))
        else:
            await self.run(head, method, target, body, reader, writer)

    def order(self, fields: dict) -> int:
        """Carry out an order at once."""
        if fields.get("expected_rev", self.orders) != self.orders:
            return 409
        model = fields["model"]
        if fields.get("adapter"):
            return 200
        if (fields["operation"] == "load") == (model in self.models):
            return 200
        self.orders += 1
        if fields["operation"] == "load":
            self.models.add(model)
        else:
            self.models.discard(model)
        return 202

    def note_run(self, head, method, target, body) -> str:
        request = head.get(ID)
        self.runs.append({
            "id": request, "method": method, "target": target,
            "body": body, "at": time.monotonic(), "headers": head.headers,
        })
        return request

    async def run(self, head, method, target, body, reader, writer) -> None:
        """Run a request; replaced by cases that need another server."""
        model = head.get("X-Dotterelbridge-Model").partition("/")[0]
        if self.models is not None and model not in self.models:
            writer.write(make_answer(
                421, b"", [(NOT_RUN, "1"), (ID, head.get(ID))]
            ))
            return
        request = self.note_run(head, method, target, body)
        self.record(f"server {self.name} runs {request}")
        if self.models is None:
            text = f"done {request}".encode()
            writer.write(make_answer(
                200, text, [(ID, request), (STAMP, f"{self.name}.1")]
            ))
            return
        events = "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in (1, 2, 3))
        writer.write(make_answer(200, events.encode(), [
            (ID, request), (STAMP, f"{self.name}.1"),
            ("Content-Type", "text/event-stream"),
        ]))


class Process:
    """One control or entry VM."""

    def __init__(self, deployment, name, role, number, zone) -> None:
        self.deployment = deployment
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = f"{NET}.{0 if role == 'control' else 1}.{number}"
        self.memory_mb = 296 if role == "control" else 300
        self.process = None
        self.bootstrap = True

    @property
    def pid(self) -> int:
        return self.process.pid

    def describe(self) -> dict:
        d = self.deployment
        is_front = self.role == "entry"
        return {
            "node_id": self.name, "role": self.role,
            "machine_class": "front" if is_front else "core",
            "serves": ["front"] if is_front else ["control"],
            "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.ip}:{d.front_port}",
                "ready": f"{self.ip}:{d.ready_port}",
            } if is_front else {"control": f"{self.ip}:{d.control_port}"},
            "internal_ports": [d.peer_port, d.peer_port + 15],
            "seeds": [f"{c.ip}:{d.control_port}" for c in d.controls],
            "bootstrap": self.bootstrap, "fault_counted": not is_front,
            "limits": {"cpu_share": 0.537, "cores": 2,
                       "memory_mb": self.memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0 if is_front else 128},
            "data_dir": None if is_front else str(d.folder / self.name),
            "discovery": "cloud_api", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
            "cloud": {"address": f"127.0.0.1:{d.listing.port}",
                      "rate_per_s": 44.0, "duties": [], "lag_ms": 0},
        }

    def start(self) -> None:
        d = self.deployment
        path = d.folder / f"{self.name}.ini"
        role = d.roles[self.role]
        template = (ROOT / role["template"]).read_text()
        fields = self.describe()
        path.write_text(render(template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            name: render(text, fields)
            for name, text in role.get("env", {}).items()
        }
        environment |= {
            "DOTTERELBRIDGE_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        import subprocess

        log = open(d.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=environment, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL, start_new_session=True,
        )
        log.close()

    def signal(self, number) -> None:
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        return self.process.poll() is not None

    def read_memory_mb(self, field="VmHWM") -> float:
        """Return resident memory: the present one, or the peak."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().split("\n"):
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self) -> str:
        return (self.deployment.folder / f"{self.name}.log").read_text(
            errors="replace"
        )

    def read_cpu_s(self) -> float:
        if self.has_ended():
            return 0.0
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")")[1]
        ticks = fields.split()
        return (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")


class Deployment:
    """Control VMs, entry VMs and the platform's list."""

    def __init__(self, record, front_zones=("dub-a", "cork-a")) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        (self.front_port, self.ready_port, self.control_port,
         self.peer_port) = find_free_ports(4)
        self.listing = PlatformList()
        self.controls = [
            Process(self, f"core-{zone}-1", "control", n, zone)
            for n, zone in enumerate(ZONES, 1)
        ]
        self.fronts = [
            Process(self, f"front-{zone}-{n}", "entry", n, zone)
            for n, zone in enumerate(front_zones, 1)
        ]

    @property
    def processes(self) -> list[Process]:
        return [*self.controls, *self.fronts]

    async def start(self, replicas, configuration) -> None:
        """Start all parts, and wait until each entry VM is ready."""
        await self.listing.start()
        for number, replica in enumerate(replicas, 1):
            await replica.start(f"{NET}.2.{number}")
        self.listing.replicas = list(replicas)
        for process in self.processes:
            if process.role == "control":
                (self.folder / process.name).mkdir(exist_ok=True)
            process.start()
        await self.put(configuration, 30.0)
        ends_at = time.monotonic() + 30
        for front in self.fronts:
            while not await self.is_ready(front):
                if time.monotonic() > ends_at:
                    raise CannotRun(f"{front.name} does not become ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, front, timeout_s=1.0) -> bool:
        with suppress(OSError, asyncio.TimeoutError, EOFError):
            status, _, _ = await asyncio.wait_for(call(
                front.ip, self.ready_port, "GET", "/dotterelbridge/readiness"
            ), timeout_s)
            return status == 200
        return False

    async def put(self, configuration, for_s=5.0) -> float:
        """Send a configuration until it is acknowledged; return the time."""
        began = time.monotonic()
        body = json.dumps(configuration).encode()
        turn = 0
        while time.monotonic() - began < for_s:
            control = self.controls[turn % len(self.controls)]
            turn += 1
            with suppress(OSError, asyncio.TimeoutError, EOFError):
                status, _, answer = await asyncio.wait_for(call(
                    control.ip, self.control_port, "PUT",
                    "/dotterelbridge/config", body=body,
                    headers=[("Content-Type", "application/json")],
                ), 1.0)
                self.record(f"operator: version {configuration['version']} to"
                            f" {control.name}: {status}")
                if status == 200:
                    return time.monotonic() - began
                if 400 <= status < 500 and status not in (408, 429):
                    raise CannotRun(f"refused: {answer[:300]}")
            await asyncio.sleep(0.2)
        raise TimeoutError("the configuration is not acknowledged")

    async def stop(self) -> None:
        for process in self.processes:
            if process.process and not process.has_ended():
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                process.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(ip, port, method, target, headers=(), body=b"", host=None):
    """Send one request on a new connection; return status, head and body."""
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
    try:
        lines = [f"{method} {target} HTTP/1.1",
                 f"Host: {host or f'{ip}:{port}'}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await writer.drain()
        head = await read_head(reader)
        return int(head.first.split(" ")[1]), head, await read_body(
            reader, head
        )
    finally:
        writer.close()


def make_configuration(version=1, routes=None, **changes) -> dict:
    """Return a configuration like that of the site lbc-router."""
    models = [
        {"name": f"m{n}", "weights_mb": 72700.0, "load_s": 6.4,
         "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.6, "disk_s": 1.3}
        for n in range(4)
    ]
    engine = {
        "slots": 64, "kv_capacity_tokens": 156064, "kv_token_bytes": 163840,
        "link_mbps": 740000.0, "models": models, "weights_mb": 230000.0,
        "adapter_slots": 8, "loads_per_s": 1.2,
    }
    if routes is None:
        routes = [
            make_route("quote", "/quote/", "streaming", "quote-llm",
                       timeout_ms=12000, goal_ms=600, sticky=True,
                       gap_goal_ms=150),
            make_route("grant", "/grant/", "streaming", "quote-llm",
                       timeout_ms=4000, goal_ms=500, sticky=True,
                       gap_goal_ms=150, priority=0),
            make_route("book", "/book/", "unsafe", "jobs-app"),
            make_route("look", "/look/", "safe", "jobs-app", max_attempts=2),
        ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "quote-llm", "health_path": "/health", "max_conns": 370,
             "protocol": "h1", "tls": False, "engine": engine},
            {"name": "jobs-app", "health_path": "/health", "max_conns": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    } | changes


def make_route(name, prefix, kind, service, **changes) -> dict:
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 2000, "goal_ms": 225, "priority": 2, "service": service,
        "max_attempts": 1, "sticky": False, "resumable": False,
    } | changes


@asynccontextmanager
async def run_deployment(record, replicas, configuration=None, **options):
    """Run a deployment; all processes have ended afterwards."""
    deployment = Deployment(record, **options)
    try:
        await deployment.start(replicas, configuration or make_configuration())
        yield deployment
    finally:
        await deployment.stop()


def main(folder, play) -> None:
    """Play a case, and exit with 1 if the rule was broken."""
    record = Record(Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("with the disruption" if trouble else "without disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 115))
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: B902
        record.say(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    record.say("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
