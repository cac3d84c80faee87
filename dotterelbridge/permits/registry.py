"""The rate limits of all targets, as the leader of the log knows them."""

from collections.abc import Mapping

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.permits.events import PermitEvent
from dotterelbridge.permits.messages import RateLimitNotice

_log = structlog.get_logger(__name__)

_MS_PER_S = 1000


class RateLimitRegistry:
    """Applies the notices of all VMs in a safe order."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._named_at: dict[Incarnation, float] = {}
        """Monotonic time at which each limit was last reported."""

    def apply(
        self, notice: RateLimitNotice, limits: Mapping[Incarnation, float]
    ) -> dict[Incarnation, float]:
        """Return the limits after a notice.

        A limit is lifted only by an answer to a request that was sent after
        the limit was last reported.

        :param limits: the limits in force.
        """
        incarnation = (notice.target, notice.born)
        now = self._clock.monotonic()
        known = limits.get(incarnation)
        if notice.requests_per_s is not None:
            self._named_at[incarnation] = now
            if notice.requests_per_s == known:
                return dict(limits)
            events.log(
                _log,
                PermitEvent.RATE_LIMIT_IN_FORCE,
                target=notice.target,
                born=notice.born,
                requests_per_s=notice.requests_per_s,
                before=known,
            )
            return {**limits, incarnation: notice.requests_per_s}
        sent_at = now - notice.sent_ms_ago / _MS_PER_S
        if known is None or sent_at <= self._named_at.get(incarnation, 0.0):
            return dict(limits)
        events.log(
            _log,
            PermitEvent.RATE_LIMIT_LIFTED,
            target=notice.target,
            born=notice.born,
            before=known,
        )
        return {k: v for k, v in limits.items() if k != incarnation}

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Forget all other targets."""
        for incarnation in self._named_at.keys() - incarnations:
            del self._named_at[incarnation]
