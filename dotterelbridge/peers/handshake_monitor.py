"""Counts and times the handshakes of one VM, at both ends of a link."""

from collections import Counter
from collections.abc import Iterator
import contextlib
import enum

from dotterelbridge import metrics
from dotterelbridge.clock import Clock

_MS_PER_S = 1000

_durations = metrics.create_latency_histogram(
    "dotterelbridge.peers.handshake",
    "Time from opening or accepting a connection until its handshake ended",
)
_open_counter = metrics.meter.create_up_down_counter(
    "dotterelbridge.peers.open_handshakes",
    description="Connections whose handshake is in progress, by end",
)


class LinkEnd(enum.Enum):
    """Which end of a connection this VM is."""

    DIALLING = "dialling"
    ACCEPTING = "accepting"


class HandshakeOutcome(enum.Enum):
    """How a handshake ended."""

    AUTHENTICATED = "authenticated"
    REFUSED = "refused"
    """One end did not prove what the other expected."""
    TIMED_OUT = "timed_out"
    """This end's time limit passed."""
    UNREACHABLE = "unreachable"
    """The connection could not be opened, or failed."""
    ABANDONED = "abandoned"
    """The dialling end no longer wanted the link, or gave up waiting."""


class Handshake:
    """One handshake that is being measured."""

    def __init__(self, clock: Clock, started_at: float) -> None:
        self.outcome = HandshakeOutcome.ABANDONED
        self.is_connected = False
        """Whether the peer's VM has accepted the connection."""
        self._clock = clock
        self._started_at = started_at

    @property
    def duration_s(self) -> float:
        """Time since the connection was opened."""
        return self._clock.monotonic() - self._started_at

    @property
    def duration_ms(self) -> int:
        """Time since the connection was opened, for log lines."""
        return round(self.duration_s * _MS_PER_S)


class HandshakeMonitor:
    """Measures all handshakes of one VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.open_counts: Counter[LinkEnd] = Counter()

    @contextlib.contextmanager
    def measure(
        self, end: LinkEnd, waited_s: float = 0.0
    ) -> Iterator[Handshake]:
        """Measure until the block ends; it sets the outcome.

        :param waited_s: time for which the connection has been open.
        """
        handshake = Handshake(self._clock, self._clock.monotonic() - waited_s)
        labels = {"end": end.value}
        self.open_counts[end] += 1
        _open_counter.add(1, labels)
        try:
            yield handshake
        finally:
            self.open_counts[end] -= 1
            _open_counter.add(-1, labels)
            _durations.record(
                handshake.duration_s,
                labels | {"outcome": handshake.outcome.value},
            )

    def describe(self) -> dict[str, int]:
        """Return the numbers of open handshakes for the state dump."""
        return {end.value: self.open_counts[end] for end in LinkEnd}
