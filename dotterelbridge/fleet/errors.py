"""Errors of the fleet's parts."""

from dotterelbridge.errors import DotterelbridgeError


class ListingFailed(DotterelbridgeError):
    """The platform's list could not be read whole."""


class EngineCallFailed(DotterelbridgeError):
    """A control call to an engine got no answer that can be used."""
