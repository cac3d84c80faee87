"""The HTTP API for callers, as an ASGI application."""

from datetime import timedelta
import functools
import hashlib
from http import HTTPStatus
import math
import random
from typing import Any

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.clock import Clock
from dotterelbridge.errors import RequestRefused
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import RunStatus
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import create_request_trait
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.errors import ItemUnknown
from dotterelbridge.routing.errors import QueueFull
from dotterelbridge.routing.errors import RoutingRefused
from dotterelbridge.routing.router import Router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Slot
from dotterelbridge.serving.attempts import AttemptLog
from dotterelbridge.serving.attempts import AttemptRunner
from dotterelbridge.serving.attempts import TargetFailed
from dotterelbridge.serving.attempts import infer_run_status
from dotterelbridge.serving.disconnect import run_until_disconnect
from dotterelbridge.serving.draining import DrainingApp
from dotterelbridge.serving.errors import CallerDisconnected
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.errors import RequestMalformed
from dotterelbridge.serving.errors import RequestTooLarge
from dotterelbridge.serving.errors import ResponseIncomplete
from dotterelbridge.serving.errors import create_unauthorized_response
from dotterelbridge.serving.events import ServingEvent
from dotterelbridge.serving.keyed_calls import ClaimRefused
from dotterelbridge.serving.keyed_calls import KeyedCall
from dotterelbridge.serving.keyed_calls import KeyedRunner
from dotterelbridge.serving.metrics import RequestOutcome
from dotterelbridge.serving.metrics import record_request
from dotterelbridge.serving.request import CallerRequest
from dotterelbridge.serving.request import InferenceBody
from dotterelbridge.serving.request import parse_inference
from dotterelbridge.serving.request import read_request
from dotterelbridge.serving.response import HOP_BY_HOP_HEADERS
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import ResponseWriter
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.stop_grace import StopGrace
from dotterelbridge.serving.stream import StreamRelay
from dotterelbridge.serving.teams import CallerTeams
from dotterelbridge.serving.teams import create_team_headers
from dotterelbridge.serving.teams import replace_key
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.targets.client import ExchangeRequest
from dotterelbridge.targets.prefix import list_prompt_blocks
from dotterelbridge.targets.prefix import list_prompt_prefixes
from dotterelbridge.teams.authorization import KeyRefused

INFERENCE_PATHS = ("/v1/chat/completions", "/v1/completions")
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
_BYTES_PER_KB = 1024
_MIN_NEW_CONNECTION_LIMIT = timedelta(seconds=1)
_GIVE_UP_DEADLINE_FACTOR = 2
"""A late request is given up at a target after this many deadlines."""
_MIN_KEPT_CONNECTION_LIMIT = timedelta(milliseconds=500)
_HASH_LENGTH = 16
"""Characters of a hash that stands for a request or a caller."""
_JSON_HEADERS = [(b"content-type", b"application/json")]
_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"host",
    b"expect",
    b"x-request-id",
}

_log = structlog.get_logger(__name__)


