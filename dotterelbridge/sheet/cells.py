"""Parses and validates the cells of one line of a sheet."""

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

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*\Z")
_NAME_RULE = (
    "letters, digits, '.', '_' and '-', starting with a letter or digit, "
    f"at most {NAME_LENGTH_LIMIT} characters"
)
_REGION_SEPARATOR = re.compile(r"[;\s]+")
_TRUE_WORDS = frozenset({"yes", "true", "1"})
_FALSE_WORDS = frozenset({"no", "false", "0"})


class KnownNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names that a sheet may use; an empty set allows any name."""

    businesses: frozenset[Business] = frozenset()
    regions: frozenset[Region] = frozenset()
    services: frozenset[ItemName] = frozenset()


class _CellReader:
    """Reads the cells of one line and collects the faults in them."""

    def __init__(self, line: int, values: dict[str, str]) -> None:
        self.line = line
        self.values = values
        self.faults: list[SheetFault] = []

    def get_text(self, column: str) -> str:
        """Return a cell without leading and trailing whitespace."""
        return self.values[column].strip()

    def add_fault(self, column: str, allowed: str) -> None:
        """Add a fault for a cell."""
        self.faults.append(
            create_fault(self.line, column, self.get_text(column), allowed)
        )


def read_row(
    line: int,
    cells: list[str],
    known_names: KnownNames,
    faults: list[SheetFault],
) -> SheetRow | None:
    """Parse one line and append its faults to ``faults``.

    Returns the row even if it has faults, or None if the line has the wrong
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
    reader = _CellReader(line, dict(zip(COLUMNS, cells, strict=True)))
    row = _convert_row(reader, known_names)
    faults.extend(reader.faults)
    return row


def _convert_row(reader: _CellReader, known_names: KnownNames) -> SheetRow:
    kind = _read_choice(reader, "kind", ItemKind, None)
    return SheetRow(
        kind=kind or ItemKind.MODEL,
        business=Business(
            _read_known_name(reader, "business", known_names.businesses)
        ),
        name=ItemName(_read_item_name(reader, kind, known_names)),
        version=_read_version(reader, kind),
        base=_read_base(reader, kind),
        memory_mb=_read_memory(reader, kind),
        priority=_read_choice(reader, "priority", Priority, Priority.NORMAL),
        deadline_ms=_read_number(
            reader, "deadline_ms", 1, DEADLINE_LIMIT_MS, 2000
        ),
        min_copies=_read_number(reader, "min_copies", 1, COPIES_LIMIT, 1),
        callers_at=_read_regions(reader, known_names),
        idempotent=_read_flag(reader, "idempotent"),
    )


def _read_choice(reader: _CellReader, column: str, choices, default):
    text = reader.get_text(column).lower()
    values = [choice.value for choice in choices]
    if text in values:
        return choices(text)
    if text or default is None:
        reader.add_fault(column, " or ".join(values))
    return default


def _read_known_name(
    reader: _CellReader, column: str, names: frozenset[str]
) -> str:
    text = reader.get_text(column)
    if not names:
        return _read_name(reader, column)
    if text not in names:
        reader.add_fault(column, " or ".join(sorted(names)))
    return text


def _read_name(reader: _CellReader, column: str) -> str:
    text = reader.get_text(column)
    if not _NAME_PATTERN.match(text) or len(text) > NAME_LENGTH_LIMIT:
        reader.add_fault(column, _NAME_RULE)
    return text


def _read_item_name(
    reader: _CellReader, kind: ItemKind | None, known_names: KnownNames
) -> str:
    if kind is ItemKind.SERVICE and known_names.services:
        return _read_known_name(reader, "name", known_names.services)
    return _read_name(reader, "name")


def _read_version(reader: _CellReader, kind: ItemKind | None) -> str:
    if kind in (ItemKind.SERVICE, None) and not reader.get_text("version"):
        return ""
    return _read_name(reader, "version")


def _read_base(reader: _CellReader, kind: ItemKind | None) -> ItemName | None:
    if kind is ItemKind.ADAPTER:
        return ItemName(_read_name(reader, "base"))
    if kind is not None and reader.get_text("base"):
        reader.add_fault("base", f"nothing for a {kind.value}")
    return None


def _read_memory(reader: _CellReader, kind: ItemKind | None) -> int:
    if kind is None:
        return _read_number(reader, "memory_mb", 0, MEMORY_LIMIT_MB, 0)
    if kind is ItemKind.SERVICE:
        return _read_number(reader, "memory_mb", 0, 0, 0)
    return _read_number(reader, "memory_mb", 1, MEMORY_LIMIT_MB, None)


def _read_number(
    reader: _CellReader,
    column: str,
    lowest: int,
    highest: int,
    default: int | None,
) -> int:
    text = reader.get_text(column)
    if not text and default is not None:
        return default
    digits = text.isascii() and text.isdigit() and len(text) <= 12
    if digits and lowest <= int(text) <= highest:
        return int(text)
    if lowest == highest:
        reader.add_fault(column, f"{lowest} or nothing")
    else:
        reader.add_fault(column, f"a whole number from {lowest} to {highest}")
    return lowest


def _read_regions(
    reader: _CellReader, known_names: KnownNames
) -> tuple[Region, ...]:
    text = reader.get_text("callers_at")
    regions = [part for part in _REGION_SEPARATOR.split(text) if part]
    unknown = [
        r
        for r in regions
        if known_names.regions and r not in known_names.regions
    ]
    if unknown:
        allowed = ", ".join(sorted(known_names.regions))
        reader.faults.append(
            create_fault(
                reader.line,
                "callers_at",
                ";".join(unknown),
                f"regions out of {allowed}, separated by ';'",
            )
        )
    if len(set(regions)) != len(regions):
        reader.add_fault("callers_at", "each region once")
    return tuple(Region(region) for region in regions)


def _read_flag(reader: _CellReader, column: str) -> bool:
    text = reader.get_text(column).lower()
    if text and text not in _TRUE_WORDS and text not in _FALSE_WORDS:
        reader.add_fault(column, "yes or no")
    return text not in _FALSE_WORDS
