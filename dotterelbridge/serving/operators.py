"""The operators' HTTP API: status, dumps, events and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import hmac
import json
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from dotterelbridge import __version__
from dotterelbridge import metrics
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.logs import RecentEvents

MAX_BODY_BYTES = 8 * 1024 * 1024
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

ASGIApp = Callable[[dict, Callable, Callable], Awaitable[None]]


class OperatorErrorBody:
    """The JSON form of an error, shared by all operators' routes."""

    @staticmethod
    def create(status: int, problem: str, remedy: str) -> JSONResponse:
        """Return an error response that names the remedy."""
        body = {"error": {"message": problem, "remedy": remedy}}
        return JSONResponse(body, status_code=status)


class TokenGuard:
    """ASGI middleware that checks the bearer token and the body's size."""

    def __init__(self, app: ASGIApp, token: bytes) -> None:
        self._app = app
        self._expected = b"Bearer " + token

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        headers = dict(scope["headers"])
        received = headers.get(b"authorization", b"")
        if not hmac.compare_digest(received, self._expected):
            refusal = OperatorErrorBody.create(
                401,
                "the bearer token is missing or wrong",
                "send 'Authorization: Bearer TOKEN' with the content of "
                "the daemon's operator_token_file",
            )
            await refusal(scope, receive, send)
            return
        await self._app(scope, SizeLimitedReceive(receive), send)


class SizeLimitedReceive:
    """ASGI receive that rejects bodies larger than MAX_BODY_BYTES."""

    def __init__(self, receive) -> None:
        self._receive = receive
        self._received_bytes = 0

    async def __call__(self) -> dict:
        """Return the next ASGI message."""
        message = await self._receive()
        self._received_bytes += len(message.get("body", b""))
        if self._received_bytes > MAX_BODY_BYTES:
            raise HTTPException(413, "the body is too large")
        return message


def create_operator_app(
    token: bytes,
    registry: DumpRegistry,
    recent_events: RecentEvents,
    summarize: Callable[[], dict[str, Any]],
    routes: Sequence[Route],
) -> ASGIApp:
    """Return the ASGI application for operators.

    :param summarize: returns what ``dotterelbridge status`` shows.
    :param routes: additional routes, from other parts of the daemon.
    """
    state = StateRoutes(registry, recent_events, summarize)
    app = Starlette(
        routes=[*state.list_routes(), *routes],
        exception_handlers={
            DotterelbridgeError: _handle_error,
            HTTPException: _handle_http_error,
            Exception: _handle_unexpected_error,
        },
    )
    return TokenGuard(app, token)


class StateRoutes:
    """Routes that return the state of the daemon."""

    def __init__(
        self,
        registry: DumpRegistry,
        recent_events: RecentEvents,
        summarize: Callable[[], dict[str, Any]],
    ) -> None:
        self._registry = registry
        self._recent_events = recent_events
        self._summarize = summarize

    def list_routes(self) -> list[Route]:
        """Return the Starlette routes."""
        prefix = "/operators/v1"
        return [
            Route(f"{prefix}/status", self._show_status),
            Route(f"{prefix}/dump", self._dump_all),
            Route(f"{prefix}/dump/{{part}}", self._dump_part),
            Route(f"{prefix}/events", self._list_events),
            Route("/metrics", self._show_metrics),
        ]

    async def _show_status(self, request: Request) -> Response:
        return _create_json_response(
            {"version": __version__, **self._summarize()}
        )

    async def _dump_all(self, request: Request) -> Response:
        return _create_json_response(self._registry.dump_all())

    async def _dump_part(self, request: Request) -> Response:
        part = request.path_params["part"]
        if part not in self._registry.list_names():
            return OperatorErrorBody.create(
                404,
                f"there is no part {part!r}",
                f"name one of {', '.join(self._registry.list_names())}",
            )
        return _create_json_response(self._registry.dump(part))

    async def _list_events(self, request: Request) -> Response:
        return _create_json_response(self._recent_events.list_lines())

    async def _show_metrics(self, request: Request) -> Response:
        return Response(
            metrics.render_prometheus_text(),
            media_type=METRICS_CONTENT_TYPE,
        )


class _LenientJSONResponse(JSONResponse):
    """JSON response that converts values of other types to strings."""

    def render(self, content: Any) -> bytes:
        return json.dumps(content, default=str).encode()


def _create_json_response(content: Any) -> Response:
    return _LenientJSONResponse(content)


async def _handle_error(request: Request, error: Exception) -> Response:
    return OperatorErrorBody.create(409, error.problem, error.remedy)


async def _handle_http_error(request: Request, error: Exception) -> Response:
    return OperatorErrorBody.create(
        error.status_code,
        str(error.detail),
        "see 'dotterelbridge --help' for the supported operations",
    )


async def _handle_unexpected_error(
    request: Request, error: Exception
) -> Response:
    return OperatorErrorBody.create(
        500,
        "the request failed with an unexpected error",
        "look for the error in the daemon's log and report a bug",
    )
