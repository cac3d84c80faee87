"""Reads a sheet from CSV and reports every fault in one go."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import csv
import io
import re

import anyio.lowlevel
import msgspec

from dotterelbridge.errors import SheetError
from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings

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
HEADER_LINE = 1
NAME_LENGTH_LIMIT = 128
MEMORY_LIMIT_MB = 16 * 1024 * 1024
DEADLINE_LIMIT_MS = 3_600_000
COPIES_LIMIT = 100_000
BYTES_PER_MB = 1024 * 1024
LONGEST_QUOTE = 60
LINES_PER_STEP = 32

_UTF8_BOM = b"\xef\xbb\xbf"
_UTF16_BOMS = (b"\xff\xfe", b"\xfe\xff")
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


class SheetFault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a sheet."""

    row: int
    """Line in the file, the header being 1; 0 for the file itself."""
    column: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"row {self.row}" if self.row else "file"
        if self.column:
            where = f"{where}, column {self.column}"
        return f"{where}: found {self.found}; allowed: {self.allowed}"


class SheetFaulty(SheetError):
    """A sheet has faults; none of it was taken."""

    def __init__(self, faults: list[SheetFault]) -> None:
        lines = "\n".join(str(fault) for fault in faults)
        super().__init__(
            f"the sheet has {len(faults)} fault(s):\n{lines}\n",
            "correct them and submit the sheet again",
        )
        self.faults = faults


class _Cell:
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
            _create_fault(self.line, column, self.text(column), allowed)
        )


def parse_sheet(
    content: bytes, known: KnownNames, settings: SheetSettings
) -> tuple[SheetRow, ...]:
    """Return the rows of a CSV, sorted by name.

    :raises SheetFaulty: with every fault that was found.
    """
    parsed = _Parsed()
    for _ in _parse_lines(content, known, settings, parsed):
        pass
    return _finish(parsed, settings)


async def parse_sheet_in_steps(
    content: bytes, known: KnownNames, settings: SheetSettings
) -> tuple[SheetRow, ...]:
    """Do what ``parse_sheet`` does and let other tasks run in between.

    A sheet of 1,600 rows takes longer than the time between two tokens.
    """
    parsed = _Parsed()
    for count, _ in enumerate(_parse_lines(content, known, settings, parsed)):
        if count % LINES_PER_STEP == 0:
            await anyio.lowlevel.checkpoint()
    return _finish(parsed, settings)


class _Parsed:
    """What was read of a sheet so far."""

    def __init__(self) -> None:
        self.placed: list[tuple[int, SheetRow]] = []
        self.faults: list[SheetFault] = []


def _parse_lines(
    content: bytes,
    known: KnownNames,
    settings: SheetSettings,
    parsed: _Parsed,
) -> Iterator[None]:
    """Read one line after the other into ``parsed``."""
    text = _decode(content, settings)
    lines = _read_lines(text)
    _check_header(lines)
    for line, cells in _skip_blank(lines[1:]):
        row = _read_row(line, cells, known, parsed.faults)
        if row is not None:
            # A faulty row still counts as one that others may refer to.
            parsed.placed.append((line, row))
        yield


def _finish(parsed: _Parsed, settings: SheetSettings) -> tuple[SheetRow, ...]:
    faults = parsed.faults
    faults.extend(_find_sheet_faults(parsed.placed, settings, bool(faults)))
    if faults:
        faults.sort(key=lambda fault: fault.row)
        raise SheetFaulty(faults)
    return sort_rows(row for _, row in parsed.placed)


def sort_rows(rows: Iterable[SheetRow]) -> tuple[SheetRow, ...]:
    """Return the rows in the order that every VM keeps them in."""
    return tuple(sorted(rows, key=lambda row: row.name))


