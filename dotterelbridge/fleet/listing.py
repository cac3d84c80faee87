"""Reads the platform's list of targets, on one VM of the deployment."""

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
        """Return every listed target from one complete read.

        Entries that do not describe a usable target are omitted.

        :raises ListingFailed: not every page could be read.
        """


class ListingReader:
    """Keeps the fleet state in sync with the list while this VM leads."""

    def __init__(
        self,
        listing: TargetListing,
        fleet_state: FleetState,
        settings: FleetSettings,
        clock: Clock,
        is_reader: Callable[[], bool],
    ) -> None:
        self._listing = listing
        self._fleet_state = fleet_state
        self._settings = settings
        self._clock = clock
        self._is_reader = is_reader
        self._absent_reads: Counter[TargetId] = Counter()
        self._is_failing = False
        self._has_read = False
        """Whether the list was read since this VM last became the reader."""

    @property
    def is_reading(self) -> bool:
        """Whether this VM reads the list for all others, and has done so.

        A new reader knows only what the former one has passed on to it.
        """
        return self._has_read and self._is_reader()

    async def run(self) -> None:
        """Read the list at the configured interval until cancelled."""
        interval = timedelta(milliseconds=self._settings.list_interval_ms)
        while True:
            started_at = self._clock.monotonic()
            if self._is_reader():
                await self._read()
            else:
                self._has_read = False
            elapsed = self._clock.monotonic() - started_at
            remaining = interval - timedelta(seconds=elapsed)
            await self._clock.sleep(max(remaining, timedelta(milliseconds=20)))

    async def _read(self) -> None:
        timeout = timedelta(milliseconds=self._settings.list_timeout_ms)
        try:
            listed = await self._listing.fetch(timeout)
        except ListingFailed as error:
            if not self._is_failing:
                events.log(_log, FleetEvent.LISTING_FAILED, error=str(error))
            self._is_failing = True
            return
        if self._is_failing:
            events.log(_log, FleetEvent.LISTING_READ_AGAIN)
        self._is_failing = False
        if self._is_reader():
            self._apply_listing(listed)
            self._has_read = True

    def _apply_listing(self, listed: list[FleetTarget]) -> None:
        listed_names = {entry.target for entry in listed}
        for name in self._fleet_state.targets:
            if name in listed_names:
                self._absent_reads.pop(name, None)
            else:
                self._absent_reads[name] += 1
        removed = [
            name
            for name, reads in self._absent_reads.items()
            if reads >= self._settings.absent_reads
        ]
        for name in removed:
            del self._absent_reads[name]
        self._fleet_state.update([self._merge(e) for e in listed], removed)
        self._fleet_state.mark_complete()

    def _merge(self, entry: FleetTarget) -> FleetTarget:
        """Return the entry with the known load and loaded models.

        Reports and orders show what a target holds earlier than the list.
        """
        known = self._fleet_state.targets.get(entry.target)
        if known is None or known.born != entry.born:
            return entry
        return msgspec.structs.replace(
            entry,
            held=known.held,
            load=known.load,
            is_silent=known.is_silent,
        )
