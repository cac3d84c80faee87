"""The sheet in force on this VM; its revision never falls."""

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
    """Takes later revisions, keeps them, then publishes them."""

    def __init__(self, storage: SheetStorage, history_limit: int) -> None:
        self._storage = storage
        self._current = storage.load()
        self._history = DeltaHistory(history_limit)
        self._callbacks: list[Callable[[SheetRevision], None]] = []
        self._changed = anyio.Event()
        self._taking = anyio.Lock()

    def get_active_sheet(self) -> SheetRevision:
        return self._current

    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        self._callbacks.append(callback)

    @property
    def kept_deltas(self) -> int:
        """Number of deltas that can be given to others."""
        return len(self._history)

    def find_deltas(self, revision: Revision) -> list[SheetDelta] | None:
        """Return the deltas after a revision; None when too old."""
        return self._history.find_after(revision)

    async def wait_beyond(self, revision: Revision) -> None:
        """Return once a later revision is in force."""
        while self._current.revision <= revision:
            await self._changed.wait()

    async def take_deltas(self, deltas: Iterable[SheetDelta]) -> bool:
        """Bring the deltas in force that follow; older ones are skipped.

        Returns False when one does not fit: the whole sheet is needed.
        """
        async with self._taking:
            steps = []
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
                steps.append((sheet, delta))
            await self._bring_in_force(steps)
            return True

    async def take_whole(self, sheet: SheetRevision) -> None:
        """Bring a whole sheet in force unless it is older."""
        async with self._taking:
            if sheet.revision <= self._current.revision:
                self._check_same(sheet)
                return
            await self._bring_in_force([(sheet, None)])

    async def take_accepted(
        self, accepted: Iterable[tuple[SheetRevision, SheetDelta | None]]
    ) -> None:
        """Bring in force what the log accepted, in order."""
        async with self._taking:
            for sheet, _ in accepted:
                self._check_same(sheet)
            held = self._current.revision
            later = [step for step in accepted if step[0].revision > held]
            await self._bring_in_force(later)

    def _check_same(self, sheet: SheetRevision) -> None:
        invariants.check(
            sheet.revision != self._current.revision
            or sheet.digest == self._current.digest,
            "sheet_revision_unique",
            revision=sheet.revision,
            held=self._current.digest,
            offered=sheet.digest,
        )

    async def _bring_in_force(
        self, steps: list[tuple[SheetRevision, SheetDelta | None]]
    ) -> None:
        if not steps:
            return
        await self._save(steps[-1][0])
        for sheet, delta in steps:
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
