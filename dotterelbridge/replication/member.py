"""The replicated log on a VM that holds a copy of it."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication import instruments
from dotterelbridge.replication.change_notifier import ChangeNotifier
from dotterelbridge.replication.contacts import Contacts
from dotterelbridge.replication.context import MemberContext
from dotterelbridge.replication.election import ElectionManager
from dotterelbridge.replication.election import accepts_message
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entry_applier import EntryApplier
from dotterelbridge.replication.event_limiter import EventLimiter
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.follower import Follower
from dotterelbridge.replication.forwarding import Deadline
from dotterelbridge.replication.forwarding import Forwarder
from dotterelbridge.replication.joining import Joiner
from dotterelbridge.replication.joining import require_leadership
from dotterelbridge.replication.leadership import Leadership
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import HandOverReply
from dotterelbridge.replication.messages import HandOverRequest
from dotterelbridge.replication.messages import JoinReply
from dotterelbridge.replication.messages import JoinRequest
from dotterelbridge.replication.messages import MemberMessage
from dotterelbridge.replication.messages import Outcome
from dotterelbridge.replication.messages import ProposeReply
from dotterelbridge.replication.messages import ProposeRequest
from dotterelbridge.replication.messages import ReadReply
from dotterelbridge.replication.messages import ReadRequest
from dotterelbridge.replication.messages import SnapshotRequest
from dotterelbridge.replication.messages import StatusRequest
from dotterelbridge.replication.messages import VoteRequest
from dotterelbridge.replication.reply_cache import ReplyCache
from dotterelbridge.replication.router import GroupHandler
from dotterelbridge.replication.router import get_log_router
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.state import Role
from dotterelbridge.replication.storage import LogStorage
from dotterelbridge.replication.storage_writer import StorageWriter

_log = structlog.get_logger(__name__)

_TIMEOUT_JITTER_SHARE = 0.7
"""Voters wait up to this share of the election timeout longer, at random.

