"""Callers and operators that check what the deployment promises them."""

import asyncio
from collections import Counter
from collections.abc import Callable
import contextlib
import itertools
import json
import random
import time

from tests.soak.processes import ProcessGroup
from tests.soak.processes import VmProcess
from tests.soak.replicas import HttpMessage
from tests.soak.replicas import read_message

HOST = "desk.example"
DEADLINE_S = 2.0
ANSWER_LIMIT_S = 6.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
IN_FORCE_S = 2.5
"""Time after the acknowledgement of a configuration until it is in force."""
CONTACT_S = 4.0
"""Time without disturbance after which a VM keeps bounds of time."""
ROUTES_KEPT = 12
CONFIG_INTERVAL_S = (0.4, 1.5)


def create_configuration(version: int) -> dict:
    """Return a version that adds a route with its number."""
    newest = range(max(1, version - ROUTES_KEPT), version + 1)
    routes = [("book", "unsafe", "jobs"), ("look", "safe", "jobs")]
    routes += [("read", "streaming", "texts")]
    routes += [(f"r{number}", "unsafe", "jobs") for number in newest]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 5000,
                "goal_ms": 500,
                "priority": 1,
                "service": service,
                "max_attempts": 3,
                "sticky": False,
                "resumable": kind == "streaming",
                "gap_goal_ms": 100 if kind == "streaming" else None,
            }
            for name, kind, service in routes
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 300}
            for name in ("jobs", "texts")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def write_request(method: str, path: str, headers: dict, body=b"") -> bytes:
    """Return the bytes of a request."""
    fields = {"host": HOST} | headers | {"content-length": str(len(body))}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """What callers and operators have seen."""

    def __init__(self) -> None:
        self.runs: Counter = Counter()
        """Runs at the replicas by request ID."""
        self.promised: set[str] = set()
        """Unsafe requests that were answered as not run."""
        self.unsafe: set[str] = set()
        self.cut: dict[str, str] = {}
        """Entry VMs that closed without an answer, by request ID, in no
        other trouble than a planned stop."""
        self.statuses: Counter = Counter()
        self.faults: list[str] = []

    def list_faults(self) -> list[str]:
        """Return everything that broke a promise."""
        twice = [i for i in self.unsafe if self.runs[i] > 1]
        refused = [i for i in self.promised if self.runs[i]]
        lost = [f"{i} at {vm}" for i, vm in self.cut.items() if self.runs[i]]
        return [
            *self.faults,
            *(f"ran twice: {request}" for request in twice),
            *(f"ran though refused: {request}" for request in refused),
            *(f"cut off: {request}" for request in lost),
        ]