class CallerApp(DrainingApp):
    """Serves inference and service requests of callers."""

    def __init__(
        self,
        router: Router,
        claims: ClaimService,
        clock: Clock,
        settings: ServingSettings,
        routing_settings: RoutingSettings,
        rng: random.Random,
        teams: CallerTeams,
    ) -> None:
        super().__init__(StopGrace(settings, clock))
        self._router = router
        self._teams = teams
        self._clock = clock
        self._settings = settings
        self._routing_settings = routing_settings
        self._runner = AttemptRunner(
            router, settings, clock, rng, self._stop_grace
        )
        self._keyed_runner = KeyedRunner(claims)
        self._calls: dict[Call, float] = {}

    def dump(self) -> dict[str, Any]:
        now = self._clock.monotonic()
        return {
            "draining": self._draining,
            "in_flight": self._requests,
            "calls": [
                {
                    "request": call.request_id,
                    "item": call.item,
                    "priority": call.priority.value,
                    "age_s": round(now - started_at, 3),
                    "attempts": call.attempts,
                }
                for call, started_at in self._calls.items()
            ],
        }

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        path = scope["path"]
        sink = scope["extensions"][SINK_EXTENSION]
        if path in ("/healthz", "/readyz"):
            await self._serve_health(path, sink)
            return
        self.record_request_start()
        try:
            await self._serve(scope, receive, sink)
        finally:
            self.record_request_end()

    async def _serve_health(self, path: str, sink: ResponseSink) -> None:
        ready = path == "/healthz" or self.is_ready
        writer = ResponseWriter(sink, "")
        await writer.send_response(
            200 if ready else 503,
            _JSON_HEADERS,
            b'{"ready": true}' if ready else b'{"ready": false}',
            None,
        )

    async def _serve(self, scope, receive, sink: ResponseSink) -> None:
        writer = ResponseWriter(sink, "")
        try:
            request = await read_request(
                scope,
                receive,
                self._settings.body_limit_kb * _BYTES_PER_KB,
                timedelta(seconds=self._settings.body_timeout_s),
            )
            writer = ResponseWriter(sink, request.request_id)
            await self._route(request, receive, writer)
        except CallerDisconnected:
            return
        except RequestRefused as error:
            await _send_error(writer, _create_refusal_response(error))
        except ResponseIncomplete:
            # The server closes the connection before the end of the body,
            # which tells the caller that the response is incomplete.
            raise
        except Exception as error:
            events.log(
                _log,
                ServingEvent.REQUEST_FAILED,
                error=repr(error),
                exc_info=True,
            )
            await _send_error(writer, _INTERNAL_ERROR)

    async def _route(
        self, request: CallerRequest, receive, writer: ResponseWriter
    ) -> None:
        is_service = request.path.startswith(SERVICES_PREFIX)
        if request.path in (*INFERENCE_PATHS, MODELS_PATH) or is_service:
            request.team = self._teams.authenticate(request.headers)
        if request.path in INFERENCE_PATHS:
            if request.method != "POST":
                await writer.send_error(_METHOD_ERROR)
                return
            await self._serve_inference(request, receive, writer)
        elif request.path == MODELS_PATH and request.method == "GET":
            await self._serve_models(writer)
        elif is_service:
            await self._serve_service(request, receive, writer)
        else:
            await writer.send_error(_UNKNOWN_PATH_ERROR)

    async def _serve_models(self, writer: ResponseWriter) -> None:
        rows = self._router.list_rows()
        names = [r.name for r in rows if r.kind is not ItemKind.SERVICE]
        entries = [{"id": n, "object": "model"} for n in sorted(names)]
        body = msgspec.json.encode({"object": "list", "data": entries})
        await writer.send_response(200, _JSON_HEADERS, body, None)

    async def _serve_inference(
        self, request: CallerRequest, receive, writer: ResponseWriter
    ) -> None:
        inference = parse_inference(request.body)
        row = self._find_row(inference.model, is_service=False)
        call = self._create_call(request, row, inference.version)

        def create_request(slot: Slot, attempt: AttemptId):
            return self._create_inference_request(
                request, inference, slot, attempt
            )

        if inference.stream and not self._is_keyed(request, row):
            await self._run_stream(call, receive, writer, create_request)
            return
        await self._run_buffered(
            request, call, receive, writer, create_request
        )

    async def _serve_service(
        self, request: CallerRequest, receive, writer: ResponseWriter
    ) -> None:
        service_path = request.path.removeprefix(SERVICES_PREFIX)
        name, _, path = service_path.partition("/")
        row = self._find_row(name, is_service=True)
        call = self._create_call(request, row, None)

        def create_request(slot: Slot, attempt: AttemptId):
            return _create_service_request(request, path, call, attempt)

        await self._run_buffered(
            request, call, receive, writer, create_request
        )

    def _find_row(self, name: str, is_service: bool) -> SheetRow:
        row = self._router.find_sheet_row(name)
        if row is None or (row.kind is ItemKind.SERVICE) != is_service:
            raise ItemUnknown(
                f"{name!r} is not on the active sheet",
                "check the name; GET /v1/models lists the models",
            )
        return row

    def _create_call(
        self, request: CallerRequest, row: SheetRow, version: str | None
    ) -> Call:
        deadline = request.deadline or timedelta(milliseconds=row.deadline_ms)
        now = self._clock.monotonic()
        call = Call(
            request_id=request.request_id,
            row=row,
            version=version,
            priority=self._teams.get_priority(request.team)
            or request.priority
            or row.priority,
            started_at=now,
            deadline_at=now + deadline.total_seconds(),
            body_size=len(request.body),
            prompt_blocks=_list_row_prompt_blocks(row, request),
            list_traits=functools.cache(
                lambda: _list_request_traits(row, request)
            ),
        )
        self._router.record_arrival(call)
        return call

    def _is_keyed(self, request: CallerRequest, row: SheetRow) -> bool:
        # An idempotent call may run more than once, so its key needs no
        # claim.
        return request.key is not None and not row.idempotent

    async def _run_stream(
        self, call: Call, receive, writer: ResponseWriter, create_request
    ) -> None:
        attempt_log = AttemptLog()
        relay = StreamRelay(
            self._router,
            self._runner,
            self._settings,
            self._routing_settings,
            self._clock,
            writer,
            call,
            create_request,
            attempt_log,
        )
        try:
            await self._run_call(call, receive, writer, attempt_log, relay.run)
        finally:
            self._record_metrics(call, writer, relay.token_gaps.first_at)
            relay.token_gaps.record(call.priority)

    async def _run_buffered(
        self,
        request: CallerRequest,
        call: Call,
        receive,
        writer: ResponseWriter,
        create_request,
    ) -> None:
        attempt_log = AttemptLog()

        async def attempt():
            return await self._runner.run_buffered(
                call, create_request, attempt_log
            )

        async def run() -> None:
            if self._is_keyed(request, call.row):
                keyed = KeyedCall(
                    business=call.row.business,
                    key=request.key,
                    digest=request.digest(),
                )
                response = await self._keyed_runner.run(
                    keyed, attempt, attempt_log
                )
            else:
                response = await attempt()
            await writer.send_recorded_response(
                response, infer_run_status(response.status)
            )

        try:
            await self._run_call(call, receive, writer, attempt_log, run)
        finally:
            responded_at = self._clock.monotonic() if writer.started else None
            self._record_metrics(call, writer, responded_at)

    def _record_metrics(
        self, call: Call, writer: ResponseWriter, first_token_at: float | None
    ) -> None:
        outcome = _classify_outcome(writer)
        first_token_s = None
        if first_token_at is not None and outcome in _OUTCOMES_WITH_TOKENS:
            first_token_s = first_token_at - call.started_at
        deadline_s = call.deadline_at - call.started_at
        record_request(call.priority, outcome, first_token_s, deadline_s)

    async def _run_call(
        self, call: Call, receive, writer: ResponseWriter, attempt_log, run
    ) -> None:
        self._calls[call] = self._clock.monotonic()

        async def run_within_grace() -> None:
            with self._stop_grace.limit(math.inf, lambda: writer.started):
                await run()

        try:
            if call.is_idempotent:
                await run_until_disconnect(receive, run_within_grace)
            else:
                await run_within_grace()
        except TimeoutError:
            await _send_error(writer, _STOPPED_ERROR)
        except ClaimRefused as error:
            await _send_error(writer, error.error_response)
        except TargetFailed as error:
            run_status = infer_run_status(error.response.status)
            await writer.send_recorded_response(error.response, run_status)
        except RoutingRefused as error:
            await _send_error(
                writer,
                _create_refusal_response(error, attempt_log.run_status),
            )
        except TargetError as error:
            await _send_error(
                writer,
                _create_target_error_response(error, attempt_log.run_status),
            )
        finally:
            del self._calls[call]

    def _create_inference_request(
        self,
        request: CallerRequest,
        inference: InferenceBody,
        slot: Slot,
        attempt: AttemptId,
    ) -> ExchangeRequest:
        return ExchangeRequest(
            attempt=attempt,
            method="POST",
            path=request.path,
            headers=[
                (b"content-type", b"application/json"),
                (b"x-priority", slot.call.priority.value.encode()),
                *create_team_headers(request.team),
            ],
            body=inference.encode_for(slot.model),
            fresh_connection=_needs_new_connection(slot.call),
            reused_first_byte_limit=_find_kept_connection_limit(slot),
            new_first_byte_limit=self._find_new_connection_limit(slot),
        )

    def _find_new_connection_limit(self, slot: Slot) -> timedelta | None:
        """Return the first-byte timeout on a new connection.

        None where a late response is better than none: at a target of the
        local failure domain, without another target to retry at. A target
        of another domain that sends nothing is probably unreachable.
        """
        call = slot.call
        if not call.is_idempotent:
            return None
        is_local = slot.target.distance is Distance.OWN_DOMAIN
        if is_local and not self._router.can_retry_elsewhere(
            call, slot.target
        ):
            return None
        return max(
            _MIN_NEW_CONNECTION_LIMIT,
            _GIVE_UP_DEADLINE_FACTOR * _find_kept_connection_limit(slot),
        )


