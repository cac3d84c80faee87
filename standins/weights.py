"""Stand-in for a rate-limited weight store."""

import argparse
import asyncio
from collections import Counter
import time
from typing import Any
from urllib.parse import parse_qs

from standins.server import Exchange
from standins.server import StandIn
from standins.server import serve

TRANSFER_STEP_S = 0.05


class TransferPool:
    """Transfers that share a speed limit.

    :param at_full_speed: transfers that do not slow each other down.
    :param starts_per_second: rate at which transfers may begin; 0 is none.
    """

    def __init__(
        self, at_full_speed: int, starts_per_second: float = 0.0
    ) -> None:
        self.active = 0
        self.peak = 0
        self._at_full_speed = at_full_speed
        self._interval_s = 1 / starts_per_second if starts_per_second else 0.0
        self._next_start = 0.0

    async def transfer(self, seconds: float) -> None:
        """Take ``seconds``, or proportionally longer in a crowd."""
        now = time.monotonic()
        start_at = max(now, self._next_start)
        self._next_start = start_at + self._interval_s
        self.active += 1
        self.peak = max(self.peak, self.active)
        try:
            await asyncio.sleep(start_at - now)
            await self._copy(seconds)
        finally:
            self.active -= 1

    async def _copy(self, remaining_s: float) -> None:
        while remaining_s > 0:
            share = min(1.0, self._at_full_speed / self.active)
            step = min(TRANSFER_STEP_S, remaining_s / share)
            await asyncio.sleep(step)
            remaining_s -= step * share


class WeightStore(StandIn):
    """GET /weights?kind=KIND&ms=N answers when the transfer is complete."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__(options.truth_file)
        self._pools = {
            "model": TransferPool(options.models, options.models_per_second),
            "adapter": TransferPool(options.adapters),
        }
        self._transfers: Counter[str] = Counter()

    def describe_truth(self) -> dict[str, Any]:
        """Return the transfers made and the most at once, by kind."""
        return {
            "transfers": dict(self._transfers),
            "peak": {kind: pool.peak for kind, pool in self._pools.items()},
        }

    async def handle(self, exchange: Exchange) -> None:
        """Transfer the weights of one item."""
        if self.faults.refuse:
            await exchange.answer({"error": "refused"}, 503)
            return
        query = parse_qs(exchange.query)
        kind = query["kind"][0]
        self._transfers[kind] += 1
        seconds = float(query["ms"][0]) / 1000 * self.faults.slow_factor
        await self._pools[kind].transfer(seconds)
        await exchange.answer(None, 204)


def parse_arguments() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--models", type=int, default=7)
    parser.add_argument("--models-per-second", type=float, default=1.0)
    parser.add_argument("--adapters", type=int, default=55)
    parser.add_argument("--truth-file")
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    asyncio.run(serve(WeightStore(options), options.port))
