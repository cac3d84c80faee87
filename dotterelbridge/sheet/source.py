"""How the other parts see the sheet that is in force."""

import abc
from collections.abc import Callable

from dotterelbridge.sheet.rows import SheetRevision


class SheetSource(abc.ABC):
    """The sheet in force on this VM; its revision never falls."""

    @abc.abstractmethod
    def get_active_sheet(self) -> SheetRevision:
        """Return the sheet in force; EMPTY_SHEET before the first."""

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        """Call back with every later revision, in order."""
