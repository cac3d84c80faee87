"""Stand-in for a plain service; counts what ran, for the judge."""

import argparse
import asyncio
from collections import Counter
import hashlib
from typing import Any

from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve


class ServiceStandIn(StandIn):
    """Any path is a call; a body's ``marker`` names its request."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._options = options
        self._runs: Counter[str] = Counter()
        self._keys: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()

    def describe_truth(self) -> dict[str, Any]:
        """Return the runs by marker, idempotency key and attempt."""
        return {
            "target": self._options.target,
            "runs": dict(self._runs),
            "keys": dict(self._keys),
            "attempts": dict(self._attempts),
        }

    async def handle(self, exchange: Exchange) -> None:
        """Run one call and answer with a digest of its request."""
        if self.take_reset("before_headers"):
            exchange.connection.abort()
            return
        attempt = exchange.headers.get("x-request-id", "")
        headers = {"X-Request-Id": attempt}
        if self.faults.refuse or self.faults.leaving:
            kind = "leaving" if self.faults.leaving else "overloaded"
            await exchange.answer({"error": {"type": kind}}, 503, headers)
            return
        run = self._count_run(exchange, attempt)
        delay_ms = self._options.delay_ms * self.faults.slow_factor
        await asyncio.sleep(delay_ms / 1000)
        if self.take_reset("during_headers"):
            exchange.connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-")
            await exchange.connection.writer.drain()
            exchange.connection.abort()
            return
        content = compute_expected_response(exchange.path, exchange.body)
        await exchange.answer({**content, "run": run}, headers=headers)

    def _count_run(self, exchange: Exchange, attempt: str) -> int:
        body = exchange.json() if exchange.body else {}
        marker = str(body.get("marker", ""))
        key = exchange.headers.get("idempotency-key", "")
        self._runs[marker] += 1
        self._attempts[attempt] += 1
        if key:
            self._keys[key] += 1
        self.record(run=marker, attempt=attempt, key=key)
        return self._runs[marker]


def compute_expected_response(path: str, body: bytes) -> dict[str, str]:
    """Return the part of the answer that the request decides.

    The last part of the path counts, so that a prefix may be added.
    """
    name = path.rpartition("/")[2]
    digest = hashlib.sha256(name.encode() + b"\0" + body).hexdigest()
    return {"call": name, "digest": digest}


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target", default="service")
    parser.add_argument("--business", default="")
    parser.add_argument("--delay-ms", type=float, default=20.0)
    parser.add_argument("--truth-file")
    return parser.parse_args(arguments)


async def main(options: argparse.Namespace) -> None:
    """Serve the service until SIGTERM."""
    await serve(ServiceStandIn(options), options.port)


if __name__ == "__main__":
    asyncio.run(main(parse_arguments()))
