"""The permission of a VM to rely on the keys that it knows."""

import math

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.teams.events import TeamsEvent
from dotterelbridge.teams.settings import TeamsSettings

_log = structlog.get_logger(__name__)

UNCONFIRMED_MS = 86_400_000
"""Age of keys that were never confirmed."""
_MARGIN_MS = 250
"""By how much the permission ends early, for the time between the check and
the arrival of the request at a target."""
_MS_PER_S = 1000


class KeyPermission:
    """Expires unless the VM's keys are confirmed to be current.

    The keys are confirmed as of the time at which the VM sent a poll, less
    the age that its source states. The time at which the response arrives
    does not count, because a VM that was paused reads old responses.
    """

    def __init__(self, clock: Clock, settings: TeamsSettings) -> None:
        self._clock = clock
        self._lifetime_ms = settings.key_lifetime_ms
        self._refusal_age_ms = settings.refusal_age_ms
        self._confirmed_at: float | None = None
        """Monotonic time as of which the keys are known to be current."""
        self._was_valid = True

    def record(self, sent_at: float, source_age_ms: float) -> None:
        """Record a response whose routes are active on this VM.

        :param sent_at: monotonic time at which the request was sent.
        :param source_age_ms: age of the source's own keys.
        """
        confirmed_at = sent_at - max(0.0, source_age_ms) / _MS_PER_S
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
        self.is_valid()

    def is_valid(self) -> bool:
        """Return whether requests with keys may be served."""
        is_valid = self._is_younger_than(self._lifetime_ms)
        if is_valid != self._was_valid:
            self._was_valid = is_valid
            events.log(
                _log,
                TeamsEvent.KEY_PERMISSION_RENEWED
                if is_valid
                else TeamsEvent.KEY_PERMISSION_EXPIRED,
                age_ms=self.age_ms(),
            )
        return is_valid

    def allows_refusal(self) -> bool:
        """Return whether a request without a known key may get 401."""
        return self._is_younger_than(self._refusal_age_ms)

    def age_ms(self) -> int:
        """Return the time since the keys were known to be current.

        Rounded up, so that it never understates the age to other VMs.
        """
        if self._confirmed_at is None:
            return UNCONFIRMED_MS
        elapsed_s = self._clock.monotonic() - self._confirmed_at
        return min(UNCONFIRMED_MS, math.ceil(elapsed_s * _MS_PER_S))

    def _is_younger_than(self, limit_ms: float) -> bool:
        if limit_ms == 0:
            return True
        return self.age_ms() < limit_ms - _MARGIN_MS
