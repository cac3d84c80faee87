"""Deltas between revisions of the sheet, and a history of deltas."""

from collections import deque
from collections.abc import Iterable
import zlib

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.rows import SheetRow

_COMPRESSION_LEVEL = 6
_rows_decoder = msgspec.msgpack.Decoder(tuple[SheetRow, ...])


class RowChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Rows that differ between two sheets."""

    changed: tuple[SheetRow, ...] = ()
    """Added rows, and changed rows with their new content."""
    removed: tuple[ItemName, ...] = ()

    def apply(self, rows: Iterable[SheetRow]) -> tuple[SheetRow, ...]:
        """Return the rows after the changes, sorted by name."""
        by_name = {row.name: row for row in rows}
        for name in self.removed:
            by_name.pop(name, None)
        by_name.update((row.name, row) for row in self.changed)
        return tuple(by_name[name] for name in sorted(by_name))


class SheetDelta(msgspec.Struct, frozen=True, kw_only=True):
    """The changes from one revision to the next."""

    revision: Revision
    """The revision after the changes; the delta applies to the one before."""
    number: SheetNumber
    digest: str
    checksum: int
    """Checksum of the rows after the changes."""
    changes: RowChanges


def compute_changes(
    old: Iterable[SheetRow], new: Iterable[SheetRow]
) -> RowChanges:
    """Return the changes from the old rows to the new ones."""
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    return RowChanges(
        changed=tuple(
            row for name, row in after.items() if before.get(name) != row
        ),
        removed=tuple(name for name in before if name not in after),
    )


def compute_checksum(rows: tuple[SheetRow, ...]) -> int:
    """Return a CRC-32 of sorted rows, which is the same on every VM."""
    return zlib.crc32(msgspec.msgpack.encode(rows))


def pack_rows(rows: tuple[SheetRow, ...]) -> bytes:
    """Encode and compress rows."""
    return zlib.compress(msgspec.msgpack.encode(rows), _COMPRESSION_LEVEL)


def unpack_rows(packed: bytes, limit_bytes: int) -> tuple[SheetRow, ...]:
    """Decompress and decode the output of ``pack_rows``.

    :raises ValueError: the data is damaged, or larger than the limit when
        decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, limit_bytes)
        complete = decompressor.eof
        rows = _rows_decoder.decode(encoded) if complete else ()
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"damaged rows: {error}") from error
    if not complete:
        raise ValueError("packed rows are truncated or too large")
    return rows


def apply_delta(sheet: SheetRevision, delta: SheetDelta) -> SheetRevision:
    """Return the sheet after the delta.

    :raises ValueError: the delta does not follow the sheet, or the rows do
        not match its checksum.
    """
    if delta.revision != sheet.revision + 1:
        raise ValueError(
            f"delta to {delta.revision} does not follow {sheet.revision}"
        )
    rows = delta.changes.apply(sheet.rows)
    if compute_checksum(rows) != delta.checksum:
        raise ValueError(f"rows of revision {delta.revision} differ")
    return SheetRevision(
        revision=delta.revision,
        number=delta.number,
        digest=delta.digest,
        rows=rows,
    )


class DeltaHistory:
    """The latest consecutive deltas, oldest first."""

    def __init__(self, limit: int) -> None:
        self._deltas: deque[SheetDelta] = deque(maxlen=limit)

    def __len__(self) -> int:
        return len(self._deltas)

    def add(self, delta: SheetDelta) -> None:
        """Append a delta; clear the history first if there is a gap."""
        if self._deltas and delta.revision != self._deltas[-1].revision + 1:
            self._deltas.clear()
        self._deltas.append(delta)

    def clear(self) -> None:
        """Remove all deltas; after a snapshot they no longer connect."""
        self._deltas.clear()

    def find_after(self, revision: Revision) -> list[SheetDelta] | None:
        """Return the deltas after a revision; None if they are not kept."""
        if not self._deltas or self._deltas[0].revision > revision + 1:
            return None
        return [d for d in self._deltas if d.revision > revision]
