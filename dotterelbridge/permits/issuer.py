"""Issues permits for a target at the rate that it has named."""

from collections.abc import Callable
import math
import random

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict

MAX_ADVANCE_S = 2.0
"""Longest time ahead for which permits are issued. Also the time for which a
new issuer waits, in which permits of an earlier one may be used."""
_RETENTION_S = 60.0
"""Time after the last permit for a target after which it is forgotten; longer
than the interval at the lowest limit."""
_MAJORITY_SHARE = 0.5
_MS_PER_S = 1000


class _Schedule:
    """Times of the permits for one target."""

    def __init__(self, phase: float) -> None:
        self.phase = phase
        """Position of the permits within an interval, from 0 to 1."""
        self.last_permit_at = -math.inf


class PermitIssuer:
    """Issues one permit after the other, an interval apart.

    Unused capacity is not saved for later. Issuers that have less than half
    of the limit each, so that there may be many of them, issue at fixed times
    with a random phase: after a pause they would otherwise all have a permit
    ready at the same moment.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        get_share: Callable[[int], float],
    ) -> None:
        """Create an issuer.

        :param get_share: returns the part of each limit, from 0 to 1, that
            this issuer may hand out; gets the number of VMs that the sender
            of a request knows of.
        """
        self._clock = clock
        self._random = rng
        self._get_share = get_share
        self._schedules: dict[Incarnation, _Schedule] = {}
        self._not_before = -math.inf
        self._purged_at = -math.inf

    def wait_for_predecessor(self) -> None:
        """Issue nothing until all permits of an earlier issuer are over."""
        self._not_before = self._clock.monotonic() + MAX_ADVANCE_S

    def decide(self, request: PermitRequest) -> PermitReply:
        """Grant the next permit for a target if it is soon enough."""
        now = self._clock.monotonic()
        share = self._get_share(request.vm_count)
        if share <= 0:
            return PermitReply(verdict=PermitVerdict.UNAVAILABLE)
        self._purge(now)
        schedule = self._schedules.setdefault(
            (request.target, request.born), _Schedule(self._random.random())
        )
        interval_s = 1 / (request.requests_per_s * share)
        usable_at = max(
            now, self._not_before, schedule.last_permit_at + interval_s
        )
        if share < _MAJORITY_SHARE:
            usable_at = _align(usable_at, interval_s, schedule.phase)
        wait_s = usable_at - now
        wait_ms = math.ceil(wait_s * _MS_PER_S)
        if wait_s > min(request.max_wait_ms / _MS_PER_S, MAX_ADVANCE_S):
            return PermitReply(verdict=PermitVerdict.DENIED, wait_ms=wait_ms)
        schedule.last_permit_at = usable_at
        return PermitReply(verdict=PermitVerdict.GRANTED, wait_ms=wait_ms)

    def _purge(self, now: float) -> None:
        if now - self._purged_at < _RETENTION_S:
            return
        self._purged_at = now
        self._schedules = {
            incarnation: schedule
            for incarnation, schedule in self._schedules.items()
            if now - schedule.last_permit_at < _RETENTION_S
        }


def _align(at: float, interval_s: float, phase: float) -> float:
    """Return the first time from ``at`` on at a phase of the interval."""
    return (math.ceil(at / interval_s - phase) + phase) * interval_s
