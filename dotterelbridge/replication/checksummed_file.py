"""Small files with a checksum that are replaced atomically."""

import os
from pathlib import Path
import struct

import xxhash

from dotterelbridge.errors import StorageError

_MAGIC = b"DBSEAL1\n"
_HEADER = struct.Struct("<QQ")
_HEADER_BYTES = len(_MAGIC) + _HEADER.size


def write_checksummed_file(path: Path, payload: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new one.

    Returns once the file and its folder are synced.
    """
    temporary_path = path.with_name(path.name + ".new")
    header = _HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload))
    with open(temporary_path, "wb") as file:
        file.write(_MAGIC + header + payload)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary_path, path)
    sync_folder(path.parent)


def read_checksummed_file(path: Path) -> bytes:
    """Return the payload of a file.

    :raises StorageError: the file is damaged.
    """
    data = path.read_bytes()
    if len(data) < _HEADER_BYTES or not data.startswith(_MAGIC):
        raise create_damage_error(path, 0, "the header is damaged")
    size, digest = _HEADER.unpack_from(data, len(_MAGIC))
    payload = data[_HEADER_BYTES:]
    if len(payload) != size:
        raise create_damage_error(
            path, len(data), f"{size} bytes of content expected"
        )
    if xxhash.xxh64_intdigest(payload) != digest:
        raise create_damage_error(
            path, _HEADER_BYTES, "the checksum does not match"
        )
    return payload


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def create_damage_error(path: Path, offset: int, problem: str) -> StorageError:
    """Return the error for a damaged file, with a remedy."""
    return StorageError(
        f"{path} is damaged at offset {offset}: {problem}",
        "while a majority of the voters runs, move the whole data folder "
        "away and restart: this VM joins again under a new identity; "
        "otherwise see 'Losing a majority' in docs/operators/replication.md",
    )
