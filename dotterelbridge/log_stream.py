"""Writes log lines from a thread of its own, so that no caller waits.

A reader that is slow or gone must not stop a node. Lines beyond the
bound are dropped, ordinary ones from half of it on, and counted.
"""

from collections import deque
import io
import threading
from typing import TextIO

QUEUE_LIMIT_LINES = 4096
"""Lines that wait to be written: some seconds of a busy entry VM."""
_WRITE_INTERVAL_S = 0.02
"""Time in which lines are gathered into one write."""
_FLUSH_LIMIT_S = 1.0


class _NullStream(io.TextIOBase):
    """Takes text and forgets it."""

    def write(self, text: str) -> int:
        return len(text)


class QueuedStream:
    """Takes lines at once; a thread writes them."""

    def __init__(self, stream: TextIO, limit: int = QUEUE_LIMIT_LINES) -> None:
        self._stream = stream
        self._limit = limit
        self._lines: deque[str] = deque()
        self._waiting = threading.Event()
        self._dropped = 0
        self.dropped_total = 0
        """Lines dropped since the start."""
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    @property
    def is_congested(self) -> bool:
        """Whether ordinary lines are to be dropped."""
        return len(self._lines) > self._limit // 2

    def record_dropped_line(self) -> None:
        """Count a line that was dropped."""
        self._dropped += 1
        self.dropped_total += 1

    def pop_dropped_count(self) -> int:
        """Return the lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> int:
        """Take text; drop it when too much waits."""
        if len(self._lines) >= self._limit:
            self.record_dropped_line()
        else:
            self._lines.append(text)
            self._waiting.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes what it writes."""

    def close(self) -> None:
        """Write what waits, if the reader takes it within a second."""
        self._stopping = True
        self._waiting.set()
        self._thread.join(_FLUSH_LIMIT_S)

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            self._waiting.wait()
            if not self._stopping:
                pause.wait(_WRITE_INTERVAL_S)
            self._waiting.clear()
            self._write_waiting()
            if self._stopping and not self._lines:
                return

    def _write_waiting(self) -> None:
        text = "".join(self._lines.popleft() for _ in range(len(self._lines)))
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # Logs have nowhere to go; the node serves on without them.
            self._stream = _NullStream()
