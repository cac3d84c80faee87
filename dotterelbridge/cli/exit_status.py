"""Exit statuses of the command-line tool and the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """What a program returns to the shell."""

    OK = 0
    ERROR = 1
    """Something failed; the message says what to do."""
    USAGE = 2
    """The command line is wrong."""
    REFUSED = 3
    """The daemon refused, or a checked file has faults."""
    UNREACHABLE = 4
    """The daemon did not answer; whether it acted is unknown."""
    UNAUTHORIZED = 5
    """The bearer token is missing or wrong."""
    TIMEOUT = 6
    """Accepted, but not in force everywhere within the time given."""
