"""Attempts to dial a peer, and how long the next one may take."""

from datetime import timedelta

from dotterelbridge.peers.handshake_monitor import Handshake
from dotterelbridge.peers.handshake_monitor import HandshakeOutcome
from dotterelbridge.peers.settings import PeersSettings

_DOUBLINGS_LIMIT = 2


class DialHistory:
    """The attempts in a row to dial one peer that have failed."""

    def __init__(self) -> None:
        self.failures = 0
        self._late_answers = 0

    def record(self, attempt: Handshake) -> None:
        """Record how an attempt ended."""
        if attempt.outcome is HandshakeOutcome.AUTHENTICATED:
            self.failures = 0
        else:
            self.failures += 1
        is_late = attempt.outcome is HandshakeOutcome.TIMED_OUT
        if not is_late:
            self._late_answers = 0
        elif attempt.is_connected:
            self._late_answers += 1

    def compute_handshake_limit(self, settings: PeersSettings) -> timedelta:
        """Return the time for a handshake once the connection is open.

        It doubles after each handshake that took too long. With a fixed
        limit, a peer that is busy for longer answers attempts that have been
        given up, and all VMs that dial it make it busier by dialling again.
        """
        doublings = min(self._late_answers, _DOUBLINGS_LIMIT)
        return timedelta(
            milliseconds=settings.handshake_timeout_ms * 2**doublings
        )


def compute_longest_handshake(settings: PeersSettings) -> timedelta:
    """Return the longest time that a peer may wait for an answer."""
    return timedelta(
        milliseconds=settings.handshake_timeout_ms * 2**_DOUBLINGS_LIMIT
    )
