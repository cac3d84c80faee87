"""The log entries that a member holds in memory."""

from collections.abc import Iterator
from collections.abc import Sequence

from dotterelbridge import invariants
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import NO_TERM
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import decode_configuration
from dotterelbridge.replication.entries import decode_leader
from dotterelbridge.replication.entries import measure_entry_bytes


class EntryLog:
    """Contiguous entries after a base, up to which the log was trimmed.

    Tracks the configurations among its entries. The last one is in force
    as soon as it is appended, before it is committed.
    """

    def __init__(
        self,
        base_index: LogIndex = NO_INDEX,
        base_term: Term = NO_TERM,
        configuration: Configuration | None = None,
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.size_bytes = 0
        self._entries: list[Entry] = []
        self._configurations = [(base_index, configuration or Configuration())]

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry, or of the base."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> LogIndex:
        """Index of the configuration in force."""
        return self._configurations[-1][0]

    def find_configuration(self, index: LogIndex) -> Configuration:
        """Return the configuration in force at an index."""
        for position, configuration in reversed(self._configurations):
            if position <= index:
                return configuration
        return self._configurations[0][1]

    def get_term(self, index: LogIndex) -> Term | None:
        """Return an entry's term, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def find_term_leader(self, term: Term) -> MemberId | None:
        """Return the leader of a term, or None if unknown.

        Found only for the last term, if the log holds its first entry.
        """
        for entry in reversed(self._entries):
            if entry.term != term:
                return None
            if entry.kind is EntryKind.NOOP:
                return decode_leader(entry.command)
        return None

    def get_entry(self, index: LogIndex) -> Entry:
        """Return an entry, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def read_entries(self, index: LogIndex, limit_bytes: int) -> list[Entry]:
        """Return entries from an index on, up to a size limit.

        Returns at least one entry if there is one.
        """
        return list(self._iterate_entries(index, limit_bytes))

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that follow the last one."""
        for entry in entries:
            invariants.check(
                entry.index == self.last_index + 1
                and entry.term >= self.last_term,
                "log_contiguous",
                index=entry.index,
                term=entry.term,
                last_index=self.last_index,
                last_term=self.last_term,
            )
            self._entries.append(entry)
            self.size_bytes += measure_entry_bytes(entry)
            if entry.kind is EntryKind.CONFIGURATION:
                configuration = decode_configuration(entry.command)
                self._configurations.append((entry.index, configuration))

    def truncate(self, from_index: LogIndex, commit_index: LogIndex) -> None:
        """Drop the entries from an index on, which must be uncommitted."""
        invariants.check(
            from_index > commit_index,
            "committed_entries_never_change",
            from_index=from_index,
            commit_index=commit_index,
        )
        while self.last_index >= from_index:
            self.size_bytes -= measure_entry_bytes(self._entries.pop())
        while self._configurations[-1][0] >= from_index:
            self._configurations.pop()

    def trim(self, to_index: LogIndex) -> None:
        """Drop the entries up to an index, which becomes the base."""
        if to_index <= self.base_index:
            return
        term = self.get_term(to_index)
        configuration = self.find_configuration(to_index)
        count = to_index - self.base_index
        dropped = self._entries[:count]
        self._entries = self._entries[count:]
        self.size_bytes -= sum(measure_entry_bytes(entry) for entry in dropped)
        later = [c for c in self._configurations if c[0] > to_index]
        self._configurations = [(to_index, configuration), *later]
        self.base_index = to_index
        self.base_term = term

    def trim_to_tail(
        self, to_index: LogIndex, tail_entries: int, tail_bytes: int
    ) -> None:
        """Trim up to an index, but keep a bounded tail before it."""
        keep_from = to_index
        size = 0
        while keep_from > max(to_index - tail_entries, self.base_index):
            size += measure_entry_bytes(self.get_entry(keep_from))
            if size > tail_bytes:
                break
            keep_from = LogIndex(keep_from - 1)
        self.trim(keep_from)

    def _iterate_entries(
        self, index: LogIndex, limit_bytes: int
    ) -> Iterator[Entry]:
        size = 0
        for position in range(index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            if size and size + measure_entry_bytes(entry) > limit_bytes:
                return
            size += measure_entry_bytes(entry)
            yield entry
