"""Errors of exchanges with targets, beside those of the root module."""

from dotterelbridge.errors import TargetExchangeFailed


class TargetIdleTimeout(TargetExchangeFailed):
    """The connection carried no byte for longer than its limit."""


class ResponseIdMismatch(TargetExchangeFailed):
    """The answer carries the id of another request."""


class MalformedResponse(TargetExchangeFailed):
    """The answer breaks HTTP or its size limits."""
