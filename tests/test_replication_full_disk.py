"""File storage while the disk takes no bytes, or a few more, for some time.

The limit on file sizes stands for a full disk: the kernel then refuses writes,
after a part of them if some room is left.
"""

import contextlib
import random
import resource

import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import Snapshot

SEGMENT_BYTES = 1500
STEPS = 60
FULL_SHARE = 0.3
REOPENINGS_WHILE_FULL = 3


@contextlib.contextmanager
def limit_file_size(size_bytes: int | None):
    """Refuse writes beyond a size; None sets no limit."""
    if size_bytes is None:
        yield
        return
    former = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size_bytes, former[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, former)


class World:
    """A storage, and what it has confirmed."""

    def __init__(self, folder, seed: int) -> None:
        self._folder = folder
        self._random = random.Random(seed)
        self._ballot = Ballot(term=1)
        self._entries: dict[int, int] = {}
        """Terms of the confirmed entries, by index."""
        self._snapshot_index = 0
        self._is_full = False
        self._open()
        self._storage.write_ballot(self._ballot)

    @property
    def _last_index(self) -> int:
        return max(self._entries, default=self._snapshot_index)

    def _open(self):
        self._storage = create_file_storage(self._folder, SEGMENT_BYTES)
        return self._storage.open()

    def step(self) -> None:
        """Write something; reopen the storage if that fails."""
        write = self._random.choice(
            [self._append] * 4
            + [self._replace_tail, self._vote, self._take, self._install]
        )
        try:
            write()
        except StorageError:
            self._storage.close()
            self._reopen()

    @contextlib.contextmanager
    def _disk(self):
        """The disk for one write, which is full at times."""
        limit = None
        if self._random.random() < FULL_SHARE:
            limit = self._random.choice(
                [0, self._random.randrange(2 * SEGMENT_BYTES)]
            )
        with limit_file_size(limit):
            yield

    def _reopen(self) -> None:
        """Open the storage, at first while the disk may still be full."""
        for _ in range(self._random.randrange(REOPENINGS_WHILE_FULL)):
            with limit_file_size(0):
                with contextlib.suppress(StorageError, OSError):
                    self._check(self._open())
                self._storage.close()
        self._check(self._open())

    def _check(self, stored) -> None:
        assert stored.ballot.term >= self._ballot.term
        base = stored.snapshot.index if stored.snapshot else 0
        assert base >= self._snapshot_index
        found = {entry.index: entry.term for entry in stored.entries}
        for index, term in self._entries.items():
            assert index <= base or found[index] >= term
        self._entries = found
        self._snapshot_index = base
        self._ballot = stored.ballot

    def _append_from(self, first: int) -> None:
        count = self._random.randrange(1, 6)
        entries = [
            Entry(
                index,
                self._ballot.term,
                EntryKind.COMMAND,
                "m",
                self._random.randbytes(self._random.randrange(400)),
            )
            for index in range(first, first + count)
        ]
        with self._disk():
            self._storage.append(entries)
        self._entries = {i: t for i, t in self._entries.items() if i < first}
        self._entries |= {entry.index: entry.term for entry in entries}

    def _append(self) -> None:
        self._append_from(self._last_index + 1)

    def _replace_tail(self) -> None:
        """Replace entries as a follower of a new leader does."""
        self._vote()
        oldest = max(self._snapshot_index + 1, self._last_index - 2)
        self._append_from(oldest)

    def _vote(self) -> None:
        ballot = Ballot(self._ballot.term + 1, "someone")
        with self._disk():
            self._storage.write_ballot(ballot)
        self._ballot = ballot

    def _create_snapshot(self, index: int) -> Snapshot:
        term = self._entries.get(index, self._ballot.term)
        state = self._random.randbytes(self._random.randrange(2000))
        return Snapshot(index, term, Configuration(), {"m": state})

    def _take(self) -> None:
        """Store a snapshot of this member, and trim the log."""
        if not self._entries:
            return
        snapshot = self._create_snapshot(self._random.choice([*self._entries]))
        with self._disk():
            self._storage.write_snapshot(snapshot)
        self._snapshot_index = snapshot.index
        self._entries = {
            i: t for i, t in self._entries.items() if i > snapshot.index
        }
        with self._disk():
            self._storage.trim(snapshot.index + 1)

    def _install(self) -> None:
        """Store a leader's snapshot, which replaces the log."""
        snapshot = self._create_snapshot(
            self._last_index + self._random.randrange(1, 10)
        )
        with self._disk():
            self._storage.write_snapshot(snapshot)
        self._snapshot_index = snapshot.index
        self._entries = {}
        with self._disk():
            self._storage.reset()


# Guards against a storage that cannot be opened again, or that lacks what it
# has confirmed, after the disk was full during any write (issue 58).
@pytest.mark.parametrize("seed", range(40))
def test_storage_is_whole_after_a_full_disk(tmp_path, seed):
    world = World(tmp_path / "data", seed)
    for _ in range(STEPS):
        world.step()
