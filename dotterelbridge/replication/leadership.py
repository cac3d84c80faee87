"""The leader's work: replication, commits, lease and group members."""

from datetime import timedelta

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.change_notifier import ChangeNotifier
from dotterelbridge.replication.context import MemberContext
from dotterelbridge.replication.election import adopt_term
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import NO_TERM
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.entries import changes_at_most_one_voter
from dotterelbridge.replication.entries import encode_configuration
from dotterelbridge.replication.entries import encode_leader
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.member_changes import MemberChanges
from dotterelbridge.replication.member_changes import MemberObserver
from dotterelbridge.replication.messages import AppendReply
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import HandOverRequest
from dotterelbridge.replication.messages import SnapshotRequest
from dotterelbridge.replication.messages import StatusReply
from dotterelbridge.replication.messages import StatusRequest
from dotterelbridge.replication.storage import Snapshot

_log = structlog.get_logger(__name__)

_BYTES_PER_KB = 1024
_NEVER = float("-inf")
_LEARNER_SILENCE_COUNT = 3
"""Periods of silent_voter_ms after which a silent learner is removed. A
learner costs only messages, and may be a voter that is still away."""


class _MemberProgress:
    """Replication progress of one member."""

    def __init__(
        self, member: Member, next_index: LogIndex, added_at: float
    ) -> None:
        self.member = member
        self.added_at = added_at
        """When the leader began to send messages to the member."""
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.acked_at = _NEVER
        """When the newest message that the member acknowledged was sent."""
        self.round_started_at = _NEVER
        self.round_index = LogIndex(0)
        """What was committed then; the round ends when the member holds it."""
        self.caught_up_at = _NEVER
        """Start of the newest round that has ended."""
        self.probing = True
        """Whether to send no entries until the logs are known to match."""
        self.identity_changed = False
        """Whether the VM came back with another member id."""
        self.scope = anyio.CancelScope()


class BatchPacer:
    """Spaces batches in time, so that each holds more commands."""

    def __init__(self, context: MemberContext) -> None:
        self._clock = context.clock
        self._interval_s = context.settings.batch_interval_ms / 1000
        self._next_at = _NEVER

    async def wait(self) -> None:
        """Wait until the interval since the last batch has passed."""
        wait_s = self._next_at - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(timedelta(seconds=wait_s))
        self._next_at = self._clock.monotonic() + self._interval_s


