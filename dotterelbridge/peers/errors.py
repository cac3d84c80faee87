"""Errors of the links between daemons."""

from dotterelbridge.errors import PeerError
from dotterelbridge.errors import PeerUnreachable


class RequestNotSent(PeerUnreachable):
    """No byte of the request left this VM; sending it again is safe."""


class PeerReturnedError(PeerError):
    """The peer received the request and answered with an error."""


class PeerBusy(PeerError):
    """The peer was too busy and certainly did not handle the request."""


class AuthenticationFailed(PeerError):
    """The other end did not prove that it knows the shared secret."""


class ProtocolViolation(PeerError):
    """The other end sent something that the protocol does not allow."""
