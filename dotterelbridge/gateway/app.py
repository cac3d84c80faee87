"""The ASGI application that serves the requests of callers."""

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
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.attempts import AttemptRunner
from dotterelbridge.gateway.attempts import TargetFailed
from dotterelbridge.gateway.attempts import WholeResponse
from dotterelbridge.gateway.authentication import Authenticator
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.call import find_item
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import RequestNotRun
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.quota_gate import QuotaGate
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.gateway.request import read_gateway_request
from dotterelbridge.gateway.resumed_streams import ResumedStreams
from dotterelbridge.gateway.resumed_streams import check_origin
from dotterelbridge.gateway.resumed_streams import describe_origin
from dotterelbridge.gateway.router import GatewayRouter
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.stream_gaps import StreamGaps
from dotterelbridge.ids import RunStatus
from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.quotas.errors import QuotaExceeded
from dotterelbridge.quotas.errors import QuotaRefused
from dotterelbridge.resumption.local_recorder import create_local_recorder
from dotterelbridge.resumption.recorder import StreamRecorder
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
from dotterelbridge.serving.errors import create_unauthorized_response
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import write_response
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.stop_grace import StopGrace
from dotterelbridge.teams import instruments as teams_instruments
from dotterelbridge.teams.authorization import KeyRefused
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.permission import KeyPermission
from dotterelbridge.teams.settings import TeamsSettings

_log = structlog.get_logger(__name__)

_BYTES_PER_KB = 1024
_MS_PER_S = 1000
_ROUTES_POLL_INTERVAL = timedelta(milliseconds=20)
_DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)
_TOO_MANY_REQUESTS_STATUS = 429
_UNAVAILABLE_STATUS = 503
_REASON_NOT_RUN = "not_run"
"""Reason in logs and metrics if all attempts ended without a run."""


