"""The claim table as a state machine on the replicated log."""

import msgspec

from dotterelbridge.claims.commands import decode_command
from dotterelbridge.claims.table import ClaimTable
from dotterelbridge.ids import LogIndex
from dotterelbridge.replication.log import StateMachine

STATE_MACHINE_NAME = "claims"


class ClaimStateMachine(StateMachine):
    """Applies the commands of the log to the table."""

    def __init__(self) -> None:
        self._table = ClaimTable()

    @property
    def table(self) -> ClaimTable:
        """The table, for reading only."""
        return self._table

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one command and return an encoded ClaimResult."""
        result = self._table.apply(decode_command(command))
        return msgspec.msgpack.encode(result)

    def take_snapshot(self) -> bytes:
        """Return the whole table."""
        return self._table.take_snapshot()

    def restore_snapshot(self, snapshot: bytes) -> None:
        """Replace the table with a snapshot."""
        self._table.restore_snapshot(snapshot)
