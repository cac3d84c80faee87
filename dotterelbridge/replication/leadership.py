"""One term of leading: replication, commits, the lease, the members."""

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
from dotterelbridge.replication.context import Context
from dotterelbridge.replication.election import adopt_term
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import NO_TERM
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.entries import changes_one_voter
from dotterelbridge.replication.entries import encode_configuration
from dotterelbridge.replication.entries import encode_leader
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.messages import AppendReply
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import HandOverRequest
from dotterelbridge.replication.messages import SnapshotRequest
from dotterelbridge.replication.messages import StatusReply
from dotterelbridge.replication.messages import StatusRequest
from dotterelbridge.replication.signal import Signal
from dotterelbridge.replication.storage import Snapshot

_log = structlog.get_logger(__name__)

_BYTES_PER_KB = 1024
_NEVER = float("-inf")


class _Progress:
    """How far one member has followed."""

    def __init__(self, member: Member, next_index: LogIndex) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.acked_at = _NEVER
        """When the newest message was sent that the member answered."""
        self.probing = True
        """Whether to send no entries before the next answer."""
        self.is_gone = False
        """Whether the VM came back under another identity."""
        self.scope = anyio.CancelScope()


class Pace:
    """Keeps rounds apart, so that more commands share each of them."""

    def __init__(self, context: Context) -> None:
        self._clock = context.clock
        self._interval_s = context.settings.batch_interval_ms / 1000
        self._next_at = _NEVER

    async def wait(self) -> None:
        """Wait until the next round may begin; at once after a pause."""
        wait_s = self._next_at - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(timedelta(seconds=wait_s))
        self._next_at = self._clock.monotonic() + self._interval_s


