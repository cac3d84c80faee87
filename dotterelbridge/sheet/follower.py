"""Polls other VMs for newer revisions of the sheet."""

from collections.abc import Sequence
from datetime import timedelta

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import Revision
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.sheet.active_sheet import ActiveSheet
from dotterelbridge.sheet.delta import unpack_rows
from dotterelbridge.sheet.events import SheetEvent
from dotterelbridge.sheet.feed import LogContact
from dotterelbridge.sheet.messages import SheetNews
from dotterelbridge.sheet.messages import SheetPoll
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.topology import SheetSources

UNPACKED_LIMIT_BYTES = 64 * 1024 * 1024

_log = structlog.get_logger(__name__)

_polls = metrics.meter.create_counter(
    "dotterelbridge.sheet.polls",
    description="Polls of the VMs that feed this one, by result",
)


class SheetFollower:
    """Polls one source at a time and replaces it when it stops replying.

    The source holds a poll until it has an update (long polling). A new
    revision is thus sent at once, and an unresponsive source is noticed
    after the hold time plus a margin. All sources are then polled
    concurrently, and the most preferred one that has contact with the log
    becomes the new source.
    """

    def __init__(
        self,
        network: PeerNetwork,
        sources: SheetSources,
        active_sheet: ActiveSheet,
        contact: LogContact,
        settings: SheetSettings,
        clock: Clock,
    ) -> None:
        self._network = network
        self._sources = sources
        self._active_sheet = active_sheet
        self._contact = contact
        self._settings = settings
        self._clock = clock
        self._hold_time = timedelta(milliseconds=settings.poll_hold_ms)
        self._reply_margin = timedelta(milliseconds=settings.poll_grace_ms)
        self._source: VmId | None = None
        self._source_chosen_at = clock.monotonic()
        self._control_vms_poll_at = clock.monotonic()
        self._newer_vms: set[VmId] = set()
        self._newer_vm_added = anyio.Event()

    @property
    def source(self) -> VmId | None:
        """The polled VM; None while no source has contact with the log."""
        return self._source

    def add_newer_vm(self, vm: VmId) -> None:
        """Add a VM that has a newer revision than this one."""
        self._newer_vms.add(vm)
        self._newer_vm_added.set()

    async def run(self) -> None:
        """Poll the source, and choose another when needed, until cancelled."""
        while True:
            if self._source is None or self._should_retry_preferred():
                await self._choose_source()
            if self._source is None:
                await self._clock.sleep(self._hold_time)
            else:
                await self._poll_source(self._source)

    async def poll_newer_vms(self) -> None:
        """Poll VMs known to have a newer revision, until cancelled."""
        while True:
            await self._newer_vm_added.wait()
            self._newer_vm_added = anyio.Event()
            while self._newer_vms:
                await self._poll(self._newer_vms.pop(), timedelta(0))

    def _should_retry_preferred(self) -> bool:
        preferred = self._sources.primary_sources[:1]
        if self._source in preferred:
            return False
        waited = self._clock.monotonic() - self._source_chosen_at
        return waited * 1000 >= self._settings.preferred_retry_ms

    async def _poll_source(self, source: VmId) -> None:
        update = await self._poll(source, self._hold_time)
        if update is None:
            events.log(_log, SheetEvent.SOURCE_SILENT, source=source)
            await self._choose_source(unresponsive=source)
        elif not self._has_log_contact(update):
            await self._choose_source()

    async def _choose_source(self, unresponsive: VmId | None = None) -> None:
        """Choose the most preferred source that has contact with the log.

        :param unresponsive: a source that has just failed to reply.
        """
        self._source_chosen_at = self._clock.monotonic()
        previous = self._source
        local_sources = [
            vm for vm in self._sources.local_sources if vm != unresponsive
        ]
        chosen = await self._find_source(local_sources)
        if chosen is None and self._may_poll_control_vms():
            control_vms = [
                vm for vm in self._sources.control_vms if vm != unresponsive
            ]
            chosen = await self._find_source(control_vms)
            if chosen is None:
                self._defer_control_vms()
        if chosen is None:
            await self._poll_all(self._sources.fallback_sources)
        self._source = chosen
        if chosen != previous:
            self._log_change()

    def _log_change(self) -> None:
        if self._source is None:
            events.log(_log, SheetEvent.SOURCES_EXHAUSTED)
        else:
            events.log(_log, SheetEvent.SOURCE_CHANGED, source=self._source)

    def _has_log_contact(self, update: SheetNews) -> bool:
        return update.detached_ms <= self._settings.detached_limit_ms

    async def _find_source(self, sources: Sequence[VmId]) -> VmId | None:
        updates = await self._poll_all(sources)
        for source in sources:
            if source in updates and self._has_log_contact(updates[source]):
                return source
        return None

    def _may_poll_control_vms(self) -> bool:
        return self._clock.monotonic() >= self._control_vms_poll_at

    def _defer_control_vms(self) -> None:
        """Delay the next poll of the control VMs, more for higher positions.

        When the log has lost its majority, all VMs look for a source at the
        same time; the delay keeps the load on the control VMs bounded.
        """
        factor = 1 + self._sources.position
        wait = factor * self._hold_time.total_seconds()
        self._control_vms_poll_at = self._clock.monotonic() + wait

    async def _poll_all(
        self, sources: Sequence[VmId]
    ) -> dict[VmId, SheetNews]:
        updates: dict[VmId, SheetNews] = {}

        async def poll_one(source: VmId) -> None:
            update = await self._poll(source, timedelta(0))
            if update is not None:
                updates[source] = update

        async with anyio.create_task_group() as group:
            for source in sources:
                if self._network.is_connected(source):
                    group.start_soon(poll_one, source)
        return updates

    async def _poll(
        self, source: VmId, hold_time: timedelta
    ) -> SheetNews | None:
        """Poll once and apply the update; return None if that failed."""
        poll = SheetPoll(
            revision=self._active_sheet.get_active_sheet().revision,
            hold_ms=int(hold_time.total_seconds() * 1000),
        )
        try:
            update = await self._network.request(
                source, poll, hold_time + self._reply_margin
            )
        except PeerError:
            _polls.add(1, {"result": "failed"})
            return None
        _polls.add(1, {"result": "answered"})
        try:
            await self._apply_update(source, update)
        except StorageError:
            return None
        self._contact.record_contact(update.detached_ms)
        return update

    async def _apply_update(self, source: VmId, update: SheetNews) -> None:
        active_revision = self._active_sheet.get_active_sheet().revision
        if update.revision < active_revision:
            events.log(
                _log,
                SheetEvent.OLDER_REFUSED,
                source=source,
                offered=update.revision,
                held=active_revision,
            )
            return
        if update.whole is not None:
            await self._apply_full_sheet(source, update)
        elif not await self._active_sheet.apply_deltas(update.deltas):
            await self._fetch_full_sheet(source)

    async def _fetch_full_sheet(self, source: VmId) -> None:
        poll = SheetPoll(revision=Revision(-1), hold_ms=0)
        try:
            update = await self._network.request(
                source, poll, self._reply_margin
            )
        except PeerError:
            return
        if update.whole is not None:
            await self._apply_full_sheet(source, update)

    async def _apply_full_sheet(self, source: VmId, update: SheetNews) -> None:
        try:
            rows = unpack_rows(update.whole.rows_packed, UNPACKED_LIMIT_BYTES)
        except ValueError as error:
            events.log(
                _log,
                SheetEvent.SHEET_MISMATCH,
                source=source,
                error=str(error),
            )
            return
        await self._active_sheet.activate_full_sheet(
            SheetRevision(
                revision=update.whole.revision,
                number=update.whole.number,
                digest=update.whole.digest,
                rows=rows,
            )
        )
