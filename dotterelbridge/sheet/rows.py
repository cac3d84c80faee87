"""Rows and revisions of the sheet, the desired state of the deployment."""

from collections.abc import Mapping

import msgspec

from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber


class SheetRow(msgspec.Struct, frozen=True, kw_only=True):
    """One model, adapter or service of one business."""

    kind: ItemKind
    business: Business
    name: ItemName
    version: str
    base: ItemName | None = None
    """Base model; adapters only."""
    memory_mb: int = 0
    """Accelerator memory of one copy, in mebibytes; 0 for services."""
    priority: Priority = Priority.NORMAL
    """Default priority of requests."""
    deadline_ms: int = 2000
    """Default deadline of requests: time to the first token."""
    min_copies: int = 1
    """Minimum number of copies in the whole business."""
    callers_at: tuple[Region, ...] = ()
    """Regions that the callers are in."""
    idempotent: bool = True
    """Whether a call may safely run more than once."""


class SheetRevision(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted sheet."""

    revision: Revision
    """0 for the empty sheet of a new deployment."""
    number: SheetNumber
    digest: str
    """SHA-256 of the submitted bytes, in hexadecimal."""
    rows: tuple[SheetRow, ...] = ()

    def find_item(self, name: ItemName) -> SheetRow | None:
        """Return the row of an item, or None."""
        return self.index().get(name)

    def index(self) -> Mapping[ItemName, SheetRow]:
        """Return the rows by name."""
        return {row.name: row for row in self.rows}


EMPTY_SHEET = SheetRevision(
    revision=Revision(0), number=SheetNumber(0), digest=""
)
