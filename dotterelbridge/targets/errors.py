"""Errors of exchanges with targets, in addition to dotterelbridge.errors."""

from dotterelbridge.errors import TargetExchangeFailed


class TargetIdleTimeout(TargetExchangeFailed):
    """No byte arrived on the connection within its limit."""


class ResponseIdMismatch(TargetExchangeFailed):
    """The response carries the ID of another request."""


class MalformedResponse(TargetExchangeFailed):
    """The response is not valid HTTP or exceeds a size limit."""
