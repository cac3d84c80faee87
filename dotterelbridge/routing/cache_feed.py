"""Reads the engines' cache events at a bounded rate.

The rate is one for the whole VM, not for each engine: with many engines
the events come later, and the network traffic stays the same.
"""

from collections.abc import Callable
from datetime import timedelta
import uuid

import anyio
import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Target
from dotterelbridge.targets.cache_index import CacheIndex
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.engine import CacheEvent

_TIMEOUT_S = 2.0
_ANSWER_LIMIT = 1 << 20
_OK = 200
_decode = msgspec.json.Decoder(list[CacheEvent]).decode


class CacheFeed:
    """Asks one engine of the own failure domain after another."""

    def __init__(
        self,
        list_targets: Callable[[], dict[TargetId, Target]],
        index: CacheIndex,
        clock: Clock,
        polls_per_s: int,
    ) -> None:
        self._list_targets = list_targets
        self._index = index
        self._clock = clock
        self._interval = timedelta(seconds=1 / polls_per_s)
        self._order: list[TargetId] = []

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._clock.sleep(self._interval)
            await self.poll_next()

    async def poll_next(self) -> None:
        """Ask the next engine; one that can't answer is passed over."""
        target = self._take_next()
        if target is None:
            return
        name = target.view.info.target
        try:
            with anyio.fail_after(_TIMEOUT_S):
                body = await self._fetch(target)
            cache_events = _decode(body)
        except (TargetError, TimeoutError, msgspec.MsgspecError):
            return
        self._index.apply(name, cache_events, self._clock.monotonic())

    def _take_next(self) -> Target | None:
        targets = self._list_targets()
        if not self._order:
            self._order = [
                name for name, target in targets.items() if _is_near(target)
            ]
        while self._order:
            target = targets.get(self._order.pop())
            if target is not None and target.takes_new_work:
                return target
        return None

    async def _fetch(self, target: Target) -> bytes:
        after = self._index.get_last_sequence(target.view.info.target)
        request = ExchangeRequest(
            attempt=AttemptId(uuid.uuid4().hex),
            method="GET",
            path=f"/cache-events?after={after}",
        )
        body = b""
        async with target.client.open_exchange(request) as exchange:
            while chunk := await exchange.read():
                body += chunk
                if len(body) > _ANSWER_LIMIT:
                    return b""
            return body if exchange.status == _OK else b"[]"


def _is_near(target: Target) -> bool:
    is_engine = target.view.info.kind is TargetKind.ENGINE
    return is_engine and target.distance is Distance.OWN_DOMAIN
