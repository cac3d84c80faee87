"""Interface of a member's durable storage, and an in-memory version."""

import abc
from collections.abc import Sequence

import msgspec

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry


class Ballot(msgspec.Struct, frozen=True, array_like=True):
    """The member's term and its vote in that term."""

    term: Term = Term(0)
    voted_for: MemberId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of all state machines after one log index."""

    index: LogIndex
    term: Term
    configuration: Configuration
    machine_snapshots: dict[str, bytes]


class StoredState(msgspec.Struct, frozen=True):
    """The stored state that a member starts with."""

    member_id: MemberId
    ballot: Ballot
    snapshot: Snapshot | None
    entries: list[Entry]
    """The entries after the snapshot."""


class LogStorage(abc.ABC):
    """Stores a member's state; methods return once it is synced.

    The methods block; the member calls them in a worker thread if
    ``blocking`` is true. Each raises StorageError if the state cannot be
    stored, and then the storage must not be used again.
    """

    blocking = True

    @abc.abstractmethod
    def open(self) -> StoredState:
        """Read the state, or create an empty one with a new member id.

        :raises StorageError: the state is damaged; the message names the
            file, the offset and the remedy.
        """

    @abc.abstractmethod
    def write_ballot(self, ballot: Ballot) -> None:
        """Replace the ballot."""

    @abc.abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries, replacing stored entries from the first index on."""

    @abc.abstractmethod
    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot; may run while entries are appended."""

    @abc.abstractmethod
    def trim(self, keep_from: LogIndex) -> None:
        """Drop entries before an index; the snapshot must cover them."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Drop all entries; the snapshot replaces them."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the files."""

    @abc.abstractmethod
    def count_syncs(self) -> int:
        """Return the number of syncs of appended entries."""


class MemoryStorage(LogStorage):
    """Storage that is lost with the process, for tests and volatile logs."""

    blocking = False

    def __init__(self, member_id: MemberId) -> None:
        self._member_id = member_id
        self.ballot = Ballot()
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self._appends = 0

    def open(self) -> StoredState:
        base = self.snapshot.index if self.snapshot else 0
        return StoredState(
            member_id=self._member_id,
            ballot=self.ballot,
            snapshot=self.snapshot,
            entries=[entry for entry in self.entries if entry.index > base],
        )

    def write_ballot(self, ballot: Ballot) -> None:
        self.ballot = ballot

    def append(self, entries: Sequence[Entry]) -> None:
        first = entries[0].index
        while self.entries and self.entries[-1].index >= first:
            self.entries.pop()
        self.entries.extend(entries)
        self._appends += 1

    def write_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot

    def trim(self, keep_from: LogIndex) -> None:
        self.entries = [e for e in self.entries if e.index >= keep_from]

    def reset(self) -> None:
        self.entries = []

    def close(self) -> None:
        pass

    def count_syncs(self) -> int:
        return self._appends


def create_memory_storage(member_id: MemberId) -> MemoryStorage:
    """Return empty in-memory storage for a new member id."""
    return MemoryStorage(member_id)
