"""Keeps a SIGHUP that arrives before the daemon handles signals.

The default action of SIGHUP ends the process. Programs import this module
before the others, as those take some tenths of a second.
"""

import signal

_received: list[int] = []


def hold_reload_signal() -> None:
    """Record SIGHUP from now on, until another handler is installed."""
    signal.signal(
        signal.SIGHUP, lambda signum, frame: _received.append(signum)
    )


def take_reload_signal() -> bool:
    """Return whether SIGHUP arrived since the last call."""
    was_received = bool(_received)
    _received.clear()
    return was_received
