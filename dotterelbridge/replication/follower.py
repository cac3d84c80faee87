"""Handles entries, heartbeats and snapshots that a leader sends."""

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import VmId
from dotterelbridge.replication.context import MemberContext
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


class _IncomingSnapshot:
    """A snapshot that arrives in chunks."""

    def __init__(self, request: SnapshotRequest) -> None:
        self.key = (request.term, request.index, request.total_bytes)
        self.data = bytearray()


class Follower:
    """Handles the messages of the leader of the current term."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._state = context.state
        self._incoming_snapshot: _IncomingSnapshot | None = None

    async def handle_append(
        self, sender: VmId, request: AppendRequest
    ) -> AppendReply | None:
        """Answer an AppendRequest once its entries are synced."""
        if not await self._accept_leader(sender, request):
            return self._refuse_stale(request)
        self._state.record_silences(request.leader_id, request.silences_ms)
        if not request.entries:
            return self._handle_heartbeat(request)
        async with self._context.storage_writer.lock:
            if request.term != self._state.term or self._has_failed():
                return self._create_reply(success=False)
            return await self._append_entries(request)

    async def handle_snapshot(
        self, sender: VmId, request: SnapshotRequest
    ) -> AppendReply | None:
        """Answer a SnapshotRequest; the last chunk installs it."""
        if not await self._accept_leader(sender, request):
            return self._refuse_stale(request)
        if request.index <= self._state.commit_index:
            return self._create_reply(
                success=True, match_index=self._state.commit_index
            )
        if not self._add_snapshot_chunk(request):
            return self._create_reply(success=False)
        if len(self._incoming_snapshot.data) < request.total_bytes:
            return self._create_reply(success=True)
        return await self._install_snapshot(request)

    async def _accept_leader(
        self, sender: VmId, request: AppendRequest | SnapshotRequest
    ) -> bool:
        """Record the leader.

        False for another recipient or group, or for an older term.
        """
        if not accepts_message(self._context, request):
            return False
        if request.term > self._state.term:
            await adopt_term(self._context, request.term)
        if request.term != self._state.term:
            return False
        self._state.record_leader_message(request.leader_id, sender)
        return True

    def _refuse_stale(
        self, request: AppendRequest | SnapshotRequest
    ) -> AppendReply | None:
        if request.recipient_id != self._state.member_id or self._has_failed():
            return None
        return self._create_reply(success=False)

    def _handle_heartbeat(self, request: AppendRequest) -> AppendReply:
        if not self._has_previous_entry(request):
            return self._create_reply(success=False)
        self._advance_commit_index(
            request.commit_index, request.previous_index
        )
        return self._create_reply(
            success=True, match_index=request.previous_index
        )

    def _has_previous_entry(self, request: AppendRequest) -> bool:
        index = request.previous_index
        if index < self._state.log.base_index:
            return True
        held_term = self._state.log.get_term(index)
        return index <= self._state.synced_index and (
            held_term == request.previous_term
        )

    async def _append_entries(self, request: AppendRequest) -> AppendReply:
        self._state.drop_unsynced_entries()
        if not self._has_previous_entry(request):
            return self._create_reply(success=False)
        self._state.check_committed_entries(request.entries)
        new_entries = self._find_new_entries(request.entries)
        if new_entries:
            if new_entries[0].index <= self._state.log.last_index:
                self._truncate(new_entries[0].index)
            await self._context.storage_writer.append_entries(new_entries)
        last_index = request.entries[-1].index
        self._advance_commit_index(request.commit_index, last_index)
        return self._create_reply(success=True, match_index=last_index)

    def _find_new_entries(self, entries: list[Entry]) -> list[Entry]:
        """Return the entries from the first one on that the log lacks."""
        log = self._state.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            if log.get_term(entry.index) != entry.term:
                return entries[position:]
        return []

    def _truncate(self, from_index: LogIndex) -> None:
        self._state.log.truncate(from_index, self._state.commit_index)
        self._state.synced_index = LogIndex(from_index - 1)

    def _advance_commit_index(
        self, leader_commit_index: LogIndex, matched_index: LogIndex
    ) -> None:
        self._state.advance_commit(
            LogIndex(min(leader_commit_index, matched_index))
        )

    def _add_snapshot_chunk(self, request: SnapshotRequest) -> bool:
        if request.offset == 0:
            self._incoming_snapshot = _IncomingSnapshot(request)
        incoming = self._incoming_snapshot
        key = (request.term, request.index, request.total_bytes)
        if incoming is None or incoming.key != key:
            return False
        if len(incoming.data) != request.offset:
            return False
        incoming.data.extend(request.chunk)
        return True

    async def _install_snapshot(self, request: SnapshotRequest) -> AppendReply:
        data = bytes(self._incoming_snapshot.data)
        self._incoming_snapshot = None
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        async with self._context.storage_writer.lock:
            if request.term != self._state.term or self._has_failed():
                return self._create_reply(success=False)
            if snapshot.index > self._state.commit_index:
                await self._context.storage_writer.install_snapshot(
                    snapshot, self._context.entry_applier.restore
                )
                events.log(
                    _log,
                    ReplicationEvent.SNAPSHOT_INSTALLED,
                    index=snapshot.index,
                )
        return self._create_reply(
            success=True, match_index=self._state.commit_index
        )

    def _has_failed(self) -> bool:
        return self._state.role is Role.FAILED

    def _create_reply(
        self, success: bool, match_index: LogIndex = NO_INDEX
    ) -> AppendReply:
        return AppendReply(
            member_id=self._state.member_id,
            term=self._state.term,
            success=success,
            match_index=match_index,
            last_index=self._state.synced_index,
        )
