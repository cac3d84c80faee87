"""What one member knows: term, role, log, and how far it is committed."""

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
    """Role of a member at a moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The storage failed; the member acknowledges nothing more."""


class MemberState:
    """The aggregate of one member's volatile and stored state.

    Only code that holds the disk's lock changes the ballot or the entries
    that are stored.
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
        """Whether this member's process led the current term when it
        ended: its lease ended with it, and nobody else led that term."""
        # A restarted voter may have heard from a leader just before; its
        # promise to refuse votes for a while outlives the restart.
        self.leader_heard_at = clock.monotonic()
        """When a leader was heard last; votes are refused for a while."""
        self.election_timer_started_at = self.leader_heard_at
        """When the election timeout began to run."""
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
        """Whether this member counts for a majority."""
        return self.configuration.is_voter(self.member_id)

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""
        return self.role is Role.LEADER

    def set_ballot(self, ballot: Ballot) -> None:
        """Take over a ballot that was stored."""
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
        """Start to collect votes in the current term."""
        self._set_role(Role.CANDIDATE, "an election started")

    def become_leader(self) -> None:
        """Lead the current term."""
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
        """Stop leading or collecting votes; the term stays."""
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.leader_vm = None
            self._set_role(Role.FOLLOWER, reason)

    def mark_failed(self) -> None:
        """Take no further part: the storage failed."""
        self.leader_vm = None
        self._set_role(Role.FAILED, "the storage failed")

    def record_leader_message(self, member_id: MemberId, vm: VmId) -> None:
        """Note a message of the current term's leader."""
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

    def clear_leader(self) -> None:
        """Note that the leader was silent for too long."""
        self.leader_vm = None

    def reset_election_timer(self) -> None:
        """Start the election timeout anew, as after granting a vote."""
        self.election_timer_started_at = self._clock.monotonic()

    def heard_leader_within(self, duration: timedelta) -> bool:
        """Return whether a leader was heard lately."""
        silence = self._clock.monotonic() - self.leader_heard_at
        return silence < duration.total_seconds()

    def is_log_up_to_date(self, last_index: LogIndex, last_term: Term) -> bool:
        """Return whether a log that ends so holds all that this one does."""
        return (last_term, last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def advance_commit(self, index: LogIndex) -> None:
        """Raise the commit index; entries must be synced here first."""
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
        """Check that a leader's entries agree with the committed ones."""
        for entry in entries:
            if entry.index > self.commit_index:
                return
            held = self.log.get_term(entry.index)
            invariants.check(
                held in (None, entry.term),
                "committed_entries_never_change",
                index=entry.index,
                held_term=held,
                offered_term=entry.term,
            )

    def drop_unsynced_entries(self) -> None:
        """Drop what a former leader had appended and not yet synced."""
        if self.log.last_index > self.synced_index:
            self.log.truncate(
                LogIndex(self.synced_index + 1), self.commit_index
            )

    def replace_log(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot that was stored."""
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