class GatewayApp(DrainingApp):
    """Serves the requests of callers."""

    def __init__(
        self,
        routes: ActiveRoutes,
        router: GatewayRouter,
        header_names: HeaderNames,
        settings: GatewaySettings,
        serving: ServingSettings,
        clock: Clock,
        rng: random.Random,
        key_permission: KeyPermission,
        quota_gate: QuotaGate,
        stream_recorder: StreamRecorder,
        stream_gaps: StreamGaps | None = None,
    ) -> None:
        super().__init__(StopGrace(serving, clock))
        self._stream_gaps = stream_gaps
        self._routes = routes
        self._router = router
        self._header_names = header_names
        self._authenticator = Authenticator(
            routes, header_names, key_permission
        )
        self._key_permission = key_permission
        self._quota_gate = quota_gate
        self._stream_recorder = stream_recorder
        self._resumed_streams = ResumedStreams(
            stream_recorder, routes, settings, clock
        )
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
                self._header_names,
                self._find_body_limit(),
                timedelta(seconds=self._serving.body_timeout_s),
            )
        except CallerDisconnected:
            return
        except RequestRefused as error:
            await self._write_error(sink, "", _create_refusal(error))
            return
        if self._routes.route_set is None:
            await self._wait_for_routes(request)
        if self._routes.route_set is None:
            await self._refuse_unrouted(sink, request, _NO_ROUTES)
            return
        route = self._routes.find_route(request.host, request.path)
        if route is None:
            await self._refuse_unrouted(sink, request, _NO_ROUTE)
            return
        try:
            request, team = self._authenticator.authenticate(request, route)
        except (KeyRefused, NoTargetAvailable) as error:
            await self._refuse_unauthenticated(sink, request, route, error)
            return
        call = self._create_call(request, route, team, started_at)
        if call.is_resumption:
            await self._resumed_streams.bind(call)
        try:
            charge = await self._quota_gate.charge(call)
        except QuotaRefused as error:
            await self._refuse_uncharged(sink, call, error)
            return
        self._router.record_arrival(call)
        try:
            await self._run_call(call, receive, sink)
        finally:
            if not call.possibly_ran_at:
                charge.refund()

    def _find_body_limit(self) -> int:
        """Return the own limit, unless the configuration's is higher."""
        limit = self._serving.body_limit_kb * _BYTES_PER_KB
        route_set = self._routes.route_set
        return max(limit, route_set.limits.body_bytes) if route_set else limit

    async def _wait_for_routes(self, request: GatewayRequest) -> None:
        """Wait for the first routes after this VM has started."""
        limit_ms = self._settings.routes_wait_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms / 2)
        with anyio.move_on_after(limit_ms / _MS_PER_S):
            while self._routes.route_set is None:
                await self._clock.sleep(_ROUTES_POLL_INTERVAL)

    def _create_call(
        self,
        request: GatewayRequest,
        route: Route,
        team: Team | None,
        started_at: float,
    ) -> GatewayCall:
        limit_ms = route.time_limit_ms
        if request.deadline_ms is not None:
            limit_ms = min(limit_ms, request.deadline_ms)
        service = self._choose_service(request, route)
        return GatewayCall(
            request=request,
            route=route,
            service=service,
            item=find_item(request, service),
            team=team,
            started_at=started_at,
            deadline_at=started_at + limit_ms / _MS_PER_S,
            first_byte_deadline_at=started_at
            + self._find_first_byte_limit_ms(route, limit_ms) / _MS_PER_S,
        )

    def _find_first_byte_limit_ms(
        self, route: Route, limit_ms: float
    ) -> float:
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
        """Choose a service by the route's weights, from the request ID.

        A repeated request thus goes to the same service.
        """
        total_weight = sum(share.weight for share in route.shares)
        position = zlib.crc32(request.request_id.encode()) % total_weight
        for share in route.shares:
            if position < share.weight:
                break
            position -= share.weight
        return self._routes.find_service(share.service)

    async def _run_call(
        self, call: GatewayCall, receive, sink: ResponseSink
    ) -> None:
        runner = AttemptRunner(
            call,
            sink,
            self._router,
            self._header_names,
            self._settings,
            self._clock,
            self._random,
            self._stop_grace,
            self._key_permission,
            self._stream_recorder,
            self._stream_gaps,
        )
        try:
            check_origin(call)
            await self._run_attempts(call, runner, receive)
        except ResponseIncomplete:
            raise
        except NoTargetAvailable as error:
            await self._handle_no_target(call, runner, error)
        except TargetFailed as error:
            await runner.send_response(error.response)
            self._log_response(call, runner)
        except TargetError as error:
            await self._handle_target_error(call, runner, error)
        except TimeoutError:
            await self._handle_timeout(call, runner)
        else:
            if runner.is_finished:
                self._log_response(call, runner)
            else:
                self._log(GatewayEvent.CALLER_GONE, call, runner)

    async def _run_attempts(
        self, call: GatewayCall, runner: AttemptRunner, receive
    ) -> None:
        """Run the attempts until the deadline or the caller disconnects.

        An unsafe request is not cancelled when its caller disconnects.
        """
        grace_s = self._settings.answer_grace_ms / _MS_PER_S
        remaining_s = call.remaining_s(self._clock.monotonic()) + grace_s

        async def run() -> None:
            with self._stop_grace.limit(
                max(0.0, remaining_s), lambda: bool(runner.status)
            ):
                await runner.run()

        if call.route.repeatability is Repeatability.UNSAFE:
            await run()
        else:
            await run_until_disconnect(receive, run)

    # Requests without a target's response.

    async def _handle_no_target(
        self,
        call: GatewayCall,
        runner: AttemptRunner,
        error: NoTargetAvailable,
    ) -> None:
        if call.has_response_started:
            self._abort_response(call, runner, error.problem)
        if call.possibly_ran_at:
            await self._send_outcome_unknown(call, runner, error.problem)
            return
        await self._send_refusal(
            call,
            runner,
            error.problem,
            error.retry_after,
            error.reason.value,
        )

    async def _handle_target_error(
        self, call: GatewayCall, runner: AttemptRunner, error: TargetError
    ) -> None:
        if call.has_response_started:
            self._abort_response(call, runner, error.problem)
        not_run = isinstance(error, (RequestNotRun, TargetConnectFailed))
        if not_run and not call.possibly_ran_at:
            await self._send_refusal(
                call, runner, error.problem, _DEFAULT_RETRY_AFTER
            )
            return
        await self._send_outcome_unknown(call, runner, error.problem)

    async def _handle_timeout(
        self, call: GatewayCall, runner: AttemptRunner
    ) -> None:
        if runner.is_finished:
            # Only the caller is late, in reading what was written for it.
            await runner.wait_until_sent()
            self._log_response(call, runner)
            return
        problem = "the request reached its deadline"
        if self._clock.monotonic() < call.deadline_at:
            problem = "this VM stops"
        if call.has_response_started:
            self._abort_response(call, runner, problem)
        if not call.possibly_ran_at:
            await self._send_refusal(
                call, runner, problem, _DEFAULT_RETRY_AFTER
            )
            return
        await self._send_outcome_unknown(call, runner, problem, status=504)

    def _abort_response(
        self, call: GatewayCall, runner: AttemptRunner, problem: str
    ) -> None:
        """Close the caller's connection without completing the response."""
        self._log(GatewayEvent.REQUEST_CUT, call, runner, problem=problem)
        raise ResponseIncomplete(problem, "send the request again")

    async def _send_refusal(
        self,
        call: GatewayCall,
        runner: AttemptRunner,
        problem: str,
        retry_after: timedelta,
        reason: str = _REASON_NOT_RUN,
    ) -> None:
        instruments.refusals.add(
            1, {"service": call.service.name, "reason": reason}
        )
        if call.team is not None:
            teams_instruments.refusals.add(
                1,
                {
                    "team": teams_instruments.get_label(call.team),
                    "reason": reason,
                },
            )
        error_response = _create_not_run_response(problem, retry_after)
        self._log(
            GatewayEvent.REQUEST_REFUSED,
            call,
            runner,
            reason=reason,
            problem=problem,
            retry_after_s=retry_after.total_seconds(),
        )
        await self._send_error(runner, error_response)

    async def _send_outcome_unknown(
        self,
        call: GatewayCall,
        runner: AttemptRunner,
        problem: str,
        status: int = 502,
    ) -> None:
        error_response = ErrorResponse(
            status=status,
            kind="target_broke",
            message=problem,
            remedy="send it again only if running it twice does no harm",
            run=RunStatus.UNKNOWN,
        )
        self._log(
            GatewayEvent.REQUEST_UNKNOWN,
            call,
            runner,
            problem=problem,
            status=status,
        )
        await self._send_error(runner, error_response)

    async def _refuse_unrouted(
        self,
        sink: ResponseSink,
        request: GatewayRequest,
        error_response: ErrorResponse,
    ) -> None:
        events.log(
            _log,
            GatewayEvent.REQUEST_REFUSED,
            request=request.request_id,
            problem=error_response.message,
            host=request.host,
            path=request.path,
            routes_version=self._routes.version,
        )
        await self._write_error(sink, request.request_id, error_response)

    async def _refuse_unauthenticated(
        self,
        sink: ResponseSink,
        request: GatewayRequest,
        route: Route,
        error: KeyRefused | NoTargetAvailable,
    ) -> None:
        """Answer a request whose route needs the key of a team."""
        teams_instruments.refusals.add(
            1,
            {
                "team": teams_instruments.get_label(None),
                "reason": error.reason.value,
            },
        )
        events.log(
            _log,
            GatewayEvent.KEY_REFUSED,
            request=request.request_id,
            route=route.name,
            reason=error.reason.value,
            routes_version=self._routes.version,
        )
        if isinstance(error, NoTargetAvailable):
            error_response = _create_not_run_response(
                error.problem, error.retry_after
            )
        else:
            error_response = create_unauthorized_response(error)
        await self._write_error(sink, request.request_id, error_response)

    async def _refuse_uncharged(
        self, sink: ResponseSink, call: GatewayCall, error: QuotaRefused
    ) -> None:
        """Answer a request that its team's quota does not allow."""
        is_exceeded = isinstance(error, QuotaExceeded)
        reason = "over_quota" if is_exceeded else "quota_unknown"
        teams_instruments.refusals.add(
            1,
            {
                "team": teams_instruments.get_label(call.team),
                "reason": reason,
            },
        )
        events.log(
            _log,
            GatewayEvent.QUOTA_REFUSED,
            request=call.request.request_id,
            route=call.route.name,
            team=call.team.name if call.team else None,
            reason=reason,
            units=error.units,
            retry_after_s=error.retry_after.total_seconds(),
        )
        error_response = ErrorResponse(
            status=_TOO_MANY_REQUESTS_STATUS
            if is_exceeded
            else _UNAVAILABLE_STATUS,
            kind="over_quota" if is_exceeded else "not_run",
            message=error.problem,
            remedy=error.remedy,
            run=RunStatus.NO,
            retry_after=error.retry_after,
        )
        await self._write_error(sink, call.request.request_id, error_response)

    async def _send_error(
        self, runner: AttemptRunner, error_response: ErrorResponse
    ) -> None:
        request_id = runner.call.request.request_id
        headers = self._create_error_headers(request_id, error_response)
        await runner.send_response(
            WholeResponse(
                error_response.status, headers, error_response.encode_body()
            )
        )

    async def _write_error(
        self,
        sink: ResponseSink,
        request_id: str,
        error_response: ErrorResponse,
    ) -> None:
        headers = self._create_error_headers(request_id, error_response)
        await write_response(
            sink, error_response.status, headers, error_response.encode_body()
        )

    def _create_error_headers(
        self, request_id: str, error_response: ErrorResponse
    ) -> list[tuple[bytes, bytes]]:
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append(
                (self._header_names.request_id, request_id.encode())
            )
        if error_response.retry_after is not None:
            seconds = error_response.retry_after.total_seconds()
            headers.append((b"retry-after", b"%.2f" % seconds))
        return headers + error_response.list_challenges()

    # Logs and metrics.

    def _log_response(self, call: GatewayCall, runner: AttemptRunner) -> None:
        self._log(
            GatewayEvent.REQUEST_ANSWERED,
            call,
            runner,
            status=runner.status,
        )

    def _record_metrics(
        self, event: GatewayEvent, call: GatewayCall, runner: AttemptRunner
    ) -> None:
        outcome = event.name.lower().removeprefix("request_")
        instruments.requests.add(1, call.labels | {"outcome": outcome})
        if call.team is not None:
            team = teams_instruments.get_label(call.team)
            teams_instruments.requests.add(
                1, {"team": team, "outcome": outcome}
            )
        if runner.first_byte_s is not None:
            instruments.first_bytes.record(runner.first_byte_s, call.labels)
        if runner.longest_chunk_gap_s is not None:
            instruments.pauses.record(runner.longest_chunk_gap_s, call.labels)

    def _log(
        self,
        event: GatewayEvent,
        call: GatewayCall,
        runner: AttemptRunner,
        **details: object,
    ) -> None:
        now = self._clock.monotonic()
        self._record_metrics(event, call, runner)
        events.log(
            _log,
            event,
            request=call.request.request_id,
            route=call.route.name,
            service=call.service.name,
            model=call.request.model,
            adapter=call.request.adapter,
            team=call.team.name if call.team else None,
            **describe_origin(call),
            target=runner.slot.view.target if runner.slot else None,
            software=runner.slot.software if runner.slot else None,
            attempts=call.attempts,
            ran_at=sorted(call.possibly_ran_at),
            first_ms=_round_ms(runner.first_byte_s),
            pause_ms=_round_ms(runner.longest_chunk_gap_s),
            total_ms=round((now - call.started_at) * _MS_PER_S),
            **details,
        )