def _create_service_request(
    request: CallerRequest, path: str, call: Call, attempt: AttemptId
) -> ExchangeRequest:
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _UNFORWARDED_HEADERS
        and not name.startswith(b"dotterelbridge-")
    ]
    query = "?" + request.query.decode("latin-1") if request.query else ""
    return ExchangeRequest(
        attempt=attempt,
        method=request.method,
        path=f"/{path}{query}",
        headers=replace_key(headers, request.team),
        body=request.body,
        fresh_connection=_needs_new_connection(call),
    )


def _list_row_prompt_blocks(
    row: SheetRow, request: CallerRequest
) -> tuple[str, ...]:
    if row.kind is ItemKind.SERVICE:
        return ()
    return list_prompt_blocks(row.name, request.body)


def _list_request_traits(
    row: SheetRow, request: CallerRequest
) -> tuple[TraitId, ...]:
    """Return what a request has in common with others, itself first."""
    credentials = request.credentials
    digest = hashlib.sha256(request.digest().encode() + credentials)
    traits = [create_request_trait(digest.hexdigest()[:_HASH_LENGTH])]
    if row.kind is not ItemKind.SERVICE:
        prefixes = list_prompt_prefixes(row.name, request.body)
        traits += [TraitId(prefix) for prefix in prefixes]
    if credentials:
        caller = hashlib.sha256(credentials).hexdigest()
        traits.append(create_caller_trait(caller[:_HASH_LENGTH]))
    return tuple(traits)


