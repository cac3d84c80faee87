"""Prompt parts that no target gets because targets crash under them.

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
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import PartId
from dotterelbridge.ids import VmId
from dotterelbridge.quarantine.events import QuarantineEvent
from dotterelbridge.replication.log import StateMachine

STATE_MACHINE_NAME = "quarantine"
MAX_QUARANTINED_PARTS = 64
"""Further parts are not taken; the table goes with each change to all VMs."""
NO_VM = VmId("")
"""Stands for the VM of a trial where there is none."""

_log = structlog.get_logger(__name__)


class QuarantinedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part, and the VM that may send one request with it as a trial."""

    part: PartId
    trial: int = 0
    """Number of the latest trial; 0 before the first."""
    trial_vm: VmId = NO_VM


class QuarantineSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All quarantined parts, as of a version."""

    version: int = 0
    parts: tuple[QuarantinedPart, ...] = ()


class ChangeKind(enum.Enum):
    """What a command changes."""

    ADD = "add"
    TRIAL = "trial"
    RELEASE = "release"


class QuarantineChange(msgspec.Struct, frozen=True, array_like=True):
    """Command that adds a part, starts a trial of it, or releases it."""

    kind: ChangeKind
    part: PartId
    trial_vm: VmId = NO_VM


class QuarantineTable(StateMachine):
    """Holds the quarantined parts; its version rises with each change."""

    def __init__(self) -> None:
        self.snapshot = QuarantineSnapshot()
        self._subscribers: list[Callable[[QuarantineSnapshot], None]] = []

    def subscribe(
        self, callback: Callable[[QuarantineSnapshot], None]
    ) -> None:
        """Register a callback that gets each version."""
        self._subscribers.append(callback)

    def find(self, part: PartId) -> QuarantinedPart | None:
        """Return the entry of a part, if it is quarantined."""
        for entry in self.snapshot.parts:
            if entry.part == part:
                return entry
        return None

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a change, unless it is void; return the version."""
        change = msgspec.msgpack.decode(command, type=QuarantineChange)
        entries = {entry.part: entry for entry in self.snapshot.parts}
        known = entries.get(change.part)
        match change.kind:
            case ChangeKind.ADD if known is None:
                if len(entries) < MAX_QUARANTINED_PARTS:
                    entries[change.part] = QuarantinedPart(change.part)
            case ChangeKind.TRIAL if known is not None:
                entries[change.part] = QuarantinedPart(
                    change.part, known.trial + 1, change.trial_vm
                )
            case ChangeKind.RELEASE:
                entries.pop(change.part, None)
        parts = tuple(entries.values())
        if parts != self.snapshot.parts:
            self._store(QuarantineSnapshot(self.snapshot.version + 1, parts))
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
    kind: ChangeKind, part: PartId, trial_vm: VmId = NO_VM
) -> bytes:
    """Return the log command of a change."""
    return msgspec.msgpack.encode(QuarantineChange(kind, part, trial_vm))


class Quarantine:
    """The quarantine that is in force on one VM; it never goes back."""

    def __init__(self, own_vm: VmId, retry_after: timedelta) -> None:
        """Create an empty quarantine.

        :param retry_after: time after which a caller may ask again.
        """
        self.snapshot = QuarantineSnapshot()
        self.retry_after = retry_after
        self._own_vm = own_vm
        self._parts: frozenset[PartId] = frozenset()
        self._open_trials: set[PartId] = set()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.snapshot.version

    def count_parts(self) -> int:
        """Return the number of quarantined parts."""
        return len(self._parts)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change."""
        self._subscribers.append(callback)

    def activate(self, snapshot: QuarantineSnapshot) -> None:
        """Put a version in force if it is higher."""
        if snapshot.version <= self.version:
            return
        # This VM may have used the trials that were open when it started.
        is_first = self.version == 0
        known = set(self.snapshot.parts)
        self.snapshot = snapshot
        self._parts = frozenset(entry.part for entry in snapshot.parts)
        self._open_trials &= self._parts
        for entry in snapshot.parts:
            if entry not in known and not is_first:
                self._open_trials.discard(entry.part)
                if entry.trial_vm == self._own_vm:
                    self._open_trials.add(entry.part)
        events.log(
            _log,
            QuarantineEvent.QUARANTINE_IN_FORCE,
            version=snapshot.version,
            parts=sorted(self._parts),
        )
        for callback in self._subscribers:
            callback()

    def find_blocked(self, parts: Iterable[PartId]) -> set[PartId]:
        """Return those of the parts that are quarantined."""
        return self._parts.intersection(parts) if self._parts else set()

    def take_trial(self, blocked: set[PartId]) -> bool:
        """Return whether one request with these parts may be sent.

        True is returned once for each trial, and only for a single part, so
        that its outcome is that part's.
        """
        if len(blocked) != 1 or not blocked <= self._open_trials:
            return False
        self._open_trials -= blocked
        return True
