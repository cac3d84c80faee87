"""Client of an engine's control API over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from typing import TypeVar
import uuid

import anyio
import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.errors import DocumentMalformed
from dotterelbridge.errors import TargetError
from dotterelbridge.errors import TargetExchangeFailed
from dotterelbridge.errors import TargetRefused
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import TargetId
from dotterelbridge.json_documents import decode_document
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.client import create_target_client
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineLoad
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import OrderAnswer
from dotterelbridge.targets.settings import TargetsSettings

_ORDER_RESPONSE_STATUSES = (200, 400, 409, 507)
_JSON_HEADERS = [(b"content-type", b"application/json")]
_BYTES_PER_KIB = 1024
_T = TypeVar("_T")


class HttpEngine(Engine):
    """Control calls to one engine.

    They use a TargetClient, like inference requests: at the planned scale a
    VM polls eight engines a second, and an httpx call takes milliseconds.
    """

    def __init__(
        self, info: TargetInfo, settings: TargetsSettings, clock: Clock
    ) -> None:
        self._info = info
        self._response_limit_bytes = (
            settings.control_answer_limit_kb * _BYTES_PER_KIB
        )
        self._client = create_target_client(info, settings, clock)

    @property
    def target(self) -> TargetId:
        return self._info.target

    async def fetch_inventory(self, timeout: timedelta) -> Inventory:
        body = await self._call("GET", "/inventory", timeout)
        inventory = self._decode(body, Inventory)
        if inventory.target != self.target:
            raise TargetExchangeFailed(
                f"{self.target} reports itself as {inventory.target!r}",
                "correct the target's address in the settings",
            )
        return inventory

    async def send_order(
        self,
        order: EngineOrder,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> OrderAnswer:
        body = await self._call(
            "POST",
            "/orders",
            timeout,
            content=msgspec.json.encode(order),
            accepted_statuses=_ORDER_RESPONSE_STATUSES,
            may_send=may_send,
        )
        return self._decode(body, OrderAnswer)

    async def fetch_load(self, timeout: timedelta) -> EngineLoad:
        body = await self._call("GET", "/load", timeout)
        return self._decode(body, EngineLoad)

    async def fetch_cache_events(
        self, after: int, timeout: timedelta
    ) -> list[CacheEvent]:
        body = await self._call("GET", f"/cache-events?after={after}", timeout)
        return self._decode(body, list[CacheEvent])

    async def transfer_prefix(
        self, block: str, source: Engine, timeout: timedelta
    ) -> None:
        if not isinstance(source, HttpEngine):
            raise TargetRefused(
                f"{source.target} cannot export over HTTP",
                "transfer between engines of the same kind",
            )
        path = f"/kv/{block}"
        exported = await source._call("GET", path, timeout)
        await self._call(
            "PUT", path, timeout, content=exported, accepted_statuses=(204,)
        )

    async def close(self) -> None:
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        content: bytes = b"",
        accepted_statuses: tuple[int, ...] = (200,),
        may_send: Callable[[], bool] | None = None,
    ) -> bytes:
        """Return the response body; the status must be an accepted one."""
        self._client.enforce_timeouts()
        request = ExchangeRequest(
            attempt=AttemptId(uuid.uuid4().hex),
            method=method,
            path=path,
            headers=_JSON_HEADERS if content else [],
            body=content,
            # If the target is just closing an idle connection, it stays
            # unknown whether a change arrived.
            fresh_connection=method != "GET",
            may_send=may_send,
        )
        try:
            with anyio.fail_after(timeout.total_seconds()):
                status, body = await self._exchange_with_retry(request)
        except TimeoutError:
            raise TargetExchangeFailed(
                f"{self.target} did not answer {method} {path} within "
                f"{timeout.total_seconds():g} s",
                "read its inventory before retrying",
            ) from None
        if status not in accepted_statuses:
            raise TargetRefused(
                f"{self.target} answered {method} {path} with status {status}",
                "check that the target implements the engine protocol",
            )
        return body

    async def _exchange_with_retry(
        self, request: ExchangeRequest
    ) -> tuple[int, bytes]:
        """Retry on a new connection if a reused one broke."""
        try:
            return await self._exchange(request)
        except TargetExchangeFailed:
            if request.fresh_connection:
                raise
        return await self._exchange(
            msgspec.structs.replace(request, fresh_connection=True)
        )

    async def _exchange(self, request: ExchangeRequest) -> tuple[int, bytes]:
        chunks = []
        size = 0
        async with self._client.open_exchange(request) as exchange:
            while chunk := await exchange.read():
                chunks.append(chunk)
                size += len(chunk)
                if size > self._response_limit_bytes:
                    raise TargetExchangeFailed(
                        f"{self.target} answered {request.path} with more "
                        f"than {self._response_limit_bytes} bytes",
                        "raise [targets] control_answer_limit_kb if the "
                        "response is valid",
                    )
            return exchange.status, b"".join(chunks)

    def _decode(self, body: bytes, result_type: type[_T] | Any) -> _T:
        try:
            return decode_document(body, result_type)
        except DocumentMalformed as error:
            raise TargetError(
                f"{self.target} sent a malformed response ({error.problem})",
                "check that the target implements the engine protocol",
            ) from error


def create_engine(
    info: TargetInfo, settings: TargetsSettings, clock: Clock
) -> HttpEngine:
    """Return a client of the engine at the target's address."""
    return HttpEngine(info, settings, clock)
