"""Control side of an engine over HTTP."""

from datetime import timedelta
from typing import Any
from typing import TypeVar

import httpx
import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetBroken
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.errors import TargetRefused
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.targets.engine import CacheEvent
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineLoad
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import OrderAnswer
from dotterelbridge.targets.settings import TargetsSettings

_ORDER_ANSWER_STATUSES = (200, 400, 409, 507)
_CONNECTIONS_LIMIT = 4
_T = TypeVar("_T")


class HttpEngine(Engine):
    """One engine's control calls, over a small client of its own."""

    def __init__(
        self, info: TargetInfo, settings: TargetsSettings, clock: Clock
    ) -> None:
        self._info = info
        self._clock = clock
        self._connect_timeout_s = settings.connect_timeout_ms / 1000
        # Engines speak plain HTTP: no TLS context, which would cost
        # memory for each of thousands of clients.
        self._client = httpx.AsyncClient(
            base_url=f"http://{info.host}:{info.port}",
            transport=httpx.AsyncHTTPTransport(
                verify=False,
                limits=httpx.Limits(
                    max_connections=_CONNECTIONS_LIMIT,
                    max_keepalive_connections=1,
                    keepalive_expiry=settings.idle_limit_ms / 1000,
                ),
            ),
            trust_env=False,
        )

    @property
    def target(self) -> TargetId:
        return self._info.target

    async def fetch_inventory(self, timeout: timedelta) -> Inventory:
        response = await self._call("GET", "/inventory", timeout)
        inventory = self._decode(response, Inventory)
        if inventory.target != self.target:
            raise TargetBroken(
                f"{self.target} reports itself as {inventory.target!r}",
                "correct the target's address in the settings",
            )
        return inventory

    async def send_order(
        self, order: EngineOrder, timeout: timedelta
    ) -> OrderAnswer:
        response = await self._call(
            "POST",
            "/orders",
            timeout,
            content=msgspec.json.encode(order),
            accepted=_ORDER_ANSWER_STATUSES,
        )
        return self._decode(response, OrderAnswer)

    async def fetch_load(self, timeout: timedelta) -> EngineLoad:
        response = await self._call("GET", "/load", timeout)
        return self._decode(response, EngineLoad)

    async def fetch_cache_events(
        self, after: int, timeout: timedelta
    ) -> list[CacheEvent]:
        response = await self._call(
            "GET", f"/cache-events?after={after}", timeout
        )
        return self._decode(response, list[CacheEvent])

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
            "PUT", path, timeout, content=exported.content, accepted=(204,)
        )

    async def close(self) -> None:
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        content: bytes | None = None,
        accepted: tuple[int, ...] = (200,),
    ) -> httpx.Response:
        total_s = timeout.total_seconds()
        try:
            response = await self._client.request(
                method,
                path,
                content=content,
                timeout=httpx.Timeout(
                    total_s, connect=min(total_s, self._connect_timeout_s)
                ),
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            raise TargetConnectFailed(
                f"{self.target} cannot be reached ({error!r})",
                "check the target and the network, then try again",
            ) from error
        except httpx.HTTPError as error:
            raise TargetBroken(
                f"{self.target} broke off {method} {path} ({error!r})",
                "read its inventory before trying again",
            ) from error
        if response.status_code not in accepted:
            raise TargetRefused(
                f"{self.target} answered {method} {path} with status "
                f"{response.status_code}",
                "check that the target speaks the engine protocol",
            )
        return response

    def _decode(self, response: httpx.Response, wanted: type[_T] | Any) -> _T:
        try:
            return msgspec.json.decode(response.content, type=wanted)
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
