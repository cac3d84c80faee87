"""Reads a sheet from CSV and reports every fault in one go."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import csv
import io

import anyio.lowlevel

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.sheet.cells import COLUMNS
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.cells import read_row
from dotterelbridge.sheet.faults import SheetFault
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.faults import create_fault
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings

HEADER_LINE = 1
BYTES_PER_MB = 1024 * 1024
LINES_PER_STEP = 32

_UTF8_BOM = b"\xef\xbb\xbf"
_UTF16_BOMS = (b"\xff\xfe", b"\xfe\xff")


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


async def parse_sheet_async(
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
        row = read_row(line, cells, known, parsed.faults)
        if row is not None:
            # A faulty row still counts as one that others may refer to.
            parsed.placed.append((line, row))
        yield


def _finish(parsed: _Parsed, settings: SheetSettings) -> tuple[SheetRow, ...]:
    faults = parsed.faults
    faults.extend(_find_sheet_faults(parsed.placed, settings, bool(faults)))
    if faults:
        faults.sort(key=lambda fault: fault.row)
        raise SheetInvalid(faults)
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


def _fail_file(found: str, allowed: str, line: int = 0) -> SheetInvalid:
    return SheetInvalid(
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
    raise SheetInvalid(
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
            yield create_fault(
                line, "name", row.name, f"one row a name; row {first} has it"
            )


def _find_missing_bases(
    placed: list[tuple[int, SheetRow]],
) -> Iterator[SheetFault]:
    kinds = {row.name: row.kind for _, row in placed}
    for line, row in placed:
        if row.base is None or kinds.get(row.base) is ItemKind.MODEL:
            continue
        yield create_fault(
            line, "base", row.base, "the name of a model on this sheet"
        )
