"""Exit statuses of the command-line tool and the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """Status that a program returns to the shell."""

    OK = 0
    ERROR = 1
    """Any other failure; the message says what to do."""
    USAGE = 2
    """The command line is invalid."""
    REFUSED = 3
    """The daemon refused the request, or a checked file has faults."""
    UNREACHABLE = 4
    """The daemon did not respond; whether it executed the command is
    unknown."""
    UNAUTHORIZED = 5
    """The bearer token is missing or wrong."""
    TIMEOUT = 6
    """The sheet was accepted, but was not in force on all reachable VMs in
    time."""
