"""Measures the time between the events of streams, by target and model.

The active controller derives the speeds of engines from it
(``fleet/engine_speeds.py``).
"""

import statistics

from dotterelbridge.fleet.messages import StreamGap
from dotterelbridge.ids import Incarnation

_MIN_GAPS = 4
"""Gaps below which a stream tells nothing: one prompt that is processed
between two events would decide the median."""
_WINDOW_GAPS = 16
"""Gaps after which a stream that goes on is counted, so that long streams
show a change of speed before they end."""
_MAX_EVENTS_PER_CHUNK = 8
"""Events of one chunk that count; more of them show that this VM was late."""
_MAX_CELLS = 64
"""Pairs of a target and a model in one report. A report is sent every half
second, in which a VM of the target size ends two streams."""
_MAX_STREAMS_PER_CELL = 32
_MS_PER_S = 1000


class StreamGapMeter:
    """Gaps of one stream at one target.

    Chunks are what the target's connection delivered at a time: they may
    hold several events, which then share the time since the chunk before.
    """

    def __init__(
        self, gaps: "StreamGaps", incarnation: Incarnation, model: str
    ) -> None:
        self._stream_gaps = gaps
        self._cell = (incarnation, model)
        self._gaps_s: list[float] = []
        self._last_at: float | None = None

    def record(self, now: float, events: bytes) -> None:
        """Record a chunk of complete events at a monotonic time."""
        if self._last_at is not None:
            count = min(_count_events(events), _MAX_EVENTS_PER_CHUNK)
            gap_s = (now - self._last_at) / count
            self._gaps_s.extend((gap_s,) * count)
            if len(self._gaps_s) >= _WINDOW_GAPS:
                self.finish()
        self._last_at = now

    def finish(self) -> None:
        """Count what was measured since the previous call."""
        gaps_s, self._gaps_s = self._gaps_s, []
        if len(gaps_s) >= _MIN_GAPS:
            self._stream_gaps.add(*self._cell, statistics.median(gaps_s))


class StreamGaps:
    """Collects the median gaps of this VM's streams between two reports."""

    def __init__(self) -> None:
        self._cells: dict[tuple[Incarnation, str], list[float]] = {}

    def measure(self, incarnation: Incarnation, model: str) -> StreamGapMeter:
        """Return the meter of a stream that begins."""
        return StreamGapMeter(self, incarnation, model)

    def add(self, incarnation: Incarnation, model: str, gap_s: float) -> None:
        """Add the median gap of one stream."""
        cell = (incarnation, model)
        medians = self._cells.get(cell)
        if medians is None:
            if len(self._cells) >= _MAX_CELLS:
                return
            medians = self._cells[cell] = []
        if len(medians) < _MAX_STREAMS_PER_CELL:
            medians.append(gap_s)

    def read(self) -> tuple[StreamGap, ...]:
        """Return the measurements since the previous call, and reset them."""
        cells, self._cells = self._cells, {}
        return tuple(
            StreamGap(
                target=target,
                born=born,
                model=model,
                streams=len(medians),
                gap_ms=round(statistics.median(medians) * _MS_PER_S, 2),
            )
            for ((target, born), model), medians in cells.items()
        )


def _count_events(events: bytes) -> int:
    """Return the number of events; each ends with an empty line."""
    return max(
        1,
        events.count(b"\n\n"),
        events.count(b"\r\n\r\n"),
        events.count(b"\r\r"),
    )
