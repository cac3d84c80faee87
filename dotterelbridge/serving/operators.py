"""The operators' listener: state, metrics, drains and sheets."""

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
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

ASGIApp = Callable[[dict, Callable, Callable], Awaitable[None]]


class OperatorErrorBody:
    """The JSON form of an error, shared by all operators' routes."""

    @staticmethod
    def create(status: int, problem: str, remedy: str) -> JSONResponse:
        """Return an error answer that names the remedy."""
        body = {"error": {"message": problem, "remedy": remedy}}
        return JSONResponse(body, status_code=status)


class TokenGuard:
    """Lets only requests with the bearer token and a small body pass."""

    def __init__(self, app: ASGIApp, token: bytes) -> None:
        self._app = app
        self._expected = b"Bearer " + token

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        headers = dict(scope["headers"])
        found = headers.get(b"authorization", b"")
        if not hmac.compare_digest(found, self._expected):
            refusal = OperatorErrorBody.create(
                401,
                "the bearer token is missing or wrong",
                "send 'Authorization: Bearer TOKEN' with the content of "
                "the daemon's operator_token_file",
            )
            await refusal(scope, receive, send)
            return
        await self._app(scope, LimitedReceive(receive), send)


class LimitedReceive:
    """Reads a request body up to MAX_BODY_BYTES."""

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
    recent: RecentEvents,
    summarize: Callable[[], dict[str, Any]],
    routes: Sequence[Route],
) -> ASGIApp:
    """Return the ASGI app of the operators' listener.

    :param summarize: returns the record of ``dotterelbridge status``.
    :param routes: further routes, from the parts of the daemon.
    """
    state = StateRoutes(registry, recent, summarize)
    app = Starlette(
        routes=[*state.routes(), *routes],
        exception_handlers={
            DotterelbridgeError: _answer_error,
            HTTPException: _answer_http_error,
            Exception: _answer_fault,
        },
    )
    return TokenGuard(app, token)


class StateRoutes:
    """Routes that show the state of the daemon."""

    def __init__(
        self,
        registry: DumpRegistry,
        recent: RecentEvents,
        summarize: Callable[[], dict[str, Any]],
    ) -> None:
        self._registry = registry
        self._recent = recent
        self._summarize = summarize

    def routes(self) -> list[Route]:
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
        return _create_json({"version": __version__, **self._summarize()})

    async def _dump_all(self, request: Request) -> Response:
        return _create_json(self._registry.dump_all())

    async def _dump_part(self, request: Request) -> Response:
        part = request.path_params["part"]
        if part not in self._registry.list_names():
            return OperatorErrorBody.create(
                404,
                f"there is no part {part!r}",
                f"name one of {', '.join(self._registry.list_names())}",
            )
        return _create_json(self._registry.dump(part))

    async def _list_events(self, request: Request) -> Response:
        return _create_json(self._recent.list_lines())

    async def _show_metrics(self, request: Request) -> Response:
        return Response(
            metrics.render_prometheus_text(), media_type=METRICS_TYPE
        )


class _LenientJSONResponse(JSONResponse):
    """JSON of a dump: ids, enums and times become text."""

    def render(self, content: Any) -> bytes:
        return json.dumps(content, default=str).encode()


def _create_json(content: Any) -> Response:
    return _LenientJSONResponse(content)


async def _answer_error(request: Request, error: Exception) -> Response:
    return OperatorErrorBody.create(409, error.problem, error.remedy)


async def _answer_http_error(request: Request, error: Exception) -> Response:
    return OperatorErrorBody.create(
        error.status_code,
        str(error.detail),
        "see 'dotterelbridge --help' for what the listener offers",
    )


async def _answer_fault(request: Request, error: Exception) -> Response:
    return OperatorErrorBody.create(
        500,
        "the daemon failed on this request",
        "look for the error in the daemon's log and report a bug",
    )
