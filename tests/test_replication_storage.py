"""File storage: restarts, torn writes and damaged files."""

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


def _create_entry(index, term=1, size=20):
    command = bytes([index % 251]) * size
    return Entry(index, term, EntryKind.COMMAND, "history", command)


def _create_snapshot(index, term=1):
    return Snapshot(index, term, Configuration(), {"history": b"state"})


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


def _create_filled_storage(folder, count=3, **options):
    """Return storage that holds one entry per frame."""
    storage = create_file_storage(folder, **options)
    storage.open()
    storage.write_ballot(Ballot(1, "someone"))
    for index in range(1, count + 1):
        storage.append([_create_entry(index)])
    return storage


def _reopen_storage(folder):
    storage = create_file_storage(folder)
    try:
        return storage.open()
    finally:
        storage.close()


def _find_last_segment(folder):
    return sorted(folder.glob("log-*"))[-1]


def _flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


def test_state_survives_a_restart(folder):
    storage = _create_filled_storage(folder)
    storage.close()
    first = _reopen_storage(folder)
    assert first.ballot == Ballot(1, "someone")
    assert first.entries == [
        _create_entry(1),
        _create_entry(2),
        _create_entry(3),
    ]
    assert _reopen_storage(folder).member_id == first.member_id


def test_empty_folder_gets_a_new_member_id(tmp_path):
    assert (
        _reopen_storage(tmp_path / "a").member_id
        != _reopen_storage(tmp_path / "b").member_id
    )


def test_later_frame_replaces_the_tail(folder):
    storage = _create_filled_storage(folder, 4)
    storage.append([_create_entry(2, term=2), _create_entry(3, term=2)])
    storage.close()
    assert _reopen_storage(folder).entries == [
        _create_entry(1),
        _create_entry(2, term=2),
        _create_entry(3, term=2),
    ]


def test_folder_in_use_is_refused(folder):
    storage = _create_filled_storage(folder)
    with pytest.raises(StorageError, match="in use"):
        create_file_storage(folder).open()
    storage.close()


def test_trim_deletes_only_files_before_the_snapshot(folder):
    storage = _create_filled_storage(
        folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES
    )
    files = len(list(folder.glob("log-*")))
    storage.write_snapshot(_create_snapshot(20))
    storage.trim(21)
    storage.close()
    assert len(list(folder.glob("log-*"))) < files
    state = _reopen_storage(folder)
    assert state.snapshot == _create_snapshot(20)
    assert [entry.index for entry in state.entries] == list(range(21, 31))


def test_reset_drops_all_entries(folder):
    storage = _create_filled_storage(folder)
    storage.write_snapshot(_create_snapshot(50, term=3))
    storage.reset()
    storage.append([_create_entry(51, term=3)])
    storage.close()
    state = _reopen_storage(folder)
    assert state.entries == [_create_entry(51, term=3)]


@pytest.mark.parametrize(("index", "term"), [(50, 3), (2, 9)])
def test_crash_between_installed_snapshot_and_reset(folder, index, term):
    storage = _create_filled_storage(folder)
    storage.write_snapshot(_create_snapshot(index, term))
    storage.close()
    assert _reopen_storage(folder).entries == []
    storage = create_file_storage(folder)
    storage.open()
    storage.append([_create_entry(index + 1, term)])
    storage.close()
    assert _reopen_storage(folder).entries == [_create_entry(index + 1, term)]


def test_torn_tail_of_any_length_is_cut_off(folder):
    storage = _create_filled_storage(folder, 2)
    whole = _find_last_segment(folder).stat().st_size
    storage.append([_create_entry(3)])
    storage.close()
    path = _find_last_segment(folder)
    data = path.read_bytes()
    for size in range(whole, len(data)):
        path.write_bytes(data[:size])
        assert [e.index for e in _reopen_storage(folder).entries] == [1, 2], (
            size
        )
        assert path.stat().st_size == whole


