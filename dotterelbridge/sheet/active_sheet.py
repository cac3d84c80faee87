"""The active sheet of this VM: the revision in force here.

Its revision never decreases.
"""

from collections.abc import Callable
from collections.abc import Iterable

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import invariants
from dotterelbridge import metrics
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import Revision
from dotterelbridge.sheet.delta import DeltaHistory
from dotterelbridge.sheet.delta import SheetDelta
from dotterelbridge.sheet.delta import apply_delta
from dotterelbridge.sheet.events import SheetEvent
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.sheet.storage import SheetStorage

_log = structlog.get_logger(__name__)

_revisions = metrics.meter.create_counter(
    "dotterelbridge.sheet.revisions",
    description="Revisions that came into force, by how they came",
)


class ActiveSheet(SheetSource):
    """Saves newer revisions, then activates and publishes them."""

    def __init__(self, storage: SheetStorage, history_limit: int) -> None:
        self._storage = storage
        self._current = storage.load()
        self._history = DeltaHistory(history_limit)
        self._callbacks: list[Callable[[SheetRevision], None]] = []
        self._changed = anyio.Event()
        self._activation_lock = anyio.Lock()

    def get_active_sheet(self) -> SheetRevision:
        return self._current

    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        self._callbacks.append(callback)

    @property
    def delta_count(self) -> int:
        """Number of deltas kept for other VMs."""
        return len(self._history)

    def find_deltas(self, revision: Revision) -> list[SheetDelta] | None:
        """Return the deltas after a revision; None if they are not kept."""
        return self._history.find_after(revision)

    async def wait_for_newer(self, revision: Revision) -> None:
        """Wait until a newer revision is active."""
        while self._current.revision <= revision:
            await self._changed.wait()

    async def apply_deltas(self, deltas: Iterable[SheetDelta]) -> bool:
        """Apply the deltas that follow the active sheet; skip older ones.

        Returns False when a delta does not apply; the caller must then
        fetch the full sheet.
        """
        async with self._activation_lock:
            activations = []
            sheet = self._current
            for delta in deltas:
                if delta.revision <= sheet.revision:
                    continue
                try:
                    sheet = apply_delta(sheet, delta)
                except ValueError as error:
                    events.log(
                        _log, SheetEvent.SHEET_MISMATCH, error=str(error)
                    )
                    return False
                activations.append((sheet, delta))
            await self._activate(activations)
            return True

    async def activate_full_sheet(self, sheet: SheetRevision) -> None:
        """Activate a full sheet unless it is older."""
        async with self._activation_lock:
            if sheet.revision <= self._current.revision:
                self._check_same_digest(sheet)
                return
            await self._activate([(sheet, None)])

    async def activate_accepted(
        self, accepted: Iterable[tuple[SheetRevision, SheetDelta | None]]
    ) -> None:
        """Activate, in order, the sheets that the log accepted."""
        async with self._activation_lock:
            for sheet, _ in accepted:
                self._check_same_digest(sheet)
            held = self._current.revision
            newer = [
                activation
                for activation in accepted
                if activation[0].revision > held
            ]
            await self._activate(newer)

    def _check_same_digest(self, sheet: SheetRevision) -> None:
        invariants.check(
            sheet.revision != self._current.revision
            or sheet.digest == self._current.digest,
            "sheet_revision_unique",
            revision=sheet.revision,
            held=self._current.digest,
            offered=sheet.digest,
        )

    async def _activate(
        self, activations: list[tuple[SheetRevision, SheetDelta | None]]
    ) -> None:
        if not activations:
            return
        await self._save(activations[-1][0])
        for sheet, delta in activations:
            self._publish(sheet, delta)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _save(self, sheet: SheetRevision) -> None:
        try:
            await self._storage.save(sheet)
        except StorageError as error:
            events.log(_log, SheetEvent.SHEET_NOT_SAVED, error=str(error))
            raise

    def _publish(self, sheet: SheetRevision, delta: SheetDelta | None) -> None:
        invariants.check(
            sheet.revision > self._current.revision,
            "sheet_in_force_never_falls",
            held=self._current.revision,
            offered=sheet.revision,
        )
        if delta is None or delta.revision != self._current.revision + 1:
            self._history.clear()
        if delta is not None:
            self._history.add(delta)
        self._current = sheet
        way = "whole" if delta is None else "delta"
        _revisions.add(1, {"way": way})
        events.log(
            _log,
            SheetEvent.SHEET_IN_FORCE,
            revision=sheet.revision,
            number=sheet.number,
            rows=len(sheet.rows),
            way=way,
        )
        for callback in self._callbacks:
            callback(sheet)
