"""Answers to callers, written through ASGI."""

import abc
from collections.abc import Iterable

from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.ids import RequestId
from dotterelbridge.ids import RunStatus
from dotterelbridge.serving.errors import ErrorResponse

REQUEST_ID_HEADER = b"dotterelbridge-request-id"
RUN_HEADER = b"dotterelbridge-run"
SINK_EXTENSION = "dotterelbridge.sink"
"""Name of the ResponseSink among a scope's extensions."""

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

_HIDDEN_HEADERS = HOP_BY_HOP_HEADERS | {b"x-request-id", b"date", b"server"}
_EMPTY_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class ResponseSink(abc.ABC):
    """Where an answer goes: the caller's connection.

    Beside ASGI's ``send``, since a stream is written from the step that
    read it, without a task.
    """

    @abc.abstractmethod
    def write(self, message: dict) -> bool:
        """Take an ASGI message whole; False when the caller lags."""

    @abc.abstractmethod
    async def wait_writable(self) -> None:
        """Return when the caller has taken enough of what was written."""


async def write_response(
    sink: ResponseSink, status: int, headers: Headers, body: bytes
) -> None:
    """Write an answer whose length is known, and wait until it fits."""
    length = (b"content-length", b"%d" % len(body))
    sink.write(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    sink.write(
        {"type": "http.response.body", "body": body, "more_body": False}
    )
    await sink.wait_writable()


class ResponseWriter:
    """Writes the one answer of a request."""

    def __init__(self, sink: ResponseSink, request: RequestId) -> None:
        self._sink = sink
        self._request = request
        self.started = False
        self.finished = False
        """Whether the whole answer was written."""
        self.status = 0
        self.run: RunStatus | None = None

    async def send_failure(self, failure: ErrorResponse) -> None:
        """Send an error as JSON."""
        headers = [(b"content-type", b"application/json")]
        seconds = failure.retry_after_s()
        if seconds is not None:
            headers.append((b"retry-after", b"%d" % seconds))
        body = failure.encode_body()
        await self.send_whole(failure.status, headers, body, failure.run)

    async def send_recorded(
        self, answer: RecordedResponse, run: RunStatus = RunStatus.YES
    ) -> None:
        """Send a target's whole answer."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        await self.send_whole(answer.status, headers, answer.body, run)

    async def send_whole(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        run: RunStatus | None,
    ) -> None:
        """Send an answer whose length is known."""
        if status not in _EMPTY_STATUSES:
            headers = headers + [(b"content-length", b"%d" % len(body))]
        self.start(status, headers, run)
        self.write_body(body, more=False)
        await self.wait_writable()

    def start(
        self, status: int, headers: Headers, run: RunStatus | None
    ) -> None:
        """Write status and headers."""
        self.started = True
        self.status = status
        self.run = run
        own = [(REQUEST_ID_HEADER, self._request.encode())]
        if run is not None:
            own.append((RUN_HEADER, run.value.encode()))
        self._sink.write(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers + own,
            }
        )

    def write_body(self, data: bytes, more: bool = True) -> bool:
        """Write part of the body; False when the caller lags."""
        self.finished = not more
        return self._sink.write(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def wait_writable(self) -> None:
        """Return when the caller has taken enough."""
        await self._sink.wait_writable()


def filter_response_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return a target's headers without those of its connection."""
    listed = list(headers)
    named = _list_connection_options(listed)
    return [
        (name, value)
        for name, value in listed
        if name not in _HIDDEN_HEADERS
        and name not in named
        and not name.startswith(b"dotterelbridge-")
    ]


def _list_connection_options(headers: Headers) -> set[bytes]:
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
