"""State of one member: term, role, log and commit index."""

from datetime import timedelta
import enum

import structlog

from dotterelbridge import events
from dotterelbridge import invariants
from dotterelbridge.clock import Clock
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication import instruments
from dotterelbridge.replication.change_notifier import ChangeNotifier
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entry_log import EntryLog
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import Snapshot
from dotterelbridge.replication.storage import StoredState

_log = structlog.get_logger(__name__)


class Role(enum.Enum):
    """Current role of a member."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The storage failed; the member acknowledges nothing more."""


class MemberState:
    """The volatile and the stored state of one member.

    Hold the lock of the StorageWriter to change the ballot or the stored
    entries.
    """

    def __init__(self, vm: VmId, stored: StoredState, clock: Clock) -> None:
        self.vm = vm
        self.member_id = stored.member_id
        self.role = Role.FOLLOWER
        self.ballot = stored.ballot
        self.leader_vm: VmId | None = None
        self.snapshot_index = LogIndex(0)
        self.log = EntryLog()
        if stored.snapshot:
            self.log = _create_log(stored.snapshot)
            self.snapshot_index = stored.snapshot.index
        self.log.append(stored.entries)
        self.synced_index = self.log.last_index
        self.commit_index = self.log.base_index
        self.led_current_term = (
            self.log.find_term_leader(self.term) == self.member_id
        )
        """Whether this member led the current term before it restarted.
        Its lease ended with its process, and nobody else led the term."""
        # A voter may have heard from a leader just before it restarted, so
        # it must refuse votes for an election timeout after the restart.
        self.leader_heard_at = clock.monotonic()
        """When the last leader message arrived; for an election timeout
        after it, votes are refused."""
        self.election_timer_started_at = self.leader_heard_at
        """When the election timer was last reset."""
        self.voters_heard_at: dict[MemberId, float] = {}
        """When voters were last heard: the last leader, and the voters that
        it reported as silent."""
        self.entries_appended = ChangeNotifier()
        self.commit_index_advanced = ChangeNotifier()
        self.role_changed = ChangeNotifier()
        self._clock = clock
        self._leader_id: MemberId | None = None

    @property
    def term(self) -> Term:
        """The current term."""
        return self.ballot.term

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this member counts towards a majority."""
        return self.configuration.is_voter(self.member_id)

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.role is Role.LEADER

    def set_ballot(self, ballot: Ballot) -> None:
        """Update the term and vote; they must be in the storage already."""
        invariants.check(
            ballot.term > self.term
            or (
                ballot.term == self.term
                and self.ballot.voted_for in (None, ballot.voted_for)
            ),
            "one_vote_a_term",
            old=self.ballot,
            new=ballot,
        )
        if ballot.term > self.term:
            self._leader_id = None
            self.leader_vm = None
            self._set_role(Role.FOLLOWER, "a higher term was seen")
        self.ballot = ballot

    def become_candidate(self) -> None:
        """Become a candidate in the current term."""
        self._set_role(Role.CANDIDATE, "an election started")

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        invariants.check(
            self.role is Role.CANDIDATE and self._leader_id is None,
            "one_leader_a_term",
            term=self.term,
            known=self._leader_id,
        )
        self._leader_id = self.member_id
        self.leader_vm = self.vm
        self._set_role(Role.LEADER, "elected")

    def step_down(self, reason: str) -> None:
        """Become a follower again in the same term."""
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.leader_vm = None
            self._set_role(Role.FOLLOWER, reason)

    def mark_failed(self) -> None:
        """Stop taking part in the group because the storage failed."""
        self.leader_vm = None
        self._set_role(Role.FAILED, "the storage failed")

    def record_leader_message(self, member_id: MemberId, vm: VmId) -> None:
        """Record that a message of the current term's leader arrived."""
        invariants.check(
            self._leader_id in (None, member_id) and not self.is_leader,
            "one_leader_a_term",
            term=self.term,
            known=self._leader_id,
            heard=member_id,
        )
        if self.role is Role.CANDIDATE:
            self._set_role(Role.FOLLOWER, "another candidate won")
        self._leader_id = member_id
        self.leader_vm = vm
        self.leader_heard_at = self._clock.monotonic()
        self.election_timer_started_at = self.leader_heard_at
        self.voters_heard_at[member_id] = self.leader_heard_at

    def record_silences(
        self, leader_id: MemberId, silences_ms: dict[MemberId, int]
    ) -> None:
        """Replace what is known of the voters by a leader's report."""
        now = self._clock.monotonic()
        self.voters_heard_at = {
            member_id: now - silence_ms / 1000
            for member_id, silence_ms in silences_ms.items()
        }
        self.voters_heard_at[leader_id] = now

    def clear_leader(self) -> None:
        """Forget the leader, which was silent for too long."""
        self.leader_vm = None

    def reset_election_timer(self) -> None:
        """Restart the election timeout, as after granting a vote."""
        self.election_timer_started_at = self._clock.monotonic()

    def heard_leader_within(self, duration: timedelta) -> bool:
        """Return whether a leader message arrived within the duration."""
        silence = self._clock.monotonic() - self.leader_heard_at
        return silence < duration.total_seconds()

    def is_log_up_to_date(self, last_index: LogIndex, last_term: Term) -> bool:
        """Return whether a log is at least as up to date as this one.

        :param last_index: index of the last entry of the other log.
        :param last_term: term of that entry.
        """
        return (last_term, last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def advance_commit(self, index: LogIndex) -> None:
        """Raise the commit index; entries must be synced first."""
        if index <= self.commit_index:
            return
        invariants.check(
            index <= self.synced_index,
            "committed_entries_are_synced",
            index=index,
            synced_index=self.synced_index,
        )
        self.commit_index = index
        self.commit_index_advanced.notify()

    def check_committed_entries(self, entries: list[Entry]) -> None:
        """Check that a leader's entries match the committed entries."""
        for entry in entries:
            if entry.index > self.commit_index:
                return
            held_term = self.log.get_term(entry.index)
            invariants.check(
                held_term in (None, entry.term),
                "committed_entries_never_change",
                index=entry.index,
                held_term=held_term,
                offered_term=entry.term,
            )

    def drop_unsynced_entries(self) -> None:
        """Drop entries that were appended as leader but not synced."""
        if self.log.last_index > self.synced_index:
            self.log.truncate(
                LogIndex(self.synced_index + 1), self.commit_index
            )

    def replace_log(self, snapshot: Snapshot) -> None:
        """Replace the log with a snapshot that has been stored."""
        invariants.check(
            snapshot.index > self.commit_index,
            "applied_index_never_falls",
            snapshot_index=snapshot.index,
            commit_index=self.commit_index,
        )
        self.log = _create_log(snapshot)
        self.snapshot_index = snapshot.index
        self.synced_index = snapshot.index
        self.commit_index = snapshot.index

    def _set_role(self, role: Role, reason: str) -> None:
        if role is self.role or self.role is Role.FAILED:
            return
        if self.is_leader:
            events.log(
                _log,
                ReplicationEvent.LEADER_STOPPED,
                term=self.term,
                reason=reason,
            )
        self.role = role
        if role is Role.LEADER:
            instruments.elections.add(1)
            events.log(_log, ReplicationEvent.LEADER_ELECTED, term=self.term)
        self.role_changed.notify()


def _create_log(snapshot: Snapshot) -> EntryLog:
    return EntryLog(snapshot.index, snapshot.term, snapshot.configuration)
