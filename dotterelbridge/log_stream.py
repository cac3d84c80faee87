"""Writes log lines in a background thread, so that no caller blocks.

A log reader that is slow or has closed its end must not block a node. Lines
beyond the queue limit are dropped and counted; debug and info lines are
dropped from half of the limit on.
"""

from collections import deque
import io
import threading
from typing import TextIO

QUEUE_LIMIT_LINES = 4096
"""Size of the queue: a few seconds of log lines of a busy entry VM."""
_WRITE_INTERVAL_S = 0.02
"""Interval between writes; the lines of one interval are written together."""
_CLOSE_TIMEOUT_S = 1.0


class _NullStream(io.TextIOBase):
    """Text stream that discards what is written."""

    def write(self, text: str) -> int:
        return len(text)


class QueuedStream:
    """Queues lines without blocking; a background thread writes them."""

    def __init__(self, stream: TextIO, limit: int = QUEUE_LIMIT_LINES) -> None:
        self._stream = stream
        self._limit = limit
        self._lines: deque[str] = deque()
        self._has_lines = threading.Event()
        self._unreported_dropped_count = 0
        self.dropped_total = 0
        """Lines dropped since the start."""
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    @property
    def is_congested(self) -> bool:
        """Whether the queue is over half full.

        Debug and info lines are dropped as long as it is.
        """
        return len(self._lines) > self._limit // 2

    def record_dropped_line(self) -> None:
        """Count a dropped line."""
        self._unreported_dropped_count += 1
        self.dropped_total += 1

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped_count, self._unreported_dropped_count = (
            self._unreported_dropped_count,
            0,
        )
        return dropped_count

    def write(self, text: str) -> int:
        """Queue the text, or drop it when the queue is full."""
        if len(self._lines) >= self._limit:
            self.record_dropped_line()
        else:
            self._lines.append(text)
            self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the background thread flushes each write."""

    def close(self) -> None:
        """Write the queued lines, waiting at most a second for the reader."""
        self._stopping = True
        self._has_lines.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        write_timer = threading.Event()
        while True:
            self._has_lines.wait()
            if not self._stopping:
                write_timer.wait(_WRITE_INTERVAL_S)
            self._has_lines.clear()
            self._write_queued_lines()
            if self._stopping and not self._lines:
                return

    def _write_queued_lines(self) -> None:
        text = "".join(self._lines.popleft() for _ in range(len(self._lines)))
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # The output is closed; the node keeps serving without logs.
            self._stream = _NullStream()
