"""Files of a member: what survives, what is cut, what is refused."""

import errno
import os

import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.replication import segment
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import Snapshot

SMALL_SEGMENT_BYTES = 200


def _entry(index, term=1, size=20):
    command = bytes([index % 251]) * size
    return Entry(index, term, EntryKind.COMMAND, "history", command)


def _snapshot(index, term=1):
    return Snapshot(index, term, Configuration(), {"history": b"state"})


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


def _fill(folder, count=3, **options):
    """Write one entry a frame."""
    storage = create_file_storage(folder, **options)
    storage.open()
    storage.write_ballot(Ballot(1, "someone"))
    for index in range(1, count + 1):
        storage.append([_entry(index)])
    return storage


def _reopen(folder):
    storage = create_file_storage(folder)
    try:
        return storage.open()
    finally:
        storage.close()


def _last_log(folder):
    return sorted(folder.glob("log-*"))[-1]


def _flip(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


def test_state_survives_a_restart(folder):
    storage = _fill(folder)
    storage.close()
    first = _reopen(folder)
    assert first.ballot == Ballot(1, "someone")
    assert first.entries == [_entry(1), _entry(2), _entry(3)]
    assert _reopen(folder).member_id == first.member_id


def test_empty_folder_gets_a_new_identity(tmp_path):
    assert (
        _reopen(tmp_path / "a").member_id != _reopen(tmp_path / "b").member_id
    )


def test_later_frame_replaces_the_tail(folder):
    storage = _fill(folder, 4)
    storage.append([_entry(2, term=2), _entry(3, term=2)])
    storage.close()
    assert _reopen(folder).entries == [
        _entry(1),
        _entry(2, term=2),
        _entry(3, term=2),
    ]


def test_folder_in_use_is_refused(folder):
    storage = _fill(folder)
    with pytest.raises(StorageError, match="in use"):
        create_file_storage(folder).open()
    storage.close()


def test_trim_deletes_only_files_before_the_snapshot(folder):
    storage = _fill(folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES)
    files = len(list(folder.glob("log-*")))
    storage.write_snapshot(_snapshot(20))
    storage.trim(21)
    storage.close()
    assert len(list(folder.glob("log-*"))) < files
    state = _reopen(folder)
    assert state.snapshot == _snapshot(20)
    assert [entry.index for entry in state.entries] == list(range(21, 31))


def test_reset_leaves_only_the_snapshot(folder):
    storage = _fill(folder)
    storage.write_snapshot(_snapshot(50, term=3))
    storage.reset()
    storage.append([_entry(51, term=3)])
    storage.close()
    state = _reopen(folder)
    assert state.entries == [_entry(51, term=3)]


@pytest.mark.parametrize(("index", "term"), [(50, 3), (2, 9)])
def test_crash_between_installed_snapshot_and_reset(folder, index, term):
    storage = _fill(folder)
    storage.write_snapshot(_snapshot(index, term))
    storage.close()
    assert _reopen(folder).entries == []
    storage = create_file_storage(folder)
    storage.open()
    storage.append([_entry(index + 1, term)])
    storage.close()
    assert _reopen(folder).entries == [_entry(index + 1, term)]


def test_every_torn_tail_is_cut(folder):
    storage = _fill(folder, 2)
    whole = _last_log(folder).stat().st_size
    storage.append([_entry(3)])
    storage.close()
    path = _last_log(folder)
    data = path.read_bytes()
    for size in range(whole, len(data)):
        path.write_bytes(data[:size])
        assert [e.index for e in _reopen(folder).entries] == [1, 2], size
        assert path.stat().st_size == whole


def test_extended_but_unwritten_tail_is_cut(folder):
    storage = _fill(folder, 2)
    whole = _last_log(folder).stat().st_size
    storage.append([_entry(3, size=4000)])
    storage.close()
    path = _last_log(folder)
    data = path.read_bytes()
    for written in (0, 700, 2048):
        kept = data[: whole + written]
        path.write_bytes(kept + bytes(len(data) - len(kept)))
        assert [e.index for e in _reopen(folder).entries] == [1, 2]
        path.write_bytes(data)


def test_torn_header_of_a_new_file_is_written_again(folder):
    storage = _fill(folder, 5, segment_limit_bytes=SMALL_SEGMENT_BYTES)
    storage.close()
    last = _last_log(folder)
    number = int(last.name.removeprefix("log-")) + 1
    (folder / f"log-{number:012d}").write_bytes(segment.MAGIC[:3])
    state = _reopen(folder)
    assert [entry.index for entry in state.entries] == [1, 2, 3, 4, 5]


def test_cut_tail_is_written_over(folder):
    storage = _fill(folder, 3)
    storage.close()
    path = _last_log(folder)
    path.write_bytes(path.read_bytes()[:-1])
    storage = create_file_storage(folder)
    assert len(storage.open().entries) == 2
    storage.append([_entry(3, term=2)])
    storage.close()
    assert _reopen(folder).entries[-1] == _entry(3, term=2)


@pytest.mark.parametrize("name", ["identity", "ballot", "snapshot", "log"])
def test_every_flipped_byte_refuses_to_start(folder, name):
    storage = _fill(folder)
    storage.write_snapshot(_snapshot(1))
    storage.close()
    path = _last_log(folder) if name == "log" else folder / name
    for offset in range(path.stat().st_size):
        _flip(path, offset)
        with pytest.raises(StorageError) as caught:
            _reopen(folder)
        assert path.name in caught.value.problem
        assert "offset" in caught.value.problem
        assert "docs/operators/replication.md" in caught.value.remedy
        _flip(path, offset)
    assert len(_reopen(folder).entries) == 2


@pytest.mark.parametrize("name", ["identity", "ballot"])
def test_missing_file_refuses_to_start(folder, name):
    _fill(folder).close()
    (folder / name).unlink()
    with pytest.raises(StorageError, match=name):
        _reopen(folder)


def test_missing_log_file_refuses_to_start(folder):
    _fill(folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES).close()
    for position in (0, 1):
        path = sorted(folder.glob("log-*"))[position]
        data = path.read_bytes()
        path.unlink()
        with pytest.raises(StorageError, match="log-"):
            _reopen(folder)
        path.write_bytes(data)


def test_torn_frame_before_the_last_file_refuses_to_start(folder):
    _fill(folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES).close()
    path = sorted(folder.glob("log-*"))[0]
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(StorageError, match="cut short"):
        _reopen(folder)


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_failed_sync_is_final(folder, monkeypatch, code):
    storage = _fill(folder)

    def fail(descriptor):
        raise OSError(code, os.strerror(code))

    monkeypatch.setattr(segment.os, "fdatasync", fail)
    with pytest.raises(StorageError, match="restart"):
        storage.append([_entry(4)])
    monkeypatch.undo()
    with pytest.raises(StorageError, match="failed earlier"):
        storage.append([_entry(4)])
    storage.close()


def test_names_are_synced_before_a_write_counts(folder, monkeypatch):
    synced = []
    monkeypatch.setattr(
        segment, "sync_folder", lambda path: synced.append(path)
    )
    _fill(folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES).close()
    assert len(synced) == len(list(folder.glob("log-*")))
