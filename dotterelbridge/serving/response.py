"""Responses to callers, written as ASGI messages."""

import abc
from collections.abc import Iterable

from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import RunStatus
from dotterelbridge.serving.errors import ErrorResponse

REQUEST_ID_HEADER = b"dotterelbridge-request-id"
RUN_HEADER = b"dotterelbridge-run"
SINK_EXTENSION = "dotterelbridge.sink"
"""Key of the ResponseSink in the extensions of an ASGI scope."""

ENDS_WITH_CONNECTION = "dotterelbridge.ends_with_connection"
"""Key of ASGI's response start: the body has neither a length nor chunks."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that concern one connection and are written anew for the next."""

_STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-request-id", b"date", b"server"}
_BODYLESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class ResponseSink(abc.ABC):
    """The caller's connection, as the destination of a response.

    Supplements ASGI's ``send`` with a synchronous write: stream data is
    written directly from the callback that read it, without a task switch.
    """

    @abc.abstractmethod
    def write(self, message: dict) -> bool:
        """Buffer an ASGI message; return False when the buffer is full."""

    @abc.abstractmethod
    async def wait_writable(self) -> None:
        """Wait until the write buffer has drained enough."""


def create_response_start(
    status: int, headers: Headers, ends_with_connection: bool = False
) -> dict:
    """Return the ASGI message that starts a response.

    :param ends_with_connection: whether the body has neither a length nor
        chunks, because its end cannot be told from a cut.
    """
    return {
        "type": "http.response.start",
        "status": status,
        "headers": headers,
        ENDS_WITH_CONNECTION: ends_with_connection,
    }


async def write_response(
    sink: ResponseSink, status: int, headers: Headers, body: bytes
) -> None:
    """Write a complete response and wait until the sink is writable."""
    length = (b"content-length", b"%d" % len(body))
    sink.write(create_response_start(status, [*headers, length]))
    sink.write(
        {"type": "http.response.body", "body": body, "more_body": False}
    )
    await sink.wait_writable()


class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, sink: ResponseSink, request_id: RequestId) -> None:
        self._sink = sink
        self._request_id = request_id
        self.started = False
        self.finished = False
        """Whether the complete response was written."""
        self.status = 0
        self.run_status: RunStatus | None = None

    async def send_error(self, error_response: ErrorResponse) -> None:
        """Send an error as JSON."""
        headers = [(b"content-type", b"application/json")]
        seconds = error_response.retry_after_s()
        if seconds is not None:
            headers.append((b"retry-after", b"%d" % seconds))
        headers += error_response.list_challenges()
        body = error_response.encode_body()
        await self.send_response(
            error_response.status, headers, body, error_response.run
        )

    async def send_recorded_response(
        self, response: RecordedResponse, run_status: RunStatus = RunStatus.YES
    ) -> None:
        """Send a target's complete response."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
        ]
        if not response.is_end_known:
            await self._send_body(
                response.status,
                headers,
                response.body,
                run_status,
                ends_with_connection=True,
            )
            return
        await self.send_response(
            response.status, headers, response.body, run_status
        )

    async def send_response(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        run_status: RunStatus | None,
    ) -> None:
        """Send a complete response with its Content-Length."""
        if status not in _BODYLESS_STATUSES:
            headers = headers + [(b"content-length", b"%d" % len(body))]
        await self._send_body(status, headers, body, run_status)

    async def _send_body(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        run_status: RunStatus | None,
        ends_with_connection: bool = False,
    ) -> None:
        self.start(status, headers, run_status, ends_with_connection)
        self.write_body(body, more=False)
        await self.wait_writable()

    def start(
        self,
        status: int,
        headers: Headers,
        run_status: RunStatus | None,
        ends_with_connection: bool = False,
    ) -> None:
        """Write status and headers."""
        self.started = True
        self.status = status
        self.run_status = run_status
        added = [(REQUEST_ID_HEADER, self._request_id.encode())]
        if run_status is not None:
            added.append((RUN_HEADER, run_status.value.encode()))
        self._sink.write(
            create_response_start(
                status, headers + added, ends_with_connection
            )
        )

    def write_body(self, data: bytes, more: bool = True) -> bool:
        """Write part of the body; return False when the buffer is full."""
        self.finished = not more
        return self._sink.write(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def wait_writable(self) -> None:
        """Wait until the sink is writable."""
        await self._sink.wait_writable()


def filter_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the response headers of a target that are passed on."""
    received = list(headers)
    connection_options = _list_connection_options(received)
    return [
        (name, value)
        for name, value in received
        if name not in _STRIPPED_HEADERS
        and name not in connection_options
        and not name.startswith(b"dotterelbridge-")
    ]


def _list_connection_options(headers: Headers) -> set[bytes]:
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