def test_extended_but_unwritten_tail_is_cut_off(folder):
    storage = _create_filled_storage(folder, 2)
    whole = _find_last_segment(folder).stat().st_size
    storage.append([_create_entry(3, size=4000)])
    storage.close()
    path = _find_last_segment(folder)
    data = path.read_bytes()
    for written in (0, 700, 2048):
        kept = data[: whole + written]
        path.write_bytes(kept + bytes(len(data) - len(kept)))
        assert [e.index for e in _reopen_storage(folder).entries] == [1, 2]
        path.write_bytes(data)


def test_torn_header_of_a_new_segment_is_rewritten(folder):
    storage = _create_filled_storage(
        folder, 5, segment_limit_bytes=SMALL_SEGMENT_BYTES
    )
    storage.close()
    last = _find_last_segment(folder)
    number = int(last.name.removeprefix("log-")) + 1
    (folder / f"log-{number:012d}").write_bytes(segment.MAGIC[:3])
    state = _reopen_storage(folder)
    assert [entry.index for entry in state.entries] == [1, 2, 3, 4, 5]


def test_write_after_a_cut_tail_replaces_it(folder):
    storage = _create_filled_storage(folder, 3)
    storage.close()
    path = _find_last_segment(folder)
    path.write_bytes(path.read_bytes()[:-1])
    storage = create_file_storage(folder)
    assert len(storage.open().entries) == 2
    storage.append([_create_entry(3, term=2)])
    storage.close()
    assert _reopen_storage(folder).entries[-1] == _create_entry(3, term=2)


@pytest.mark.parametrize("name", ["identity", "ballot", "snapshot", "log"])
def test_storage_with_any_flipped_byte_is_refused(folder, name):
    storage = _create_filled_storage(folder)
    storage.write_snapshot(_create_snapshot(1))
    storage.close()
    path = _find_last_segment(folder) if name == "log" else folder / name
    for offset in range(path.stat().st_size):
        _flip_bit(path, offset)
        with pytest.raises(StorageError) as caught:
            _reopen_storage(folder)
        assert path.name in caught.value.problem
        assert "offset" in caught.value.problem
        assert "docs/operators/replication.md" in caught.value.remedy
        _flip_bit(path, offset)
    assert len(_reopen_storage(folder).entries) == 2


@pytest.mark.parametrize("name", ["identity", "ballot"])
def test_storage_with_a_missing_file_is_refused(folder, name):
    _create_filled_storage(folder).close()
    (folder / name).unlink()
    with pytest.raises(StorageError, match=name):
        _reopen_storage(folder)


def test_storage_with_a_missing_segment_is_refused(folder):
    _create_filled_storage(
        folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES
    ).close()
    for position in (0, 1):
        path = sorted(folder.glob("log-*"))[position]
        data = path.read_bytes()
        path.unlink()
        with pytest.raises(StorageError, match="log-"):
            _reopen_storage(folder)
        path.write_bytes(data)


def test_torn_frame_before_the_last_segment_is_refused(folder):
    _create_filled_storage(
        folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES
    ).close()
    path = sorted(folder.glob("log-*"))[0]
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(StorageError, match="cut short"):
        _reopen_storage(folder)


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_failed_sync_is_final(folder, monkeypatch, code):
    storage = _create_filled_storage(folder)

    def fail(descriptor):
        raise OSError(code, os.strerror(code))

    monkeypatch.setattr(segment.os, "fdatasync", fail)
    with pytest.raises(StorageError, match="restart"):
        storage.append([_create_entry(4)])
    monkeypatch.undo()
    with pytest.raises(StorageError, match="failed earlier"):
        storage.append([_create_entry(4)])
    storage.close()


def test_folder_is_synced_for_each_new_segment(folder, monkeypatch):
    synced = []
    monkeypatch.setattr(
        segment, "sync_folder", lambda path: synced.append(path)
    )
    _create_filled_storage(
        folder, 30, segment_limit_bytes=SMALL_SEGMENT_BYTES
    ).close()
    assert len(synced) == len(list(folder.glob("log-*")))
