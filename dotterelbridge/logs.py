"""Structured logging: configuration, and recent events for operators."""

import collections
import logging
import sys
from typing import Any

import structlog

from dotterelbridge.log_stream import QueuedStream

RECENT_LINES_COUNT = 1000


class RecentEvents:
    """Keeps the newest log lines in memory for the operator listener."""

    def __init__(self, limit: int = RECENT_LINES_COUNT) -> None:
        self._lines: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=limit
        )

    def __call__(self, logger, method: str, line: dict) -> dict:
        """Store a line; structlog calls this as a processor."""
        self._lines.append(dict(line))
        return line

    def list_lines(self) -> list[dict[str, Any]]:
        """Return the stored lines, oldest first."""
        return list(self._lines)


class LoadSheddingProcessor:
    """Drops debug and info lines while the stream is congested.

    The next line that passes says how many lines were dropped before it.
    """

    def __init__(self, stream: QueuedStream) -> None:
        self._stream = stream

    def __call__(self, logger, method: str, line: dict) -> dict:
        """Pass on or drop a line; structlog calls this as a processor."""
        is_low_severity = line.get("level") in ("debug", "info")
        if is_low_severity and self._stream.is_congested:
            self._stream.record_dropped_line()
            raise structlog.DropEvent
        dropped_count = self._stream.pop_dropped_count()
        if dropped_count:
            line["lines_dropped_before"] = dropped_count
        return line


def configure_logs(
    level: str = "info", renderer: str = "json", stream=None
) -> RecentEvents:
    """Set up structlog for the process.

    :param level: lowest level that is written: debug, info, warning, error.
    :param renderer: ``json`` for one JSON object per line, or ``console``.
    :param stream: output stream; standard error by default.
    :returns: the recent events, for the operator listener.
    """
    recent_events = RecentEvents()
    load_shedding_processors = (
        [LoadSheddingProcessor(stream)]
        if isinstance(stream, QueuedStream)
        else []
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            *load_shedding_processors,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            recent_events,
            _create_renderer(renderer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    # Libraries use the standard logging module; only their errors are kept.
    logging.basicConfig(level=logging.ERROR, stream=stream or sys.stderr)
    return recent_events


def _create_renderer(name: str):
    if name == "console":
        return structlog.dev.ConsoleRenderer(colors=False)
    return structlog.processors.JSONRenderer(default=str)
