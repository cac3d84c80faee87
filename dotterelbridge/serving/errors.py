"""Errors of the callers' listener, and their form as answers."""

from datetime import timedelta
import math

import msgspec

from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.errors import RequestRefused
from dotterelbridge.ids import RunStatus


class RequestMalformed(RequestRefused):
    """The request cannot be understood."""


class RequestTooLarge(RequestRefused):
    """The request exceeds a size limit."""


class CallerDisconnected(DotterelbridgeError):
    """The caller hung up before its request was whole."""

    def __init__(self) -> None:
        super().__init__("the caller hung up", "send the request again")


class ResponseIncomplete(DotterelbridgeError):
    """A stream that has begun cannot be brought to its end."""


class ErrorResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An error as the caller gets it."""

    status: int
    kind: str
    message: str
    remedy: str
    run: RunStatus
    retry_after: timedelta | None = None

    def encode_body(self) -> bytes:
        """Return the JSON body."""
        return msgspec.json.encode(
            {
                "error": {
                    "type": self.kind,
                    "message": self.message,
                    "remedy": self.remedy,
                }
            }
        )

    def retry_after_s(self) -> int | None:
        """Return whole seconds for the Retry-After header, at least 1."""
        if self.retry_after is None:
            return None
        return max(1, math.ceil(self.retry_after.total_seconds()))
