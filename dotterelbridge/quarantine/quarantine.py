"""Traits that no target gets because targets crash under them.

The quarantine is a state machine of the replicated log, so that it survives
restarts and changes of the leader; the feed distributes it to all VMs.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import enum

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import TraitId
from dotterelbridge.ids import VmId
from dotterelbridge.quarantine.events import QuarantineEvent
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind
from dotterelbridge.replication.log import StateMachine

STATE_MACHINE_NAME = "quarantine"
MAX_QUARANTINED_TRAITS = 64
"""Further traits are not taken; the table goes with each change to all VMs."""
NO_VM = VmId("")
"""Stands for the VM of a trial where there is none."""

_log = structlog.get_logger(__name__)


class QuarantinedTrait(msgspec.Struct, frozen=True, array_like=True):
    """A trait, and the VM that may send one request with it as a trial."""

    trait: TraitId
    trial: int = 0
    """Number of the latest trial; 0 before the first."""
    trial_vm: VmId = NO_VM


class QuarantineSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All quarantined traits, as of a version."""

    version: int = 0
    traits: tuple[QuarantinedTrait, ...] = ()


class ChangeKind(enum.Enum):
    """What a command changes."""

    ADD = "add"
    TRIAL = "trial"
    RELEASE = "release"


class QuarantineChange(msgspec.Struct, frozen=True, array_like=True):
    """Command that adds a trait, starts a trial of it, or releases it."""

    kind: ChangeKind
    trait: TraitId
    trial_vm: VmId = NO_VM


class QuarantineTable(StateMachine):
    """Holds the quarantined traits; its version rises with each change."""

    def __init__(self) -> None:
        self.snapshot = QuarantineSnapshot()
        self._subscribers: list[Callable[[QuarantineSnapshot], None]] = []

    def subscribe(
        self, callback: Callable[[QuarantineSnapshot], None]
    ) -> None:
        """Register a callback that gets each version."""
        self._subscribers.append(callback)

    def find(self, trait: TraitId) -> QuarantinedTrait | None:
        """Return the entry of a trait, if it is quarantined."""
        for entry in self.snapshot.traits:
            if entry.trait == trait:
                return entry
        return None

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a change, unless it is void; return the version."""
        change = msgspec.msgpack.decode(command, type=QuarantineChange)
        entries = {entry.trait: entry for entry in self.snapshot.traits}
        known = entries.get(change.trait)
        match change.kind:
            case ChangeKind.ADD if known is None:
                if len(entries) < MAX_QUARANTINED_TRAITS:
                    entries[change.trait] = QuarantinedTrait(change.trait)
            case ChangeKind.TRIAL if known is not None:
                entries[change.trait] = QuarantinedTrait(
                    change.trait, known.trial + 1, change.trial_vm
                )
            case ChangeKind.RELEASE:
                entries.pop(change.trait, None)
        traits = tuple(entries.values())
        if traits != self.snapshot.traits:
            self._store(QuarantineSnapshot(self.snapshot.version + 1, traits))
        return msgspec.msgpack.encode(self.snapshot.version)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.snapshot)

    def restore_snapshot(self, snapshot: bytes) -> None:
        self._store(msgspec.msgpack.decode(snapshot, type=QuarantineSnapshot))

    def _store(self, snapshot: QuarantineSnapshot) -> None:
        self.snapshot = snapshot
        for callback in self._subscribers:
            callback(snapshot)


def encode_change(
    kind: ChangeKind, trait: TraitId, trial_vm: VmId = NO_VM
) -> bytes:
    """Return the log command of a change."""
    return msgspec.msgpack.encode(QuarantineChange(kind, trait, trial_vm))


class Quarantine:
    """The quarantine that is in force on one VM; it never goes back."""

    def __init__(
        self, own_vm: VmId, settings: QuarantineSettings, clock: Clock
    ) -> None:
        """Create an empty quarantine."""
        self._clock = clock
        self._own_traits: dict[TraitId, float] = {}
        """Traits that this VM has quarantined by itself, each with the
        monotonic time at which it may be tried again."""
        self.snapshot = QuarantineSnapshot()
        self._settings = settings
        self._own_vm = own_vm
        self._traits: frozenset[TraitId] = frozenset()
        self._open_trials: set[TraitId] = set()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.snapshot.version

    def count_traits(self) -> int:
        """Return the number of quarantined traits."""
        return len(self._traits) + len(self._own_traits)

    def list_traits(self) -> list[TraitId]:
        """Return the quarantined traits."""
        return [*self._traits, *self._own_traits]

    def block_locally(self, trait: TraitId) -> None:
        """Quarantine a trait on this VM only, for a time."""
        wait = self.find_retry_after([trait])
        self._own_traits[trait] = (
            self._clock.monotonic() + wait.total_seconds()
        )
        events.log(
            _log,
            QuarantineEvent.TRAIT_BLOCKED_LOCALLY,
            trait=trait,
            seconds=wait.total_seconds(),
        )
        self._notify()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change."""
        self._subscribers.append(callback)

    def activate(self, snapshot: QuarantineSnapshot) -> None:
        """Put a version in force if it is higher."""
        if snapshot.version <= self.version:
            return
        # This VM may have used the trials that were open when it started.
        is_first = self.version == 0
        known = set(self.snapshot.traits)
        self.snapshot = snapshot
        self._traits = frozenset(entry.trait for entry in snapshot.traits)
        self._open_trials &= self._traits
        for entry in snapshot.traits:
            if entry not in known and not is_first:
                self._open_trials.discard(entry.trait)
                if entry.trial_vm == self._own_vm:
                    self._open_trials.add(entry.trait)
        events.log(
            _log,
            QuarantineEvent.QUARANTINE_IN_FORCE,
            version=snapshot.version,
            traits=sorted(self._traits),
        )
        self._notify()

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()

    def find_retry_after(self, blocked: Iterable[TraitId]) -> timedelta:
        """Return the time after which a caller may ask again."""
        if all(get_kind(trait) is TraitKind.REQUEST for trait in blocked):
            return timedelta(seconds=self._settings.quarantine_request_s)
        return timedelta(seconds=self._settings.quarantine_s)

    def find_blocked(self, traits: Iterable[TraitId]) -> set[TraitId]:
        """Return those of the traits that are quarantined."""
        blocked = set(self._traits.intersection(traits))
        if self._own_traits:
            self._drop_expired()
            blocked.update(self._own_traits.keys() & set(traits))
        return blocked

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        for trait, until in list(self._own_traits.items()):
            if now >= until:
                del self._own_traits[trait]

    def take_trial(self, blocked: set[TraitId]) -> bool:
        """Return whether one request with these traits may be sent.

        True is returned once for each trial, and only for a single trait, so
        that its outcome is that trait's.
        """
        if len(blocked) != 1 or not blocked <= self._open_trials:
            return False
        self._open_trials -= blocked
        return True
