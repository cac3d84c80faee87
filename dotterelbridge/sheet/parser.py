"""Parses a sheet from CSV and reports all faults at once."""

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

HEADER_LINE_NUMBER = 1
BYTES_PER_MB = 1024 * 1024
LINES_PER_CHECKPOINT = 32

_UTF8_BOM = b"\xef\xbb\xbf"
_UTF16_BOMS = (b"\xff\xfe", b"\xfe\xff")


def parse_sheet(
    content: bytes, known_names: KnownNames, settings: SheetSettings
) -> tuple[SheetRow, ...]:
    """Parse a CSV and return its rows, sorted by name.

    :raises SheetInvalid: with all faults.
    """
    state = _ParseState()
    for _ in _parse_lines(content, known_names, settings, state):
        pass
    return _check_and_sort(state, settings)


async def parse_sheet_async(
    content: bytes, known_names: KnownNames, settings: SheetSettings
) -> tuple[SheetRow, ...]:
    """Do what ``parse_sheet`` does, but let other tasks run in between.

    Parsing 1,600 rows at once would block the event loop for longer than the
    time between two tokens of a stream.
    """
    state = _ParseState()
    for count, _ in enumerate(
        _parse_lines(content, known_names, settings, state)
    ):
        if count % LINES_PER_CHECKPOINT == 0:
            await anyio.lowlevel.checkpoint()
    return _check_and_sort(state, settings)


class _ParseState:
    """The rows and faults found so far."""

    def __init__(self) -> None:
        self.numbered_rows: list[tuple[int, SheetRow]] = []
        self.faults: list[SheetFault] = []


def _parse_lines(
    content: bytes,
    known_names: KnownNames,
    settings: SheetSettings,
    state: _ParseState,
) -> Iterator[None]:
    """Parse the lines into ``state``; yield after each line."""
    text = _decode(content, settings)
    lines = _read_lines(text)
    _check_header(lines)
    for line, cells in _skip_blank_lines(lines[1:]):
        row = read_row(line, cells, known_names, state.faults)
        if row is not None:
            # Rows with faults are kept, so that references to them are valid.
            state.numbered_rows.append((line, row))
        yield


def _check_and_sort(
    state: _ParseState, settings: SheetSettings
) -> tuple[SheetRow, ...]:
    faults = state.faults
    faults.extend(
        _find_sheet_faults(state.numbered_rows, settings, bool(faults))
    )
    if faults:
        faults.sort(key=lambda fault: fault.row)
        raise SheetInvalid(faults)
    return sort_rows(row for _, row in state.numbered_rows)


def sort_rows(rows: Iterable[SheetRow]) -> tuple[SheetRow, ...]:
    """Sort rows by name, the order that every VM uses."""
    return tuple(sorted(rows, key=lambda row: row.name))


def format_sheet(rows: Iterable[SheetRow]) -> str:
    """Format rows as a CSV that ``parse_sheet`` accepts."""
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(COLUMNS)
    writer.writerows(_format_cells(row) for row in rows)
    return buffer.getvalue()


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


def _create_file_error(
    found: str, allowed: str, line: int = 0
) -> SheetInvalid:
    return SheetInvalid(
        [SheetFault(row=line, column="", found=found, allowed=allowed)]
    )


def _decode(content: bytes, settings: SheetSettings) -> str:
    limit = settings.size_limit_mb * BYTES_PER_MB
    if len(content) > limit:
        raise _create_file_error(
            f"{len(content)} bytes", f"at most {limit} bytes"
        )
    if content.startswith(_UTF16_BOMS):
        raise _create_file_error(
            "UTF-16 text", "UTF-8 text; export it as such"
        )
    content = content.removeprefix(_UTF8_BOM)
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        byte = content[error.start]
        raise _create_file_error(
            f"byte 0x{byte:02x}", "UTF-8 text; export it as such", line
        ) from None
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise _create_file_error("a NUL character", "printable text", line)
    return text


def _read_lines(text: str) -> list[tuple[int, list[str]]]:
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    lines: list[tuple[int, list[str]]] = []
    start = HEADER_LINE_NUMBER
    try:
        for cells in reader:
            lines.append((start, cells))
            start = reader.line_num + 1
    except csv.Error as error:
        raise _create_file_error(
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
                row=HEADER_LINE_NUMBER,
                column="",
                found=repr(found) if found else "no header",
                allowed=f"the header {','.join(COLUMNS)}",
            )
        ]
    )


def _skip_blank_lines(
    lines: Iterable[tuple[int, list[str]]],
) -> Iterator[tuple[int, list[str]]]:
    for line, cells in lines:
        if any(cell.strip() for cell in cells):
            yield line, cells


def _find_sheet_faults(
    numbered_rows: list[tuple[int, SheetRow]],
    settings: SheetSettings,
    has_faults: bool,
) -> Iterator[SheetFault]:
    checks: tuple[Callable[..., Iterator[SheetFault]], ...] = (
        _find_duplicates,
        _find_missing_bases,
    )
    for find_faults in checks:
        yield from find_faults(numbered_rows)
    if len(numbered_rows) > settings.row_limit:
        yield SheetFault(
            row=0,
            column="",
            found=f"{len(numbered_rows)} rows",
            allowed=f"at most {settings.row_limit} rows",
        )
    if not numbered_rows and not has_faults:
        yield SheetFault(
            row=0, column="", found="no rows", allowed="at least one row"
        )


def _find_duplicates(
    numbered_rows: list[tuple[int, SheetRow]],
) -> Iterator[SheetFault]:
    first_lines: dict[ItemName, int] = {}
    for line, row in numbered_rows:
        first = first_lines.setdefault(row.name, line)
        if first != line:
            yield create_fault(
                line, "name", row.name, f"one row a name; row {first} has it"
            )


def _find_missing_bases(
    numbered_rows: list[tuple[int, SheetRow]],
) -> Iterator[SheetFault]:
    kinds = {row.name: row.kind for _, row in numbered_rows}
    for line, row in numbered_rows:
        if row.base is None or kinds.get(row.base) is ItemKind.MODEL:
            continue
        yield create_fault(
            line, "base", row.base, "the name of a model on this sheet"
        )
