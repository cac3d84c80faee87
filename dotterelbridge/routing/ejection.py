"""Ejects failing targets and readmits them after a successful probe."""

import enum
import random


class EjectionState(enum.Enum):
    """Whether a target takes requests."""

    ACTIVE = "in"
    EJECTED = "ejected"
    PROBING = "probing"


class Ejection:
    """Ejects a target after consecutive failures, with exponential backoff.

    Each ejection lasts twice as long as the previous one, up to a limit.
    """

    def __init__(
        self,
        failures_limit: int,
        initial_duration_s: float,
        duration_limit_s: float,
        rng: random.Random,
    ) -> None:
        self._failures_limit = failures_limit
        self._initial_duration_s = initial_duration_s
        self._duration_limit_s = duration_limit_s
        self._random = rng
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._state = EjectionState.ACTIVE
        self._has_failed_probe = False

    @property
    def state(self) -> EjectionState:
        """The current state."""
        return self._state

    @property
    def has_failed_probe(self) -> bool:
        """Whether the last probe failed and nothing has succeeded since."""
        return self._has_failed_probe

    @property
    def consecutive_failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    def record_success(self) -> None:
        """Reset the counts after a complete response."""
        self._failures = 0
        self._ejections = 0
        self._has_failed_probe = False

    def record_failure(self, now: float) -> float | None:
        """Count a failure; return the ejection's seconds if it causes one."""
        self._failures += 1
        if self._state is not EjectionState.ACTIVE:
            return None
        if self._failures < self._failures_limit:
            return None
        return self._eject(now)

    def schedule_probe(self, now: float) -> None:
        """Eject the target until a probe, which is due at once.

        For targets that other VMs reported as not responding.
        """
        if self._state is EjectionState.ACTIVE:
            self._state = EjectionState.EJECTED
            self._ejected_until = now

    def is_probe_due(self, now: float) -> bool:
        """Whether the ejection has lasted long enough to send a probe."""
        return (
            self._state is EjectionState.EJECTED and now >= self._ejected_until
        )

    def start_probe(self) -> None:
        """Note that a probe was started."""
        self._state = EjectionState.PROBING

    def finish_probe(self, answered: bool, now: float) -> None:
        """Readmit the target or eject it again, by the probe's outcome."""
        self._has_failed_probe = not answered
        if not answered:
            self._eject(now)
            return
        self._state = EjectionState.ACTIVE
        # One more failure ejects it again.
        self._failures = self._failures_limit - 1

    def _eject(self, now: float) -> float:
        duration_s = min(
            self._duration_limit_s,
            self._initial_duration_s * 2**self._ejections,
        )
        # Jitter, so that VMs that ejected it together don't all return to it
        # at the same moment.
        duration_s *= self._random.uniform(0.75, 1.25)
        self._ejections = min(self._ejections + 1, 16)
        self._ejected_until = now + duration_s
        self._state = EjectionState.EJECTED
        return duration_s
