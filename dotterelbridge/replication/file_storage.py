"""A member's state in files under one folder.

``identity`` holds the member id, ``ballot`` the term and vote,
``snapshot`` the state of the state machines, and ``log-N`` the entries.
Files and folder are synced before a method returns.
"""

from collections.abc import Sequence
import errno
import fcntl
import os
from pathlib import Path
import secrets

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.replication.checksummed_file import create_damage_error
from dotterelbridge.replication.checksummed_file import read_checksummed_file
from dotterelbridge.replication.checksummed_file import sync_folder
from dotterelbridge.replication.checksummed_file import write_checksummed_file
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.segment import Segment
from dotterelbridge.replication.segment import SegmentReader
from dotterelbridge.replication.segment import create_segment
from dotterelbridge.replication.segment import find_segments
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import LogStorage
from dotterelbridge.replication.storage import Snapshot
from dotterelbridge.replication.storage import StoredState

_log = structlog.get_logger(__name__)

IDENTITY_FILE = "identity"
BALLOT_FILE = "ballot"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"
SEGMENT_LIMIT_BYTES = 4 * 1024 * 1024
_IDENTITY_BYTES = 8


class _StoredSegment(msgspec.Struct):
    """One segment file of the log."""

    sequence: int
    path: Path
    first_index: LogIndex
    """First index of its first frame; 0 if it has no frame."""


