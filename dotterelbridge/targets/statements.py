"""What a target says of itself in the head of a response.

Any response may say that the target leaves, or how many requests a second it
takes from all VMs together; a 503 may say for how long the target wants no
requests from this VM.
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
MIN_RATE_LIMIT_PER_S = 0.05
"""Lower rate limits count as this one: a target that gets no requests at all
cannot say that its limit has ended."""
MAX_RATE_LIMIT_PER_S = 1000.0
"""Higher rate limits are passed over, as no target gets so many requests."""
_RETURN_SPREAD_SHARE = 0.2
_MAX_RETURN_SPREAD_S = 1.0
"""Bounds of the time over which VMs return to a target, as a share of the
time that it asked for and in seconds."""


class TargetStatement(msgspec.Struct, frozen=True, kw_only=True):
    """What one response says of its target."""

    is_leaving: bool = False
    wait: timedelta | None = None
    """Time in which the target wants no requests from this VM."""
    rate_limit_per_s: float | None = None
    """Requests a second that the target takes from all VMs together."""
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
    rate_limit_header: bytes,
) -> TargetStatement:
    """Return what the head of a response says of its target.

    Of several times the longest counts, of several rate limits the lowest.
    Values that are not a plain number are passed over, also dates: they
    depend on the target's clock.
    """
    is_leaving = False
    unreadable = False
    wait_s: float | None = None
    rate_limit: float | None = None
    for name, value in headers:
        if name == leaving_header:
            is_leaving = is_leaving or value.strip() == _TRUE_VALUE
            if value.strip() not in (_TRUE_VALUE, _FALSE_VALUE):
                unreadable = True
        elif name == _RETRY_AFTER_HEADER and status == _UNAVAILABLE_STATUS:
            seconds = _read_number(value)
            if seconds is None:
                unreadable = True
            else:
                wait_s = max(seconds, wait_s or 0.0)
        elif name == rate_limit_header:
            requests_per_s = _read_number(value)
            if requests_per_s is None:
                unreadable = True
            elif rate_limit is None or requests_per_s < rate_limit:
                rate_limit = requests_per_s
    wait = None
    if wait_s is not None:
        wait = timedelta(seconds=min(MAX_WAIT.total_seconds(), wait_s))
    return TargetStatement(
        is_leaving=is_leaving,
        wait=wait,
        rate_limit_per_s=_bound_rate_limit(rate_limit),
        unreadable=unreadable,
    )


def _bound_rate_limit(requests_per_s: float | None) -> float | None:
    if requests_per_s is None or requests_per_s > MAX_RATE_LIMIT_PER_S:
        return None
    return max(MIN_RATE_LIMIT_PER_S, requests_per_s)


def _read_number(value: bytes) -> float | None:
    """Return a plain decimal number of at least 0, or None."""
    text = value.strip()
    if not text or not _NUMBER_CHARACTERS.issuperset(text):
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
