"""Reads the cells of one line of a sheet."""

import re

import msgspec

from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.sheet.faults import SheetFault
from dotterelbridge.sheet.faults import create_fault
from dotterelbridge.sheet.rows import SheetRow

COLUMNS = (
    "kind",
    "business",
    "name",
    "version",
    "base",
    "memory_mb",
    "priority",
    "deadline_ms",
    "min_copies",
    "callers_at",
    "idempotent",
)
NAME_LENGTH_LIMIT = 128
MEMORY_LIMIT_MB = 16 * 1024 * 1024
DEADLINE_LIMIT_MS = 3_600_000
COPIES_LIMIT = 100_000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*\Z")
_NAME_RULE = (
    "letters, digits, '.', '_' and '-', starting with a letter or digit, "
    f"at most {NAME_LENGTH_LIMIT} characters"
)
_REGION_SEPARATOR = re.compile(r"[;\s]+")
_YES = frozenset({"yes", "true", "1"})
_NO = frozenset({"no", "false", "0"})


class KnownNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the deployment that a sheet may use; empty allows any."""

    businesses: frozenset[Business] = frozenset()
    regions: frozenset[Region] = frozenset()
    services: frozenset[ItemName] = frozenset()


class _CellReader:
    """Reads the cells of one line and collects their faults."""

    def __init__(self, line: int, values: dict[str, str]) -> None:
        self.line = line
        self.values = values
        self.faults: list[SheetFault] = []

    def text(self, column: str) -> str:
        """Return a cell without the blanks around it."""
        return self.values[column].strip()

    def report(self, column: str, allowed: str) -> None:
        """Add a fault of a cell."""
        self.faults.append(
            create_fault(self.line, column, self.text(column), allowed)
        )


def read_row(
    line: int,
    cells: list[str],
    known: KnownNames,
    faults: list[SheetFault],
) -> SheetRow | None:
    """Return the row of one line, with its faults added to ``faults``.

    A row with faults is returned as well; None when it has the wrong
    number of cells.
    """
    if len(cells) != len(COLUMNS):
        faults.append(
            SheetFault(
                row=line,
                column="",
                found=f"{len(cells)} cells",
                allowed=f"{len(COLUMNS)} cells",
            )
        )
        return None
    cell = _CellReader(line, dict(zip(COLUMNS, cells, strict=True)))
    row = _convert_row(cell, known)
    faults.extend(cell.faults)
    return row


def _convert_row(cell: _CellReader, known: KnownNames) -> SheetRow:
    kind = _read_choice(cell, "kind", ItemKind, None)
    return SheetRow(
        kind=kind or ItemKind.MODEL,
        business=Business(_read_known(cell, "business", known.businesses)),
        name=ItemName(_read_item_name(cell, kind, known)),
        version=_read_version(cell, kind),
        base=_read_base(cell, kind),
        memory_mb=_read_memory(cell, kind),
        priority=_read_choice(cell, "priority", Priority, Priority.NORMAL),
        deadline_ms=_read_number(
            cell, "deadline_ms", 1, DEADLINE_LIMIT_MS, 2000
        ),
        min_copies=_read_number(cell, "min_copies", 1, COPIES_LIMIT, 1),
        callers_at=_read_regions(cell, known),
        idempotent=_read_flag(cell, "idempotent"),
    )


def _read_choice(cell: _CellReader, column: str, choices, default):
    text = cell.text(column).lower()
    values = [choice.value for choice in choices]
    if text in values:
        return choices(text)
    if text or default is None:
        cell.report(column, " or ".join(values))
    return default


def _read_known(cell: _CellReader, column: str, names: frozenset[str]) -> str:
    text = cell.text(column)
    if not names:
        return _read_name(cell, column)
    if text not in names:
        cell.report(column, " or ".join(sorted(names)))
    return text


def _read_name(cell: _CellReader, column: str) -> str:
    text = cell.text(column)
    if not _NAME.match(text) or len(text) > NAME_LENGTH_LIMIT:
        cell.report(column, _NAME_RULE)
    return text


def _read_item_name(
    cell: _CellReader, kind: ItemKind | None, known: KnownNames
) -> str:
    if kind is ItemKind.SERVICE and known.services:
        return _read_known(cell, "name", known.services)
    return _read_name(cell, "name")


def _read_version(cell: _CellReader, kind: ItemKind | None) -> str:
    if kind in (ItemKind.SERVICE, None) and not cell.text("version"):
        return ""
    return _read_name(cell, "version")


def _read_base(cell: _CellReader, kind: ItemKind | None) -> ItemName | None:
    if kind is ItemKind.ADAPTER:
        return ItemName(_read_name(cell, "base"))
    if kind is not None and cell.text("base"):
        cell.report("base", f"nothing for a {kind.value}")
    return None


def _read_memory(cell: _CellReader, kind: ItemKind | None) -> int:
    if kind is None:
        return _read_number(cell, "memory_mb", 0, MEMORY_LIMIT_MB, 0)
    if kind is ItemKind.SERVICE:
        return _read_number(cell, "memory_mb", 0, 0, 0)
    return _read_number(cell, "memory_mb", 1, MEMORY_LIMIT_MB, None)


def _read_number(
    cell: _CellReader,
    column: str,
    lowest: int,
    highest: int,
    default: int | None,
) -> int:
    text = cell.text(column)
    if not text and default is not None:
        return default
    digits = text.isascii() and text.isdigit() and len(text) <= 12
    if digits and lowest <= int(text) <= highest:
        return int(text)
    if lowest == highest:
        cell.report(column, f"{lowest} or nothing")
    else:
        cell.report(column, f"a whole number from {lowest} to {highest}")
    return lowest


def _read_regions(cell: _CellReader, known: KnownNames) -> tuple[Region, ...]:
    text = cell.text("callers_at")
    regions = [part for part in _REGION_SEPARATOR.split(text) if part]
    unknown = [r for r in regions if known.regions and r not in known.regions]
    if unknown:
        allowed = ", ".join(sorted(known.regions))
        cell.faults.append(
            create_fault(
                cell.line,
                "callers_at",
                ";".join(unknown),
                f"regions out of {allowed}, separated by ';'",
            )
        )
    if len(set(regions)) != len(regions):
        cell.report("callers_at", "each region once")
    return tuple(Region(region) for region in regions)


def _read_flag(cell: _CellReader, column: str) -> bool:
    text = cell.text(column).lower()
    if text and text not in _YES and text not in _NO:
        cell.report(column, "yes or no")
    return text not in _NO