class Leadership(MemberObserver):
    """The leader's work in one term; ends when the member steps down."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._state = context.state
        self._term = context.state.term
        self._progress: dict[MemberId, _MemberProgress] = {}
        self._first_index = LogIndex(0)
        self._started_at = context.clock.monotonic()
        self._heard_before = dict(context.state.voters_heard_at)
        """When members were last heard before this term."""
        self._is_transferring = False
        self._member_changes = MemberChanges(
            self,
            context.settings.losses_tolerated,
            context.initial_voters,
        )
        self._ack_received = ChangeNotifier()
        self._progress_changed = ChangeNotifier()

    async def run(self) -> None:
        """Lead until the member steps down or its storage fails."""
        self._first_index = self.append(
            EntryKind.NOOP, command=encode_leader(self._state.member_id)
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._sync_entries)
                group.start_soon(self._manage_members, group)
                group.start_soon(self._check_quorum)
                while self._is_leading():
                    await self._state.role_changed.wait()
                group.cancel_scope.cancel()
        finally:
            self._ack_received.notify()

    def append(
        self, kind: EntryKind, machine_name: str = "", command: bytes = b""
    ) -> LogIndex:
        """Append an entry and return its index.

        Other tasks sync it and send it to the members.
        """
        entry = Entry(
            index=LogIndex(self._state.log.last_index + 1),
            term=self._term,
            kind=kind,
            machine_name=machine_name,
            command=command,
        )
        self._state.log.append([entry])
        self._state.entries_appended.notify()
        return entry.index

    def has_lease(self) -> bool:
        """Return whether this leader may serve reads and commands.

        No other leader can exist while the lease runs, and the commit
        index is current once an entry of this term is committed.
        """
        if (
            not self._is_leading()
            or self._state.commit_index < self._first_index
        ):
            return False
        if self._is_transferring:
            return False
        elapsed = (
            self._context.clock.monotonic() - self._find_quorum_ack_time()
        )
        return elapsed < self._context.lease_duration.total_seconds()

    async def wait_for_lease(self) -> None:
        """Wait until the lease is valid.

        :raises NotCommitted: this member stopped leading.
        """
        while not self.has_lease():
            if not self._is_leading():
                raise NotCommitted(
                    "this VM stopped leading", "ask the new leader"
                )
            await self._ack_received.wait()

    async def change_configuration(self, new: Configuration) -> LogIndex:
        """Append a configuration and wait until it is committed.

        :raises NotCommitted: another change is not committed yet, or more
            than one voter would change.
        """
        self.check_can_change(new)
        index = self.append(
            EntryKind.CONFIGURATION, command=encode_configuration(new)
        )
        await self._context.entry_applier.wait_for_result(index, self._term)
        events.log(
            _log,
            ReplicationEvent.CONFIGURATION_CHANGED,
            members=msgspec.to_builtins(new.members),
        )
        return index

    def check_can_change(self, new: Configuration) -> None:
        """Raise NotCommitted unless the configuration may be appended."""
        state = self._state
        if not self._is_leading() or state.commit_index < self._first_index:
            raise NotCommitted("this VM does not lead yet", "try again")
        if state.log.configuration_index > state.commit_index:
            raise NotCommitted(
                "another change of the members is not committed yet",
                "try again after it",
            )
        if not changes_at_most_one_voter(state.configuration, new):
            raise NotCommitted(
                "more than one voter would change", "change one at a time"
            )
        if not new.list_voters():
            raise NotCommitted("no voter would remain", "keep one voter")

    async def transfer_leadership(self) -> None:
        """Commit pending entries, then let the best follower be elected.

        Gives up the lease first, so that no more reads and commands are
        accepted. Continues to lead if the follower is not elected.
        """
        self._is_transferring = True
        try:
            while self._is_leading():
                progress = self._find_successor()
                if progress is None:
                    return
                if self._is_fully_replicated(progress):
                    await self._request_transfer(progress)
                    return
                await self._ack_received.wait()
        finally:
            self._is_transferring = False

    def get_match_index(self, member_id: MemberId) -> LogIndex:
        """Return the last index known to be synced on a member."""
        if member_id == self._state.member_id:
            return self._state.synced_index
        progress = self._progress.get(member_id)
        return progress.match_index if progress else LogIndex(0)

    def describe(self) -> dict:
        """Return the leader's view of the members for a state dump."""
        now = self._context.clock.monotonic()
        return {
            "has_lease": self.has_lease(),
            "members": {
                member_id: {
                    "vm": progress.member.vm,
                    "voter": self._state.configuration.is_voter(member_id),
                    "match_index": progress.match_index,
                    "next_index": progress.next_index,
                    "silent_s": (
                        None
                        if progress.acked_at == _NEVER
                        else round(now - progress.acked_at, 3)
                    ),
                }
                for member_id, progress in self._progress.items()
            },
        }

    def _is_leading(self) -> bool:
        return self._state.is_leader and self._state.term == self._term

    def _find_successor(self) -> _MemberProgress | None:
        """Return the voter that answers and has the most entries synced."""
        voters = [
            progress
            for member_id, progress in self._progress.items()
            if self._state.configuration.is_voter(member_id)
            and self._answers(member_id)
        ]
        return max(voters, key=lambda p: p.match_index, default=None)

    def _is_fully_replicated(self, progress: _MemberProgress) -> bool:
        last = self._state.log.last_index
        return progress.match_index == last == self._state.commit_index

    async def _request_transfer(self, progress: _MemberProgress) -> None:
        request = HandOverRequest(
            log_name=self._context.log_name,
            group_id=self._state.configuration.group_id,
            recipient_id=progress.member.member_id,
            term=self._term,
        )
        timeout = self._context.election_timeout
        try:
            await self._context.network.request(
                progress.member.vm, request, timeout
            )
        except PeerError:
            return
        with anyio.move_on_after(timeout.total_seconds()):
            while self._is_leading():
                await self._state.role_changed.wait()

    # Syncing and committing

    async def _sync_entries(self) -> None:
        """Store appended entries, as many as fit the batch limit per sync."""
        limit_bytes = self._context.settings.batch_limit_kb * _BYTES_PER_KB
        pacer = BatchPacer(self._context)
        while True:
            while self._state.synced_index >= self._state.log.last_index:
                await self._state.entries_appended.wait()
            await pacer.wait()
            try:
                async with self._context.storage_writer.lock:
                    if not self._is_leading():
                        return
                    first = LogIndex(self._state.synced_index + 1)
                    entries = self._state.log.read_entries(first, limit_bytes)
                    await self._context.storage_writer.sync_entries(entries)
            except StorageError:
                return
            self._advance_commit_index()

    def _advance_commit_index(self) -> None:
        if not self._is_leading():
            return
        matches = sorted(
            (
                self.get_match_index(member.member_id)
                for member in self._state.configuration.list_voters()
            ),
            reverse=True,
        )
        quorum_index = matches[len(matches) // 2]
        quorum_index = LogIndex(min(quorum_index, self._state.synced_index))
        # An entry of an earlier term may still be replaced even if a
        # majority holds it. Committing an entry of the own term commits it
        # as well.
        if self._state.log.get_term(quorum_index) == self._term:
            self._state.advance_commit(quorum_index)
            self._ack_received.notify()

    # Replication

    async def _replicate(self, progress: _MemberProgress) -> None:
        """Replicate the log to one member; one such task runs per member."""
        with progress.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_heartbeats, progress)
                await self._send_entries(progress)

    async def _send_heartbeats(self, progress: _MemberProgress) -> None:
        """Keep the member's election timeout from expiring.

        Heartbeats are separate from entries, which are acknowledged only
        after the member's disk has synced them. The next one does not wait
        for the reply to the last one, so that a member that is slow to reply
        still acknowledges one in each interval.
        """
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(self._send_heartbeat, progress)
                await self._context.clock.sleep(
                    self._context.heartbeat_interval
                )

    async def _send_heartbeat(self, progress: _MemberProgress) -> None:
        request = self._create_append(progress, progress.match_index, [])
        sent_at = self._context.clock.monotonic()
        reply = await self._send_request(
            progress, request, self._context.election_timeout
        )
        if reply is not None:
            self._record_ack(progress, sent_at)
        elif not self._state.configuration.is_voter(progress.member.member_id):
            await self._check_identity(progress)

    async def _check_identity(self, progress: _MemberProgress) -> None:
        """Check whether the VM of a learner now has another member id.

        The learner's join request can arrive after the request that the
        VM sent with its newer id.
        """
        request = StatusRequest(log_name=self._context.log_name)
        try:
            reply = await self._context.network.request(
                progress.member.vm,
                request,
                self._context.heartbeat_interval * 2,
            )
        except PeerError:
            return
        if not isinstance(reply, StatusReply):
            return
        if reply.member_id != progress.member.member_id:
            progress.identity_changed = True
            self._progress_changed.notify()

    async def _send_entries(self, progress: _MemberProgress) -> None:
        pacer = BatchPacer(self._context)
        while True:
            await pacer.wait()
            if not await self._send_next_batch(progress):
                progress.probing = True
                await self._context.clock.sleep(
                    self._context.heartbeat_interval / 2
                )
            await self._wait_for_entries(progress)

    async def _wait_for_entries(self, progress: _MemberProgress) -> None:
        while not self._has_entries_to_send(progress):
            await self._state.entries_appended.wait()

    def _has_entries_to_send(self, progress: _MemberProgress) -> bool:
        return (
            progress.probing
            or progress.next_index <= self._state.log.last_index
        )

    async def _send_next_batch(self, progress: _MemberProgress) -> bool:
        if progress.next_index <= self._state.log.base_index:
            return await self._send_snapshot(progress)
        sent_at = self._context.clock.monotonic()
        previous = LogIndex(progress.next_index - 1)
        entries = [] if progress.probing else self._read_batch(progress)
        reply = await self._send_request(
            progress,
            self._create_append(progress, previous, entries),
            self._context.election_timeout,
        )
        if reply is None:
            return False
        self._record_ack(progress, sent_at)
        progress.probing = not reply.success
        if reply.success:
            self._record_match(progress, reply.match_index)
        else:
            self._decrease_next_index(progress, reply.last_index)
        return True

    def _record_ack(self, progress: _MemberProgress, sent_at: float) -> None:
        progress.acked_at = max(progress.acked_at, sent_at)
        self._ack_received.notify()

    def _read_batch(self, progress: _MemberProgress) -> list[Entry]:
        limit_bytes = self._context.settings.batch_limit_kb * _BYTES_PER_KB
        return self._state.log.read_entries(progress.next_index, limit_bytes)

    def _create_append(
        self,
        progress: _MemberProgress,
        previous: LogIndex,
        entries: list[Entry],
    ) -> AppendRequest:
        if previous < self._state.log.base_index:
            # The logs match up to here, but the entry was trimmed; a zero
            # index always matches.
            previous = NO_INDEX
        return AppendRequest(
            log_name=self._context.log_name,
            group_id=self._state.configuration.group_id,
            recipient_id=progress.member.member_id,
            term=self._term,
            leader_id=self._state.member_id,
            previous_index=previous,
            previous_term=self._state.log.get_term(previous) or NO_TERM,
            commit_index=self._state.commit_index,
            entries=entries,
            silences_ms=self._list_silences_ms(),
        )

    def _record_match(
        self, progress: _MemberProgress, match: LogIndex
    ) -> None:
        if match > progress.match_index:
            progress.match_index = match
            self._update_round(progress)
            self._progress_changed.notify()
        progress.next_index = LogIndex(progress.match_index + 1)
        self._advance_commit_index()

    def _update_round(self, progress: _MemberProgress) -> None:
        """End the round of catching up if the member holds its entries."""
        if progress.match_index >= progress.round_index:
            progress.caught_up_at = progress.round_started_at
            progress.round_started_at = self._context.clock.monotonic()
            # What earlier leaders committed lies before the first entry; the
            # commit index may be older until that entry is committed.
            progress.round_index = max(
                self._state.commit_index, self._first_index
            )

    def _decrease_next_index(
        self, progress: _MemberProgress, last_index: LogIndex
    ) -> None:
        previous = LogIndex(progress.next_index - 1)
        progress.next_index = LogIndex(max(1, min(previous, last_index + 1)))

    async def _send_request(
        self,
        progress: _MemberProgress,
        request: AppendRequest | SnapshotRequest,
        timeout: timedelta,
    ) -> AppendReply | None:
        """Send one request; None if no valid reply arrived."""
        try:
            reply = await self._context.network.request(
                progress.member.vm, request, timeout
            )
        except PeerError:
            return None
        if not isinstance(reply, AppendReply):
            return None
        if reply.member_id != progress.member.member_id:
            return None
        if reply.term > self._term:
            await self._adopt_term(reply.term)
            return None
        return reply if reply.term == self._term else None

    async def _adopt_term(self, term: Term) -> None:
        try:
            await adopt_term(self._context, term)
        except StorageError:
            return

    async def _send_snapshot(self, progress: _MemberProgress) -> bool:
        snapshot = self._create_snapshot()
        data = msgspec.msgpack.encode(snapshot)
        size = self._context.settings.snapshot_chunk_kb * _BYTES_PER_KB
        for offset in range(0, len(data), size):
            sent_at = self._context.clock.monotonic()
            request = SnapshotRequest(
                log_name=self._context.log_name,
                group_id=self._state.configuration.group_id,
                recipient_id=progress.member.member_id,
                term=self._term,
                leader_id=self._state.member_id,
                index=snapshot.index,
                offset=offset,
                total_bytes=len(data),
                chunk=data[offset : offset + size],
            )
            reply = await self._send_request(
                progress, request, self._context.election_timeout
            )
            if reply is None:
                return False
            self._record_ack(progress, sent_at)
            if not reply.success:
                return False
            if reply.match_index:
                self._record_match(progress, reply.match_index)
                return True
        return True

    def _create_snapshot(self) -> Snapshot:
        """Return a snapshot of the current state of the state machines.

        It is newer than the stored one and needs no disk read.
        """
        index = self._context.entry_applier.applied_index
        return Snapshot(
            index=index,
            term=self._state.log.get_term(index),
            configuration=self._state.log.find_configuration(index),
            machine_snapshots=self._context.entry_applier.take_snapshots(),
        )

    # The lease and the quorum

    def _find_quorum_ack_time(self) -> float:
        """Return when messages were sent that a majority acknowledged.

        The lease starts at this time.
        """
        acked_at = []
        for member in self._state.configuration.list_voters():
            if member.member_id == self._state.member_id:
                acked_at.append(self._context.clock.monotonic())
            else:
                progress = self._progress.get(member.member_id)
                acked_at.append(progress.acked_at if progress else _NEVER)
        acked_at.sort(reverse=True)
        return acked_at[len(acked_at) // 2]

    async def _check_quorum(self) -> None:
        limit = self._context.election_timeout
        interval = self._context.heartbeat_interval
        while True:
            slept_at = self._context.clock.monotonic()
            await self._context.clock.sleep(interval)
            slept = self._context.clock.monotonic() - slept_at
            if slept > 2 * interval.total_seconds():
                # The event loop was blocked, so replies may be unread. This
                # is safe, because the lease expires by itself.
                continue
            reached_at = max(self._find_quorum_ack_time(), self._started_at)
            silence = self._context.clock.monotonic() - reached_at
            if silence > limit.total_seconds():
                events.log(_log, ReplicationEvent.QUORUM_LOST, term=self._term)
                self._state.step_down("no majority was reached")
                return

    # The members

    async def _manage_members(self, group) -> None:
        """Run one task per member and change the configuration as needed.

        A VM whose disk was lost comes back with a new member id. It is a
        learner until it has caught up. Then the member with its old id
        loses its vote, the learner gets one, and the old member is removed.
        """
        while True:
            self._update_replication_tasks(group)
            with anyio.move_on_after(
                self._context.heartbeat_interval.total_seconds()
            ):
                await self._progress_changed.wait()
            if self._is_removed():
                self._state.step_down("this member was removed")
                return
            change = self._member_changes.find_next(self._state.configuration)
            if change is not None:
                await self._try_change_configuration(change)

    def _update_replication_tasks(self, group) -> None:
        members = {
            member.member_id: member
            for member in self._state.configuration.members
            if member.member_id != self._state.member_id
        }
        for member_id in list(self._progress):
            if member_id not in members:
                self._progress.pop(member_id).scope.cancel()
        for member_id, member in members.items():
            if member_id not in self._progress:
                next_index = LogIndex(self._state.log.last_index + 1)
                added_at = self._context.clock.monotonic()
                progress = _MemberProgress(member, next_index, added_at)
                self._progress[member_id] = progress
                group.start_soon(self._replicate, progress)

    def _is_removed(self) -> bool:
        state = self._state
        return not state.is_voter and (
            state.log.configuration_index <= state.commit_index
        )

    def has_ended(self, member_id: MemberId) -> bool:
        """Return whether the VM of a learner answers with another id."""
        progress = self._progress.get(member_id)
        return progress is not None and progress.identity_changed

    def is_voter_silent(self, member_id: MemberId) -> bool:
        """Return whether a voter was silent long enough to be replaced."""
        # A new leader gives voters that it knew as silent time to answer.
        elapsed = self._context.clock.monotonic() - self._started_at
        if elapsed <= self._context.election_timeout.total_seconds():
            return False
        limit_s = self._context.settings.silent_voter_ms / 1000
        return self._measure_silence_s(member_id) > limit_s

    def _measure_silence_s(self, member_id: MemberId) -> float:
        """Return for how long a member was not heard by any leader.

        A new leader knows since when its predecessor is silent, and which
        voters this one reported; for other members its own term counts.
        """
        now = self._context.clock.monotonic()
        if member_id == self._state.member_id:
            return 0.0
        progress = self._progress.get(member_id)
        acked_at = progress.acked_at if progress else _NEVER
        started_at = self._heard_before.get(member_id, self._started_at)
        return now - max(acked_at, started_at)

    def is_learner_silent(self, member_id: MemberId) -> bool:
        """Return whether a learner was silent long enough to be removed."""
        progress = self._progress.get(member_id)
        if progress is None:
            return False
        limit_ms = self._context.settings.silent_voter_ms
        limit_s = limit_ms * _LEARNER_SILENCE_COUNT / 1000
        heard_at = max(progress.acked_at, progress.added_at)
        return self._context.clock.monotonic() - heard_at > limit_s

    def _list_silences_ms(self) -> dict[MemberId, int]:
        """Return the silences that the next leader should know of."""
        limit_s = self._context.election_timeout.total_seconds()
        silences_s = {
            member.member_id: self._measure_silence_s(member.member_id)
            for member in self._state.configuration.list_voters()
        }
        return {
            member_id: int(silence_s * 1000)
            for member_id, silence_s in silences_s.items()
            if silence_s > limit_s
        }

    def has_caught_up(self, member_id: MemberId) -> bool:
        """Return whether a member answers and is close behind the commits.

        A member that is gone still holds all entries while nothing is
        committed. Under load a slow one never holds the newest; it is close
        enough if it holds what was committed an election timeout ago, as a
        commit needs a majority that holds the entry in any case.
        """
        if not self._answers(member_id):
            return False
        if self.get_match_index(member_id) >= self._state.commit_index:
            return True
        progress = self._progress[member_id]
        lag_s = self._context.clock.monotonic() - progress.caught_up_at
        return lag_s <= self._context.election_timeout.total_seconds()

    def _answers(self, member_id: MemberId) -> bool:
        """Return whether a member acknowledged a recent message."""
        progress = self._progress.get(member_id)
        if progress is None:
            return member_id == self._state.member_id
        elapsed = self._context.clock.monotonic() - progress.acked_at
        return elapsed <= self._context.election_timeout.total_seconds()

    async def _try_change_configuration(self, change: Configuration) -> None:
        try:
            self.check_can_change(change)
        except NotCommitted:
            return
        self.append(
            EntryKind.CONFIGURATION, command=encode_configuration(change)
        )
        events.log(
            _log,
            ReplicationEvent.CONFIGURATION_CHANGED,
            members=msgspec.to_builtins(change.members),
        )

    async def add_learner(self, member_id: MemberId, vm: VmId) -> None:
        """Add a member that has no entries yet and does not vote."""
        if self._state.configuration.find_member(member_id) is None:
            await self.change_configuration(
                self._state.configuration.with_learner(member_id, vm)
            )

    @property
    def configuration_change_timeout(self) -> timedelta:
        """How long a configuration change may take to commit."""
        return self._context.election_timeout * 4
