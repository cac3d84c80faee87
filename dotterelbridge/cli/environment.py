"""Standard streams, environment variables and clock of a program."""

from collections.abc import Mapping
import os
import sys
from typing import TYPE_CHECKING
from typing import TextIO

from dotterelbridge import clock as clock_module

if TYPE_CHECKING:
    # Only the tool uses it; importing it would slow down a daemon's start.
    import httpx


class Environment:
    """External dependencies of one run; tests pass their own."""

    def __init__(
        self,
        stdin: TextIO | None = None,
        stdout: TextIO | None = None,
        stderr: TextIO | None = None,
        variables: Mapping[str, str] | None = None,
        transport: "httpx.BaseTransport | None" = None,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self.stdin = stdin or sys.stdin
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr
        self.variables = os.environ if variables is None else variables
        self.transport = transport
        """Sends the tool's HTTP requests; None for real connections."""
        self.clock = clock or clock_module.create_clock()

    def print_error(self, program: str, message: str) -> None:
        """Write an error message to standard error."""
        self.stderr.write(f"{program}: error: {message}\n")
