"""Reads the platform's list of targets; one VM of the deployment does."""

import abc
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.errors import ListingFailed
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.ids import TargetId

_log = structlog.get_logger(__name__)


class TargetListing(abc.ABC):
    """Source of the platform's list."""

    @abc.abstractmethod
    async def fetch(self, timeout: timedelta) -> list[FleetTarget]:
        """Return every target that is listed, from a whole read.

        Entries that name no usable target are left out.

        :raises ListingFailed: not every page could be read.
        """


class ListingReader:
    """Keeps the board in step with the list while this VM leads."""

    def __init__(
        self,
        listing: TargetListing,
        board: FleetState,
        settings: FleetSettings,
        clock: Clock,
        is_reader: Callable[[], bool],
    ) -> None:
        self._listing = listing
        self._board = board
        self._settings = settings
        self._clock = clock
        self._is_reader = is_reader
        self._absent: Counter[TargetId] = Counter()
        self._failing = False

    async def run(self) -> None:
        """Read the list at the set rate until cancelled."""
        interval = timedelta(milliseconds=self._settings.list_interval_ms)
        while True:
            started = self._clock.monotonic()
            if self._is_reader():
                await self._read()
            elapsed = self._clock.monotonic() - started
            left = interval - timedelta(seconds=elapsed)
            await self._clock.sleep(max(left, timedelta(milliseconds=20)))

    async def _read(self) -> None:
        timeout = timedelta(milliseconds=self._settings.list_timeout_ms)
        try:
            listed = await self._listing.fetch(timeout)
        except ListingFailed as error:
            if not self._failing:
                events.log(_log, FleetEvent.LISTING_FAILED, error=str(error))
            self._failing = True
            return
        if self._failing:
            events.log(_log, FleetEvent.LISTING_READ_AGAIN)
        self._failing = False
        if self._is_reader():
            self._take(listed)

    def _take(self, listed: list[FleetTarget]) -> None:
        named = {entry.target for entry in listed}
        for name in self._board.targets:
            if name in named:
                self._absent.pop(name, None)
            else:
                self._absent[name] += 1
        gone = [
            name
            for name, reads in self._absent.items()
            if reads >= self._settings.absent_reads
        ]
        for name in gone:
            del self._absent[name]
        self._board.update([self._merge(e) for e in listed], gone)
        self._board.mark_complete()

    def _merge(self, entry: FleetTarget) -> FleetTarget:
        """Return the entry with what is known better than by the list.

        What a target holds comes later by the list than by its reports
        and by the orders that were given to it.
        """
        known = self._board.targets.get(entry.target)
        if known is None or known.born != entry.born:
            return entry
        return msgspec.structs.replace(
            entry,
            held=known.held,
            load=known.load,
            is_silent=known.is_silent,
        )
