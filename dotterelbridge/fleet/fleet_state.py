"""The state of all targets as one VM knows it, with numbered changes."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
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
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.permits.messages import RateLimit

_log = structlog.get_logger(__name__)

_REMOVED_RETENTION_S = 60.0
"""Time for which removed incarnations are remembered, so that an older
state from another VM does not restore them: twice the longest lag of a
source."""
_MS_PER_S = 1000


class ChangeKind(enum.Enum):
    """How soon other VMs need a change."""

    URGENT = "urgent"
    """A target was added or removed, leaves, is silent, or lost a model."""
    ITEMS = "items"
    """A model or adapter was added or will be, or an adapter was removed."""
    LOADS = "loads"


class FleetState:
    """Holds all targets and pending loads, with a revision number.

    Aggregate; an incarnation of a target that is leaving or removed never
    becomes ready again.
    """

    def __init__(self, clock: Clock) -> None:
        self.targets: dict[TargetId, FleetTarget] = {}
        self.epoch = secrets.token_hex(4)
        self.revision = 0
        self.urgent_revision = 0
        """The latest revision after which requests must no longer go where
        they went before, or a target was added."""
        self.item_revision = 0
        """The latest revision that changed what targets hold or will hold;
        only VMs with requests that wait for an item need it at once."""
        self.is_complete = False
        """Whether all targets have been known at some time since the start."""
        self._clock = clock
        self.rate_limits: dict[Incarnation, float] = {}
        """Requests per second that targets take from all VMs together."""
        self.lifted_rate_limits: dict[Incarnation, float] = {}
        """Limits that have ended, with their latest value."""
        self.watched_traits: frozenset[TraitId] = frozenset()
        """Traits of which VMs report complete answers."""
        self._pending_loads: dict[ItemKey, float] = {}
        self._changed_revisions: dict[TargetId, int] = {}
        """The revision in which each target last changed."""
        self._removed_revisions: dict[TargetId, int] = {}
        self._leaving_incarnations: dict[tuple[TargetId, int], float] = {}
        self._removed_incarnations: dict[tuple[TargetId, int], float] = {}
        self._subscribers: list[Callable[[], None]] = []
        self._changed = anyio.Event()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change."""
        self._subscribers.append(callback)

    def find_load_time_left_s(self, item: ItemKey) -> float | None:
        """Return the seconds until an item's pending load ends, or None."""
        ready_at = self._pending_loads.get(item)
        if ready_at is None:
            return None
        return max(0.0, ready_at - self._clock.monotonic())

    def update(
        self,
        changed: Iterable[FleetTarget] = (),
        removed: Iterable[TargetId] = (),
        pending_loads: dict[ItemKey, float] | None = None,
        rate_limits: dict[Incarnation, float] | None = None,
        watched_traits: frozenset[TraitId] | None = None,
        lifted_rate_limits: dict[Incarnation, float] | None = None,
    ) -> None:
        """Apply changes.

        :param pending_loads: monotonic time at which each load ends; None
            keeps the known ones.
        :param rate_limits: all limits in force; None keeps the known ones.
        :param watched_traits: all of them; None keeps the known ones.
        :param lifted_rate_limits: all limits that have ended; None keeps the
            known ones.
        """
        before = self.revision
        for target in changed:
            self._set_target(target)
        for name in removed:
            self._remove_target(name)
        if pending_loads is not None and pending_loads != self._pending_loads:
            self._pending_loads = pending_loads
            self._increase_revision(ChangeKind.ITEMS)
        if rate_limits is not None and rate_limits != self.rate_limits:
            self.rate_limits = rate_limits
            self._increase_revision(ChangeKind.URGENT)
        if lifted_rate_limits not in (None, self.lifted_rate_limits):
            self.lifted_rate_limits = lifted_rate_limits
            self._increase_revision(ChangeKind.URGENT)
        if watched_traits not in (None, self.watched_traits):
            self.watched_traits = watched_traits
            self._increase_revision(ChangeKind.URGENT)
        if self.revision != before:
            self._notify_subscribers()

    def mark_complete(self) -> None:
        """Record that all targets are known from now on."""
        self.is_complete = True

    def replace(
        self,
        targets: Iterable[FleetTarget],
        pending_loads: dict[ItemKey, float],
    ) -> None:
        """Replace the state with a snapshot from another VM.

        Targets that it lacks are deleted, but not remembered as removed:
        the other VM may not have seen them yet and may send them later.
        """
        targets_by_name = {target.target: target for target in targets}
        for name in [
            name for name in self.targets if name not in targets_by_name
        ]:
            self._delete_target(name)
        self.update(targets_by_name.values(), (), pending_loads)

    def apply(self, update: FleetUpdate) -> None:
        """Apply an update if its source knows all targets.

        Rate limits that the source does not know may still be in force, as it
        may have restarted, or be cut off. They end once it says so, or with
        their targets.
        """
        if not update.is_complete:
            return
        self.is_complete = True
        now = self._clock.monotonic()
        pending_loads = {
            e.item: now + e.ready_in_ms / _MS_PER_S
            for e in update.pending_loads
        }
        self.update(watched_traits=frozenset(update.watched_traits))
        if update.is_snapshot:
            self.replace(update.changed, pending_loads)
        else:
            self.update(update.changed, update.removed, pending_loads)
        self._merge_rate_limits(update)

    def _merge_rate_limits(self, update: FleetUpdate) -> None:
        if not (
            self.rate_limits
            or self.lifted_rate_limits
            or update.rate_limits
            or update.lifted_rate_limits
        ):
            return
        lifted = _collect_rate_limits(update.lifted_rate_limits)
        known = {
            incarnation: limit
            for incarnation, limit in self.rate_limits.items()
            if incarnation not in lifted
        }
        self.update(
            rate_limits=self._select_present(
                known | _collect_rate_limits(update.rate_limits)
            ),
            lifted_rate_limits=self._select_present(lifted),
        )

    def _select_present(
        self, limits: dict[Incarnation, float]
    ) -> dict[Incarnation, float]:
        """Return the limits of the targets that are known."""
        incarnations = {(t.target, t.born) for t in self.targets.values()}
        return {i: v for i, v in limits.items() if i in incarnations}

    def list_changes(
        self, epoch: str, revision: int
    ) -> tuple[bool, list[FleetTarget], list[TargetId]]:
        """Return (is_snapshot, changed targets, removed targets)."""
        if epoch != self.epoch or revision > self.revision:
            return True, list(self.targets.values()), []
        changed = [
            target
            for name, target in self.targets.items()
            if self._changed_revisions[name] > revision
        ]
        removed = [
            name
            for name, removed_in in self._removed_revisions.items()
            if removed_in > revision
        ]
        return False, changed, removed

    def list_pending_loads(self) -> tuple[PendingLoad, ...]:
        """Return the pending loads with the time left."""
        now = self._clock.monotonic()
        return tuple(
            PendingLoad(item, max(0, int((ready_at - now) * _MS_PER_S)))
            for item, ready_at in self._pending_loads.items()
        )

    def list_rate_limits(self) -> tuple[RateLimit, ...]:
        """Return the limits in force, as VMs exchange them."""
        return _encode_rate_limits(self.rate_limits)

    def list_lifted_rate_limits(self) -> tuple[RateLimit, ...]:
        """Return the limits that have ended, as VMs exchange them."""
        return _encode_rate_limits(self.lifted_rate_limits)

    async def wait_for_change(self, epoch: str, revision: int) -> None:
        """Return once the state is newer than the given revision."""
        while epoch == self.epoch and revision == self.revision:
            await self._changed.wait()

    def _set_target(self, target: FleetTarget) -> None:
        incarnation = (target.target, target.born)
        if incarnation in self._removed_incarnations:
            return
        if target.phase is TargetPhase.LEAVING:
            if incarnation not in self._leaving_incarnations:
                self._leaving_incarnations[incarnation] = (
                    self._clock.monotonic()
                )
                self._log(FleetEvent.TARGET_LEAVING, target)
        elif incarnation in self._leaving_incarnations:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        known = self.targets.get(target.target)
        if known == target:
            return
        if known is None or known.born != target.born:
            self._log(FleetEvent.TARGET_SEEN, target)
        if known is not None and known.born < target.born:
            self._mark_removed(known)
        self._increase_revision(_classify_change(known, target))
        self.targets[target.target] = target
        self._changed_revisions[target.target] = self.revision
        self._removed_revisions.pop(target.target, None)

    def _remove_target(self, name: TargetId) -> None:
        target = self._delete_target(name)
        if target is not None:
            self._mark_removed(target)

    def _mark_removed(self, target: FleetTarget) -> None:
        """Remember that an incarnation of a target has ended."""
        now = self._clock.monotonic()
        incarnation = (target.target, target.born)
        self._removed_incarnations[incarnation] = now
        self._leaving_incarnations.pop(incarnation, None)
        self._prune_removed(now)

    def _delete_target(self, name: TargetId) -> FleetTarget | None:
        target = self.targets.pop(name, None)
        if target is None:
            return None
        self._log(FleetEvent.TARGET_GONE, target)
        self._changed_revisions.pop(name)
        self._increase_revision(ChangeKind.URGENT)
        self._removed_revisions[name] = self.revision
        return target

    def _prune_removed(self, now: float) -> None:
        oldest = now - _REMOVED_RETENTION_S
        for incarnation in [
            k for k, at in self._removed_incarnations.items() if at < oldest
        ]:
            del self._removed_incarnations[incarnation]
            if incarnation[0] not in {
                name for name, _ in self._removed_incarnations
            }:
                self._removed_revisions.pop(incarnation[0], None)

    def _increase_revision(self, kind: ChangeKind) -> None:
        self.revision += 1
        if kind is ChangeKind.URGENT:
            self.urgent_revision = self.revision
        elif kind is ChangeKind.ITEMS:
            self.item_revision = self.revision

    def _notify_subscribers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        for callback in self._subscribers:
            callback()

    def _log(self, event: FleetEvent, target: FleetTarget) -> None:
        events.log(
            _log,
            event,
            target=target.target,
            born=target.born,
            service=target.service,
            software=target.software,
            address=f"{target.host}:{target.port}",
            held=[held.model for held in target.held],
        )


def _classify_change(
    known: FleetTarget | None, target: FleetTarget
) -> ChangeKind:
    """Return how soon other VMs need a change of a target."""
    if known is None:
        return ChangeKind.URGENT
    if msgspec.structs.replace(known, load=target.load) == target:
        return ChangeKind.LOADS
    same_but_items = msgspec.structs.replace(
        known, load=target.load, held=target.held
    )
    if same_but_items != target:
        return ChangeKind.URGENT
    models = {held.model for held in target.held}
    lost_model = any(held.model not in models for held in known.held)
    return ChangeKind.URGENT if lost_model else ChangeKind.ITEMS


def _encode_rate_limits(
    limits: dict[Incarnation, float],
) -> tuple[RateLimit, ...]:
    return tuple(
        RateLimit(target, born, requests_per_s)
        for (target, born), requests_per_s in limits.items()
    )


def _collect_rate_limits(
    limits: Iterable[RateLimit],
) -> dict[Incarnation, float]:
    return {(e.target, e.born): e.requests_per_s for e in limits}
