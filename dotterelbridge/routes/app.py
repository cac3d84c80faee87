"""The operators' door for routes, as an ASGI application."""

from datetime import timedelta

import msgspec

from dotterelbridge.errors import RequestRefused
from dotterelbridge.ids import RunStatus
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.errors import RoutesUnknown
from dotterelbridge.routes.submission import RoutesSubmitter
from dotterelbridge.serving.errors import CallerDisconnected
from dotterelbridge.serving.errors import ErrorResponse
from dotterelbridge.serving.request import read_body
from dotterelbridge.serving.response import SINK_EXTENSION
from dotterelbridge.serving.response import ResponseSink
from dotterelbridge.serving.response import write_response

NATIVE_PATH = "/routes"
_TIMEOUT = timedelta(milliseconds=900)
"""Operators ask another VM after a second without an answer."""
_JSON = (b"content-type", b"application/json")


class RoutesApp:
    """PUT submits a document, GET reads the newest one."""

    def __init__(
        self,
        submitter: RoutesSubmitter,
        path: str = NATIVE_PATH,
        document_limit: int = 16 * 1024 * 1024,
    ) -> None:
        self._submitter = submitter
        self._path = path
        self._document_limit = document_limit

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] != self._path:
            await _fail(sink, 404, "no such path", f"use {self._path}")
        elif scope["method"] == "PUT":
            await self._submit(receive, sink)
        elif scope["method"] == "GET":
            await self._read(sink)
        else:
            await _fail(sink, 405, "unknown method", "use PUT or GET")

    async def _submit(self, receive, sink: ResponseSink) -> None:
        try:
            document = await read_body(receive, self._document_limit)
            held = await self._submitter.submit(document, _TIMEOUT)
        except CallerDisconnected:
            return
        except (RoutesInvalid, RequestRefused) as error:
            await _fail(sink, 400, error.problem, error.remedy)
        except RoutesUnknown as error:
            await _fail(sink, 503, error.problem, error.remedy)
        else:
            body = msgspec.json.encode({"version": held})
            await _send(sink, 200, body)

    async def _read(self, sink: ResponseSink) -> None:
        try:
            packed = await self._submitter.read(_TIMEOUT)
        except RoutesUnknown as error:
            await _fail(sink, 503, error.problem, error.remedy)
            return
        await _send(sink, 200, packed.unpack())


async def _fail(
    sink: ResponseSink, status: int, problem: str, remedy: str
) -> None:
    failure = ErrorResponse(
        status=status,
        kind="routes",
        message=problem,
        remedy=remedy,
        run=RunStatus.NO,
    )
    await _send(sink, status, failure.encode_body())


async def _send(sink: ResponseSink, status: int, body: bytes) -> None:
    await write_response(sink, status, [_JSON], body)
