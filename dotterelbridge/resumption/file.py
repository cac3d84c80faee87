"""Writes records of streams to two files, and reads them after a start.

What was written survives the end of the process, and what was synced a loss
of power. Nobody waits for either: streams without a record are not resumed
unless only one version has served.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from datetime import timedelta
import os
from pathlib import Path
import struct

import msgspec
import structlog
import xxhash

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.replication.checksummed_file import sync_folder
from dotterelbridge.resumption.events import ResumptionEvent
from dotterelbridge.resumption.keys import StreamKey

_log = structlog.get_logger(__name__)

_MARK = b"DBSTRM1\n"
"""Begins each frame. Reading goes on at the next one after damage: of the
writes before a loss of power any may be missing."""
_HEADER = struct.Struct("<8sIQ")
"""Mark, payload length and payload checksum."""
_FILE_NAMES = ("streams-0", "streams-1")
_BYTES_PER_MIB = 1024 * 1024
_MS_PER_S = 1000


class StoredStream(msgspec.Struct, frozen=True, array_like=True):
    """A record as it is written."""

    key: StreamKey
    service: ItemName
    software: SoftwareVersion
    expires_ms: int
    """Unix time."""


_decoder = msgspec.msgpack.Decoder(list[StoredStream])


class StreamFile:
    """Appends to one of two files; the older one is replaced in time.

    ``append`` and ``sync`` may run in a thread, one call at a time.
    """

    def __init__(
        self,
        folder: Path,
        limit_bytes: int,
        longest_age: timedelta,
        clock: Clock,
    ) -> None:
        """Create a writer; the folder is created with the first record.

        :param limit_bytes: size of one file.
        :param longest_age: age from which the other file takes over, once
            its own records have expired.
        """
        self._paths = [folder / name for name in _FILE_NAMES]
        self._limit_bytes = limit_bytes
        self._longest_age_ms = longest_age.total_seconds() * _MS_PER_S
        self._clock = clock
        self._current = 0
        self._expires_ms = [0, 0]
        """When the last record of each file expires, as a Unix time."""
        self._began_ms = self._read_time_ms()
        self._unsynced: set[Path] = set()

    def read(self) -> list[StoredStream]:
        """Return the records that have not expired, and go on after them.

        Damaged parts are passed over; what cannot be read at all is logged.
        """
        now_ms = self._read_time_ms()
        found: list[StoredStream] = []
        for number, path in enumerate(self._paths):
            try:
                data = path.read_bytes()
            except FileNotFoundError:
                continue
            except OSError as error:
                events.log(
                    _log,
                    ResumptionEvent.RECORDS_NOT_READ,
                    path=str(path),
                    error=str(error),
                )
                continue
            streams = [s for s in _decode(data) if s.expires_ms > now_ms]
            found.extend(streams)
            self._expires_ms[number] = max(
                (stream.expires_ms for stream in streams), default=0
            )
        self._current = self._expires_ms.index(max(self._expires_ms))
        if found:
            events.log(_log, ResumptionEvent.RECORDS_READ, records=len(found))
        return found

    def append(self, streams: Sequence[StoredStream]) -> None:
        """Write records.

        :raises OSError: the disk is full or fails.
        """
        frame = _encode(streams)
        path = self._paths[self._current]
        path.parent.mkdir(parents=True, exist_ok=True)
        if self._is_full(path, len(frame)):
            path = self._switch()
        with open(path, "ab", buffering=0) as file:
            view = memoryview(frame)
            while view:
                view = view[file.write(view) :]
        self._unsynced.add(path)
        latest = max(stream.expires_ms for stream in streams)
        self._expires_ms[self._current] = max(
            latest, self._expires_ms[self._current]
        )

    def sync(self) -> None:
        """Make what was written survive a loss of power.

        :raises OSError: the disk fails.
        """
        if not self._unsynced:
            return
        for path in self._unsynced:
            descriptor = os.open(path, os.O_WRONLY)
            try:
                os.fdatasync(descriptor)
            finally:
                os.close(descriptor)
        sync_folder(self._paths[0].parent)
        self._unsynced.clear()

    def _is_full(self, path: Path, added_bytes: int) -> bool:
        try:
            size = path.stat().st_size
        except FileNotFoundError:
            return False
        if size and size + added_bytes > self._limit_bytes:
            return True
        now_ms = self._read_time_ms()
        is_old = now_ms - self._began_ms >= self._longest_age_ms
        return is_old and self._expires_ms[1 - self._current] <= now_ms

    def _switch(self) -> Path:
        """Go on in the other file, without what it contains."""
        other = 1 - self._current
        with open(self._paths[other], "wb"):
            pass
        self._current = other
        self._expires_ms[other] = 0
        self._began_ms = self._read_time_ms()
        return self._paths[other]

    def _read_time_ms(self) -> int:
        return int(self._clock.now().timestamp() * _MS_PER_S)


def _encode(streams: Sequence[StoredStream]) -> bytes:
    payload = msgspec.msgpack.encode(streams)
    digest = xxhash.xxh64_intdigest(payload)
    return _HEADER.pack(_MARK, len(payload), digest) + payload


def _decode(data: bytes) -> Iterator[StoredStream]:
    """Yield the records of all sound frames."""
    offset = data.find(_MARK)
    while 0 <= offset <= len(data) - _HEADER.size:
        _, length, digest = _HEADER.unpack_from(data, offset)
        start = offset + _HEADER.size
        payload = data[start : start + length]
        next_offset = offset + 1
        if (
            len(payload) == length
            and xxhash.xxh64_intdigest(payload) == digest
        ):
            next_offset = start + length
            # A sound frame of another kind is one of another release.
            with contextlib.suppress(msgspec.MsgspecError):
                yield from _decoder.decode(payload)
        offset = data.find(_MARK, next_offset)


def create_stream_file(
    data_folder: Path,
    limit_mb: int,
    longest_age: timedelta,
    clock: Clock,
) -> StreamFile:
    """Return the files in a data folder."""
    return StreamFile(
        data_folder / "streams",
        limit_mb * _BYTES_PER_MIB,
        longest_age,
        clock,
    )
