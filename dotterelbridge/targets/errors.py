"""Errors of exchanges with targets, in addition to dotterelbridge.errors."""

from dotterelbridge.errors import TargetBroken


class TargetIdleTimeout(TargetBroken):
    """No byte arrived on the connection within its limit."""


class ResponseIdMismatch(TargetBroken):
    """The response carries the ID of another request."""


class MalformedResponse(TargetBroken):
    """The response is not valid HTTP or exceeds a size limit."""
