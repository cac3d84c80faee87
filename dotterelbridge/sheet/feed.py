"""The side of a VM that gives the sheet to others."""

from collections.abc import Callable
from datetime import timedelta

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Revision
from dotterelbridge.ids import VmId
from dotterelbridge.sheet.active_sheet import ActiveSheet
from dotterelbridge.sheet.delta import SheetDelta
from dotterelbridge.sheet.delta import pack_rows
from dotterelbridge.sheet.messages import PackedSheet
from dotterelbridge.sheet.messages import SheetNews
from dotterelbridge.sheet.messages import SheetPoll
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.settings import SheetSettings

UNKNOWN_CONTACT_MS = 86_400_000


class LogContact:
    """When this VM last had contact to the log, by way of others."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at: float | None = None

    def record_contact(self, detached_ms: int) -> None:
        """Note a source that had contact the given time ago."""
        at = self._clock.monotonic() - detached_ms / 1000
        if self._at is None or at > self._at:
            self._at = at

    def detached_ms(self) -> int:
        """Return the time since the last contact."""
        if self._at is None:
            return UNKNOWN_CONTACT_MS
        elapsed = self._clock.monotonic() - self._at
        return min(UNKNOWN_CONTACT_MS, int(elapsed * 1000))


class SheetFeed:
    """Answers the polls of other VMs."""

    def __init__(
        self,
        force: ActiveSheet,
        settings: SheetSettings,
        clock: Clock,
        detached_ms: Callable[[], int],
        note_ahead: Callable[[VmId], None],
    ) -> None:
        self._force = force
        self._settings = settings
        self._clock = clock
        self._detached_ms = detached_ms
        self._note_ahead = note_ahead
        self._packed: PackedSheet | None = None
        self._polled_at: dict[VmId, float] = {}

    async def answer_poll(self, sender: VmId, poll: SheetPoll) -> SheetNews:
        """Answer with news at once, or when the hold time ends."""
        self._polled_at[sender] = self._clock.monotonic()
        if poll.revision > self._force.get_active_sheet().revision:
            self._note_ahead(sender)
        hold_ms = min(poll.hold_ms, self._settings.poll_hold_ms)
        if hold_ms > 0:
            await self._wait_for_news(poll.revision, hold_ms)
        return self._create_news(poll.revision)

    def list_subscribers(self) -> list[VmId]:
        """Return the VMs that polled lately."""
        since = (
            self._clock.monotonic()
            - (
                2
                * (self._settings.poll_hold_ms + self._settings.poll_grace_ms)
            )
            / 1000
        )
        return sorted(vm for vm, at in self._polled_at.items() if at > since)

    async def _wait_for_news(self, revision: Revision, hold_ms: int) -> None:
        if self._force.get_active_sheet().revision > revision:
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._end_hold, group.cancel_scope, hold_ms)
            await self._force.wait_beyond(revision)
            group.cancel_scope.cancel()

    async def _end_hold(self, scope: anyio.CancelScope, hold_ms: int) -> None:
        await self._clock.sleep(timedelta(milliseconds=hold_ms))
        scope.cancel()

    def _create_news(self, revision: Revision) -> SheetNews:
        sheet = self._force.get_active_sheet()
        detached_ms = self._detached_ms()
        if revision >= sheet.revision:
            return SheetNews(revision=sheet.revision, detached_ms=detached_ms)
        deltas = self._force.find_deltas(revision)
        if deltas is None or _count_rows(deltas) > len(sheet.rows):
            return SheetNews(
                revision=sheet.revision,
                detached_ms=detached_ms,
                whole=self._pack(sheet),
            )
        return SheetNews(
            revision=sheet.revision,
            detached_ms=detached_ms,
            deltas=tuple(deltas),
        )

    def _pack(self, sheet: SheetRevision) -> PackedSheet:
        if self._packed is None or self._packed.revision != sheet.revision:
            self._packed = PackedSheet(
                revision=sheet.revision,
                number=sheet.number,
                digest=sheet.digest,
                rows_packed=pack_rows(sheet.rows),
            )
        return self._packed


def _count_rows(deltas: list[SheetDelta]) -> int:
    """Return how many rows a subscriber would be sent."""
    return sum(len(delta.changes.changed) for delta in deltas)
