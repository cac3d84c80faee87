"""The ASGI application with which operators submit and read routes."""

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
_LOG_TIMEOUT = timedelta(milliseconds=900)
"""Below 1 s, after which operators try another VM."""
_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class RoutesApp:
    """PUT submits a routes document, GET returns the newest one."""

    def __init__(
        self,
        submitter: RoutesSubmitter,
        path: str = NATIVE_PATH,
        document_limit_bytes: int = 16 * 1024 * 1024,
    ) -> None:
        self._submitter = submitter
        self._path = path
        self._document_limit_bytes = document_limit_bytes

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        sink = scope["extensions"][SINK_EXTENSION]
        if scope["path"] != self._path:
            await _send_error(sink, 404, "no such path", f"use {self._path}")
        elif scope["method"] == "PUT":
            await self._submit(receive, sink)
        elif scope["method"] == "GET":
            await self._read(sink)
        else:
            await _send_error(sink, 405, "unknown method", "use PUT or GET")

    async def _submit(self, receive, sink: ResponseSink) -> None:
        try:
            document = await read_body(receive, self._document_limit_bytes)
            newest_version = await self._submitter.submit(
                document, _LOG_TIMEOUT
            )
        except CallerDisconnected:
            return
        except (RoutesInvalid, RequestRefused) as error:
            await _send_error(sink, 400, error.problem, error.remedy)
        except RoutesUnknown as error:
            await _send_error(sink, 503, error.problem, error.remedy)
        else:
            body = msgspec.json.encode({"version": newest_version})
            await _send_json(sink, 200, body)

    async def _read(self, sink: ResponseSink) -> None:
        try:
            packed = await self._submitter.read(_LOG_TIMEOUT)
        except RoutesUnknown as error:
            await _send_error(sink, 503, error.problem, error.remedy)
            return
        await _send_json(sink, 200, packed.unpack())


async def _send_error(
    sink: ResponseSink, status: int, problem: str, remedy: str
) -> None:
    error_response = ErrorResponse(
        status=status,
        kind="routes",
        message=problem,
        remedy=remedy,
        run=RunStatus.NO,
    )
    await _send_json(sink, status, error_response.encode_body())


async def _send_json(sink: ResponseSink, status: int, body: bytes) -> None:
    await write_response(sink, status, [_JSON_CONTENT_TYPE], body)