def _create_not_run_response(
    problem: str, retry_after: timedelta
) -> ErrorResponse:
    return ErrorResponse(
        status=503,
        kind="not_run",
        message=problem,
        remedy="send it again after the time in Retry-After",
        run=RunStatus.NO,
        retry_after=retry_after,
    )


_NO_ROUTES = _create_not_run_response(
    "this VM knows no routes yet", _DEFAULT_RETRY_AFTER
)
_NO_ROUTE = ErrorResponse(
    status=404,
    kind="no_route",
    message="no route matches this host and path",
    remedy="check the address",
    run=RunStatus.NO,
)


def _round_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * _MS_PER_S)


def _create_refusal(error: RequestRefused) -> ErrorResponse:
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
    header_names: HeaderNames,
    settings: GatewaySettings,
    serving: ServingSettings,
    clock: Clock,
    rng: random.Random,
    key_permission: KeyPermission | None = None,
    quota_accounts: QuotaAccounts | None = None,
    stream_recorder: StreamRecorder | None = None,
    stream_gaps: StreamGaps | None = None,
) -> GatewayApp:
    """Return the ASGI application for callers.

    :param key_permission: whether the keys of teams may be relied on; by
        default always.
    :param quota_accounts: charges requests to the quotas of teams; None if
        quotas are not enforced.
    :param stream_recorder: knows which software version began a stream; by
        default what this process has recorded.
    :param stream_gaps: measures the streams; None if nothing needs it.
    """
    return GatewayApp(
        routes,
        router,
        header_names,
        settings,
        serving,
        clock,
        rng,
        key_permission or KeyPermission(clock, TeamsSettings()),
        QuotaGate(quota_accounts),
        stream_recorder or create_local_recorder(clock),
        stream_gaps,
    )
