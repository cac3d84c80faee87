"""Applies committed commands to the state machines, in log order."""

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import invariants
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.replication.change_notifier import ChangeNotifier
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import measure_entry_bytes
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.storage import Snapshot
from dotterelbridge.replication.storage_writer import StorageWriter

_log = structlog.get_logger(__name__)

_BYTES_PER_MB = 1024 * 1024
_APPLY_BATCH_COUNT = 64
"""Entries applied before other tasks of the event loop may run."""
_RETRY_REMEDY = "retry; the state machine recognises duplicates"


class _Waiter:
    """A proposer that waits for its entry to be applied."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.done = anyio.Event()
        self.result = b""
        self.error: Exception | None = None

    def complete(self, result: bytes, error: Exception | None = None) -> None:
        self.result = result
        self.error = error
        self.done.set()


class EntryApplier:
    """The state machines of one member and the waiting proposers."""

    def __init__(
        self,
        settings: ReplicationSettings,
        state: MemberState,
        storage_writer: StorageWriter,
    ) -> None:
        self.applied_index = LogIndex(0)
        self.applied_index_advanced = ChangeNotifier()
        self._settings = settings
        self._state = state
        self._storage_writer = storage_writer
        self._state_machines: dict[str, StateMachine] = {}
        self._waiters: dict[LogIndex, _Waiter] = {}
        self._is_writing_snapshot = False
        self._applied_bytes = 0
        """Size of the entries applied since the last snapshot."""

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        """Register a state machine under the name that commands use."""
        if name in self._state_machines:
            raise ValueError(
                f"state machine name {name!r} is already registered"
            )
        self._state_machines[name] = machine

    def has_state_machine(self, name: str) -> bool:
        """Return whether a state machine of this name is registered."""
        return name in self._state_machines

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state of all state machines with a snapshot."""
        invariants.check(
            snapshot.index >= self.applied_index,
            "applied_index_never_falls",
            snapshot_index=snapshot.index,
            applied_index=self.applied_index,
        )
        for name, machine in self._state_machines.items():
            if name in snapshot.machine_snapshots:
                machine.restore_snapshot(snapshot.machine_snapshots[name])
        self.applied_index = snapshot.index
        self._fail_skipped_waiters(snapshot.index)
        self.applied_index_advanced.notify()

    def take_snapshots(self) -> dict[str, bytes]:
        """Return the state of all state machines at the applied index."""
        return {
            name: machine.take_snapshot()
            for name, machine in self._state_machines.items()
        }

    async def wait_for_result(self, index: LogIndex, term: Term) -> bytes:
        """Wait until an entry of this member's term is applied.

        :raises NotCommitted: another entry was committed in its place.
        :raises CommitUnknown: the member stopped, or it installed a
            snapshot, which does not show whether the entry was committed.
        """
        waiter = _Waiter(term)
        replaced = self._waiters.get(index)
        self._waiters[index] = waiter
        if replaced:
            replaced.complete(
                b"", CommitUnknown("a new leader was elected", _RETRY_REMEDY)
            )
        try:
            await waiter.done.wait()
        finally:
            if self._waiters.get(index) is waiter:
                del self._waiters[index]
        if waiter.error:
            raise waiter.error
        return waiter.result

    async def wait_for_applied(self, index: LogIndex) -> None:
        """Wait until all entries up to an index are applied."""
        while self.applied_index < index:
            await self.applied_index_advanced.wait()

    def fail_waiters(self, problem: str) -> None:
        """Fail all waiting proposers with CommitUnknown."""
        waiters = list(self._waiters.values())
        self._waiters.clear()
        for waiter in waiters:
            waiter.complete(b"", CommitUnknown(problem, _RETRY_REMEDY))

    async def run(self) -> None:
        """Apply committed entries and take snapshots, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                while self.applied_index < self._state.commit_index:
                    self._apply_batch()
                    self._start_snapshot(group)
                    await anyio.lowlevel.checkpoint()
                await self._state.commit_index_advanced.wait()

    def _apply_batch(self) -> None:
        last = min(
            self._state.commit_index,
            self.applied_index + _APPLY_BATCH_COUNT,
        )
        for index in range(self.applied_index + 1, last + 1):
            self._apply(self._state.log.get_entry(LogIndex(index)))
        self.applied_index_advanced.notify()

    def _apply(self, entry: Entry) -> None:
        invariants.check(
            entry.index == self.applied_index + 1,
            "applied_index_never_falls",
            index=entry.index,
            applied_index=self.applied_index,
        )
        result, error = self._execute_command(entry)
        self.applied_index = entry.index
        self._applied_bytes += measure_entry_bytes(entry)
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term != entry.term:
            error = NotCommitted(
                "a new leader committed another command in its place",
                "send the command again",
            )
        waiter.complete(result, error)

    def _execute_command(self, entry: Entry) -> tuple[bytes, Exception | None]:
        if entry.kind is not EntryKind.COMMAND:
            return b"", None
        machine = self._state_machines.get(entry.machine_name)
        try:
            invariants.check(
                machine is not None,
                "machine_known",
                machine=entry.machine_name,
            )
            return machine.apply(entry.index, entry.command), None
        except Exception as error:
            events.log(
                _log,
                ReplicationEvent.MACHINE_FAILED,
                machine=entry.machine_name,
                index=entry.index,
                error=repr(error),
            )
            return b"", CommitUnknown(
                f"state machine {entry.machine_name!r} failed: {error!r}",
                "keep the log and a state dump, and report a bug",
            )

    def _fail_skipped_waiters(self, index: LogIndex) -> None:
        skipped = [key for key in self._waiters if key <= index]
        for key in skipped:
            self._waiters.pop(key).complete(
                b"",
                CommitUnknown("a snapshot replaced the log", _RETRY_REMEDY),
            )

    def _start_snapshot(self, group) -> None:
        if self._is_writing_snapshot or not self._is_snapshot_due():
            return
        index = self.applied_index
        snapshot = Snapshot(
            index=index,
            term=self._state.log.get_term(index),
            configuration=self._state.log.find_configuration(index),
            machine_snapshots=self.take_snapshots(),
        )
        self._is_writing_snapshot = True
        self._applied_bytes = 0
        group.start_soon(self._write_snapshot, snapshot)

    def _is_snapshot_due(self) -> bool:
        applied_count = self.applied_index - self._state.snapshot_index
        limit_bytes = self._settings.snapshot_log_mb * _BYTES_PER_MB
        return (
            applied_count >= self._settings.snapshot_entries
            or self._applied_bytes >= limit_bytes
        )

    async def _write_snapshot(self, snapshot: Snapshot) -> None:
        try:
            written = await self._storage_writer.write_snapshot(
                snapshot,
                self._settings.tail_entries,
                self._settings.tail_mb * _BYTES_PER_MB,
            )
        finally:
            self._is_writing_snapshot = False
        if written:
            events.log(
                _log, ReplicationEvent.SNAPSHOT_TAKEN, index=snapshot.index
            )
