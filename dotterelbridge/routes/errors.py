"""Errors of routes."""

from dotterelbridge.errors import DotterelbridgeError


class RoutesInvalid(DotterelbridgeError):
    """A set of routes failed validation and cannot be activated."""


class RoutesUnknown(DotterelbridgeError):
    """This VM cannot tell for certain which set of routes is the newest."""
