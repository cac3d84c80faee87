"""Polls the engines for KV-cache events at a bounded rate.

The rate applies to the whole VM, not to each engine: with more engines the
events arrive later, and the network traffic stays the same.
"""

from collections.abc import Callable
from datetime import timedelta
import uuid

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import TargetId
from dotterelbridge.json_documents import decode_document
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Target
from dotterelbridge.targets.cache_index import CacheIndex
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.engine import CacheEvent

_POLL_TIMEOUT_S = 2.0
_RESPONSE_LIMIT_BYTES = 1 << 20
_OK_STATUS = 200


class CacheEventPoller:
    """Polls the engines of the local failure domain in turn."""

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
        self._poll_queue: list[TargetId] = []

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._clock.sleep(self._interval)
            await self.poll_next()

    async def poll_next(self) -> None:
        """Poll the next engine; an engine that fails is skipped."""
        target = self._select_next()
        if target is None:
            return
        name = target.view.info.target
        try:
            with anyio.fail_after(_POLL_TIMEOUT_S):
                body = await self._fetch(target)
            cache_events = decode_document(body, list[CacheEvent])
        except (TargetError, TimeoutError, DocumentMalformed):
            return
        self._index.apply(name, cache_events, self._clock.monotonic())

    def _select_next(self) -> Target | None:
        targets = self._list_targets()
        if not self._poll_queue:
            self._poll_queue = [
                name
                for name, target in targets.items()
                if _is_local_engine(target)
            ]
        while self._poll_queue:
            target = targets.get(self._poll_queue.pop())
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
                if len(body) > _RESPONSE_LIMIT_BYTES:
                    return b""
            return body if exchange.status == _OK_STATUS else b"[]"


def _is_local_engine(target: Target) -> bool:
    is_engine = target.view.info.kind is TargetKind.ENGINE
    return is_engine and target.distance is Distance.OWN_DOMAIN
