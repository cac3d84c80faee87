"""What a target says of itself in the head of a response.

Any response may say that the target leaves; a 503 may say for how long the
target wants no requests from this VM.
"""

from collections.abc import Iterable
from datetime import timedelta
import math
import random

import msgspec

MAX_WAIT = timedelta(hours=1)
"""Longest time for which a target is left alone at its own word."""
_UNAVAILABLE_STATUS = 503
_RETRY_AFTER_HEADER = b"retry-after"
_TRUE_VALUE = b"1"
_FALSE_VALUE = b"0"
_NUMBER_CHARACTERS = frozenset(b"0123456789.")
_RETURN_SPREAD_SHARE = 0.2
_MAX_RETURN_SPREAD_S = 1.0
"""Bounds of the time over which VMs return to a target, as a share of the
time that it asked for and in seconds."""


class TargetStatement(msgspec.Struct, frozen=True, kw_only=True):
    """What one response says of its target."""

    is_leaving: bool = False
    wait: timedelta | None = None
    """Time in which the target wants no requests from this VM."""
    unreadable: bool = False
    """Whether a value could not be read; it was passed over."""

    def choose_return_s(self, rng: random.Random) -> float:
        """Return after how many seconds requests may be sent again.

        All VMs that were refused at the same moment would otherwise return
        at the same moment.
        """
        wait_s = self.wait.total_seconds()
        spread_s = min(_MAX_RETURN_SPREAD_S, wait_s * _RETURN_SPREAD_SHARE)
        return wait_s + rng.uniform(0.0, spread_s)


def read_statement(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    leaving_header: bytes,
) -> TargetStatement:
    """Return what the head of a response says of its target.

    Of several times the longest counts. Times that are not a plain number of
    seconds are passed over, also dates: they depend on the target's clock.
    """
    is_leaving = False
    unreadable = False
    wait_s: float | None = None
    for name, value in headers:
        if name == leaving_header:
            is_leaving = is_leaving or value.strip() == _TRUE_VALUE
            if value.strip() not in (_TRUE_VALUE, _FALSE_VALUE):
                unreadable = True
        elif name == _RETRY_AFTER_HEADER and status == _UNAVAILABLE_STATUS:
            seconds = _read_seconds(value)
            if seconds is None:
                unreadable = True
            else:
                wait_s = max(seconds, wait_s or 0.0)
    wait = None
    if wait_s is not None:
        wait = min(MAX_WAIT, timedelta(seconds=wait_s))
    return TargetStatement(
        is_leaving=is_leaving, wait=wait, unreadable=unreadable
    )


def _read_seconds(value: bytes) -> float | None:
    """Return a number of seconds, capped, or None if it is not one."""
    text = value.strip()
    if not text or not _NUMBER_CHARACTERS.issuperset(text):
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds):
        return None
    return min(seconds, MAX_WAIT.total_seconds())
