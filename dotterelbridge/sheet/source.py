"""Interface through which other components read the active sheet."""

import abc
from collections.abc import Callable

from dotterelbridge.sheet.rows import SheetRevision


class SheetSource(abc.ABC):
    """The active sheet of this VM; its revision never decreases."""

    @abc.abstractmethod
    def get_active_sheet(self) -> SheetRevision:
        """Return the active sheet; EMPTY_SHEET before the first one."""

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        """Register a callback for every newer revision, in order."""