class FileStorage(LogStorage):
    """The state of one member under one folder."""

    def __init__(self, folder: Path, segment_limit_bytes: int) -> None:
        self._folder = folder
        self._segment_limit_bytes = segment_limit_bytes
        self._segments: list[_StoredSegment] = []
        self._open_segment: Segment | None = None
        self._lock_descriptor: int | None = None
        self._syncs = 0
        self._failed = False

    def open(self) -> StoredState:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._acquire_lock()
        try:
            member_id = self._read_identity()
            ballot = self._read_ballot()
            snapshot = self._read_snapshot()
            entries = self._read_log(snapshot)
        except BaseException:
            self.close()
            raise
        return StoredState(
            member_id=member_id,
            ballot=ballot,
            snapshot=snapshot,
            entries=entries,
        )

    def write_ballot(self, ballot: Ballot) -> None:
        self._write_record(BALLOT_FILE, ballot)

    def append(self, entries: Sequence[Entry]) -> None:
        self._check_usable()
        try:
            if self._open_segment.size_bytes > self._segment_limit_bytes:
                self._start_segment()
            self._open_segment.append(entries)
        except OSError as error:
            raise self._mark_failed(error) from error
        self._syncs += 1
        if not self._segments[-1].first_index:
            self._segments[-1].first_index = entries[0].index

    def write_snapshot(self, snapshot: Snapshot) -> None:
        self._write_record(SNAPSHOT_FILE, snapshot)

    def trim(self, keep_from: LogIndex) -> None:
        self._check_usable()
        try:
            while len(self._segments) > 1 and (
                0 < self._segments[1].first_index <= keep_from
            ):
                self._delete_first_segment()
        except OSError as error:
            raise self._mark_failed(error) from error

    def reset(self) -> None:
        self._check_usable()
        try:
            self._start_segment()
            while len(self._segments) > 1:
                self._delete_first_segment()
        except OSError as error:
            raise self._mark_failed(error) from error

    def close(self) -> None:
        if self._open_segment:
            self._open_segment.close()
            self._open_segment = None
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
        self._failed = True

    def count_syncs(self) -> int:
        return self._syncs

    # Opening

    def _acquire_lock(self) -> None:
        path = self._folder / LOCK_FILE
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise StorageError(
                f"{self._folder} is in use by another process",
                "stop the other daemon, or give this one its own folder",
            ) from None
        self._lock_descriptor = descriptor

    def _read_identity(self) -> MemberId:
        path = self._folder / IDENTITY_FILE
        if path.exists():
            return MemberId(read_checksummed_file(path).decode())
        for name in (BALLOT_FILE, SNAPSHOT_FILE):
            if (self._folder / name).exists():
                raise create_damage_error(
                    path, 0, f"it is missing, but {name} exists"
                )
        if find_segments(self._folder):
            raise create_damage_error(
                path, 0, "it is missing, but a log exists"
            )
        member_id = MemberId(secrets.token_hex(_IDENTITY_BYTES))
        write_checksummed_file(path, member_id.encode())
        sync_folder(self._folder.parent)
        return member_id

    def _read_ballot(self) -> Ballot:
        path = self._folder / BALLOT_FILE
        if path.exists():
            return _read_record(path, Ballot)
        if (self._folder / SNAPSHOT_FILE).exists():
            raise create_damage_error(
                path, 0, "it is missing, but a snapshot exists"
            )
        return Ballot()

    def _read_snapshot(self) -> Snapshot | None:
        path = self._folder / SNAPSHOT_FILE
        return _read_record(path, Snapshot) if path.exists() else None

    def _read_log(self, snapshot: Snapshot | None) -> list[Entry]:
        entries = self._read_segments()
        if not self._segments:
            if snapshot:
                path = self._folder / SNAPSHOT_FILE
                raise create_damage_error(
                    path, 0, "the log that belongs to it is missing"
                )
            self._start_segment()
            return []
        if entries and not (self._folder / BALLOT_FILE).exists():
            path = self._folder / BALLOT_FILE
            raise create_damage_error(
                path, 0, "it is missing, but a log exists"
            )
        base = snapshot.index if snapshot else NO_INDEX
        if entries and entries[0].index > base + 1:
            raise create_damage_error(
                self._segments[0].path,
                0,
                f"the log begins at {entries[0].index}, the snapshot ends "
                f"at {base}",
            )
        if snapshot and not _is_log_consistent(snapshot, entries):
            self.reset()
            return []
        return [entry for entry in entries if entry.index > base]

    def _read_segments(self) -> list[Entry]:
        found = find_segments(self._folder)
        entries: list[Entry] = []
        for sequence, path in found:
            is_last = sequence == found[-1][0]
            reader = SegmentReader(path, is_last)
            stored = _StoredSegment(sequence, path, NO_INDEX)
            for offset, batch in reader.read_frames():
                _append_batch(path, offset, entries, batch)
                stored.first_index = stored.first_index or batch[0].index
            self._segments.append(stored)
            if is_last:
                self._open_last_segment(reader)
        return entries

    def _open_last_segment(self, reader: SegmentReader) -> None:
        path = reader.path
        if reader.torn_offset is not None:
            events.log(
                _log,
                ReplicationEvent.TAIL_CUT,
                file=str(path),
                offset=reader.torn_offset,
            )
            if reader.torn_offset == 0:
                sequence = self._segments[-1].sequence
                self._open_segment = create_segment(self._folder, sequence)
                return
            with open(path, "r+b") as file:
                file.truncate(reader.torn_offset)
                os.fsync(file.fileno())
        self._open_segment = Segment(path, path.stat().st_size)

    # Writing

    def _start_segment(self) -> None:
        sequence = self._segments[-1].sequence + 1 if self._segments else 1
        segment = create_segment(self._folder, sequence)
        if self._open_segment:
            self._open_segment.close()
        self._open_segment = segment
        self._segments.append(_StoredSegment(sequence, segment.path, NO_INDEX))

    def _delete_first_segment(self) -> None:
        """Delete the oldest segment; after a crash the newer ones remain."""
        os.unlink(self._segments[0].path)
        sync_folder(self._folder)
        self._segments.pop(0)

    def _write_record(self, name: str, value: msgspec.Struct) -> None:
        self._check_usable()
        try:
            write_checksummed_file(
                self._folder / name, msgspec.msgpack.encode(value)
            )
        except OSError as error:
            raise self._mark_failed(error) from error

    def _check_usable(self) -> None:
        if self._failed:
            raise StorageError(
                f"{self._folder} failed earlier or is closed",
                "repair the disk; restart the daemon if it does not go on",
            )

    def _mark_failed(self, error: OSError) -> StorageError:
        """Refuse all later writes, since a failed sync may have lost data."""
        self._failed = True
        is_disk_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
        return StorageError(
            f"writing to {self._folder} failed: {error}",
            "free space; restart the daemon if it does not go on"
            if is_disk_full
            else "check the disk; restart the daemon if it does not go on",
        )


def _read_record(path: Path, record_type: type):
    payload = read_checksummed_file(path)
    try:
        return msgspec.msgpack.decode(payload, type=record_type)
    except msgspec.MsgspecError as error:
        raise create_damage_error(path, 0, str(error)) from None


def _append_batch(
    path: Path, offset: int, entries: list[Entry], batch: list[Entry]
) -> None:
    first = batch[0].index
    while entries and entries[-1].index >= first:
        entries.pop()
    if entries and entries[-1].index != first - 1:
        raise create_damage_error(
            path,
            offset,
            f"entry {first} follows entry {entries[-1].index}",
        )
    entries.extend(batch)


def _is_log_consistent(snapshot: Snapshot, entries: list[Entry]) -> bool:
    """Return whether the log matches the snapshot.

    It does not if a crash happened after a leader's snapshot was stored
    and before the log that it replaces was dropped.
    """
    if not entries or entries[0].index == snapshot.index + 1:
        return True
    position = snapshot.index - entries[0].index
    if position >= len(entries):
        return False
    return entries[position].term == snapshot.term


def create_file_storage(
    folder: Path, segment_limit_bytes: int = SEGMENT_LIMIT_BYTES
) -> FileStorage:
    """Return the storage in a folder, which is created if needed."""
    return FileStorage(Path(folder), segment_limit_bytes)
