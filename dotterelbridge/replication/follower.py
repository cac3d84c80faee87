"""The follower's side: entries, heartbeats and snapshots of a leader."""

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import VmId
from dotterelbridge.replication.context import Context
from dotterelbridge.replication.election import accepts_message
from dotterelbridge.replication.election import adopt_term
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.messages import AppendReply
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import SnapshotRequest
from dotterelbridge.replication.state import Role
from dotterelbridge.replication.storage import Snapshot

_log = structlog.get_logger(__name__)


class _Incoming:
    """A snapshot that arrives in chunks."""

    def __init__(self, request: SnapshotRequest) -> None:
        self.key = (request.term, request.index, request.total_bytes)
        self.data = bytearray()


class Follower:
    """Takes what the leader of the current term sends."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._state = context.state
        self._incoming: _Incoming | None = None

    async def on_append(
        self, sender: VmId, request: AppendRequest
    ) -> AppendReply | None:
        """Answer an AppendRequest once its entries are synced."""
        if not await self._accept(sender, request):
            return self._refuse_stale(request)
        if not request.entries:
            return self._take_heartbeat(request)
        async with self._context.disk.lock:
            if request.term != self._state.term or self._has_failed():
                return self._reply(success=False)
            return await self._take_entries(request)

    async def on_snapshot(
        self, sender: VmId, request: SnapshotRequest
    ) -> AppendReply | None:
        """Answer a SnapshotRequest; the last chunk installs it."""
        if not await self._accept(sender, request):
            return self._refuse_stale(request)
        if request.index <= self._state.commit_index:
            return self._reply(success=True, match=self._state.commit_index)
        if not self._take_chunk(request):
            return self._reply(success=False)
        if len(self._incoming.data) < request.total_bytes:
            return self._reply(success=True)
        return await self._install(request)

    async def _accept(
        self, sender: VmId, request: AppendRequest | SnapshotRequest
    ) -> bool:
        """Note the leader; False for another life, group or older term."""
        if not accepts_message(self._context, request):
            return False
        if request.term > self._state.term:
            await adopt_term(self._context, request.term)
        if request.term != self._state.term:
            return False
        self._state.hear_leader(request.leader, sender)
        return True

    def _refuse_stale(
        self, request: AppendRequest | SnapshotRequest
    ) -> AppendReply | None:
        if request.to != self._state.member or self._has_failed():
            return None
        return self._reply(success=False)

    def _take_heartbeat(self, request: AppendRequest) -> AppendReply:
        if not self._agrees(request):
            return self._reply(success=False)
        self._commit_up_to(request.commit_index, request.previous_index)
        return self._reply(success=True, match=request.previous_index)

    def _agrees(self, request: AppendRequest) -> bool:
        index = request.previous_index
        if index < self._state.log.base_index:
            return True
        held = self._state.log.term_at(index)
        return index <= self._state.synced_index and (
            held == request.previous_term
        )

    async def _take_entries(self, request: AppendRequest) -> AppendReply:
        self._state.drop_unsynced()
        if not self._agrees(request):
            return self._reply(success=False)
        self._state.check_committed(request.entries)
        new = self._find_new(request.entries)
        if new:
            if new[0].index <= self._state.log.last_index:
                self._truncate(new[0].index)
            await self._context.disk.append_synced(new)
        last = request.entries[-1].index
        self._commit_up_to(request.commit_index, last)
        return self._reply(success=True, match=last)

    def _find_new(self, entries: list[Entry]) -> list[Entry]:
        """Return the entries from the first one on that is not held."""
        log = self._state.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _truncate(self, from_index: LogIndex) -> None:
        self._state.log.truncate(from_index, self._state.commit_index)
        self._state.synced_index = LogIndex(from_index - 1)

    def _commit_up_to(self, leader_commit: LogIndex, agreed: LogIndex) -> None:
        self._state.advance_commit(LogIndex(min(leader_commit, agreed)))

    def _take_chunk(self, request: SnapshotRequest) -> bool:
        if request.offset == 0:
            self._incoming = _Incoming(request)
        incoming = self._incoming
        key = (request.term, request.index, request.total_bytes)
        if incoming is None or incoming.key != key:
            return False
        if len(incoming.data) != request.offset:
            return False
        incoming.data.extend(request.chunk)
        return True

    async def _install(self, request: SnapshotRequest) -> AppendReply:
        data = bytes(self._incoming.data)
        self._incoming = None
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        async with self._context.disk.lock:
            if request.term != self._state.term or self._has_failed():
                return self._reply(success=False)
            if snapshot.index > self._state.commit_index:
                await self._context.disk.install_snapshot(
                    snapshot, self._context.machines.restore
                )
                events.log(
                    _log,
                    ReplicationEvent.SNAPSHOT_INSTALLED,
                    index=snapshot.index,
                )
        return self._reply(success=True, match=self._state.commit_index)

    def _has_failed(self) -> bool:
        return self._state.role is Role.FAILED

    def _reply(self, success: bool, match: LogIndex = NO_INDEX) -> AppendReply:
        return AppendReply(
            member=self._state.member,
            term=self._state.term,
            success=success,
            match_index=match,
            last_index=self._state.synced_index,
        )
