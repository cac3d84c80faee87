"""A segment file of the log: frames of entries, each with checksums.

A frame holds the entries of one sync. The entries of a frame replace the
earlier ones from its first index on, so that a conflicting tail is
replaced in one write. Only the last frame of the last segment can be torn
(incomplete) after a crash: each frame is synced before the next one is
written.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import os
from pathlib import Path
import struct

import msgspec
import xxhash

from dotterelbridge.replication.checksummed_file import create_damage_error
from dotterelbridge.replication.checksummed_file import sync_folder
from dotterelbridge.replication.entries import Entry

MAGIC = b"DBLOG01\n"
_FRAME_HEADER = struct.Struct("<IQI")
"""Payload length, payload checksum, header checksum.

The header checksum covers the first two fields and the frame's offset.
"""
_CHECKED_FIELDS = struct.Struct("<IQ")
_SECTOR_BYTES = 512
_SEQUENCE_DIGIT_COUNT = 12

_decoder = msgspec.msgpack.Decoder(list[Entry])


class Segment:
    """An open segment file, to which frames are appended."""

    def __init__(self, path: Path, size_bytes: int) -> None:
        self.path = path
        self.size_bytes = size_bytes
        """Current size of the file."""
        self._descriptor = os.open(path, os.O_WRONLY)
        os.lseek(self._descriptor, size_bytes, os.SEEK_SET)

    def append(self, entries: Sequence[Entry]) -> None:
        """Write one frame and sync it."""
        frame = _encode_frame(entries, self.size_bytes)
        view = memoryview(frame)
        while view:
            written = os.write(self._descriptor, view)
            view = view[written:]
        os.fdatasync(self._descriptor)
        self.size_bytes += len(frame)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def create_segment(folder: Path, sequence: int) -> Segment:
    """Create the segment with a sequence number and sync its folder."""
    path = folder / f"log-{sequence:0{_SEQUENCE_DIGIT_COUNT}d}"
    with open(path, "wb") as file:
        file.write(MAGIC)
        file.flush()
        os.fsync(file.fileno())
    sync_folder(folder)
    return Segment(path, len(MAGIC))


def find_segments(folder: Path) -> list[tuple[int, Path]]:
    """Return the sequence numbers and paths of all segments, in order."""
    found = []
    for path in sorted(folder.glob("log-*")):
        digits = path.name.removeprefix("log-")
        if not digits.isdigit():
            raise create_damage_error(
                path, 0, "the file name is not that of a log segment"
            )
        found.append((int(digits), path))
    for (before, _), (number, path) in itertools.pairwise(found):
        if number != before + 1:
            raise create_damage_error(
                path, 0, f"the file before it, {before + 1}, is missing"
            )
    return found


class SegmentReader:
    """Reads the frames of a segment and finds a torn last frame."""

    def __init__(self, path: Path, is_last: bool) -> None:
        self.path = path
        self.torn_offset: int | None = None
        """Offset of a torn last frame; set once all frames are read."""
        self._is_last = is_last
        self._data = path.read_bytes()

    def read_frames(self) -> Iterator[tuple[int, list[Entry]]]:
        """Yield the offset and entries of each frame.

        :raises StorageError: a frame is damaged.
        """
        data = self._data
        if not data.startswith(MAGIC):
            if not (self._is_last and _is_torn_prefix(data, 0, MAGIC)):
                raise create_damage_error(
                    self.path, 0, "the header is damaged"
                )
            self.torn_offset = 0
            return
        offset = len(MAGIC)
        while offset < len(data):
            end = self._check_frame(offset)
            if end is None:
                self.torn_offset = offset
                return
            payload = data[offset + _FRAME_HEADER.size : end]
            yield offset, self._decode(offset, payload)
            offset = end

    def _check_frame(self, offset: int) -> int | None:
        """Return the end offset of a frame, or None if it is torn."""
        data = self._data
        payload_offset = offset + _FRAME_HEADER.size
        if payload_offset > len(data):
            return self._check_torn_allowed(offset, "the frame is cut short")
        length, digest, header_digest = _FRAME_HEADER.unpack_from(data, offset)
        if header_digest != _digest_header(length, digest, offset):
            if self._is_zero_from(offset):
                return self._check_torn_allowed(
                    offset, "the frame was never written"
                )
            raise create_damage_error(
                self.path, offset, "a frame's header is damaged"
            )
        end = payload_offset + length
        if end > len(data):
            return self._check_torn_allowed(offset, "the frame is cut short")
        if xxhash.xxh64_intdigest(data[payload_offset:end]) != digest:
            if end == len(data) and self._has_unwritten_end(payload_offset):
                return self._check_torn_allowed(
                    offset, "the frame was not fully written"
                )
            raise create_damage_error(
                self.path, offset, "a frame's checksum differs"
            )
        return end

    def _check_torn_allowed(self, offset: int, problem: str) -> None:
        if not self._is_last:
            raise create_damage_error(self.path, offset, problem)

    def _is_zero_from(self, offset: int) -> bool:
        return not any(self._data[offset:])

    def _has_unwritten_end(self, payload_offset: int) -> bool:
        """Return whether the file's last sector holds only zeros.

        A crash can extend the file before its data is written. A flipped
        byte in a complete frame is damage instead: the frame may have been
        acknowledged and must not be cut off.
        """
        size = len(self._data)
        last_sector = max(
            payload_offset, (size - 1) // _SECTOR_BYTES * _SECTOR_BYTES
        )
        return not any(self._data[last_sector:])

    def _decode(self, offset: int, payload: bytes) -> list[Entry]:
        try:
            entries = _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise create_damage_error(self.path, offset, str(error)) from None
        if not entries:
            raise create_damage_error(
                self.path, offset, "a frame without entries"
            )
        return entries


def _encode_frame(entries: Sequence[Entry], offset: int) -> bytes:
    payload = msgspec.msgpack.encode(entries)
    digest = xxhash.xxh64_intdigest(payload)
    header_digest = _digest_header(len(payload), digest, offset)
    return _FRAME_HEADER.pack(len(payload), digest, header_digest) + payload


def _digest_header(length: int, digest: int, offset: int) -> int:
    checked = _CHECKED_FIELDS.pack(length, digest)
    return xxhash.xxh32_intdigest(checked, seed=offset & 0xFFFFFFFF)


def _is_torn_prefix(data: bytes, offset: int, expected: bytes) -> bool:
    """Return whether data at an offset is an incomplete write of expected."""
    found = data[offset : offset + len(expected)]
    return len(found) < len(expected) or not any(data[offset:])
