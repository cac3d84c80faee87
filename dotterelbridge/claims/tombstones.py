"""Tombstones: keys that were used and whose response is no longer kept.

Each takes 12 bytes: a 64-bit hash, and 32 bits with an hour and two flags.
A hash collision leads to a refused call, never to a second run.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterator
import enum
import sys

import msgspec

PARTITION_BITS = 10
PARTITION_COUNT = 1 << PARTITION_BITS
HASH_BYTES = 8
MS_PER_HOUR = 3_600_000
FLAG_BITS = 2
_MAX_HOUR = (1 << 30) - 1


class TombstoneKind(enum.IntEnum):
    """Whether the call with this key has run."""

    RAN = 0
    UNKNOWN = 1


class PackedTombstones(msgspec.Struct, frozen=True, array_like=True):
    """All tombstones as little-endian arrays."""

    sizes: bytes
    hashes: bytes
    expiries: bytes
    next_sweep: int
    swept_hour: int


class Tombstones:
    """A compact set of used keys, each with an expiry time."""

    def __init__(self) -> None:
        self._hashes = [array("Q") for _ in range(PARTITION_COUNT)]
        self._expiries = [array("I") for _ in range(PARTITION_COUNT)]
        self._count = 0
        self._next_sweep = 0
        self._swept_hour = 0

    def __len__(self) -> int:
        return self._count

    def add_undated(
        self, key: bytes, kind: TombstoneKind, expires_ms: int
    ) -> None:
        """Add a key to remove once log time has passed ``expires_ms``."""
        self._add(key, _pack_expiry(expires_ms, kind, dated=False))

    def add_dated(
        self, key: bytes, kind: TombstoneKind, created_ms: int
    ) -> None:
        """Add a key to remove once all keys of its age are refused."""
        self._add(key, _pack_expiry(created_ms, kind, dated=True))

    def find(self, key: bytes) -> TombstoneKind | None:
        """Return the kind of a key's tombstone, or None without one."""
        key_hash, partition = _get_hash_and_partition(key)
        hashes = self._hashes[partition]
        index = bisect_left(hashes, key_hash)
        if index == len(hashes) or hashes[index] != key_hash:
            return None
        return TombstoneKind(self._expiries[partition][index] & 1)

    def sweep(self, now_ms: int, refused_up_to_ms: int) -> None:
        """Remove the expired keys of one partition.

        Call it with every command, so that each hour of log time starts a
        new pass over all partitions.

        :param refused_up_to_ms: dated keys created up to this time are
            refused.
        """
        now_hour = now_ms // MS_PER_HOUR
        if self._next_sweep == 0:
            if now_hour == self._swept_hour:
                return
            self._swept_hour = now_hour
        partition = self._next_sweep
        self._next_sweep = (partition + 1) % PARTITION_COUNT
        past_hours = (now_hour, refused_up_to_ms // MS_PER_HOUR)
        self._sweep_partition(partition, past_hours)

    def _sweep_partition(
        self, partition: int, past_hours: tuple[int, int]
    ) -> None:
        expiries = self._expiries[partition]
        kept = [
            index
            for index, expiry in enumerate(expiries)
            if expiry >> FLAG_BITS > past_hours[expiry >> 1 & 1]
        ]
        if len(kept) == len(expiries):
            return
        hashes = self._hashes[partition]
        self._count -= len(expiries) - len(kept)
        self._hashes[partition] = array("Q", (hashes[index] for index in kept))
        self._expiries[partition] = array(
            "I", (expiries[index] for index in kept)
        )

    def _add(self, key: bytes, expiry: int) -> None:
        key_hash, partition = _get_hash_and_partition(key)
        hashes, expiries = self._hashes[partition], self._expiries[partition]
        index = bisect_left(hashes, key_hash)
        if index < len(hashes) and hashes[index] == key_hash:
            expiries[index] = max(expiries[index], expiry)
            return
        hashes.insert(index, key_hash)
        expiries.insert(index, expiry)
        self._count += 1

    def pack(self) -> PackedTombstones:
        """Return the set and the progress of the sweep."""
        return PackedTombstones(
            sizes=_encode_array(array("I", map(len, self._hashes))),
            hashes=b"".join(map(_encode_array, self._hashes)),
            expiries=b"".join(map(_encode_array, self._expiries)),
            next_sweep=self._next_sweep,
            swept_hour=self._swept_hour,
        )

    @classmethod
    def unpack(cls, packed: PackedTombstones) -> "Tombstones":
        """Restore the set that ``pack`` returned."""
        tombstones = cls()
        sizes = _decode_array("I", packed.sizes)
        hashes = _split_by_size(_decode_array("Q", packed.hashes), sizes)
        expiries = _split_by_size(_decode_array("I", packed.expiries), sizes)
        tombstones._hashes = list(hashes)
        tombstones._expiries = list(expiries)
        tombstones._count = sum(sizes)
        tombstones._next_sweep = packed.next_sweep
        tombstones._swept_hour = packed.swept_hour
        return tombstones


def _get_hash_and_partition(key: bytes) -> tuple[int, int]:
    key_hash = int.from_bytes(key[:HASH_BYTES], "little")
    return key_hash, key_hash & (PARTITION_COUNT - 1)


def _pack_expiry(time_ms: int, kind: TombstoneKind, dated: bool) -> int:
    """Pack the time, rounded up to a whole hour, and the flags."""
    hour = min(_MAX_HOUR, max(0, time_ms) // MS_PER_HOUR + 1)
    return hour << FLAG_BITS | dated << 1 | kind


def _encode_array(numbers: array) -> bytes:
    if sys.byteorder == "big":
        numbers = numbers[:]
        numbers.byteswap()
    return numbers.tobytes()


def _decode_array(typecode: str, content: bytes) -> array:
    numbers = array(typecode, content)
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _split_by_size(numbers: array, sizes: array) -> Iterator[array]:
    start = 0
    for size in sizes:
        yield numbers[start : start + size]
        start += size
