"""The fleet as one VM knows it, with what changed since a revision."""

from collections.abc import Callable
from collections.abc import Iterable
import secrets

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.messages import FleetUpdate
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import PendingLoad
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.ids import TargetId

_log = structlog.get_logger(__name__)

_GONE_KEPT_S = 60.0
"""How long a life that ended is remembered, so that an older view of
another VM does not bring it back; twice the longest lag of a source."""
_MS = 1000


class FleetState:
    """Aggregate: a life of a target that is leaving or gone stays so."""

    def __init__(self, clock: Clock) -> None:
        self.targets: dict[TargetId, FleetTarget] = {}
        self.epoch = secrets.token_hex(4)
        self.revision = 0
        self.urgent_revision = 0
        """The newest revision that changed more than loads of targets."""
        self.is_complete = False
        """Whether all targets were known since the start."""
        self._clock = clock
        self._pending_loads: dict[ItemKey, float] = {}
        self._changed_at: dict[TargetId, int] = {}
        self._removed_at: dict[TargetId, int] = {}
        self._leaving: dict[tuple[TargetId, int], float] = {}
        self._gone: dict[tuple[TargetId, int], float] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._news = anyio.Event()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    def find_load_time_left_s(self, item: ItemKey) -> float | None:
        """Return the seconds until an item's load ends, if one is known."""
        ready_at = self._pending_loads.get(item)
        if ready_at is None:
            return None
        return max(0.0, ready_at - self._clock.monotonic())

    def update(
        self,
        changed: Iterable[FleetTarget] = (),
        removed: Iterable[TargetId] = (),
        pending_loads: dict[ItemKey, float] | None = None,
    ) -> None:
        """Take changes; ``expected`` holds monotonic times of readiness."""
        before = self.revision
        for target in changed:
            self._put(target)
        for name in removed:
            self._remove(name)
        if pending_loads is not None and pending_loads != self._pending_loads:
            self._pending_loads = pending_loads
            self._count_change()
        if self.revision != before:
            self._announce()

    def mark_complete(self) -> None:
        """Note that all targets are known from now on."""
        self.is_complete = True

    def replace(
        self,
        targets: Iterable[FleetTarget],
        pending_loads: dict[ItemKey, float],
    ) -> None:
        """Take a whole view of another VM.

        What it does not name is dropped, and taken again if it is named
        later: the other VM may only not have seen it yet.
        """
        named = {target.target: target for target in targets}
        for name in [name for name in self.targets if name not in named]:
            self._drop(name)
        self.update(named.values(), (), pending_loads)

    def apply(self, news: FleetUpdate) -> None:
        """Take the answer of a source that knows all targets."""
        if not news.is_complete:
            return
        self.is_complete = True
        now = self._clock.monotonic()
        pending_loads = {
            e.item: now + e.ready_in_ms / _MS for e in news.pending_loads
        }
        if news.is_snapshot:
            self.replace(news.changed, pending_loads)
        else:
            self.update(news.changed, news.removed, pending_loads)

    def list_changes(
        self, epoch: str, revision: int
    ) -> tuple[bool, list[FleetTarget], list[TargetId]]:
        """Return whether this is the whole view, and what changed."""
        if epoch != self.epoch or revision > self.revision:
            return True, list(self.targets.values()), []
        changed = [
            target
            for name, target in self.targets.items()
            if self._changed_at[name] > revision
        ]
        removed = [
            name for name, at in self._removed_at.items() if at > revision
        ]
        return False, changed, removed

    def list_pending_loads(self) -> tuple[PendingLoad, ...]:
        """Return the loads under way, with the time left."""
        now = self._clock.monotonic()
        return tuple(
            PendingLoad(item, max(0, int((ready_at - now) * _MS)))
            for item, ready_at in self._pending_loads.items()
        )

    async def wait_for_change(self, epoch: str, revision: int) -> None:
        """Return once there is something newer."""
        while epoch == self.epoch and revision == self.revision:
            await self._news.wait()

    def _put(self, target: FleetTarget) -> None:
        life = (target.target, target.born)
        if life in self._gone:
            return
        if target.phase is TargetPhase.LEAVING:
            if life not in self._leaving:
                self._leaving[life] = self._clock.monotonic()
                self._log(FleetEvent.TARGET_LEAVING, target)
        elif life in self._leaving:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        known = self.targets.get(target.target)
        if known == target:
            return
        if known is None or known.born != target.born:
            self._log(FleetEvent.TARGET_SEEN, target)
        self._count_change(is_urgent=not _differs_in_load(known, target))
        self.targets[target.target] = target
        self._changed_at[target.target] = self.revision
        self._removed_at.pop(target.target, None)

    def _remove(self, name: TargetId) -> None:
        target = self._drop(name)
        if target is None:
            return
        now = self._clock.monotonic()
        self._gone[name, target.born] = now
        self._leaving.pop((name, target.born), None)
        self._forget_old(now)

    def _drop(self, name: TargetId) -> FleetTarget | None:
        target = self.targets.pop(name, None)
        if target is None:
            return None
        self._log(FleetEvent.TARGET_GONE, target)
        self._changed_at.pop(name)
        self._count_change()
        self._removed_at[name] = self.revision
        return target

    def _forget_old(self, now: float) -> None:
        oldest = now - _GONE_KEPT_S
        for life in [k for k, at in self._gone.items() if at < oldest]:
            del self._gone[life]
            if life[0] not in {name for name, _ in self._gone}:
                self._removed_at.pop(life[0], None)

    def _count_change(self, is_urgent: bool = True) -> None:
        self.revision += 1
        if is_urgent:
            self.urgent_revision = self.revision

    def _announce(self) -> None:
        self._news.set()
        self._news = anyio.Event()
        for callback in self._subscribers:
            callback()

    def _log(self, event: FleetEvent, target: FleetTarget) -> None:
        events.log(
            _log,
            event,
            target=target.target,
            born=target.born,
            service=target.service,
            address=f"{target.host}:{target.port}",
            held=[held.model for held in target.held],
        )


def _differs_in_load(known: FleetTarget | None, target: FleetTarget) -> bool:
    """Whether a target is as it was known but for its load."""
    return known is not None and (
        msgspec.structs.replace(known, load=target.load) == target
    )
