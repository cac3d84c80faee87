"""Stand-in for a rate-limited weight store."""

import argparse
import asyncio
from collections import Counter
import time
from typing import Any
from urllib.parse import parse_qs

from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve_standin

TRANSFER_STEP_LIMIT_S = 0.05


class TransferPool:
    """Concurrent transfers that share bandwidth and a start rate.

    :param full_speed_count: number of transfers that run at full speed.
    :param starts_per_s: limit on new transfers; 0 means no limit.
    """

    def __init__(
        self, full_speed_count: int, starts_per_s: float = 0.0
    ) -> None:
        self.active_count = 0
        self.peak_count = 0
        self._full_speed_count = full_speed_count
        self._interval_s = 1 / starts_per_s if starts_per_s else 0.0
        self._next_start_at = 0.0

    async def transfer(self, duration_s: float) -> None:
        """Take ``duration_s``, proportionally longer above the limit."""
        now = time.monotonic()
        start_at = max(now, self._next_start_at)
        self._next_start_at = start_at + self._interval_s
        self.active_count += 1
        self.peak_count = max(self.peak_count, self.active_count)
        try:
            await asyncio.sleep(start_at - now)
            await self._transfer_data(duration_s)
        finally:
            self.active_count -= 1

    async def _transfer_data(self, remaining_s: float) -> None:
        while remaining_s > 0:
            share = min(1.0, self._full_speed_count / self.active_count)
            step = min(TRANSFER_STEP_LIMIT_S, remaining_s / share)
            await asyncio.sleep(step)
            remaining_s -= step * share


class WeightStore(StandIn):
    """GET /weights?kind=KIND&ms=N responds once the transfer is complete."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._pools = {
            "model": TransferPool(options.models, options.models_per_second),
            "adapter": TransferPool(options.adapters),
        }
        self._transfers: Counter[str] = Counter()

    def describe_activity(self) -> dict[str, Any]:
        """Return the transfers and the peak concurrency, by kind."""
        return {
            "transfers": dict(self._transfers),
            "peak": {
                kind: pool.peak_count for kind, pool in self._pools.items()
            },
        }

    async def handle_request(self, exchange: Exchange) -> None:
        """Transfer the weights of one item at the configured rate."""
        if self.faults.refuse:
            await exchange.send_json({"error": "refused"}, 503)
            return
        query = parse_qs(exchange.query)
        kind = query["kind"][0]
        self._transfers[kind] += 1
        duration_s = float(query["ms"][0]) / 1000 * self.faults.slow_factor
        await self._pools[kind].transfer(duration_s)
        await exchange.send_json(None, 204)


def parse_arguments() -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--models", type=int, default=7)
    parser.add_argument("--models-per-second", type=float, default=1.0)
    parser.add_argument("--adapters", type=int, default=55)
    parser.add_argument("--truth-file")
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    asyncio.run(serve_standin(WeightStore(options), options.port))
