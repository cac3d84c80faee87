"""Messages between the members of a replicated log."""

import enum

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.replication.entries import Entry


class GroupMessage(Message, frozen=True, kw_only=True, array_like=True):
    """Base of the requests; names the log, as a VM can have several."""

    log_name: str


class MemberMessage(GroupMessage, frozen=True, kw_only=True, array_like=True):
    """Base of the requests from one member to another."""

    group_id: str
    recipient_id: MemberId
    """The member that should handle the request; others refuse it."""
    term: Term


@register_message("replication.vote")
class VoteRequest(MemberMessage, frozen=True, kw_only=True, array_like=True):
    """Requests a vote, or a pre-vote: whether it would be granted."""

    candidate_id: MemberId
    last_index: LogIndex
    last_term: Term
    pre_vote: bool
    leadership_transfer: bool
    """Whether the leader has given up its lease: it requested this
    election, or it is the candidate and has restarted."""


@register_message("replication.vote_reply")
class VoteReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a VoteRequest."""

    member_id: MemberId
    term: Term
    granted: bool


@register_message("replication.append")
class AppendRequest(MemberMessage, frozen=True, kw_only=True, array_like=True):
    """Replicates entries to a member; a heartbeat if it has no entries."""

    leader_id: MemberId
    previous_index: LogIndex
    previous_term: Term
    commit_index: LogIndex
    entries: list[Entry]
    silences_ms: dict[MemberId, int] = {}
    """Voters that the leader has not heard for an election timeout or
    longer, and for how long; empty from older releases."""


@register_message("replication.append_reply")
class AppendReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers an AppendRequest or a SnapshotRequest."""

    member_id: MemberId
    term: Term
    success: bool
    match_index: LogIndex
    """Last synced entry known to match the leader's log; success only."""
    last_index: LogIndex
    """Last synced entry; the leader searches for a match from there."""


@register_message("replication.snapshot")
class SnapshotRequest(
    MemberMessage, frozen=True, kw_only=True, array_like=True
):
    """Sends one chunk of a snapshot."""

    leader_id: MemberId
    index: LogIndex
    offset: int
    total_bytes: int
    chunk: bytes


@register_message("replication.hand_over")
class HandOverRequest(
    MemberMessage, frozen=True, kw_only=True, array_like=True
):
    """Asks a voter that holds the whole log to start an election at once.

    Used to transfer leadership.
    """


@register_message("replication.hand_over_reply")
class HandOverReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a HandOverRequest."""

    accepted: bool


@register_message("replication.status")
class StatusRequest(GroupMessage, frozen=True, kw_only=True, array_like=True):
    """Asks for a member's id, its group and the leader it knows."""


@register_message("replication.status_reply")
class StatusReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a StatusRequest."""

    member_id: MemberId
    group_id: str
    """Empty when the VM belongs to no group."""
    leader_vm: VmId | None


@register_message("replication.join")
class JoinRequest(GroupMessage, frozen=True, kw_only=True, array_like=True):
    """Asks the leader to add a VM as a learner.

    A member that does not lead passes it on to the leader, to which the VM
    may have no link yet.
    """

    member_id: MemberId
    vm: VmId | None = None
    """The VM to add, if the request was passed on; else it is the sender."""


@register_message("replication.join_reply")
class JoinReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a JoinRequest."""

    leader_vm: VmId | None
    accepted: bool


class Outcome(enum.IntEnum):
    """Result of a forwarded command."""

    COMMITTED = 0
    NOT_LEADER = 1
    """Certainly not in the log; send it to the leader in the reply."""
    REFUSED = 2
    """Certainly not in the log; an immediate retry will not help."""
    UNKNOWN = 3
    """May be in the log."""


@register_message("replication.propose")
class ProposeRequest(GroupMessage, frozen=True, kw_only=True, array_like=True):
    """Forwards a command to the leader."""

    attempt: int
    """Unique per attempt and VM; a duplicate is not executed again."""
    machine_name: str
    command: bytes
    timeout_ms: int


@register_message("replication.propose_reply")
class ProposeReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a ProposeRequest."""

    outcome: Outcome
    leader_vm: VmId | None = None
    result: bytes = b""
    problem: str = ""
    remedy: str = ""


@register_message("replication.read")
class ReadRequest(GroupMessage, frozen=True, kw_only=True, array_like=True):
    """Asks the leader for the read index of a linearizable read."""

    timeout_ms: int


@register_message("replication.read_reply")
class ReadReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a ReadRequest."""

    leader_vm: VmId | None
    index: LogIndex | None
    """Commit index; None if the VM does not lead."""
    term: Term = Term(0)
    """Term of the entry at the index."""
