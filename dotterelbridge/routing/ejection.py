"""Ejection of failing targets, and the probes that bring them back."""

import enum
import random


class EjectionState(enum.Enum):
    """Whether a target gets requests."""

    ACTIVE = "in"
    EJECTED = "ejected"
    PROBING = "probing"


class Ejection:
    """Counts failures in a row; each ejection lasts twice the last one."""

    def __init__(
        self,
        failures: int,
        first_s: float,
        limit_s: float,
        rng: random.Random,
    ) -> None:
        self._failures_limit = failures
        self._first_s = first_s
        self._limit_s = limit_s
        self._random = rng
        self._failures = 0
        self._ejections = 0
        self._until = 0.0
        self._state = EjectionState.ACTIVE
        self._has_failed_probe = False

    @property
    def state(self) -> EjectionState:
        """The state, for choice and dump."""
        return self._state

    @property
    def has_failed_probe(self) -> bool:
        """Whether a probe has failed too, and nothing succeeded since."""
        return self._has_failed_probe

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    def record_success(self) -> None:
        """An answer came whole."""
        self._failures = 0
        self._ejections = 0
        self._has_failed_probe = False

    def record_failure(self, now: float) -> float | None:
        """Count a failure; return the seconds of an ejection it caused."""
        self._failures += 1
        if self._state is not EjectionState.ACTIVE:
            return None
        if self._failures < self._failures_limit:
            return None
        return self._eject(now)

    def schedule_probe(self, now: float) -> None:
        """Have the target probed at once: others found it silent."""
        if self._state is EjectionState.ACTIVE:
            self._state = EjectionState.EJECTED
            self._until = now

    def is_probe_due(self, now: float) -> bool:
        """Whether to probe the target now."""
        return self._state is EjectionState.EJECTED and now >= self._until

    def start_probe(self) -> None:
        """A probe is on its way."""
        self._state = EjectionState.PROBING

    def finish_probe(self, answered: bool, now: float) -> None:
        """Take the probe's outcome."""
        self._has_failed_probe = not answered
        if not answered:
            self._eject(now)
            return
        self._state = EjectionState.ACTIVE
        # One more failure ejects it again.
        self._failures = self._failures_limit - 1

    def _eject(self, now: float) -> float:
        duration = min(self._limit_s, self._first_s * 2**self._ejections)
        # Jitter: VMs that ejected it together don't return together.
        duration *= self._random.uniform(0.75, 1.25)
        self._ejections = min(self._ejections + 1, 16)
        self._until = now + duration
        self._state = EjectionState.EJECTED
        return duration
