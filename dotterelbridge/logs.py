"""Structured logs: set-up, and the recent events kept for operators."""

import collections
import logging
import sys
from typing import Any

import structlog

from dotterelbridge.log_stream import QueuedStream

RECENT_LINES_COUNT = 1000


class RecentEvents:
    """Keeps the newest log lines in memory for the operators' listener."""

    def __init__(self, limit: int = RECENT_LINES_COUNT) -> None:
        self._lines: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=limit
        )

    def __call__(self, logger, method: str, line: dict) -> dict:
        """Take one line as a structlog processor."""
        self._lines.append(dict(line))
        return line

    def list_lines(self) -> list[dict[str, Any]]:
        """Return the kept lines, oldest first."""
        return list(self._lines)


class LoadSheddingProcessor:
    """Drops ordinary lines while the stream is pressed, and says so."""

    def __init__(self, stream: QueuedStream) -> None:
        self._stream = stream

    def __call__(self, logger, method: str, line: dict) -> dict:
        """Pass one line as a structlog processor, or drop it."""
        is_ordinary = line.get("level") in ("debug", "info")
        if is_ordinary and self._stream.is_congested:
            self._stream.record_dropped_line()
            raise structlog.DropEvent
        dropped = self._stream.pop_dropped_count()
        if dropped:
            line["lines_dropped_before"] = dropped
        return line


def configure_logs(
    level: str = "info", renderer: str = "json", stream=None
) -> RecentEvents:
    """Set up structlog for the process.

    :param level: lowest level that is written: debug, info, warning, error.
    :param renderer: ``json`` for one JSON object a line, or ``console``.
    :param stream: where lines go; standard error by default.
    :returns: the recent events, for the operators' listener.
    """
    recent = RecentEvents()
    load_shedding = (
        [LoadSheddingProcessor(stream)]
        if isinstance(stream, QueuedStream)
        else []
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            *load_shedding,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            recent,
            _create_renderer(renderer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    # Libraries log through the standard module; only their failures count.
    logging.basicConfig(level=logging.ERROR, stream=stream or sys.stderr)
    return recent


def _create_renderer(name: str):
    if name == "console":
        return structlog.dev.ConsoleRenderer(colors=False)
    return structlog.processors.JSONRenderer(default=str)
