"""Errors of exchanges with targets, beside those of the root module."""

from dotterelbridge.errors import TargetBroken


class TargetIdleTimeout(TargetBroken):
    """The connection carried no byte for longer than its limit."""


class ResponseIdMismatch(TargetBroken):
    """The answer carries the id of another request."""


class MalformedResponse(TargetBroken):
    """The answer breaks HTTP or its size limits."""