class Caller:
    """Sends one request after the other over a connection that it keeps."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        entry: VmProcess,
        group: ProcessGroup,
        record: Record,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._group = group
        self._record = record
        self._random = rng
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._call(self._random.choice(["book", "book", "look"]))
            await asyncio.sleep(self._random.uniform(0, 0.05))

    async def _call(self, route: str) -> None:
        request_id = f"c{next(self._numbers):015x}"
        if route == "book":
            self._record.unsafe.add(request_id)
        headers = {
            "x-dotterelbridge-request-id": request_id,
            "x-dotterelbridge-deadline-ms": str(int(DEADLINE_S * 1000)),
        }
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.open_connection(
                    self._entry.ip, self._group.caller_port
                )
            self._writer.write(
                write_request("POST", f"/{route}/x", headers, b"job")
            )
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = await read_message(self._reader)
        except (OSError, EOFError, TimeoutError) as error:
            self._record_cut(request_id, error)
            await self._close()
            await asyncio.sleep(0.05)
            return
        self._check_answer(request_id, route, answer)
        if answer.headers.get("connection", "").lower() == "close":
            await self._close()

    def _record_cut(self, request_id: str, error: Exception) -> None:
        self._record.statuses[type(error).__name__] += 1
        now = time.monotonic()
        was_killed = now - self._entry.killed_at < CONTACT_S
        if not was_killed and not self._entry.is_frozen:
            self._record.cut[request_id] = self._entry.name

    def _check_answer(
        self, request_id: str, route: str, answer: HttpMessage
    ) -> None:
        status = int(answer.line.split()[1])
        self._record.statuses[status] += 1
        answered_id = answer.headers.get("x-dotterelbridge-request-id")
        if answered_id != request_id:
            self._record.faults.append(
                f"{request_id} got the answer of {answered_id}: {answer.line}"
            )
        elif status == 200 and json.loads(answer.body)["id"] != request_id:
            self._record.faults.append(f"{request_id} got another body")
        elif status == 404:
            self._record.faults.append(f"{request_id}: /{route}/ unknown")
        if route == "book" and status in NOT_RUN_STATUSES:
            self._record.promised.add(request_id)

    async def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Operator:
    """Sends configurations, and checks that each is soon in force."""

    def __init__(
        self,
        group: ProcessGroup,
        record: Record,
        rng: random.Random,
        create: Callable[[int], dict] = create_configuration,
    ) -> None:
        self._group = group
        self._record = record
        self._random = rng
        self._create = create
        self._tasks: set[asyncio.Task] = set()
        self.acknowledged = 0
        """Highest version that was acknowledged."""
        self.checks = 0
        """Checks of entry VMs for routes that were added."""

    async def run(self) -> None:
        """Send versions until cancelled."""
        for version in itertools.count(1):
            await self.submit(version)
            task = asyncio.create_task(
                self._check_version(version, time.monotonic())
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*CONFIG_INTERVAL_S))

    async def submit(self, version: int) -> None:
        """Send a version until it is acknowledged."""
        body = json.dumps(self._create(version)).encode()
        while True:
            control = self._random.choice(self._group.controls)
            answer = await self._call(control, "PUT", body)
            if answer is not None and answer.line.split()[1] == "200":
                self.acknowledged = version
                return
            if answer is not None and answer.line.split()[1][0] == "4":
                self._record.faults.append(f"{version}: {answer.line}")
            await asyncio.sleep(0.1)

    async def read_back(self) -> int | None:
        """Return the newest version that some control VM names."""
        versions = [await self._read(c) for c in self._group.controls]
        return max((v for v in versions if v is not None), default=None)

    async def _read(self, control: VmProcess) -> int | None:
        answer = await self._call(control, "GET", b"")
        if answer is None or answer.line.split()[1] != "200":
            return None
        return json.loads(answer.body)["version"]

    async def _call(
        self, control: VmProcess, method: str, body: bytes
    ) -> HttpMessage | None:
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    control.ip, self._group.operator_port
                )
                try:
                    writer.write(
                        write_request(
                            method, "/dotterelbridge/config", {}, body
                        )
                    )
                    return await read_message(reader)
                finally:
                    writer.close()
        return None

    async def _check_version(self, version: int, at: float) -> None:
        await asyncio.sleep(IN_FORCE_S)
        for control in self._group.controls:
            read = await self._read(control)
            if read is not None and read < version:
                self._record.faults.append(
                    f"{control.name} reads {read} after {version}"
                )
        for entry in self._group.entries:
            await self._check_entry(entry, version)

    async def _check_entry(self, entry: VmProcess, version: int) -> None:
        status = None
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    entry.ip, self._group.caller_port
                )
                headers = {
                    "x-dotterelbridge-request-id": f"p{version}-{entry.name}",
                    "x-dotterelbridge-deadline-ms": "1000",
                }
                writer.write(
                    write_request("POST", f"/r{version}/x", headers, b"job")
                )
                answer = await read_message(reader)
                writer.close()
                status = int(answer.line.split()[1])
        disturbed_at = max(entry.disturbed_at, self._group.core_disturbed_at)
        if time.monotonic() - disturbed_at < CONTACT_S + IN_FORCE_S:
            return
        self.checks += 1
        is_dropped = self.acknowledged > version + ROUTES_KEPT
        if status == 404 and not is_dropped:
            self._record.faults.append(
                f"{entry.name} does not know the route of version {version}"
            )