This makes it unlikely that two voters start elections at the same time.
"""
_BACKOFF_SHARE = 0.3
_BACKOFF_DOUBLINGS = 3
"""The wait after an election that was not won: up to this share of the
election timeout, doubled for each lost vote up to this number of times."""
_RESUME_RETRY_INTERVAL = timedelta(milliseconds=30)
"""Time between attempts of a restarted leader to lead again, while other
VMs start up: about the latency of the slowest link."""
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1024 * 1024


class LogMember(ReplicatedLog, Dumpable):
    """A member of the group that holds the log: a voter or a learner."""

    def __init__(self, context: MemberContext, forwarder: Forwarder) -> None:
        self._context = context
        self._state = context.state
        self._entry_applier = context.entry_applier
        self._forwarder = forwarder
        self._elections = ElectionManager(context)
        self._follower = Follower(context)
        self._joiner = Joiner(context)
        self._leadership: Leadership | None = None
        self._transfer_requested = False
        self._transfer_request_received = ChangeNotifier()
        self._reply_cache = ReplyCache()
        self._pending = 0
        self._pending_bytes = 0

    @property
    def member_id(self) -> MemberId:
        """Id of this member; a new one after the data folder was lost."""
        return self._state.member_id

    @property
    def configuration(self) -> Configuration:
        """The members that this VM knows of."""
        return self._state.configuration

    @property
    def applied_index(self) -> LogIndex:
        """The last entry applied to the local state machines."""
        return self._entry_applier.applied_index

    def has_leader_lease(self) -> bool:
        """Return whether this VM leads with a valid lease."""
        return self._leadership is not None and self._leadership.has_lease()

    def has_applied_all(self) -> bool:
        """Return whether the state machines hold all committed entries.

        On a leader with a valid lease, these are all that any member has
        acknowledged.
        """
        return self.applied_index >= self._state.commit_index

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        self._entry_applier.add_state_machine(name, machine)

    def get_leader(self) -> VmId | None:
        return self._state.leader_vm

    @property
    def term(self) -> Term:
        """The term that this VM knows of."""
        return self._state.term

    def get_leader_silence_s(self) -> float:
        """Return seconds since this VM last heard from the leader.

        Zero on a leader with a valid lease.
        """
        if self.has_leader_lease():
            return 0.0
        return self._context.clock.monotonic() - self._state.leader_heard_at

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        try:
            self._log_recovered_state()
            self._register_handlers()
            snapshot = self._context.storage_writer.snapshot
            if snapshot:
                self._entry_applier.restore(snapshot)
            async with anyio.create_task_group() as group:
                group.start_soon(self._entry_applier.run)
                group.start_soon(self._run_joiner)
                group.start_soon(self._run_roles)
                group.start_soon(self._fail_waiters_on_storage_failure)
        finally:
            self._entry_applier.fail_waiters("this VM stops")
            self.close()

    def close(self) -> None:
        """Release the storage, so that it can be opened again."""
        self._context.storage_writer.storage.close()

    async def propose(
        self, machine_name: str, command: bytes, timeout: timedelta
    ) -> bytes:
        deadline = Deadline(self._context.clock, timeout)
        self._check_command(command)
        while True:
            if self._leadership is not None:
                result = await self._propose_locally(
                    machine_name, command, deadline
                )
            else:
                if self._state.leader_vm:
                    self._forwarder.set_leader(self._state.leader_vm)
                result = await self._forwarder.propose_once(
                    machine_name, command, deadline
                )
            if result is not None:
                return result
            await self._wait_before_retry(deadline)

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        deadline = Deadline(self._context.clock, timeout)
        while True:
            index = await self._find_read_index(deadline)
            if index is not None:
                break
            await self._wait_before_retry(deadline)
        try:
            with anyio.fail_after(deadline.get_remaining().total_seconds()):
                await self._entry_applier.wait_for_applied(index)
        except TimeoutError:
            raise NotCommitted(
                "this VM lags behind the leader",
                "try again, or read from another VM",
            ) from None
        return index

    async def transfer_leadership(self, timeout: timedelta) -> None:
        """Transfer leadership to another voter, as before this VM stops.

        Returns once another voter leads, if this VM does not lead, or
        after the timeout. Stopping is safe in each case.
        """
        if self._leadership is None:
            return
        with anyio.move_on_after(timeout.total_seconds()):
            await self._leadership.transfer_leadership()

    async def add_learner(self, member_id: MemberId, vm: VmId) -> None:
        """Add a member that does not vote; on the leader only."""
        leadership = require_leadership(self._leadership)
        await leadership.add_learner(member_id, vm)

    async def promote(self, member_id: MemberId) -> None:
        """Promote a learner that has caught up to voter; leader only."""
        leadership = require_leadership(self._leadership)
        configuration = self._state.configuration
        if configuration.find_member(member_id) is None:
            raise NotCommitted(
                f"{member_id!r} is not a member", "add it as a learner first"
            )
        if not leadership.has_caught_up(member_id):
            raise NotCommitted(
                f"{member_id!r} has not caught up", "try again later"
            )
        await leadership.change_configuration(
            configuration.with_voter(member_id)
        )

    async def remove(self, member_id: MemberId) -> None:
        """Remove a member; on the leader only."""
        leadership = require_leadership(self._leadership)
        await leadership.change_configuration(
            self._state.configuration.without_member(member_id)
        )

    def dump(self) -> dict[str, Any]:
        state = self._state
        leadership = self._leadership
        return {
            "role": state.role.value,
            "member": state.member_id,
            "voter": state.is_voter,
            "term": state.term,
            "voted_for": state.ballot.voted_for,
            "leader": state.leader_vm,
            "group_id": state.configuration.group_id,
            "members": [
                {"member": m.member_id, "vm": m.vm, "voter": m.voter}
                for m in state.configuration.members
            ],
            "commit_index": state.commit_index,
            "applied_index": self._entry_applier.applied_index,
            "last_index": state.log.last_index,
            "synced_index": state.synced_index,
            "base_index": state.log.base_index,
            "snapshot_index": state.snapshot_index,
            "log_bytes": state.log.size_bytes,
            "pending": self._pending,
            "pending_bytes": self._pending_bytes,
            "syncs": self._context.storage_writer.storage.count_syncs(),
            "leading": leadership.describe() if leadership else None,
        }

    # Roles

    async def _run_roles(self) -> None:
        try:
            if await self._try_resume_leadership():
                await self._run_leadership()
        except StorageError:
            return
        while self._state.role is not Role.FAILED:
            await self._wait_for_election_timeout()
            leadership_transfer = self._transfer_requested
            self._transfer_requested = False
            try:
                elected = await self._elections.campaign(leadership_transfer)
            except StorageError:
                return
            if elected:
                await self._run_leadership()
            else:
                await self._back_off_after_election()

    async def _try_resume_leadership(self) -> bool:
        """Try to lead again after a restart, for one election timeout.

        After that, others may be elected. If all VMs restart at the same
        time, this avoids waiting for the election timeout of a leader that
        is known to have stopped.
        """
        state = self._state
        clock = self._context.clock
        ends_at = clock.monotonic()
        ends_at += self._context.election_timeout.total_seconds()
        term = state.term
        while (
            state.led_current_term
            and state.is_voter
            and state.term == term
            and state.leader_vm is None
            and clock.monotonic() < ends_at
        ):
            if await self._elections.campaign_after_restart():
                return True
            await clock.sleep(_RESUME_RETRY_INTERVAL)
        return False

    async def _wait_for_election_timeout(self) -> None:
        """Wait until no leader was heard for a randomized timeout.

        Returns earlier if the leader transfers its leadership to this
        voter.
        """
        timeout = self._context.election_timeout
        timeout *= 1 + _TIMEOUT_JITTER_SHARE * self._context.random.random()
        while not self._transfer_requested:
            elapsed = timedelta(
                seconds=self._context.clock.monotonic()
                - self._state.election_timer_started_at
            )
            if elapsed < timeout:
                await self._sleep_until_transfer_request(timeout - elapsed)
            elif self._state.is_voter:
                return
            else:
                await self._sleep_until_transfer_request(timeout)

    async def _sleep_until_transfer_request(self, duration: timedelta) -> None:
        with anyio.move_on_after(duration.total_seconds()):
            await self._transfer_request_received.wait()

    async def _back_off_after_election(self) -> None:
        """Wait at random, and longer after each lost vote.

        If all candidates need each other's votes, they have to start at
        intervals longer than a vote takes.
        """
        doublings = min(self._elections.lost_vote_count, _BACKOFF_DOUBLINGS)
        longest_share = _BACKOFF_SHARE * 2**doublings
        delay_share = 0.1 + longest_share * self._context.random.random()
        await self._context.clock.sleep(
            self._context.election_timeout * delay_share
        )

    async def _run_leadership(self) -> None:
        self._leadership = Leadership(self._context)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None
            self._state.reset_election_timer()

    async def _run_joiner(self) -> None:
        try:
            await self._joiner.run()
        except StorageError:
            return

    async def _fail_waiters_on_storage_failure(self) -> None:
        """Fail waiting proposers as soon as the storage fails."""
        await self.wait_for_failure()
        self._entry_applier.fail_waiters("this VM's storage failed")

    async def wait_for_failure(self) -> None:
        """Return once the storage failed; the member then does no more."""
        while self._state.role is not Role.FAILED:
            await self._state.role_changed.wait()

    def _log_recovered_state(self) -> None:
        state = self._state
        events.log(
            _log,
            ReplicationEvent.STATE_RECOVERED,
            member=state.member_id,
            empty=not (state.term or state.log.last_index),
            term=state.term,
            voted_for=state.ballot.voted_for,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            commit_index=state.commit_index,
            voters=self._describe_voters(),
        )

    def _describe_voters(self) -> dict[MemberId, VmId]:
        return {
            voter.member_id: voter.vm
            for voter in self._state.configuration.list_voters()
        }

    # Proposals and reads

    async def _wait_before_retry(self, deadline: Deadline) -> None:
        try:
            await self._forwarder.wait_before_retry(deadline)
        except NotCommitted:
            self._log_unreachable_leader()
            raise

    def _log_unreachable_leader(self) -> None:
        is_connected = self._context.network.is_connected
        self._context.event_limiter.log(
            ReplicationEvent.LEADER_UNREACHABLE,
            None,
            silence_s=round(self.get_leader_silence_s(), 3),
            leader=self._state.leader_vm,
            role=self._state.role.value,
            term=self._state.term,
            voters=self._describe_voters(),
            connected=[
                vm
                for vm in self._context.contacts.list_vms()
                if is_connected(vm)
            ],
        )

    def _check_command(self, command: bytes) -> None:
        limit_kb = self._context.settings.command_limit_kb
        if len(command) > limit_kb * _BYTES_PER_KB:
            raise NotCommitted(
                f"the command has {len(command)} bytes",
                f"keep commands below command_limit_kb, {limit_kb} KB",
            )

    async def _propose_locally(
        self, machine_name: str, command: bytes, deadline: Deadline
    ) -> bytes | None:
        """Commit a command as the leader; None if it was not appended."""
        leadership = self._leadership
        if not await self._wait_for_lease(leadership, deadline):
            return None
        self._check_pending_limits(machine_name, command)
        index = leadership.append(EntryKind.COMMAND, machine_name, command)
        term = self._state.term
        self._pending += 1
        self._pending_bytes += len(command)
        started_at = self._context.clock.monotonic()
        try:
            with anyio.fail_after(deadline.get_remaining().total_seconds()):
                result = await self._entry_applier.wait_for_result(index, term)
            instruments.commits.record(
                self._context.clock.monotonic() - started_at,
                {"machine": machine_name},
            )
            return result
        except TimeoutError:
            raise CommitUnknown(
                "the command was not committed in time",
                "retry; the state machine recognises duplicates",
            ) from None
        finally:
            self._pending -= 1
            self._pending_bytes -= len(command)

    async def _wait_for_lease(
        self, leadership: Leadership, deadline: Deadline
    ) -> bool:
        if leadership.has_lease():
            return True
        try:
            with anyio.fail_after(deadline.get_remaining().total_seconds()):
                await leadership.wait_for_lease()
        except (NotCommitted, TimeoutError):
            return False
        return True

    def _check_pending_limits(self, machine_name: str, command: bytes) -> None:
        settings = self._context.settings
        limit_bytes = settings.pending_limit_mb * _BYTES_PER_MB
        if not self._entry_applier.has_state_machine(machine_name):
            raise NotCommitted(
                f"no state machine {machine_name!r}",
                "run the same release on all VMs",
            )
        uncommitted_count = (
            self._state.log.last_index - self._state.commit_index
        )
        if (
            self._pending >= settings.pending_limit
            or uncommitted_count >= settings.pending_limit
            or self._pending_bytes + len(command) > limit_bytes
        ):
            raise NotCommitted(
                "too many commands are waiting to be committed",
                "send fewer, or wait and send it again",
            )

    async def _find_read_index(self, deadline: Deadline) -> LogIndex | None:
        if self._leadership is not None:
            if not await self._wait_for_lease(self._leadership, deadline):
                return None
            return self._state.commit_index
        if self._state.leader_vm:
            self._forwarder.set_leader(self._state.leader_vm)
        reply = await self._forwarder.read_once(deadline)
        if reply is None:
            return None
        self._advance_commit_from_reply(reply)
        return reply.index

    def _advance_commit_from_reply(self, reply: ReadReply) -> None:
        """Advance the commit index to the leader's, if the logs match."""
        state = self._state
        if (
            not state.is_leader
            and reply.index <= state.synced_index
            and state.log.get_term(reply.index) == reply.term
        ):
            state.advance_commit(reply.index)

    # Messages

    def _register_handlers(self) -> None:
        router = get_log_router(self._context.network)
        handlers = {
            VoteRequest: self._elections.handle_vote,
            AppendRequest: self._follower.handle_append,
            SnapshotRequest: self._follower.handle_snapshot,
            StatusRequest: self._joiner.handle_status,
            JoinRequest: self._handle_join,
            HandOverRequest: self._handle_transfer_request,
            ProposeRequest: self._handle_propose,
            ReadRequest: self._handle_read,
        }
        for message_type, handler in handlers.items():
            if issubclass(message_type, MemberMessage):
                handler = self._record_senders(handler)
            router.register_handler(
                self._context.log_name, message_type, handler
            )

    def _record_senders(self, handler: GroupHandler) -> GroupHandler:
        async def handle(
            sender: VmId, message: MemberMessage
        ) -> Message | None:
            self._context.contacts.record_sender(sender)
            return await handler(sender, message)

        return handle

    async def _handle_join(
        self, sender: VmId, request: JoinRequest
    ) -> JoinReply:
        return await self._joiner.handle_join(
            sender, request, self._leadership
        )

    async def _handle_transfer_request(
        self, sender: VmId, request: HandOverRequest
    ) -> HandOverReply:
        accepted = (
            accepts_message(self._context, request)
            and request.term == self._state.term
            and self._state.is_voter
        )
        if accepted:
            self._transfer_requested = True
            self._transfer_request_received.notify()
        return HandOverReply(accepted=accepted)

    async def _handle_propose(
        self, sender: VmId, request: ProposeRequest
    ) -> ProposeReply | None:
        return await self._reply_cache.get_reply(
            sender, request.attempt, lambda: self._execute_propose(request)
        )

    async def _execute_propose(self, request: ProposeRequest) -> ProposeReply:
        deadline = Deadline(
            self._context.clock, timedelta(milliseconds=request.timeout_ms)
        )
        try:
            self._check_command(request.command)
            result = None
            if self._leadership is not None:
                result = await self._propose_locally(
                    request.machine_name, request.command, deadline
                )
        except NotCommitted as error:
            return _create_failure_reply(Outcome.REFUSED, error)
        except CommitUnknown as error:
            return _create_failure_reply(Outcome.UNKNOWN, error)
        if result is None:
            return ProposeReply(
                outcome=Outcome.NOT_LEADER, leader_vm=self._state.leader_vm
            )
        return ProposeReply(outcome=Outcome.COMMITTED, result=result)

    async def _handle_read(
        self, sender: VmId, request: ReadRequest
    ) -> ReadReply:
        leader_vm = self._state.leader_vm
        deadline = Deadline(
            self._context.clock, timedelta(milliseconds=request.timeout_ms)
        )
        if self._leadership is None:
            return ReadReply(leader_vm=leader_vm, index=None)
        index = await self._find_read_index(deadline)
        if index is None:
            return ReadReply(leader_vm=self._state.leader_vm, index=None)
        term = self._state.log.get_term(index)
        return ReadReply(leader_vm=leader_vm, index=index, term=term)


