"""Validation faults of a sheet: where they are, and what is allowed."""

import msgspec

from dotterelbridge.errors import SheetError

QUOTE_LENGTH_LIMIT = 60


class SheetFault(msgspec.Struct, frozen=True, kw_only=True):
    """One validation fault of a sheet."""

    row: int
    """Line number in the file; the header is line 1, the whole file is 0."""
    column: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"row {self.row}" if self.row else "file"
        if self.column:
            location = f"{location}, column {self.column}"
        return f"{location}: found {self.found}; allowed: {self.allowed}"


class SheetInvalid(SheetError):
    """The sheet has faults and was rejected as a whole."""

    def __init__(self, faults: list[SheetFault]) -> None:
        lines = "\n".join(str(fault) for fault in faults)
        super().__init__(
            f"the sheet has {len(faults)} fault(s):\n{lines}\n",
            "correct them and submit the sheet again",
        )
        self.faults = faults


def create_fault(
    line: int, column: str, found: str, allowed: str
) -> SheetFault:
    """Create a fault that quotes the text that was found."""
    if len(found) > QUOTE_LENGTH_LIMIT:
        found = found[:QUOTE_LENGTH_LIMIT] + "..."
    quoted = repr(found) if found else "nothing"
    return SheetFault(row=line, column=column, found=quoted, allowed=allowed)
