"""Leader elections: pre-votes, votes and the rules for granting them."""

from datetime import timedelta

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.context import MemberContext
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.messages import MemberMessage
from dotterelbridge.replication.messages import VoteReply
from dotterelbridge.replication.messages import VoteRequest
from dotterelbridge.replication.state import Role
from dotterelbridge.replication.storage import Ballot

_log = structlog.get_logger(__name__)

_PRE_VOTE_SHARE = 1 / 3
"""Share of the election timeout that a pre-vote waits for replies, as long
as voters do not reply late."""


class _Tally(msgspec.Struct):
    """The replies of the other voters in one round of an election."""

    granted: list[VmId] = []
    refused: dict[VmId, Term] = {}
    """The terms of the voters that refused."""
    unanswered: dict[VmId, str] = {}
    """Why no reply arrived."""
    has_late_reply: bool = False
    """Whether a connected voter did not reply in time."""


class ElectionManager:
    """Grants votes to other members and requests votes for this one."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._state = context.state
        self._pre_vote_timeout = context.election_timeout * _PRE_VOTE_SHARE
        self._vote_lost_at = float("-inf")
        self.lost_vote_count = 0
        """Votes that this member lost since a leader was last heard."""

    async def handle_vote(
        self, sender: VmId, request: VoteRequest
    ) -> VoteReply | None:
        """Answer a VoteRequest."""
        if not accepts_message(self._context, request):
            return None
        if self._must_refuse(request):
            return self._create_refusal(request)
        async with self._context.storage_writer.lock:
            if self._must_refuse(request):
                return self._create_refusal(request)
            if request.pre_vote:
                granted = self._would_grant_vote(request)
            else:
                granted = await self._cast_vote(request)
            if not granted:
                return self._create_refusal(request)
            return self._create_reply(granted=True)

    async def campaign(self, leadership_transfer: bool = False) -> bool:
        """Run an election; returns whether this member leads now.

        :param leadership_transfer: the leader requested the election and
            has given up its lease, so voters need not wait until they
            have not heard from it for an election timeout.
        """
        if self._state.leader_heard_at > self._vote_lost_at:
            self.lost_vote_count = 0
        request_term = await self._start_campaign()
        if not leadership_transfer:
            if not await self._collect_votes(request_term, pre_vote=True):
                return False
            if self._has_live_leader():
                self._log_failure(request_term, "a leader was heard")
                return False
        return await self._run_election(request_term, leadership_transfer)

    async def campaign_after_restart(self) -> bool:
        """Run an election after a restart; returns whether it was won.

        For the leader of the current term. Its lease ended with its
        process, so voters need not wait for the election timeout. A
        pre-vote goes first, because voters that restart at the same time
        do not answer yet.
        """
        request_term = await self._start_campaign()
        if not await self._collect_votes(
            request_term, pre_vote=True, leadership_transfer=True
        ):
            return False
        return await self._run_election(request_term, leadership_transfer=True)

    async def _start_campaign(self) -> Term:
        """Drop unsynced entries and return the term to campaign for."""
        self._state.clear_leader()
        async with self._context.storage_writer.lock:
            self._state.drop_unsynced_entries()
            return Term(self._state.term + 1)

    async def _run_election(
        self, request_term: Term, leadership_transfer: bool
    ) -> bool:
        async with self._context.storage_writer.lock:
            if self._state.term >= request_term:
                self._log_failure(request_term, "a higher term was seen")
                return False
            await self._context.storage_writer.write_ballot(
                Ballot(term=request_term, voted_for=self._state.member_id)
            )
            self._state.become_candidate()
        won = await self._collect_votes(
            request_term,
            pre_vote=False,
            leadership_transfer=leadership_transfer,
        )
        if (
            not won
            or self._state.term != request_term
            or self._state.role is not Role.CANDIDATE
        ):
            self._state.step_down("the election was not won")
            self.lost_vote_count += 1
            self._vote_lost_at = self._context.clock.monotonic()
            return False
        self.lost_vote_count = 0
        self._state.become_leader()
        return True

    def _must_refuse(self, request: VoteRequest) -> bool:
        if self._state.role is Role.FAILED:
            return True
        return self._has_live_leader() and not request.leadership_transfer

    def _create_refusal(self, request: VoteRequest) -> VoteReply:
        self._context.event_limiter.log(
            ReplicationEvent.VOTE_REFUSED,
            request.candidate_id,
            candidate=request.candidate_id,
            candidate_term=request.term,
            candidate_last=(request.last_term, request.last_index),
            pre_vote=request.pre_vote,
            reason=self._find_refusal_reason(request),
            term=self._state.term,
            own_last=self._describe_log_end(),
        )
        return self._create_reply(granted=False)

    def _find_refusal_reason(self, request: VoteRequest) -> str:
        if self._state.role is Role.FAILED:
            return "the storage failed"
        if self._must_refuse(request):
            return "a leader was heard, or this VM started, recently"
        if not self._state.is_log_up_to_date(
            request.last_index, request.last_term
        ):
            return "the candidate's log is older"
        if request.term < self._state.term or request.pre_vote:
            return "the candidate's term is not newer"
        return "already voted in this term"

    def _has_live_leader(self) -> bool:
        return self._state.is_leader or self._state.heard_leader_within(
            self._context.election_timeout
        )

    def _would_grant_vote(self, request: VoteRequest) -> bool:
        return request.term > self._state.term and (
            self._state.is_log_up_to_date(
                request.last_index, request.last_term
            )
        )

    async def _cast_vote(self, request: VoteRequest) -> bool:
        ballot = self._state.ballot
        if request.term < ballot.term:
            return False
        can_vote = request.term > ballot.term or ballot.voted_for in (
            None,
            request.candidate_id,
        )
        granted = can_vote and self._state.is_log_up_to_date(
            request.last_index, request.last_term
        )
        if granted:
            ballot = Ballot(term=request.term, voted_for=request.candidate_id)
        elif request.term > ballot.term:
            ballot = Ballot(term=request.term)
        if ballot != self._state.ballot:
            await self._context.storage_writer.write_ballot(ballot)
        if granted:
            self._state.reset_election_timer()
        return granted

    async def _collect_votes(
        self, term: Term, pre_vote: bool, leadership_transfer: bool = False
    ) -> bool:
        """Ask all voters in parallel; True once a majority has granted."""
        configuration = self._state.configuration
        granted = {self._state.member_id}
        if configuration.has_majority(granted):
            return True
        tally = _Tally()
        async with anyio.create_task_group() as group:

            async def ask(member: Member) -> None:
                reply = await self._request_vote(
                    member, term, pre_vote, leadership_transfer, tally
                )
                if reply is None:
                    return
                if reply.granted:
                    granted.add(reply.member_id)
                    tally.granted.append(member.vm)
                else:
                    tally.refused[member.vm] = reply.term
                if configuration.has_majority(granted):
                    group.cancel_scope.cancel()

            for member in configuration.list_voters():
                if member.member_id != self._state.member_id:
                    group.start_soon(ask, member)
        if configuration.has_majority(granted):
            return True
        if pre_vote:
            self._adapt_pre_vote_timeout(tally.has_late_reply)
        stage = "pre-vote" if pre_vote else "vote"
        self._log_failure(term, f"the {stage} found no majority", tally)
        return False

    def _log_failure(
        self, term: Term, reason: str, tally: _Tally | None = None
    ) -> None:
        self._context.event_limiter.log(
            ReplicationEvent.ELECTION_FAILED,
            reason,
            reason=reason,
            term=term,
            own_last=self._describe_log_end(),
            **({} if tally is None else msgspec.structs.asdict(tally)),
        )

    def _describe_log_end(self) -> tuple[Term, LogIndex]:
        return self._state.log.last_term, self._state.log.last_index

    async def _request_vote(
        self,
        member: Member,
        term: Term,
        pre_vote: bool,
        leadership_transfer: bool,
        tally: _Tally,
    ) -> VoteReply | None:
        request = VoteRequest(
            log_name=self._context.log_name,
            group_id=self._state.configuration.group_id,
            recipient_id=member.member_id,
            term=term,
            candidate_id=self._state.member_id,
            last_index=self._state.log.last_index,
            last_term=self._state.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )
        try:
            reply = await self._context.network.request(
                member.vm, request, self._get_vote_timeout(pre_vote)
            )
        except PeerError as error:
            tally.unanswered[member.vm] = error.problem
            if isinstance(error, PeerUnreachable):
                tally.has_late_reply |= self._is_connected(member)
            return None
        if (
            not isinstance(reply, VoteReply)
            or reply.member_id != member.member_id
        ):
            tally.unanswered[member.vm] = "another member replied"
            return None
        if reply.term > self._state.term:
            await adopt_term(self._context, reply.term)
        return reply

    def _get_vote_timeout(self, pre_vote: bool) -> timedelta:
        """Return how long to wait for a reply.

        A vote is synced to the voter's disk before the reply. A pre-vote
        writes nothing, and an unresponsive voter must not delay the next
        attempt.
        """
        if pre_vote:
            return self._pre_vote_timeout
        return self._context.election_timeout

    def _adapt_pre_vote_timeout(self, is_late: bool) -> None:
        """Wait longer in the next pre-vote if voters replied too late.

        With a fixed timeout, no leader would be elected while the voters
        are busy.
        """
        election_timeout = self._context.election_timeout
        if is_late:
            self._pre_vote_timeout = min(
                self._pre_vote_timeout * 2, election_timeout
            )
        else:
            self._pre_vote_timeout = election_timeout * _PRE_VOTE_SHARE

    def _is_connected(self, member: Member) -> bool:
        return self._context.network.is_connected(member.vm)

    def _create_reply(self, granted: bool) -> VoteReply:
        return VoteReply(
            member_id=self._state.member_id,
            term=self._state.term,
            granted=granted,
        )


async def adopt_term(context: MemberContext, term: Term) -> None:
    """Store a higher term reported by another member and step down."""
    async with context.storage_writer.lock:
        if term > context.state.term:
            await context.storage_writer.write_ballot(Ballot(term=term))


def accepts_message(context: MemberContext, message: MemberMessage) -> bool:
    """Return whether a message is addressed to this member and group."""
    state = context.state
    if state.role is Role.FAILED or message.recipient_id != state.member_id:
        return False
    own_group = state.configuration.group_id
    if own_group and message.group_id != own_group:
        events.log(
            _log,
            ReplicationEvent.GROUP_MISMATCH,
            own=own_group,
            other=message.group_id,
        )
        return False
    return True
