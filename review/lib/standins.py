"""Stand-ins of the platform's list and of a server, on asyncio streams."""

import asyncio
import json
import time

from deployment import read_head


class Listing:
    """The platform's list of replicas; shows changes after its lag."""

    def __init__(self, lag_s=0.8):
        self._lag_s = lag_s
        self._history = [(float("-inf"), [])]
        self._server = None

    async def start(self):
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def show(self, entries):
        """Replace the entries of the list."""
        self._history.append((time.monotonic(), [dict(e) for e in entries]))

    async def _serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                seen_at = time.monotonic() - self._lag_s
                entries = [e for at, e in self._history if at <= seen_at][-1]
                body = json.dumps({"instances": entries, "next": None})
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%s"
                    % (len(body), body.encode())
                )
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


class Request:
    """A request as a server reads it."""

    def __init__(self, line, headers, body):
        self.method, self.path = line.split()[:2]
        self.headers = headers
        self.body = body
        self.request_id = headers.get("x-dotterelbridge-request-id", "")


class Connection:
    """One connection to a server; answers in the order of requests."""

    def __init__(self, writer):
        self.writer = writer
        self.late_copy = b""

    def send(self, data):
        """Write bytes to the caller."""
        self.writer.write(data)


class Server:
    """Base of the servers: one process listens at one address."""

    def __init__(self, name, service, zone, slots, record):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        self.born = int(time.time() * 1000)
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        """Listen, and return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def crash(self):
        """End at once: reset all connections and stop listening."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self):
        """Return the entry of the platform's list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        connection = Connection(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                request = Request(line, headers, body)
                expected = headers.get("x-dotterelbridge-expect-instance")
                if expected not in (None, self.name):
                    self.reject(connection, request, 421)
                    continue
                await self.handle(connection, request)
                await writer.drain()
        except (EOFError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, connection, request):
        """Answer one request."""
        raise NotImplementedError

    def reject(self, connection, request, status, **headers):
        """Answer that the request has not run."""
        extra = {"x-dotterelbridge-not-executed": "1"} | headers
        self.answer(connection, request, status, b"{}", extra)

    def answer(self, connection, request, status, body, headers=None):
        """Send a complete answer; return its bytes."""
        fields = {"content-length": len(body)}
        if request.request_id:
            fields["x-dotterelbridge-request-id"] = request.request_id
        fields["x-dotterelbridge-server-stamp"] = (
            f"{self.name}.{time.time_ns():x}"
        )
        fields |= headers or {}
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        connection.send(data)
        return data

    def answer_health(self, connection, request):
        """Answer a health check."""
        self.answer(
            connection,
            request,
            200,
            b"{}",
            {"x-dotterelbridge-instance-id": self.name},
        )


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:8.3f} s  {text}\n")
        self._file.flush()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at


def create_configuration(service_names, routes, version=1, engines=None):
    """Return a configuration in the form of the platform's pages."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            | ({"engine": engines[name]} if name in (engines or {}) else {})
            for name in service_names
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def create_route(name, host, prefix, service, kind, **changes):
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 225,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
    } | changes
