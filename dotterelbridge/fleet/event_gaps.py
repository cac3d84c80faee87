"""Measures how fast an engine's streams advance, from its reports.

An engine that has turned slow may stay healthy, and each entry VM sends it
too few requests to notice. Its reports show all of its streams.
"""

import msgspec

MIN_INTERVAL_S = 0.2
"""Shortest time between two reports that are compared: their data is up to
200 ms old."""
_FADING = 0.8
"""Factor of the last measurement for each report without a stream, so that
an engine that was slow is tried again step by step."""
_MS_PER_S = 1000


class StreamProgress(msgspec.Struct, frozen=True):
    """Progress of one stream in a report."""

    stream_id: str
    events: int
    """Events that the engine has generated so far."""


class EventGapMeter:
    """Mean time between two events of a stream on one engine."""

    def __init__(self) -> None:
        self.gap_ms = 0.0
        """0 while unknown."""
        self._events: dict[str, int] = {}
        self._read_at = 0.0

    def record(self, streams: tuple[StreamProgress, ...], now: float) -> None:
        """Compare the streams of a report with those of the one before."""
        elapsed_s = now - self._read_at
        if elapsed_s < MIN_INTERVAL_S:
            return
        advances = [
            stream.events - self._events[stream.stream_id]
            for stream in streams
            # Streams that have not begun wait for their prompts.
            if self._events.get(stream.stream_id, 0) > 0
        ]
        self._events = {s.stream_id: s.events for s in streams}
        self._read_at = now
        if not advances:
            self.gap_ms *= _FADING
            return
        # Two events of an interval in which none came are at least one
        # interval apart.
        mean_advance = max(1.0, sum(advances) / len(advances))
        gap_ms = elapsed_s * _MS_PER_S / mean_advance
        self.gap_ms = (gap_ms + self.gap_ms) / 2 if self.gap_ms else gap_ms