def _needs_new_connection(call: Call) -> bool:
    return not call.is_idempotent or call.unanswered_attempts > 0


def _find_kept_connection_limit(slot: Slot) -> timedelta:
    """Return the first-byte timeout on a kept connection: the deadline."""
    remaining_s = slot.call.deadline_at - slot.acquired_at
    return max(_MIN_KEPT_CONNECTION_LIMIT, timedelta(seconds=remaining_s))


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_error(
    writer: ResponseWriter, error_response: ErrorResponse
) -> None:
    if writer.started:
        raise ResponseIncomplete(error_response.message, error_response.remedy)
    await writer.send_error(error_response)


_OUTCOMES_WITH_TOKENS = (RequestOutcome.ANSWERED, RequestOutcome.BROKEN)


def _classify_outcome(writer: ResponseWriter) -> RequestOutcome:
    """Derive the outcome of a request from what was sent to its caller."""
    if not writer.started:
        return RequestOutcome.DISCONNECTED
    if not writer.finished:
        return RequestOutcome.BROKEN
    if writer.status < HTTPStatus.BAD_REQUEST:
        return RequestOutcome.ANSWERED
    if writer.run_status is RunStatus.NO:
        return RequestOutcome.REFUSED
    if writer.run_status is RunStatus.YES:
        return RequestOutcome.TARGET_ERROR
    return RequestOutcome.BROKEN


_UNKNOWN_PATH_ERROR = ErrorResponse(
    status=404,
    kind="path_unknown",
    message="nothing is served at this path",
    remedy="use /v1/chat/completions, /v1/completions, /v1/models or "
    "/services/NAME/PATH",
    run=RunStatus.NO,
)
_METHOD_ERROR = ErrorResponse(
    status=405,
    kind="method_not_allowed",
    message="this path accepts only POST",
    remedy="send it with POST",
    run=RunStatus.NO,
)
_STOPPED_ERROR = ErrorResponse(
    status=504,
    kind="stopped",
    message="this VM stops before the target has answered",
    remedy="send it again only if running it twice does no harm",
    run=RunStatus.UNKNOWN,
)
_INTERNAL_ERROR = ErrorResponse(
    status=500,
    kind="internal",
    message="internal error",
    remedy="report it with the value of Dotterelbridge-Request-Id",
    run=RunStatus.UNKNOWN,
)


def _create_refusal_response(
    error: RequestRefused, run: RunStatus = RunStatus.NO
) -> ErrorResponse:
    status, kind = 503, "not_run"
    if isinstance(error, KeyRefused):
        return create_unauthorized_response(error)
    if isinstance(error, RequestTooLarge):
        status, kind = 413, "too_large"
    elif isinstance(error, RequestMalformed):
        status, kind = 400, "malformed"
    elif isinstance(error, ItemUnknown):
        status, kind = 404, "item_unknown"
    elif run is not RunStatus.NO:
        # Statuses such as 503 promise that the request has not run.
        status, kind = 502, "target_broke"
    elif isinstance(error, QueueFull):
        status, kind = 429, "queue_full"
    elif isinstance(error, RoutingRefused):
        status, kind = 503, "no_place"
    return ErrorResponse(
        status=status,
        kind=kind,
        message=error.problem,
        remedy=error.remedy,
        run=run,
        retry_after=getattr(error, "retry_after", None),
    )


def _create_target_error_response(
    error: TargetError, run: RunStatus
) -> ErrorResponse:
    not_run = run is RunStatus.NO
    return ErrorResponse(
        status=503 if not_run else 502,
        kind="target_unavailable" if not_run else "target_broke",
        message=error.problem,
        remedy="send it again after the time in Retry-After"
        if not_run
        else "send it again only if running it twice does no harm",
        run=run,
        retry_after=timedelta(seconds=1) if not_run else None,
    )


def create_caller_app(
    router: Router,
    claims: ClaimService,
    clock: Clock,
    settings: ServingSettings,
    routing_settings: RoutingSettings,
    rng: random.Random,
    teams: CallerTeams | None = None,
) -> CallerApp:
    """Return the ASGI application for callers.

    :param teams: those that may call; by default everybody may.
    """
    return CallerApp(
        router,
        claims,
        clock,
        settings,
        routing_settings,
        rng,
        teams or CallerTeams({}),
    )
