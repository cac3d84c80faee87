"""Access to a member's storage from the event loop.

Writes run in a worker thread, so that a slow sync does not block the
event loop. A failed write is final: the member acknowledges nothing more.
"""

from collections.abc import Callable
from collections.abc import Sequence

import anyio
from anyio import to_thread
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.replication import instruments
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import LogStorage
from dotterelbridge.replication.storage import Snapshot

_log = structlog.get_logger(__name__)


class StorageWriter:
    """Serializes the writes of one member and updates its state after them.

    Hold ``lock`` around every change of the ballot and the entries. The
    methods are shielded from cancellation, because the state in memory and
    on disk must not diverge.
    """

    def __init__(
        self,
        storage: LogStorage,
        state: MemberState,
        snapshot: Snapshot | None,
        clock: Clock,
    ) -> None:
        self.lock = anyio.Lock()
        self.storage = storage
        self.snapshot = snapshot
        """The snapshot that was stored when the member started."""
        self._snapshot_lock = anyio.Lock()
        self._state = state
        self._clock = clock

    async def write_ballot(self, ballot: Ballot) -> None:
        """Store a term and vote, then update the member's state."""
        with anyio.CancelScope(shield=True):
            await self._run_write(self.storage.write_ballot, ballot)
            self._state.set_ballot(ballot)

    async def append_entries(self, entries: Sequence[Entry]) -> None:
        """Store entries, then add them to the log."""
        with anyio.CancelScope(shield=True):
            await self._run_write(self.storage.append, entries)
            self._state.log.append(entries)
            self._state.synced_index = entries[-1].index
        self._state.entries_appended.notify()

    async def sync_entries(self, entries: Sequence[Entry]) -> None:
        """Store entries that are already in the log in memory."""
        with anyio.CancelScope(shield=True):
            await self._run_write(self.storage.append, entries)
            self._state.synced_index = entries[-1].index

    async def write_snapshot(
        self, snapshot: Snapshot, tail_entries: int, tail_bytes: int
    ) -> bool:
        """Store a snapshot of this member and trim the log before it.

        The tail is what the log in memory keeps before the snapshot's
        index. Returns False if a newer snapshot is already stored.
        """
        with anyio.CancelScope(shield=True):
            async with self._snapshot_lock:
                if snapshot.index <= self._state.snapshot_index:
                    return False
                await self._run_write(self.storage.write_snapshot, snapshot)
                self._state.snapshot_index = snapshot.index
            async with self.lock:
                keep_from = LogIndex(snapshot.index + 1)
                await self._run_write(self.storage.trim, keep_from)
                self._state.log.trim_to_tail(
                    snapshot.index, tail_entries, tail_bytes
                )
        return True

    async def install_snapshot(
        self, snapshot: Snapshot, restore: Callable[[Snapshot], None]
    ) -> None:
        """Replace the whole log with a leader's snapshot.

        :param restore: replaces the state of the state machines without
            yielding to the event loop, so that no task sees a log that
            lacks entries which are still to be applied.
        """
        with anyio.CancelScope(shield=True):
            async with self._snapshot_lock:
                await self._run_write(self.storage.write_snapshot, snapshot)
                await self._run_write(self.storage.reset)
                self._state.replace_log(snapshot)
                restore(snapshot)

    async def _run_write(self, write: Callable, *arguments: object) -> None:
        began_at = self._clock.monotonic()
        try:
            if self.storage.blocking:
                await to_thread.run_sync(write, *arguments)
            else:
                write(*arguments)
            instruments.writes.record(
                self._clock.monotonic() - began_at, {"what": write.__name__}
            )
        except (StorageError, OSError) as error:
            events.log(_log, ReplicationEvent.STORAGE_FAILED, error=str(error))
            self._state.mark_failed()
            raise StorageError(
                f"storage failed: {error}",
                "free space or replace the disk; restart the daemon if it "
                "does not go on",
            ) from error
