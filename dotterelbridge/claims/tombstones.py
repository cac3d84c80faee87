"""Keys that were used and whose answer is no longer kept.

Twelve bytes for each: a 64-bit hash, and an hour with two flags. A hash
that collides leads to a refusal, never to a second run.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterator
import enum
import sys

import msgspec

PARTITION_BITS = 10
PARTITIONS = 1 << PARTITION_BITS
HASH_BYTES = 8
MS_PER_HOUR = 3_600_000
FLAG_BITS = 2
_MAX_HOUR = (1 << 30) - 1


class TombstoneKind(enum.IntEnum):
    """What is known of the key's run."""

    RAN = 0
    UNKNOWN = 1


class PackedTombstones(msgspec.Struct, frozen=True, array_like=True):
    """All tombstones as little-endian arrays."""

    sizes: bytes
    hashes: bytes
    marks: bytes
    next_sweep: int
    swept_hour: int


class Tombstones:
    """A compact set of used keys, each with an expiry."""

    def __init__(self) -> None:
        self._hashes = [array("Q") for _ in range(PARTITIONS)]
        self._marks = [array("I") for _ in range(PARTITIONS)]
        self._count = 0
        self._next_sweep = 0
        self._swept_hour = 0

    def __len__(self) -> int:
        return self._count

    def add_undated(
        self, key: bytes, kind: TombstoneKind, expires_ms: int
    ) -> None:
        """Remember a key until log time has passed ``expires_ms``."""
        self._add(key, _create_mark(expires_ms, kind, dated=False))

    def add_dated(self, key: bytes, kind: TombstoneKind, made_ms: int) -> None:
        """Remember a key until all that were made by then are refused."""
        self._add(key, _create_mark(made_ms, kind, dated=True))

    def find(self, key: bytes) -> TombstoneKind | None:
        """Return what is known of a key, or None."""
        number, partition = _locate(key)
        hashes = self._hashes[partition]
        at = bisect_left(hashes, number)
        if at == len(hashes) or hashes[at] != number:
            return None
        return TombstoneKind(self._marks[partition][at] & 1)

    def sweep(self, now_ms: int, floor_ms: int) -> None:
        """Forget what is due in one part of the set; call it often.

        :param floor_ms: dated keys made up to this time are refused.
        """
        now_hour = now_ms // MS_PER_HOUR
        if self._next_sweep == 0:
            if now_hour == self._swept_hour:
                return
            self._swept_hour = now_hour
        partition = self._next_sweep
        self._next_sweep = (partition + 1) % PARTITIONS
        past_hours = (now_hour, floor_ms // MS_PER_HOUR)
        self._sweep_partition(partition, past_hours)

    def _sweep_partition(
        self, partition: int, past_hours: tuple[int, int]
    ) -> None:
        marks = self._marks[partition]
        kept = [
            at
            for at, mark in enumerate(marks)
            if mark >> FLAG_BITS > past_hours[mark >> 1 & 1]
        ]
        if len(kept) == len(marks):
            return
        hashes = self._hashes[partition]
        self._count -= len(marks) - len(kept)
        self._hashes[partition] = array("Q", (hashes[at] for at in kept))
        self._marks[partition] = array("I", (marks[at] for at in kept))

    def _add(self, key: bytes, mark: int) -> None:
        number, partition = _locate(key)
        hashes, marks = self._hashes[partition], self._marks[partition]
        at = bisect_left(hashes, number)
        if at < len(hashes) and hashes[at] == number:
            marks[at] = max(marks[at], mark)
            return
        hashes.insert(at, number)
        marks.insert(at, mark)
        self._count += 1

    def pack(self) -> PackedTombstones:
        """Return the set and the progress of its sweep."""
        return PackedTombstones(
            sizes=_to_bytes(array("I", map(len, self._hashes))),
            hashes=b"".join(map(_to_bytes, self._hashes)),
            marks=b"".join(map(_to_bytes, self._marks)),
            next_sweep=self._next_sweep,
            swept_hour=self._swept_hour,
        )

    @classmethod
    def unpack(cls, packed: PackedTombstones) -> "Tombstones":
        """Return the set that ``pack`` gave."""
        tombstones = cls()
        sizes = _from_bytes("I", packed.sizes)
        hashes = _split(_from_bytes("Q", packed.hashes), sizes)
        marks = _split(_from_bytes("I", packed.marks), sizes)
        tombstones._hashes = list(hashes)
        tombstones._marks = list(marks)
        tombstones._count = sum(sizes)
        tombstones._next_sweep = packed.next_sweep
        tombstones._swept_hour = packed.swept_hour
        return tombstones


def _locate(key: bytes) -> tuple[int, int]:
    number = int.from_bytes(key[:HASH_BYTES], "little")
    return number, number & (PARTITIONS - 1)


def _create_mark(at_ms: int, kind: TombstoneKind, dated: bool) -> int:
    """Round the time up to a whole hour and add the flags."""
    hour = min(_MAX_HOUR, max(0, at_ms) // MS_PER_HOUR + 1)
    return hour << FLAG_BITS | dated << 1 | kind


def _to_bytes(numbers: array) -> bytes:
    if sys.byteorder == "big":
        numbers = numbers[:]
        numbers.byteswap()
    return numbers.tobytes()


def _from_bytes(typecode: str, content: bytes) -> array:
    numbers = array(typecode, content)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _split(numbers: array, sizes: array) -> Iterator[array]:
    start = 0
    for size in sizes:
        yield numbers[start : start + size]
        start += size
