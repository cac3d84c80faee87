"""Faults of a sheet: where they are, and what is allowed instead."""

import msgspec

from dotterelbridge.errors import SheetError

LONGEST_QUOTE = 60


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


class SheetInvalid(SheetError):
    """A sheet has faults; none of it was taken."""

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
    """Return a fault that quotes what was found."""
    if len(found) > LONGEST_QUOTE:
        found = found[:LONGEST_QUOTE] + "..."
    shown = repr(found) if found else "nothing"
    return SheetFault(row=line, column=column, found=shown, allowed=allowed)
