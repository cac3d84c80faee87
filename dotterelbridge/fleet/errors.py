"""Errors of the fleet package."""

from dotterelbridge.errors import DotterelbridgeError


class ListingFailed(DotterelbridgeError):
    """The platform's list could not be read completely."""


class EngineCallFailed(DotterelbridgeError):
    """A control call to an engine got no usable answer."""