def format_sheet(rows: Iterable[SheetRow]) -> str:
    """Return rows as the CSV that ``parse_sheet`` reads."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    writer.writerows(_format_cells(row) for row in rows)
    return out.getvalue()


def _format_cells(row: SheetRow) -> tuple[object, ...]:
    return (
        row.kind.value,
        row.business,
        row.name,
        row.version,
        row.base or "",
        row.memory_mb,
        row.priority.value,
        row.deadline_ms,
        row.min_copies,
        ";".join(row.callers_at),
        "yes" if row.idempotent else "no",
    )


def _create_fault(
    line: int, column: str, found: str, allowed: str
) -> SheetFault:
    if len(found) > LONGEST_QUOTE:
        found = found[:LONGEST_QUOTE] + "..."
    shown = repr(found) if found else "nothing"
    return SheetFault(row=line, column=column, found=shown, allowed=allowed)


def _fail_file(found: str, allowed: str, line: int = 0) -> SheetFaulty:
    return SheetFaulty(
        [SheetFault(row=line, column="", found=found, allowed=allowed)]
    )


def _decode(content: bytes, settings: SheetSettings) -> str:
    limit = settings.size_limit_mb * BYTES_PER_MB
    if len(content) > limit:
        raise _fail_file(f"{len(content)} bytes", f"at most {limit} bytes")
    if content.startswith(_UTF16_BOMS):
        raise _fail_file("UTF-16 text", "UTF-8 text; export it as such")
    content = content.removeprefix(_UTF8_BOM)
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        byte = content[error.start]
        raise _fail_file(
            f"byte 0x{byte:02x}", "UTF-8 text; export it as such", line
        ) from None
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise _fail_file("a NUL character", "printable text", line)
    return text


def _read_lines(text: str) -> list[tuple[int, list[str]]]:
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    lines: list[tuple[int, list[str]]] = []
    start = HEADER_LINE
    try:
        for cells in reader:
            lines.append((start, cells))
            start = reader.line_num + 1
    except csv.Error as error:
        raise _fail_file(
            f"broken CSV ({error})",
            "cells separated by commas, quotes closed and doubled inside",
            start,
        ) from None
    return lines


def _check_header(lines: list[tuple[int, list[str]]]) -> None:
    header = [cell.strip() for cell in lines[0][1]] if lines else []
    if tuple(header) == COLUMNS:
        return
    found = ",".join(header)
    raise SheetFaulty(
        [
            SheetFault(
                row=HEADER_LINE,
                column="",
                found=repr(found) if found else "no header",
                allowed=f"the header {','.join(COLUMNS)}",
            )
        ]
    )


def _skip_blank(
    lines: Iterable[tuple[int, list[str]]],
) -> Iterator[tuple[int, list[str]]]:
    for line, cells in lines:
        if any(cell.strip() for cell in cells):
            yield line, cells


def _read_row(
    line: int,
    cells: list[str],
    known: KnownNames,
    faults: list[SheetFault],
) -> SheetRow | None:
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
    cell = _Cell(line, dict(zip(COLUMNS, cells, strict=True)))
    row = _convert_row(cell, known)
    faults.extend(cell.faults)
    return row


def _convert_row(cell: _Cell, known: KnownNames) -> SheetRow:
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


def _read_choice(cell: _Cell, column: str, choices, default):
    text = cell.text(column).lower()
    values = [choice.value for choice in choices]
    if text in values:
        return choices(text)
    if text or default is None:
        cell.report(column, " or ".join(values))
    return default


def _read_known(cell: _Cell, column: str, names: frozenset[str]) -> str:
    text = cell.text(column)
    if not names:
        return _read_name(cell, column)
    if text not in names:
        cell.report(column, " or ".join(sorted(names)))
    return text


def _read_name(cell: _Cell, column: str) -> str:
    text = cell.text(column)
    if not _NAME.match(text) or len(text) > NAME_LENGTH_LIMIT:
        cell.report(column, _NAME_RULE)
    return text


def _read_item_name(
    cell: _Cell, kind: ItemKind | None, known: KnownNames
) -> str:
    if kind is ItemKind.SERVICE and known.services:
        return _read_known(cell, "name", known.services)
    return _read_name(cell, "name")


def _read_version(cell: _Cell, kind: ItemKind | None) -> str:
    if kind in (ItemKind.SERVICE, None) and not cell.text("version"):
        return ""
    return _read_name(cell, "version")


def _read_base(cell: _Cell, kind: ItemKind | None) -> ItemName | None:
    if kind is ItemKind.ADAPTER:
        return ItemName(_read_name(cell, "base"))
    if kind is not None and cell.text("base"):
        cell.report("base", f"nothing for a {kind.value}")
    return None


def _read_memory(cell: _Cell, kind: ItemKind | None) -> int:
    if kind is None:
        return _read_number(cell, "memory_mb", 0, MEMORY_LIMIT_MB, 0)
    if kind is ItemKind.SERVICE:
        return _read_number(cell, "memory_mb", 0, 0, 0)
    return _read_number(cell, "memory_mb", 1, MEMORY_LIMIT_MB, None)


def _read_number(
    cell: _Cell, column: str, lowest: int, highest: int, default: int | None
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


def _read_regions(cell: _Cell, known: KnownNames) -> tuple[Region, ...]:
    text = cell.text("callers_at")
    regions = [part for part in _REGION_SEPARATOR.split(text) if part]
    unknown = [r for r in regions if known.regions and r not in known.regions]
    if unknown:
        allowed = ", ".join(sorted(known.regions))
        cell.faults.append(
            _create_fault(
                cell.line,
                "callers_at",
                ";".join(unknown),
                f"regions out of {allowed}, separated by ';'",
            )
        )
    if len(set(regions)) != len(regions):
        cell.report("callers_at", "each region once")
    return tuple(Region(region) for region in regions)


def _read_flag(cell: _Cell, column: str) -> bool:
    text = cell.text(column).lower()
    if text and text not in _YES and text not in _NO:
        cell.report(column, "yes or no")
    return text not in _NO


def _find_sheet_faults(
    placed: list[tuple[int, SheetRow]],
    settings: SheetSettings,
    incomplete: bool,
) -> Iterator[SheetFault]:
    checks: tuple[Callable[..., Iterator[SheetFault]], ...] = (
        _find_duplicates,
        _find_missing_bases,
    )
    for find in checks:
        yield from find(placed)
    if len(placed) > settings.row_limit:
        yield SheetFault(
            row=0,
            column="",
            found=f"{len(placed)} rows",
            allowed=f"at most {settings.row_limit} rows",
        )
    if not placed and not incomplete:
        yield SheetFault(
            row=0, column="", found="no rows", allowed="at least one row"
        )


def _find_duplicates(
    placed: list[tuple[int, SheetRow]],
) -> Iterator[SheetFault]:
    first_lines: dict[ItemName, int] = {}
    for line, row in placed:
        first = first_lines.setdefault(row.name, line)
        if first != line:
            yield _create_fault(
                line, "name", row.name, f"one row a name; row {first} has it"
            )


def _find_missing_bases(
    placed: list[tuple[int, SheetRow]],
) -> Iterator[SheetFault]:
    kinds = {row.name: row.kind for _, row in placed}
    for line, row in placed:
        if row.base is None or kinds.get(row.base) is ItemKind.MODEL:
            continue
        yield _create_fault(
            line, "base", row.base, "the name of a model on this sheet"
        )
