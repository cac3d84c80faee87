"""The callers' door of the gateway, as an ASGI application."""

from datetime import timedelta
import random
from typing import Any
import zlib

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.attempts import Attempts
from dotterelbridge.gateway.attempts import TargetFailed
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoPlace
from dotterelbridge.gateway.errors import NotRun
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.gateway.request import read_gateway_request
from dotterelbridge.gateway.router import GatewayRouter
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.ids import RunStatus
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import Route
from dotterelbridge.routes.model import Service
from dotterelbridge.serving.disconnect import run_until_disconnect
from dotterelbridge.serving.draining import DrainingApp
from dotterelbridge.serving.errors import CallerDisconnected
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.errors import RequestTooLarge
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import write_response
from dotterelbridge.serving.settings import ServingSettings

_log = structlog.get_logger(__name__)

_BYTES_PER_KB = 1024
_MS = 1000
_ROUTES_POLL = timedelta(milliseconds=20)
_RETRY_SOON = timedelta(milliseconds=500)
_NOT_RUN = "not_run"
"""Reason of a refusal by the targets themselves."""


class GatewayApp(DrainingApp):
    """Takes callers' requests and answers each of them."""

    def __init__(
        self,
        routes: ActiveRoutes,
        router: GatewayRouter,
        names: HeaderNames,
        settings: GatewaySettings,
        serving: ServingSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._routes = routes
        self._router = router
        self._names = names
        self._settings = settings
        self._serving = serving
        self._clock = clock
        self._random = rng

    def start_draining(self) -> None:
        super().start_draining()
        self._router.start_draining()

    def dump(self) -> dict[str, Any]:
        return {
            "draining": self._draining,
            "in_flight": self._requests,
            "routes_version": self._routes.version,
        }

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        self.record_request_start()
        try:
            await self._serve(scope, receive)
        finally:
            self.record_request_end()

    async def _serve(self, scope, receive) -> None:
        sink = scope["extensions"][SINK_EXTENSION]
        started_at = self._clock.monotonic()
        try:
            request = await read_gateway_request(
                scope,
                receive,
                self._names,
                self._serving.body_limit_kb * _BYTES_PER_KB,
                timedelta(seconds=self._serving.body_timeout_s),
            )
        except CallerDisconnected:
            return
        except RequestRefused as error:
            await self._send_failure(sink, "", _describe_refusal(error))
            return
        if self._routes.route_set is None:
            await self._wait_for_routes(request)
        if self._routes.route_set is None:
            await self._refuse(sink, request, _NO_ROUTES)
            return
        route = self._routes.find_route(request.host, request.path)
        if route is None:
            await self._refuse(sink, request, _NO_ROUTE)
            return
        call = self._create_call(request, route, started_at)
        self._router.record_arrival(call)
        await self._answer(call, receive, sink)

    async def _wait_for_routes(self, request: GatewayRequest) -> None:
        """Wait a little at a VM that has just started."""
        limit_ms = self._settings.routes_wait_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms / 2)
        with anyio.move_on_after(limit_ms / _MS):
            while self._routes.route_set is None:
                await self._clock.sleep(_ROUTES_POLL)

    def _create_call(
        self, request: GatewayRequest, route: Route, started_at: float
    ) -> GatewayCall:
        limit_ms = route.time_limit_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        service = self._choose_service(request, route)
        item = None
        if service.engine is not None and request.model:
            item = ItemKey(service.name, request.model, request.adapter)
        return GatewayCall(
            request=request,
            route=route,
            service=service,
            item=item,
            started_at=started_at,
            ends_at=started_at + limit_ms / _MS,
            begins_by=started_at
            + self._find_patience_ms(route, limit_ms) / _MS,
        )

    def _find_patience_ms(self, route: Route, limit_ms: float) -> float:
        """Return how long a caller waits for the first byte."""
        if route.repeatability is not Repeatability.STREAM:
            return limit_ms
        settings = self._settings
        return min(
            limit_ms,
            max(
                settings.stream_patience_ms,
                settings.stream_patience_aims * route.aim_ms,
                settings.stream_patience_gaps * (route.gap_aim_ms or 0),
            ),
        )

    def _choose_service(
        self, request: GatewayRequest, route: Route
    ) -> Service:
        """Return the service by the route's weights, the same each time."""
        total = sum(share.weight for share in route.shares)
        position = zlib.crc32(request.request.encode()) % total
        for share in route.shares:
            if position < share.weight:
                break
            position -= share.weight
        return self._routes.find_service(share.service)

    async def _answer(
        self, call: GatewayCall, receive, sink: ResponseSink
    ) -> None:
        attempts = Attempts(
            call,
            sink,
            self._router,
            self._names,
            self._settings,
            self._clock,
            self._random,
        )
        try:
            await self._run(call, attempts, receive)
        except ResponseIncomplete:
            raise
        except NoPlace as error:
            await self._settle_no_place(call, attempts, error)
        except TargetFailed as error:
            await attempts.send_whole(error.status, error.headers, error.body)
            self._log_answer(call, attempts)
        except TargetError as error:
            await self._settle_failure(call, attempts, error)
        except TimeoutError:
            await self._settle_timeout(call, attempts)
        else:
            if attempts.is_finished:
                self._log_answer(call, attempts)
            else:
                self._log(GatewayEvent.CALLER_GONE, call, attempts)

    async def _run(
        self, call: GatewayCall, attempts: Attempts, receive
    ) -> None:
        """Run the attempts within the time that the request has."""
        grace_s = self._settings.answer_grace_ms / _MS
        left_s = call.left_s(self._clock.monotonic()) + grace_s

        async def run() -> None:
            with anyio.fail_after(max(0.0, left_s)):
                await attempts.run()

        if call.route.repeatability is Repeatability.UNSAFE:
            await run()
        else:
            await run_until_disconnect(receive, run)

    # Ends without a target's answer.

    async def _settle_no_place(
        self, call: GatewayCall, attempts: Attempts, error: NoPlace
    ) -> None:
        if call.is_delivering:
            self._cut(call, attempts, error.problem)
        if call.ran_at:
            await self._send_unknown(call, attempts, error.problem)
            return
        await self._send_refusal(
            call,
            attempts,
            error.problem,
            error.retry_after,
            error.reason.value,
        )

    async def _settle_failure(
        self, call: GatewayCall, attempts: Attempts, error: TargetError
    ) -> None:
        if call.is_delivering:
            self._cut(call, attempts, error.problem)
        not_run = isinstance(error, (NotRun, TargetConnectFailed))
        if not_run and not call.ran_at:
            await self._send_refusal(
                call, attempts, error.problem, _RETRY_SOON
            )
            return
        await self._send_unknown(call, attempts, error.problem)

    async def _settle_timeout(
        self, call: GatewayCall, attempts: Attempts
    ) -> None:
        problem = "the time that the request had is over"
        if call.is_delivering:
            self._cut(call, attempts, problem)
        if not call.ran_at:
            await self._send_refusal(call, attempts, problem, _RETRY_SOON)
            return
        await self._send_unknown(call, attempts, problem, status=504)

    def _cut(
        self, call: GatewayCall, attempts: Attempts, problem: str
    ) -> None:
        """Close the caller's connection without the stream's end."""
        self._log(GatewayEvent.REQUEST_CUT, call, attempts, problem=problem)
        raise ResponseIncomplete(problem, "send the request again")

    async def _send_refusal(
        self,
        call: GatewayCall,
        attempts: Attempts,
        problem: str,
        retry_after: timedelta,
        reason: str = _NOT_RUN,
    ) -> None:
        instruments.refusals.add(
            1, {"service": call.service.name, "reason": reason}
        )
        failure = ErrorResponse(
            status=503,
            kind="not_run",
            message=problem,
            remedy="send it again after the time in Retry-After",
            run=RunStatus.NO,
            retry_after=retry_after,
        )
        self._log(
            GatewayEvent.REQUEST_REFUSED,
            call,
            attempts,
            reason=reason,
            problem=problem,
            retry_after_s=retry_after.total_seconds(),
        )
        await self._send(attempts, failure)

    async def _send_unknown(
        self,
        call: GatewayCall,
        attempts: Attempts,
        problem: str,
        status: int = 502,
    ) -> None:
        failure = ErrorResponse(
            status=status,
            kind="target_broke",
            message=problem,
            remedy="send it again only if running it twice does no harm",
            run=RunStatus.UNKNOWN,
        )
        self._log(
            GatewayEvent.REQUEST_UNKNOWN,
            call,
            attempts,
            problem=problem,
            status=status,
        )
        await self._send(attempts, failure)

    async def _refuse(
        self,
        sink: ResponseSink,
        request: GatewayRequest,
        failure: ErrorResponse,
    ) -> None:
        events.log(
            _log,
            GatewayEvent.REQUEST_REFUSED,
            request=request.request,
            problem=failure.message,
            host=request.host,
            path=request.path,
            routes_version=self._routes.version,
        )
        await self._send_failure(sink, request.request, failure)

    async def _send(self, attempts: Attempts, failure: ErrorResponse) -> None:
        request = attempts.call.request.request
        headers = self._list_failure_headers(request, failure)
        await attempts.send_whole(
            failure.status, headers, failure.encode_body()
        )

    async def _send_failure(
        self, sink: ResponseSink, request: str, failure: ErrorResponse
    ) -> None:
        headers = self._list_failure_headers(request, failure)
        await write_response(
            sink, failure.status, headers, failure.encode_body()
        )

    def _list_failure_headers(
        self, request: str, failure: ErrorResponse
    ) -> list[tuple[bytes, bytes]]:
        headers = [(b"content-type", b"application/json")]
        if request:
            headers.append((self._names.request_id, request.encode()))
        if failure.retry_after is not None:
            seconds = failure.retry_after.total_seconds()
            headers.append((b"retry-after", b"%.2f" % seconds))
        return headers

    # Logs.

    def _log_answer(self, call: GatewayCall, attempts: Attempts) -> None:
        self._log(
            GatewayEvent.REQUEST_ANSWERED,
            call,
            attempts,
            status=attempts.status,
        )

    def _measure(
        self, event: GatewayEvent, call: GatewayCall, attempts: Attempts
    ) -> None:
        outcome = event.name.lower().removeprefix("request_")
        instruments.requests.add(1, call.labels | {"outcome": outcome})
        if attempts.first_byte_s is not None:
            instruments.first_bytes.record(attempts.first_byte_s, call.labels)

    def _log(
        self,
        event: GatewayEvent,
        call: GatewayCall,
        attempts: Attempts,
        **details: object,
    ) -> None:
        now = self._clock.monotonic()
        self._measure(event, call, attempts)
        events.log(
            _log,
            event,
            request=call.request.request,
            route=call.route.name,
            service=call.service.name,
            model=call.request.model,
            adapter=call.request.adapter,
            target=attempts.place.target.target if attempts.place else None,
            attempts=call.attempts,
            ran_at=sorted(call.ran_at),
            first_ms=_round_ms(attempts.first_byte_s),
            pause_ms=_round_ms(attempts.longest_pause_s),
            total_ms=round((now - call.started_at) * _MS),
            **details,
        )


_NO_ROUTES = ErrorResponse(
    status=503,
    kind="not_run",
    message="this VM knows no routes yet",
    remedy="send it again after the time in Retry-After",
    run=RunStatus.NO,
    retry_after=_RETRY_SOON,
)
_NO_ROUTE = ErrorResponse(
    status=404,
    kind="no_route",
    message="no route begins this host and path",
    remedy="check the address",
    run=RunStatus.NO,
)


def _round_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * _MS)


def _describe_refusal(error: RequestRefused) -> ErrorResponse:
    status, kind = 400, "malformed"
    if isinstance(error, RequestTooLarge):
        status, kind = 413, "too_large"
    return ErrorResponse(
        status=status,
        kind=kind,
        message=error.problem,
        remedy=error.remedy,
        run=RunStatus.NO,
    )


def create_gateway_app(
    routes: ActiveRoutes,
    router: GatewayRouter,
    names: HeaderNames,
    settings: GatewaySettings,
    serving: ServingSettings,
    clock: Clock,
    rng: random.Random,
) -> GatewayApp:
    """Return the callers' application."""
    return GatewayApp(routes, router, names, settings, serving, clock, rng)
