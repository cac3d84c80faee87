"""Stand-in for a plain service; counts its runs for bench's audit."""

import argparse
import asyncio
from collections import Counter
import hashlib
from typing import Any

from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve_standin


class ServiceStandIn(StandIn):
    """A service that accepts any path.

    The field ``marker`` of a body identifies its request.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._options = options
        self._runs_by_marker: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._runs_by_attempt: Counter[str] = Counter()

    def describe_activity(self) -> dict[str, Any]:
        """Return run counts by marker, idempotency key and attempt."""
        return {
            "target": self._options.target,
            "runs": dict(self._runs_by_marker),
            "keys": dict(self._runs_by_key),
            "attempts": dict(self._runs_by_attempt),
        }

    async def handle_request(self, exchange: Exchange) -> None:
        """Run one call and respond with a digest of its request."""
        if self.consume_reset("before_headers"):
            exchange.connection.abort()
            return
        attempt = exchange.headers.get("x-request-id", "")
        headers = {"X-Request-Id": attempt}
        if self.faults.refuse or self.faults.leaving:
            error_type = "leaving" if self.faults.leaving else "overloaded"
            await exchange.send_json(
                {"error": {"type": error_type}}, 503, headers
            )
            return
        run_number = self._record_run(exchange, attempt)
        delay_ms = self._options.delay_ms * self.faults.slow_factor
        await asyncio.sleep(delay_ms / 1000)
        if self.consume_reset("during_headers"):
            exchange.connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-")
            await exchange.connection.writer.drain()
            exchange.connection.abort()
            return
        response = compute_expected_response(exchange.path, exchange.body)
        await exchange.send_json(
            {**response, "run": run_number}, headers=headers
        )

    def _record_run(self, exchange: Exchange, attempt: str) -> int:
        body = exchange.parse_json() if exchange.body else {}
        marker = str(body.get("marker", ""))
        key = exchange.headers.get("idempotency-key", "")
        self._runs_by_marker[marker] += 1
        self._runs_by_attempt[attempt] += 1
        if key:
            self._runs_by_key[key] += 1
        self.append_activity(run=marker, attempt=attempt, key=key)
        return self._runs_by_marker[marker]


def compute_expected_response(path: str, body: bytes) -> dict[str, str]:
    """Return the fields of the response that depend on the request.

    Only the last path segment is used, so a proxy may add a path prefix.
    """
    name = path.rpartition("/")[2]
    digest = hashlib.sha256(name.encode() + b"\0" + body).hexdigest()
    return {"call": name, "digest": digest}


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target", default="service")
    parser.add_argument("--business", default="")
    parser.add_argument("--delay-ms", type=float, default=20.0)
    parser.add_argument("--truth-file")
    return parser.parse_args(arguments)


async def main(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    await serve_standin(ServiceStandIn(options), options.port)


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
