"""Errors of the callers' API, and their HTTP responses."""

from datetime import timedelta
from http import HTTPStatus
import math

import msgspec

from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.errors import RequestRefused
from dotterelbridge.ids import RunStatus
from dotterelbridge.teams.authorization import KeyRefused


class RequestMalformed(RequestRefused):
    """The request is not valid."""


class RequestTooLarge(RequestRefused):
    """The request exceeds a size limit."""


class CallerDisconnected(DotterelbridgeError):
    """The caller disconnected before its request was complete."""

    def __init__(self) -> None:
        super().__init__("the caller disconnected", "send the request again")


class ResponseIncomplete(DotterelbridgeError):
    """A response that has started cannot be completed."""


class ErrorResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An error as the caller receives it."""

    status: int
    kind: str
    message: str
    remedy: str
    run: RunStatus
    retry_after: timedelta | None = None

    def encode_body(self) -> bytes:
        """Return the response body as JSON."""
        return msgspec.json.encode(
            {
                "error": {
                    "type": self.kind,
                    "message": self.message,
                    "remedy": self.remedy,
                }
            }
        )

    def list_challenges(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that say how a caller authenticates."""
        if self.status != HTTPStatus.UNAUTHORIZED:
            return []
        return [(b"www-authenticate", b"Bearer")]

    def retry_after_s(self) -> int | None:
        """Return the Retry-After header's value, at least 1 second."""
        if self.retry_after is None:
            return None
        return max(1, math.ceil(self.retry_after.total_seconds()))


def create_unauthorized_response(error: KeyRefused) -> ErrorResponse:
    """Return the response to a request without a valid key."""
    return ErrorResponse(
        status=HTTPStatus.UNAUTHORIZED.value,
        kind="unauthorized",
        message=error.problem,
        remedy=error.remedy,
        run=RunStatus.NO,
    )
