"""Numbered log events.

Each subpackage defines an enum derived from Event in its module ``events``.
The numbers are assigned in blocks:

1000 core and daemon, 2000 peers, 3000 replication, 3500 sheet,
4000 claims, 5000 membership, 6000 placement, 7000 routing,
8000 serving, 9000 targets, 9700 quotas, 9800 resumption.
"""

import enum
import logging


class Event(enum.Enum):
    """Base of the event enums; a value is (number, level, meaning)."""

    @property
    def number(self) -> int:
        """Stable number of the event, unique among all events."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Log level, as in the standard logging module."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """Text for operators: what happened and what to do."""
        return self.value[2]


class CoreEvent(Event):
    """Events of the daemon itself."""

    DAEMON_STARTED = (
        1001,
        logging.INFO,
        "The daemon started; its listeners accept connections.",
    )
    DAEMON_STOPPING = (
        1002,
        logging.INFO,
        "A signal started the graceful shutdown; no new work is accepted.",
    )
    DAEMON_STOPPED = (
        1003,
        logging.INFO,
        "The daemon stopped; all requests in flight had finished.",
    )
    SHUTDOWN_WAITING = (
        1004,
        logging.INFO,
        "Another signal arrived; the daemon still waits for the work in "
        "flight that the line lists.",
    )
    SETTINGS_RELOADED = (
        1008,
        logging.INFO,
        "SIGHUP arrived; the settings that can change while the daemon runs "
        "were reloaded.",
    )
    RELOAD_FAILED = (
        1009,
        logging.ERROR,
        "The settings could not be reloaded; the old ones stay active. "
        "Correct the file and send SIGHUP again.",
    )
    STATE_DUMPED = (
        1005,
        logging.INFO,
        "A state dump was written to the file in the field path.",
    )
    DUMP_FAILED = (
        1007,
        logging.ERROR,
        "The dump file could not be written; check [daemon] dump_file and "
        "free space.",
    )
    PART_FAILED = (
        1006,
        logging.ERROR,
        "A component of the daemon failed; the daemon stops. Read the "
        "error, then restart it.",
    )
    PART_RESTARTED = (
        1012,
        logging.ERROR,
        "A component of the daemon failed and is started again; the others "
        "are not affected. Read the error and report a bug.",
    )
    ADDRESS_IN_USE = (
        1013,
        logging.WARNING,
        "The address of a listener is in use; binding is retried for a time. "
        "Stop the other process, or configure another address.",
    )
    DRAIN_FAILED = (
        1014,
        logging.ERROR,
        "The drain before the stop failed; the daemon stops at once. Read "
        "the error and report a bug.",
    )
    LOOP_LATE = (
        1011,
        logging.WARNING,
        "The event loop ran a timer late: the process is busy or was "
        "stalled, or its VM was suspended. Look for plans that take long to "
        "compute or a busy processor.",
    )
    INVARIANT_FAILED = (
        1010,
        logging.ERROR,
        "An invariant would have been violated; the operation failed. "
        "Keep the log and a state dump and report a bug.",
    )


def log(logger, event: Event, **fields: object) -> None:
    """Write a log line for the event, with its number and the fields."""
    logger.log(
        event.level,
        event.name.lower(),
        event_number=event.number,
        **fields,
    )