def _create_failure_reply(
    outcome: Outcome, error: NotCommitted | CommitUnknown
) -> ProposeReply:
    return ProposeReply(
        outcome=outcome, problem=error.problem, remedy=error.remedy
    )


def create_log_member(
    settings: ReplicationSettings,
    network: PeerNetwork,
    storage: LogStorage,
    clock: Clock,
    voters: Sequence[VmId],
    random: random_module.Random,
    log_name: str = "main",
    list_seeds: Callable[[], Sequence[VmId]] | None = None,
) -> LogMember:
    """Return a member that starts from the state in its storage.

    Blocks while the storage is read.

    :param voters: the VMs that form the group if none of them has a log
        yet; empty on a VM that may only join.
    :param list_seeds: returns VMs to ask for the group; by default the
        voters.

    :raises StorageError: the stored state is damaged.
    """
    stored = storage.open()
    try:
        state = MemberState(network.own_id, stored, clock)
        storage_writer = StorageWriter(storage, state, stored.snapshot, clock)
        contacts = Contacts(state, list_seeds or (lambda: voters))
        context = MemberContext(
            log_name=log_name,
            settings=settings,
            network=network,
            clock=clock,
            random=random,
            state=state,
            storage_writer=storage_writer,
            entry_applier=EntryApplier(settings, state, storage_writer),
            event_limiter=EventLimiter(clock),
            initial_voters=tuple(voters),
            contacts=contacts,
        )
        forwarder = Forwarder(
            log_name, network, clock, contacts.list_vms, random
        )
        return LogMember(context, forwarder)
    except BaseException:
        storage.close()
        raise
