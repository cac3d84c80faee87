"""Differences between revisions of the sheet, and a history of them."""

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
    """New rows, and the new content of others."""
    removed: tuple[ItemName, ...] = ()

    def apply(self, rows: Iterable[SheetRow]) -> tuple[SheetRow, ...]:
        """Return the rows after the changes, sorted by name."""
        by_name = {row.name: row for row in rows}
        for name in self.removed:
            by_name.pop(name, None)
        by_name.update((row.name, row) for row in self.changed)
        return tuple(by_name[name] for name in sorted(by_name))


class SheetDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Leads from one revision to the next."""

    revision: Revision
    """The revision that the delta leads to, from the one before it."""
    number: SheetNumber
    digest: str
    checksum: int
    """Checksum of the rows after the changes."""
    changes: RowChanges


def compute_changes(
    old: Iterable[SheetRow], new: Iterable[SheetRow]
) -> RowChanges:
    """Return what leads from the old rows to the new ones."""
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    return RowChanges(
        changed=tuple(
            row for name, row in after.items() if before.get(name) != row
        ),
        removed=tuple(name for name in before if name not in after),
    )


def compute_checksum(rows: tuple[SheetRow, ...]) -> int:
    """Return a checksum of sorted rows, the same on every VM."""
    return zlib.crc32(msgspec.msgpack.encode(rows))


def pack_rows(rows: tuple[SheetRow, ...]) -> bytes:
    """Return the rows encoded and compressed."""
    return zlib.compress(msgspec.msgpack.encode(rows), _COMPRESSION_LEVEL)


def unpack_rows(packed: bytes, limit_bytes: int) -> tuple[SheetRow, ...]:
    """Return the rows that ``pack_rows`` encoded.

    :raises ValueError: damaged, or larger than the limit when unpacked.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, limit_bytes)
        complete = decompressor.eof
        rows = _rows_decoder.decode(encoded) if complete else ()
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"damaged rows: {error}") from error
    if not complete:
        raise ValueError("packed rows are cut off or too large")
    return rows


def apply_delta(sheet: SheetRevision, delta: SheetDelta) -> SheetRevision:
    """Return the sheet after the delta.

    :raises ValueError: the delta starts elsewhere or gives other rows.
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
    """The latest deltas without a gap, oldest first."""

    def __init__(self, limit: int) -> None:
        self._deltas: deque[SheetDelta] = deque(maxlen=limit)

    def __len__(self) -> int:
        return len(self._deltas)

    def add(self, delta: SheetDelta) -> None:
        """Append the delta; one that leaves a gap starts anew."""
        if self._deltas and delta.revision != self._deltas[-1].revision + 1:
            self._deltas.clear()
        self._deltas.append(delta)

    def clear(self) -> None:
        """Forget all deltas; after a snapshot they lead nowhere."""
        self._deltas.clear()

    def find_after(self, revision: Revision) -> list[SheetDelta] | None:
        """Return the deltas after a revision; None when too old."""
        if not self._deltas or self._deltas[0].revision > revision + 1:
            return None
        return [d for d in self._deltas if d.revision > revision]
