"""Serves the sheet to other VMs, and tracks contact with the log."""

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

NO_CONTACT_MS = 86_400_000


class LogContact:
    """When this VM last had contact with the log, directly or via others."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_contact_at: float | None = None

    def record_contact(self, detached_ms: int) -> None:
        """Record that a source had contact the given time ago."""
        contact_at = self._clock.monotonic() - detached_ms / 1000
        if self._last_contact_at is None or contact_at > self._last_contact_at:
            self._last_contact_at = contact_at

    def detached_ms(self) -> int:
        """Return the time since the last contact."""
        if self._last_contact_at is None:
            return NO_CONTACT_MS
        elapsed = self._clock.monotonic() - self._last_contact_at
        return min(NO_CONTACT_MS, int(elapsed * 1000))


class SheetFeed:
    """Handles the sheet polls of other VMs."""

    def __init__(
        self,
        active_sheet: ActiveSheet,
        settings: SheetSettings,
        clock: Clock,
        detached_ms: Callable[[], int],
        add_newer_vm: Callable[[VmId], None],
    ) -> None:
        self._active_sheet = active_sheet
        self._settings = settings
        self._clock = clock
        self._detached_ms = detached_ms
        self._add_newer_vm = add_newer_vm
        self._packed_sheet: PackedSheet | None = None
        self._polled_at: dict[VmId, float] = {}

    async def handle_poll(self, sender: VmId, poll: SheetPoll) -> SheetNews:
        """Reply as soon as there is an update, or after the hold time."""
        self._polled_at[sender] = self._clock.monotonic()
        if poll.revision > self._active_sheet.get_active_sheet().revision:
            self._add_newer_vm(sender)
        hold_ms = min(poll.hold_ms, self._settings.poll_hold_ms)
        if hold_ms > 0:
            await self._wait_for_update(poll.revision, hold_ms)
        return self._create_update(poll.revision)

    def list_subscribers(self) -> list[VmId]:
        """Return the VMs that polled within the last two poll periods."""
        since = (
            self._clock.monotonic()
            - (
                2
                * (self._settings.poll_hold_ms + self._settings.poll_grace_ms)
            )
            / 1000
        )
        return sorted(vm for vm, at in self._polled_at.items() if at > since)

    async def _wait_for_update(self, revision: Revision, hold_ms: int) -> None:
        if self._active_sheet.get_active_sheet().revision > revision:
            return
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._stop_wait_at_limit, group.cancel_scope, hold_ms
            )
            await self._active_sheet.wait_for_newer(revision)
            group.cancel_scope.cancel()

    async def _stop_wait_at_limit(
        self, scope: anyio.CancelScope, hold_ms: int
    ) -> None:
        await self._clock.sleep(timedelta(milliseconds=hold_ms))
        scope.cancel()

    def _create_update(self, revision: Revision) -> SheetNews:
        sheet = self._active_sheet.get_active_sheet()
        detached_ms = self._detached_ms()
        if revision >= sheet.revision:
            return SheetNews(revision=sheet.revision, detached_ms=detached_ms)
        deltas = self._active_sheet.find_deltas(revision)
        if deltas is None or _count_changed_rows(deltas) > len(sheet.rows):
            return SheetNews(
                revision=sheet.revision,
                detached_ms=detached_ms,
                whole=self._pack_sheet(sheet),
            )
        return SheetNews(
            revision=sheet.revision,
            detached_ms=detached_ms,
            deltas=tuple(deltas),
        )

    def _pack_sheet(self, sheet: SheetRevision) -> PackedSheet:
        if (
            self._packed_sheet is None
            or self._packed_sheet.revision != sheet.revision
        ):
            self._packed_sheet = PackedSheet(
                revision=sheet.revision,
                number=sheet.number,
                digest=sheet.digest,
                rows_packed=pack_rows(sheet.rows),
            )
        return self._packed_sheet


def _count_changed_rows(deltas: list[SheetDelta]) -> int:
    """Return the number of rows that the deltas contain."""
    return sum(len(delta.changes.changed) for delta in deltas)
