"""Keeps a VM up to date with the sheet that other VMs hold."""

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
    """Polls one source at a time and replaces it when it goes silent.

    A poll is held by the source until it has news, so that a revision
    travels at once and a silent source shows within the hold time and a
    grace. Then all sources are asked at the same time and the most
    preferred one with contact to the log is taken.
    """

    def __init__(
        self,
        network: PeerNetwork,
        sources: SheetSources,
        force: ActiveSheet,
        contact: LogContact,
        settings: SheetSettings,
        clock: Clock,
    ) -> None:
        self._network = network
        self._sources = sources
        self._force = force
        self._contact = contact
        self._settings = settings
        self._clock = clock
        self._hold = timedelta(milliseconds=settings.poll_hold_ms)
        self._grace = timedelta(milliseconds=settings.poll_grace_ms)
        self._source: VmId | None = None
        self._surveyed_at = clock.monotonic()
        self._holders_due_at = clock.monotonic()
        self._ahead: set[VmId] = set()
        self._ahead_known = anyio.Event()

    @property
    def source(self) -> VmId | None:
        """The VM that feeds this one, while one with contact does."""
        return self._source

    def note_ahead(self, vm: VmId) -> None:
        """Note a VM that has a later revision than this one."""
        self._ahead.add(vm)
        self._ahead_known.set()

    async def run(self) -> None:
        """Follow the sources until cancelled."""
        while True:
            if self._source is None or self._is_survey_due():
                await self._survey()
            if self._source is None:
                await self._clock.sleep(self._hold)
            else:
                await self._follow(self._source)

    async def run_ahead(self) -> None:
        """Ask VMs that turned out to be ahead, until cancelled."""
        while True:
            await self._ahead_known.wait()
            self._ahead_known = anyio.Event()
            while self._ahead:
                await self._poll(self._ahead.pop(), timedelta(0))

    def _is_survey_due(self) -> bool:
        preferred = self._sources.regular[:1]
        if self._source in preferred:
            return False
        waited = self._clock.monotonic() - self._surveyed_at
        return waited * 1000 >= self._settings.preferred_retry_ms

    async def _follow(self, source: VmId) -> None:
        news = await self._poll(source, self._hold)
        if news is None:
            events.log(_log, SheetEvent.SOURCE_SILENT, source=source)
            await self._survey(silent=source)
        elif not self._is_attached(news):
            await self._survey()

    async def _survey(self, silent: VmId | None = None) -> None:
        """Choose the most preferred source that has contact to the log.

        :param silent: a source that did not answer just before.
        """
        self._surveyed_at = self._clock.monotonic()
        previous = self._source
        near = [vm for vm in self._sources.near if vm != silent]
        found = await self._find_attached(near)
        if found is None and self._is_holders_turn():
            holders = [vm for vm in self._sources.holders if vm != silent]
            found = await self._find_attached(holders)
            if found is None:
                self._defer_holders()
        if found is None:
            await self._ask_all(self._sources.last_resorts)
        self._source = found
        if found != previous:
            self._log_change()

    def _log_change(self) -> None:
        if self._source is None:
            events.log(_log, SheetEvent.SOURCES_EXHAUSTED)
        else:
            events.log(_log, SheetEvent.SOURCE_CHANGED, source=self._source)

    def _is_attached(self, news: SheetNews) -> bool:
        return news.detached_ms <= self._settings.detached_limit_ms

    async def _find_attached(self, sources: Sequence[VmId]) -> VmId | None:
        answers = await self._ask_all(sources)
        for source in sources:
            if source in answers and self._is_attached(answers[source]):
                return source
        return None

    def _is_holders_turn(self) -> bool:
        return self._clock.monotonic() >= self._holders_due_at

    def _defer_holders(self) -> None:
        """Ask the holders again later, the more so in a late position.

        When the log has lost its majority, all VMs look for sources at
        the same time; the holders have to bear it.
        """
        factor = 1 + self._sources.position
        wait = factor * self._hold.total_seconds()
        self._holders_due_at = self._clock.monotonic() + wait

    async def _ask_all(self, sources: Sequence[VmId]) -> dict[VmId, SheetNews]:
        answers: dict[VmId, SheetNews] = {}

        async def ask(source: VmId) -> None:
            news = await self._poll(source, timedelta(0))
            if news is not None:
                answers[source] = news

        async with anyio.create_task_group() as group:
            for source in sources:
                if self._network.is_connected(source):
                    group.start_soon(ask, source)
        return answers

    async def _poll(self, source: VmId, hold: timedelta) -> SheetNews | None:
        """Poll once and take the news; None without an answer."""
        poll = SheetPoll(
            revision=self._force.get_active_sheet().revision,
            hold_ms=int(hold.total_seconds() * 1000),
        )
        try:
            news = await self._network.request(
                source, poll, hold + self._grace
            )
        except PeerError:
            _polls.add(1, {"result": "failed"})
            return None
        _polls.add(1, {"result": "answered"})
        try:
            await self._take(source, news)
        except StorageError:
            return None
        self._contact.record_contact(news.detached_ms)
        return news

    async def _take(self, source: VmId, news: SheetNews) -> None:
        held = self._force.get_active_sheet().revision
        if news.revision < held:
            events.log(
                _log,
                SheetEvent.OLDER_REFUSED,
                source=source,
                offered=news.revision,
                held=held,
            )
            return
        if news.whole is not None:
            await self._take_whole(source, news)
        elif not await self._force.take_deltas(news.deltas):
            await self._fetch_whole(source)

    async def _fetch_whole(self, source: VmId) -> None:
        poll = SheetPoll(revision=Revision(-1), hold_ms=0)
        try:
            news = await self._network.request(source, poll, self._grace)
        except PeerError:
            return
        if news.whole is not None:
            await self._take_whole(source, news)

    async def _take_whole(self, source: VmId, news: SheetNews) -> None:
        try:
            rows = unpack_rows(news.whole.rows_packed, UNPACKED_LIMIT_BYTES)
        except ValueError as error:
            events.log(
                _log,
                SheetEvent.SHEET_MISMATCH,
                source=source,
                error=str(error),
            )
            return
        await self._force.take_whole(
            SheetRevision(
                revision=news.whole.revision,
                number=news.whole.number,
                digest=news.whole.digest,
                rows=rows,
            )
        )
