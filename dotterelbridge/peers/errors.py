"""Errors of the links between daemons."""

from dotterelbridge.errors import PeerError
from dotterelbridge.errors import PeerUnreachable


class RequestNotSent(PeerUnreachable):
    """The request was never sent; it is safe to send it again."""


class PeerReturnedError(PeerError):
    """The peer received the request and returned an error."""


class PeerBusy(PeerError):
    """The peer was overloaded and did not handle the request.

    It is safe to send it again.
    """


class AuthenticationFailed(PeerError):
    """The handshake failed: wrong shared secret, or an unexpected VM."""


class ProtocolViolation(PeerError):
    """The peer sent data that violates the protocol."""


class MessageNotEncodable(PeerError):
    """A message holds a value that has no encoding; it was not sent."""
