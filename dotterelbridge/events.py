"""Numbered log events.

Each subpackage defines its own enum derived from Event in its module
``events``; the numbers are allotted in blocks:

1000 core and daemon, 2000 peers, 3000 replication, 3500 sheet,
4000 claims, 5000 membership, 6000 placement, 7000 routing,
8000 serving, 9000 targets.
"""

import enum
import logging


class Event(enum.Enum):
    """Base of the event catalogues; a value is (number, level, meaning)."""

    @property
    def number(self) -> int:
        """Stable number of the event, unique in the catalogue."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Level of the standard logging module."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """One sentence for operators: what happened and what to do."""
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
        "A signal started the graceful shutdown; no new work is taken.",
    )
    DAEMON_STOPPED = (
        1003,
        logging.INFO,
        "The daemon stopped; all requests in flight had finished.",
    )
    SHUTDOWN_WAITING = (
        1004,
        logging.INFO,
        "A further signal arrived; the daemon still waits for the work "
        "that it names.",
    )
    SETTINGS_RELOADED = (
        1008,
        logging.INFO,
        "SIGHUP arrived; what may change while the daemon runs was read "
        "again.",
    )
    RELOAD_FAILED = (
        1009,
        logging.ERROR,
        "The settings could not be read again; the old ones stay in force. "
        "Correct the file and send SIGHUP once more.",
    )
    STATE_DUMPED = (
        1005,
        logging.INFO,
        "The state was written to the file that the line names.",
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
        "A part of the daemon failed; the daemon stops. Read the error, "
        "then restart it.",
    )
    LOOP_LATE = (
        1011,
        logging.WARNING,
        "The event loop ran a timer late: the process is busy, was stalled "
        "or its VM suspended. Look for long plans or a busy processor.",
    )
    INVARIANT_FAILED = (
        1010,
        logging.ERROR,
        "A rule that must always hold would have been broken; the "
        "operation failed. Keep the log and a state dump, report a bug.",
    )


def log(logger, event: Event, **fields: object) -> None:
    """Write one log line for the event, with its number and fields."""
    logger.log(
        event.level,
        event.name.lower(),
        event_number=event.number,
        **fields,
    )
