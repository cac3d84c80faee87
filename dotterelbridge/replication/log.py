"""Interfaces of the replicated log and its state machines."""

import abc
from datetime import timedelta

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import VmId


class StateMachine(abc.ABC):
    """State built by applying committed commands in log order.

    Methods must be deterministic: no clocks, no random numbers.
    """

    @abc.abstractmethod
    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    @abc.abstractmethod
    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    @abc.abstractmethod
    def restore_snapshot(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""


class ReplicatedLog(abc.ABC):
    """A log of commands agreed on by a majority of the voters."""

    @abc.abstractmethod
    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        """Register a state machine before the log starts."""

    @abc.abstractmethod
    def get_leader(self) -> VmId | None:
        """Return the VM that currently leads, as far as this VM knows."""

    @abc.abstractmethod
    async def propose(
        self, machine_name: str, command: bytes, timeout: timedelta
    ) -> bytes:
        """Commit a command and return the state machine's result.

        Works on every VM: a VM that does not lead forwards the command.

        :param machine_name: the state machine that applies the command.
        :raises NotCommitted: the command is certainly not in the log.
        :raises CommitUnknown: the command may be in the log. Retry it only
            if the state machine recognises duplicates.
        """

    @abc.abstractmethod
    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        """Wait until the local state machines hold all earlier commits.

        :raises NotCommitted: no majority confirmed within the timeout.
        """
