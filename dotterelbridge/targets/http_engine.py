"""Control side of an engine over HTTP."""

from datetime import timedelta
from typing import Any
from typing import TypeVar
import uuid

import anyio
import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetBroken
from dotterelbridge.errors import TargetError
from dotterelbridge.errors import TargetRefused
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import TargetId
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

_ORDER_ANSWER_STATUSES = (200, 400, 409, 507)
_JSON = [(b"content-type", b"application/json")]
_BYTES_PER_KB = 1024
_T = TypeVar("_T")


class HttpEngine(Engine):
    """One engine's control calls.

    They share the inference side's client: at the target size a VM polls
    eight engines a second, and an httpx call costs some milliseconds.
    """

    def __init__(
        self, info: TargetInfo, settings: TargetsSettings, clock: Clock
    ) -> None:
        self._info = info
        self._answer_limit = settings.control_answer_limit_kb * _BYTES_PER_KB
        self._client = create_target_client(info, settings, clock)

    @property
    def target(self) -> TargetId:
        return self._info.target

    async def fetch_inventory(self, timeout: timedelta) -> Inventory:
        body = await self._call("GET", "/inventory", timeout)
        inventory = self._decode(body, Inventory)
        if inventory.target != self.target:
            raise TargetBroken(
                f"{self.target} reports itself as {inventory.target!r}",
                "correct the target's address in the settings",
            )
        return inventory

    async def send_order(
        self, order: EngineOrder, timeout: timedelta
    ) -> OrderAnswer:
        body = await self._call(
            "POST",
            "/orders",
            timeout,
            content=msgspec.json.encode(order),
            accepted=_ORDER_ANSWER_STATUSES,
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
            "PUT", path, timeout, content=exported, accepted=(204,)
        )

    async def close(self) -> None:
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        content: bytes = b"",
        accepted: tuple[int, ...] = (200,),
    ) -> bytes:
        """Return the body of an answer with an accepted status."""
        self._client.enforce_timeouts()
        request = ExchangeRequest(
            attempt=AttemptId(uuid.uuid4().hex),
            method=method,
            path=path,
            headers=_JSON if content else [],
            body=content,
            # A kept connection that is just closing would leave unknown
            # whether a change arrived.
            fresh_connection=method != "GET",
        )
        try:
            with anyio.fail_after(timeout.total_seconds()):
                status, body = await self._exchange_again(request)
        except TimeoutError:
            raise TargetBroken(
                f"{self.target} did not answer {method} {path} within "
                f"{timeout.total_seconds():g} s",
                "read its inventory before trying again",
            ) from None
        if status not in accepted:
            raise TargetRefused(
                f"{self.target} answered {method} {path} with status {status}",
                "check that the target speaks the engine protocol",
            )
        return body

    async def _exchange_again(
        self, request: ExchangeRequest
    ) -> tuple[int, bytes]:
        """Repeat a call that a kept connection broke, on a new one."""
        try:
            return await self._exchange(request)
        except TargetBroken:
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
                if size > self._answer_limit:
                    raise TargetBroken(
                        f"{self.target} answered {request.path} with more "
                        f"than {self._answer_limit} bytes",
                        "raise [targets] control_answer_limit_kb if the "
                        "answer is right",
                    )
            return exchange.status, b"".join(chunks)

    def _decode(self, body: bytes, wanted: type[_T] | Any) -> _T:
        try:
            return msgspec.json.decode(body, type=wanted)
        except msgspec.MsgspecError as error:
            raise TargetError(
                f"{self.target} sent a malformed answer ({error})",
                "check that the target speaks the engine protocol",
            ) from error


def create_engine(
    info: TargetInfo, settings: TargetsSettings, clock: Clock
) -> HttpEngine:
    """Return the control side of the engine at the target's address."""
    return HttpEngine(info, settings, clock)