class Leadership:
    """The leader's work in one term; over when the member steps down."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._state = context.state
        self._term = context.state.term
        self._progress: dict[MemberId, _Progress] = {}
        self._first_index = LogIndex(0)
        self._began_at = context.clock.monotonic()
        self._handing_over = False
        self._acked = Signal()
        self._progress_made = Signal()

    async def run(self) -> None:
        """Lead until the member steps down or its storage fails."""
        self._first_index = self.append(
            EntryKind.NOOP, command=encode_leader(self._state.member)
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._sync_entries)
                group.start_soon(self._tend_members, group)
                group.start_soon(self._check_quorum)
                while self._leads():
                    await self._state.role_changed.wait()
                group.cancel_scope.cancel()
        finally:
            self._acked.notify()

    def append(
        self, kind: EntryKind, machine: str = "", command: bytes = b""
    ) -> LogIndex:
        """Append an entry and return its index; it is sent and synced."""
        entry = Entry(
            index=LogIndex(self._state.log.last_index + 1),
            term=self._term,
            kind=kind,
            machine=machine,
            command=command,
        )
        self._state.log.append([entry])
        self._state.log_grew.notify()
        return entry.index

    def has_lease(self) -> bool:
        """Whether no other leader can exist, and this one is current.

        It is current once an entry of its own term is committed.
        """
        if not self._leads() or self._state.commit_index < self._first_index:
            return False
        if self._handing_over:
            return False
        elapsed = self._context.clock.monotonic() - self._find_lease_start()
        return elapsed < self._context.lease.total_seconds()

    async def wait_lease(self) -> None:
        """Wait until the lease is valid; NotCommitted if leading ends."""
        while not self.has_lease():
            if not self._leads():
                raise NotCommitted(
                    "this VM stopped leading", "ask the new leader"
                )
            await self._acked.wait()

    async def change_configuration(self, new: Configuration) -> LogIndex:
        """Append a configuration and wait for its commit.

        :raises NotCommitted: another change is not committed yet, or more
            than one voter would change.
        """
        self.check_can_change(new)
        index = self.append(
            EntryKind.CONFIGURATION, command=encode_configuration(new)
        )
        await self._context.machines.wait_result(index, self._term)
        events.log(
            _log,
            ReplicationEvent.CONFIGURATION_CHANGED,
            members=msgspec.to_builtins(new.members),
        )
        return index

    def check_can_change(self, new: Configuration) -> None:
        """Raise NotCommitted unless the configuration may be appended."""
        state = self._state
        if not self._leads() or state.commit_index < self._first_index:
            raise NotCommitted("this VM does not lead yet", "try again")
        if state.log.configuration_index > state.commit_index:
            raise NotCommitted(
                "another change of the members is not committed yet",
                "try again after it",
            )
        if not changes_one_voter(state.configuration, new):
            raise NotCommitted(
                "more than one voter would change", "change one at a time"
            )
        if not new.voters():
            raise NotCommitted("no voter would remain", "keep one voter")

    async def transfer_leadership(self) -> None:
        """Commit what is pending, then let the best follower take over.

        Gives up the lease first: no read and no command is taken from
        then on. Leads on if the follower is not elected.
        """
        self._handing_over = True
        try:
            while self._leads():
                progress = self._find_successor()
                if progress is None:
                    return
                if self._holds_all(progress):
                    await self._request_hand_over(progress)
                    return
                await self._acked.wait()
        finally:
            self._handing_over = False

    def find_match(self, member_id: MemberId) -> LogIndex:
        """Return how far a member has followed."""
        if member_id == self._state.member:
            return self._state.synced_index
        progress = self._progress.get(member_id)
        return progress.match_index if progress else LogIndex(0)

    def describe(self) -> dict:
        """Return the leader's view for a dump."""
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

    def _leads(self) -> bool:
        return self._state.leads and self._state.term == self._term

    def _find_successor(self) -> _Progress | None:
        """Return the voter that has followed furthest."""
        voters = [
            progress
            for member_id, progress in self._progress.items()
            if self._state.configuration.is_voter(member_id)
        ]
        return max(voters, key=lambda p: p.match_index, default=None)

    def _holds_all(self, progress: _Progress) -> bool:
        last = self._state.log.last_index
        return progress.match_index == last == self._state.commit_index

    async def _request_hand_over(self, progress: _Progress) -> None:
        request = HandOverRequest(
            log=self._context.log_name,
            group_id=self._state.configuration.group_id,
            to=progress.member.member,
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
            while self._leads():
                await self._state.role_changed.wait()

    # Syncing and committing

    async def _sync_entries(self) -> None:
        """Store appended entries; all that wait go into one sync."""
        limit = self._context.settings.batch_limit_kb * _BYTES_PER_KB
        pace = Pace(self._context)
        while True:
            while self._state.synced_index >= self._state.log.last_index:
                await self._state.log_grew.wait()
            await pace.wait()
            try:
                async with self._context.disk.lock:
                    if not self._leads():
                        return
                    first = LogIndex(self._state.synced_index + 1)
                    entries = self._state.log.read_from(first, limit)
                    await self._context.disk.sync(entries)
            except StorageError:
                return
            self._advance_commit()

    def _advance_commit(self) -> None:
        if not self._leads():
            return
        matches = sorted(
            (
                self.find_match(member.member)
                for member in self._state.configuration.voters()
            ),
            reverse=True,
        )
        agreed = matches[len(matches) // 2]
        agreed = LogIndex(min(agreed, self._state.synced_index))
        # An entry of an earlier term could still be replaced after a
        # majority holds it; one of the own term commits it along.
        if self._state.log.term_at(agreed) == self._term:
            self._state.advance_commit(agreed)
            self._acked.notify()

    # Replication

    async def _replicate(self, progress: _Progress) -> None:
        """Keep one member up to date; the one task for this member."""
        with progress.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_heartbeats, progress)
                await self._send_entries(progress)

    async def _send_heartbeats(self, progress: _Progress) -> None:
        """Keep the member's election timeout from running out.

        Apart from the entries, whose answer waits for the member's disk.
        """
        while True:
            request = self._create_append(progress, progress.match_index, [])
            sent_at = self._context.clock.monotonic()
            reply = await self._exchange(
                progress, request, self._context.heartbeat * 2
            )
            if reply is not None:
                self._note_ack(progress, sent_at)
            elif not self._state.configuration.is_voter(
                progress.member.member
            ):
                await self._check_identity(progress)
            elapsed = self._context.clock.monotonic() - sent_at
            left = self._context.heartbeat.total_seconds() - elapsed
            await self._context.clock.sleep(timedelta(seconds=max(left, 0)))

    async def _check_identity(self, progress: _Progress) -> None:
        """Note a learner whose VM lives under another identity now.

        Its request to join can arrive after that of the later identity.
        """
        request = StatusRequest(log=self._context.log_name)
        try:
            reply = await self._context.network.request(
                progress.member.vm, request, self._context.heartbeat * 2
            )
        except PeerError:
            return
        if not isinstance(reply, StatusReply):
            return
        if reply.member != progress.member.member:
            progress.is_gone = True
            self._progress_made.notify()

    async def _send_entries(self, progress: _Progress) -> None:
        pace = Pace(self._context)
        while True:
            await pace.wait()
            if not await self._send_next(progress):
                progress.probing = True
                await self._context.clock.sleep(self._context.heartbeat / 2)
            await self._wait_entries(progress)

    async def _wait_entries(self, progress: _Progress) -> None:
        while not self._has_more(progress):
            await self._state.log_grew.wait()

    def _has_more(self, progress: _Progress) -> bool:
        return (
            progress.probing
            or progress.next_index <= self._state.log.last_index
        )

    async def _send_next(self, progress: _Progress) -> bool:
        if progress.next_index <= self._state.log.base_index:
            return await self._send_snapshot(progress)
        sent_at = self._context.clock.monotonic()
        previous = LogIndex(progress.next_index - 1)
        entries = [] if progress.probing else self._read_batch(progress)
        reply = await self._exchange(
            progress,
            self._create_append(progress, previous, entries),
            self._context.election_timeout,
        )
        if reply is None:
            return False
        self._note_ack(progress, sent_at)
        progress.probing = not reply.success
        if reply.success:
            self._note_match(progress, reply.match_index)
        else:
            self._step_back(progress, reply.last_index)
        return True

    def _note_ack(self, progress: _Progress, sent_at: float) -> None:
        progress.acked_at = max(progress.acked_at, sent_at)
        self._acked.notify()

    def _read_batch(self, progress: _Progress) -> list[Entry]:
        limit = self._context.settings.batch_limit_kb * _BYTES_PER_KB
        return self._state.log.read_from(progress.next_index, limit)

    def _create_append(
        self, progress: _Progress, previous: LogIndex, entries: list[Entry]
    ) -> AppendRequest:
        if previous < self._state.log.base_index:
            # The member agrees up to here; it only lags behind the base.
            previous = NO_INDEX
        return AppendRequest(
            log=self._context.log_name,
            group_id=self._state.configuration.group_id,
            to=progress.member.member,
            term=self._term,
            leader=self._state.member,
            previous_index=previous,
            previous_term=self._state.log.term_at(previous) or NO_TERM,
            commit_index=self._state.commit_index,
            entries=entries,
        )

    def _note_match(self, progress: _Progress, match: LogIndex) -> None:
        if match > progress.match_index:
            progress.match_index = match
            self._progress_made.notify()
        progress.next_index = LogIndex(progress.match_index + 1)
        self._advance_commit()

    def _step_back(self, progress: _Progress, last_index: LogIndex) -> None:
        previous = LogIndex(progress.next_index - 1)
        progress.next_index = LogIndex(max(1, min(previous, last_index + 1)))

    async def _exchange(
        self,
        progress: _Progress,
        request: AppendRequest | SnapshotRequest,
        timeout: timedelta,
    ) -> AppendReply | None:
        """Send one request; None when no valid answer came."""
        try:
            reply = await self._context.network.request(
                progress.member.vm, request, timeout
            )
        except PeerError:
            return None
        if not isinstance(reply, AppendReply):
            return None
        if reply.member != progress.member.member:
            return None
        if reply.term > self._term:
            await self._adopt(reply.term)
            return None
        return reply if reply.term == self._term else None

    async def _adopt(self, term: Term) -> None:
        try:
            await adopt_term(self._context, term)
        except StorageError:
            return

    async def _send_snapshot(self, progress: _Progress) -> bool:
        snapshot = self._create_snapshot()
        data = msgspec.msgpack.encode(snapshot)
        size = self._context.settings.snapshot_chunk_kb * _BYTES_PER_KB
        for offset in range(0, len(data), size):
            sent_at = self._context.clock.monotonic()
            request = SnapshotRequest(
                log=self._context.log_name,
                group_id=self._state.configuration.group_id,
                to=progress.member.member,
                term=self._term,
                leader=self._state.member,
                index=snapshot.index,
                offset=offset,
                total_bytes=len(data),
                chunk=data[offset : offset + size],
            )
            reply = await self._exchange(
                progress, request, self._context.election_timeout
            )
            if reply is None:
                return False
            self._note_ack(progress, sent_at)
            if not reply.success:
                return False
            if reply.match_index:
                self._note_match(progress, reply.match_index)
                return True
        return True

    def _create_snapshot(self) -> Snapshot:
        """Return the machines' present state.

        Newer than the stored snapshot, and needs no read of the disk.
        """
        index = self._context.machines.applied_index
        return Snapshot(
            index=index,
            term=self._state.log.term_at(index),
            configuration=self._state.log.find_configuration(index),
            machines=self._context.machines.take_snapshots(),
        )

    # The lease and the quorum

    def _find_lease_start(self) -> float:
        """Return when a majority is known to have heard this leader."""
        acked = []
        for member in self._state.configuration.voters():
            if member.member == self._state.member:
                acked.append(self._context.clock.monotonic())
            else:
                progress = self._progress.get(member.member)
                acked.append(progress.acked_at if progress else _NEVER)
        acked.sort(reverse=True)
        return acked[len(acked) // 2]

    async def _check_quorum(self) -> None:
        limit = self._context.election_timeout
        interval = self._context.heartbeat
        while True:
            slept_at = self._context.clock.monotonic()
            await self._context.clock.sleep(interval)
            slept = self._context.clock.monotonic() - slept_at
            if slept > 2 * interval.total_seconds():
                # The event loop was held up; answers may wait unread. The
                # lease has ended by itself, so nothing is at risk.
                continue
            reached_at = max(self._find_lease_start(), self._began_at)
            silence = self._context.clock.monotonic() - reached_at
            if silence > limit.total_seconds():
                events.log(_log, ReplicationEvent.QUORUM_LOST, term=self._term)
                self._state.step_down("no majority was reached")
                return

    # The members

    async def _tend_members(self, group) -> None:
        """Run one task for each member, and give learners their vote.

        A VM whose disk was lost returns under a new identity. It is a
        learner until it holds all that is committed, then a voter, and
        only then its old identity is removed.
        """
        while True:
            self._match_tasks(group)
            with anyio.move_on_after(self._context.heartbeat.total_seconds()):
                await self._progress_made.wait()
            if self._removed_itself():
                self._state.step_down("this member was removed")
                return
            change = self._find_due_change()
            if change is not None:
                await self._try_change(change)

    def _match_tasks(self, group) -> None:
        wanted = {
            member.member: member
            for member in self._state.configuration.members
            if member.member != self._state.member
        }
        for member_id in list(self._progress):
            if member_id not in wanted:
                self._progress.pop(member_id).scope.cancel()
        for member_id, member in wanted.items():
            if member_id not in self._progress:
                next_index = LogIndex(self._state.log.last_index + 1)
                progress = _Progress(member, next_index)
                self._progress[member_id] = progress
                group.start_soon(self._replicate, progress)

    def _removed_itself(self) -> bool:
        state = self._state
        return not state.is_voter and (
            state.log.configuration_index <= state.commit_index
        )

    def _find_due_change(self) -> Configuration | None:
        configuration = self._state.configuration
        superseded = configuration.find_superseded()
        if superseded:
            return configuration.without(superseded.member)
        for member_id, progress in self._progress.items():
            if progress.is_gone and not configuration.is_voter(member_id):
                return configuration.without(member_id)
        grows = self._context.settings.losses_tolerated > 0
        # Where the group grows by itself, a VM that is named as a founder
        # has no better claim than another; one that lost its disk has.
        founders = () if grows else self._context.initial_voters
        for learner in configuration.list_candidate_voters(founders):
            if self.has_caught_up(learner.member):
                return configuration.with_voter(learner.member)
        return self._find_growth(configuration) if grows else None

    def _find_growth(
        self, configuration: Configuration
    ) -> Configuration | None:
        """Return the step towards the wanted number of live voters.

        A silent voter goes only after a learner has taken its vote, so
        that a VM which restarts alone keeps its place.
        """
        wanted = 2 * self._context.settings.losses_tolerated + 1
        voters = configuration.voters()
        silent = [m for m in voters if self._is_silent(m)]
        if len(voters) > wanted and silent:
            return configuration.without(silent[0].member)
        if len(voters) >= wanted + bool(silent):
            return None
        for member in configuration.members:
            if not member.voter and self.has_caught_up(member.member):
                return configuration.with_voter(member.member)
        return None

    def _is_silent(self, member: Member) -> bool:
        if member.member == self._state.member:
            return False
        progress = self._progress.get(member.member)
        acked_at = progress.acked_at if progress else _NEVER
        heard_at = max(acked_at, self._began_at)
        limit_s = self._context.settings.silent_voter_ms / 1000
        return self._context.clock.monotonic() - heard_at > limit_s

    def has_caught_up(self, member_id: MemberId) -> bool:
        """Return whether a member holds all that is committed."""
        return self.find_match(member_id) >= self._state.commit_index

    async def _try_change(self, change: Configuration) -> None:
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
        """Add a member that holds nothing yet and does not vote."""
        if self._state.configuration.find(member_id) is None:
            await self.change_configuration(
                self._state.configuration.with_learner(member_id, vm)
            )

    @property
    def patience(self) -> timedelta:
        """How long a change of the members may take to commit."""
        return self._context.election_timeout * 4
