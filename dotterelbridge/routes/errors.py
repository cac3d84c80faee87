"""Errors of routes."""

from dotterelbridge.errors import DotterelbridgeError


class RoutesInvalid(DotterelbridgeError):
    """A set of routes cannot be put in force."""


class RoutesUnknown(DotterelbridgeError):
    """This VM cannot be sure which set of routes is the newest."""
