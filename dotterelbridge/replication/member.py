"""The replicated log on one VM: a member's parts, wired together."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication import instruments
from dotterelbridge.replication.answers import AnswerCache
from dotterelbridge.replication.context import Context
from dotterelbridge.replication.disk import Disk
from dotterelbridge.replication.election import Elector
from dotterelbridge.replication.election import accepts_message
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.follower import Follower
from dotterelbridge.replication.forwarding import Deadline
from dotterelbridge.replication.forwarding import Forwarder
from dotterelbridge.replication.joining import Joiner
from dotterelbridge.replication.joining import check_members_change
from dotterelbridge.replication.leadership import Leadership
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.machines import MachineHost
from dotterelbridge.replication.messages import AppendRequest
from dotterelbridge.replication.messages import HandOverReply
from dotterelbridge.replication.messages import HandOverRequest
from dotterelbridge.replication.messages import JoinReply
from dotterelbridge.replication.messages import JoinRequest
from dotterelbridge.replication.messages import Outcome
from dotterelbridge.replication.messages import ProposeReply
from dotterelbridge.replication.messages import ProposeRequest
from dotterelbridge.replication.messages import ReadReply
from dotterelbridge.replication.messages import ReadRequest
from dotterelbridge.replication.messages import SnapshotRequest
from dotterelbridge.replication.messages import StatusRequest
from dotterelbridge.replication.messages import VoteRequest
from dotterelbridge.replication.router import find_log_router
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.signal import Signal
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.state import Role
from dotterelbridge.replication.storage import LogStorage

_TIMEOUT_JITTER = 0.7
"""Share of the election timeout over which voters spread their start."""
_RESUME_INTERVAL = timedelta(milliseconds=30)
"""Pause between two tries of a former leader while others start up: near
a crossing of the slowest link."""
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1024 * 1024


class LogMember(ReplicatedLog, Dumpable):
    """A VM that holds a copy of the log: a voter or a learner."""

    def __init__(self, context: Context, forwarder: Forwarder) -> None:
        self._context = context
        self._state = context.state
        self._machines = context.machines
        self._forwarder = forwarder
        self._elector = Elector(context)
        self._follower = Follower(context)
        self._joiner = Joiner(context)
        self._leadership: Leadership | None = None
        self._was_asked_to_lead = False
        self._asked_to_lead = Signal()
        self._answers = AnswerCache()
        self._pending = 0
        self._pending_bytes = 0

    @property
    def member(self) -> MemberId:
        """Identity of this life of the VM's storage."""
        return self._state.member

    @property
    def configuration(self) -> Configuration:
        """The members that this VM knows of."""
        return self._state.configuration

    @property
    def applied_index(self) -> LogIndex:
        """The last entry that the local machines hold."""
        return self._machines.applied_index

    def has_leader_lease(self) -> bool:
        """Return whether this VM leads with a valid lease."""
        return self._leadership is not None and self._leadership.has_lease()

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        self._machines.add(name, machine)

    def get_leader(self) -> VmId | None:
        return self._state.leader_vm

    @property
    def term(self) -> Term:
        """The term that this VM knows of."""
        return self._state.term

    def silence_s(self) -> float:
        """Return seconds since this VM knew that it follows the group.

        Zero on a leader with a valid lease.
        """
        if self.has_leader_lease():
            return 0.0
        return self._context.clock.monotonic() - self._state.heard_at

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        self._register_handlers()
        snapshot = self._context.disk.snapshot
        if snapshot:
            self._machines.restore(snapshot)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._machines.run)
                group.start_soon(self._join)
                group.start_soon(self._take_roles)
                group.start_soon(self._watch_failure)
        finally:
            self._machines.fail_waiters("this VM stops")
            self._context.disk.storage.close()

    async def propose(
        self, machine: str, command: bytes, timeout: timedelta
    ) -> bytes:
        deadline = Deadline(self._context.clock, timeout)
        self._check_command(command)
        while True:
            if self._leadership is not None:
                result = await self._try_here(machine, command, deadline)
            else:
                if self._state.leader_vm:
                    self._forwarder.learn_leader(self._state.leader_vm)
                result = await self._forwarder.propose_once(
                    machine, command, deadline
                )
            if result is not None:
                return result
            await self._forwarder.pause(deadline)

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        deadline = Deadline(self._context.clock, timeout)
        while True:
            index = await self._find_read_index(deadline)
            if index is not None:
                break
            await self._forwarder.pause(deadline)
        try:
            with anyio.fail_after(deadline.remaining().total_seconds()):
                await self._machines.wait_applied(index)
        except TimeoutError:
            raise NotCommitted(
                "this VM lags behind the leader",
                "try again, or read from another VM",
            ) from None
        return index

    async def transfer_leadership(self, timeout: timedelta) -> None:
        """Let another voter lead, as before this VM stops.

        Returns when another leads, when this VM does not lead, or after
        the timeout; stopping is safe in each case.
        """
        if self._leadership is None:
            return
        with anyio.move_on_after(timeout.total_seconds()):
            await self._leadership.transfer_leadership()

    async def add_learner(self, member_id: MemberId, vm: VmId) -> None:
        """Add a member without a vote; on the leader only."""
        leadership = check_members_change(self._leadership)
        await leadership.add_learner(member_id, vm)

    async def promote(self, member_id: MemberId) -> None:
        """Give a learner its vote once it has caught up; leader only."""
        leadership = check_members_change(self._leadership)
        configuration = self._state.configuration
        if configuration.find(member_id) is None:
            raise NotCommitted(
                f"{member_id!r} is no member", "add it as a learner first"
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
        leadership = check_members_change(self._leadership)
        await leadership.change_configuration(
            self._state.configuration.without(member_id)
        )

    def dump(self) -> dict[str, Any]:
        state = self._state
        leadership = self._leadership
        return {
            "role": state.role.value,
            "member": state.member,
            "voter": state.is_voter,
            "term": state.term,
            "voted_for": state.ballot.voted_for,
            "leader": state.leader_vm,
            "group_id": state.configuration.group_id,
            "members": [
                {"member": m.member, "vm": m.vm, "voter": m.voter}
                for m in state.configuration.members
            ],
            "commit_index": state.commit_index,
            "applied_index": self._machines.applied_index,
            "last_index": state.log.last_index,
            "synced_index": state.synced_index,
            "base_index": state.log.base_index,
            "snapshot_index": state.snapshot_index,
            "log_bytes": state.log.size_bytes,
            "pending": self._pending,
            "pending_bytes": self._pending_bytes,
            "syncs": self._context.disk.storage.count_syncs(),
            "leading": leadership.describe() if leadership else None,
        }

    # Roles

    async def _take_roles(self) -> None:
        try:
            if await self._resume_leading():
                await self._lead()
        except StorageError:
            return
        while self._state.role is not Role.FAILED:
            await self._wait_silence()
            hand_over = self._was_asked_to_lead
            self._was_asked_to_lead = False
            try:
                elected = await self._elector.campaign(hand_over)
            except StorageError:
                return
            if elected:
                await self._lead()
            else:
                await self._pause_after_election()

    async def _resume_leading(self) -> bool:
        """Try to lead on after a restart, until others may be elected.

        Where all VMs restart at the same time, this saves the wait for
        the silence of a leader that is known to be gone.
        """
        state = self._state
        clock = self._context.clock
        ends_at = clock.monotonic()
        ends_at += self._context.election_timeout.total_seconds()
        term = state.term
        while (
            state.led_before
            and state.is_voter
            and state.term == term
            and state.leader_vm is None
            and clock.monotonic() < ends_at
        ):
            if await self._elector.campaign_again():
                return True
            await clock.sleep(_RESUME_INTERVAL)
        return False

    async def _wait_silence(self) -> None:
        """Wait until this voter heard no leader for a random time.

        Or until the leader asks this voter to take over.
        """
        timeout = self._context.election_timeout
        timeout *= 1 + _TIMEOUT_JITTER * self._context.random.random()
        while not self._was_asked_to_lead:
            elapsed = timedelta(
                seconds=self._context.clock.monotonic()
                - self._state.timer_started_at
            )
            if elapsed < timeout:
                await self._sleep_or_be_asked(timeout - elapsed)
            elif self._state.is_voter:
                return
            else:
                await self._sleep_or_be_asked(timeout)

    async def _sleep_or_be_asked(self, duration: timedelta) -> None:
        with anyio.move_on_after(duration.total_seconds()):
            await self._asked_to_lead.wait()

    async def _pause_after_election(self) -> None:
        share = 0.1 + 0.3 * self._context.random.random()
        await self._context.clock.sleep(self._context.election_timeout * share)

    async def _lead(self) -> None:
        self._leadership = Leadership(self._context)
        try:
            await self._leadership.run()
        finally:
            self._leadership = None
            self._state.refresh_timer()

    async def _join(self) -> None:
        try:
            await self._joiner.run()
        except StorageError:
            return

    async def _watch_failure(self) -> None:
        """Give proposers their answer as soon as the storage fails."""
        await self.wait_failed()
        self._machines.fail_waiters("this VM's storage failed")

    async def wait_failed(self) -> None:
        """Return once the storage failed; this life takes no more part."""
        while self._state.role is not Role.FAILED:
            await self._state.role_changed.wait()

    # Proposals and reads

    def _check_command(self, command: bytes) -> None:
        limit_kb = self._context.settings.command_limit_kb
        if len(command) > limit_kb * _BYTES_PER_KB:
            raise NotCommitted(
                f"the command has {len(command)} bytes",
                f"keep commands below command_limit_kb, {limit_kb} KB",
            )

    async def _try_here(
        self, machine: str, command: bytes, deadline: Deadline
    ) -> bytes | None:
        """Commit as the leader; None when it was not appended."""
        leadership = self._leadership
        if not await self._wait_lease(leadership, deadline):
            return None
        self._check_room(machine, command)
        index = leadership.append(EntryKind.COMMAND, machine, command)
        term = self._state.term
        self._pending += 1
        self._pending_bytes += len(command)
        began_at = self._context.clock.monotonic()
        try:
            with anyio.fail_after(deadline.remaining().total_seconds()):
                result = await self._machines.wait_result(index, term)
            instruments.commits.record(
                self._context.clock.monotonic() - began_at,
                {"machine": machine},
            )
            return result
        except TimeoutError:
            raise CommitUnknown(
                "the command was not committed in time",
                "ask again; the state machine recognises a repetition",
            ) from None
        finally:
            self._pending -= 1
            self._pending_bytes -= len(command)

    async def _wait_lease(
        self, leadership: Leadership, deadline: Deadline
    ) -> bool:
        if leadership.has_lease():
            return True
        try:
            with anyio.fail_after(deadline.remaining().total_seconds()):
                await leadership.wait_lease()
        except (NotCommitted, TimeoutError):
            return False
        return True

    def _check_room(self, machine: str, command: bytes) -> None:
        settings = self._context.settings
        limit_bytes = settings.pending_limit_mb * _BYTES_PER_MB
        if not self._machines.has(machine):
            raise NotCommitted(
                f"no state machine {machine!r}",
                "run the same release on all VMs",
            )
        backlog = self._state.log.last_index - self._state.commit_index
        if (
            self._pending >= settings.pending_limit
            or backlog >= settings.pending_limit
            or self._pending_bytes + len(command) > limit_bytes
        ):
            raise NotCommitted(
                "too many commands wait for their commit",
                "send fewer, or wait and send it again",
            )

    async def _find_read_index(self, deadline: Deadline) -> LogIndex | None:
        if self._leadership is not None:
            if not await self._wait_lease(self._leadership, deadline):
                return None
            return self._state.commit_index
        if self._state.leader_vm:
            self._forwarder.learn_leader(self._state.leader_vm)
        reply = await self._forwarder.read_once(deadline)
        if reply is None:
            return None
        self._take_commit(reply)
        return reply.index

    def _take_commit(self, reply: ReadReply) -> None:
        """Commit at once what the leader's answer proves committed."""
        state = self._state
        if (
            not state.leads
            and reply.index <= state.synced_index
            and state.log.term_at(reply.index) == reply.term
        ):
            state.advance_commit(reply.index)

    # Messages

    def _register_handlers(self) -> None:
        router = find_log_router(self._context.network)
        handlers = {
            VoteRequest: self._elector.on_vote,
            AppendRequest: self._follower.on_append,
            SnapshotRequest: self._follower.on_snapshot,
            StatusRequest: self._joiner.on_status,
            JoinRequest: self._on_join,
            HandOverRequest: self._on_hand_over,
            ProposeRequest: self._on_propose,
            ReadRequest: self._on_read,
        }
        for message_type, handler in handlers.items():
            router.handle(self._context.log_name, message_type, handler)

    async def _on_join(self, sender: VmId, request: JoinRequest) -> JoinReply:
        return await self._joiner.on_join(sender, request, self._leadership)

    async def _on_hand_over(
        self, sender: VmId, request: HandOverRequest
    ) -> HandOverReply:
        accepted = (
            accepts_message(self._context, request)
            and request.term == self._state.term
            and self._state.is_voter
        )
        if accepted:
            self._was_asked_to_lead = True
            self._asked_to_lead.notify()
        return HandOverReply(accepted=accepted)

    async def _on_propose(
        self, sender: VmId, request: ProposeRequest
    ) -> ProposeReply | None:
        return await self._answers.answer(
            sender, request.attempt, lambda: self._answer_propose(request)
        )

    async def _answer_propose(self, request: ProposeRequest) -> ProposeReply:
        deadline = Deadline(
            self._context.clock, timedelta(milliseconds=request.timeout_ms)
        )
        try:
            self._check_command(request.command)
            result = None
            if self._leadership is not None:
                result = await self._try_here(
                    request.machine, request.command, deadline
                )
        except NotCommitted as error:
            return _create_failure(Outcome.REFUSED, error)
        except CommitUnknown as error:
            return _create_failure(Outcome.UNKNOWN, error)
        if result is None:
            return ProposeReply(
                outcome=Outcome.NOT_LEADER, leader=self._state.leader_vm
            )
        return ProposeReply(outcome=Outcome.COMMITTED, result=result)

    async def _on_read(self, sender: VmId, request: ReadRequest) -> ReadReply:
        leader = self._state.leader_vm
        deadline = Deadline(
            self._context.clock, timedelta(milliseconds=request.timeout_ms)
        )
        if self._leadership is None:
            return ReadReply(leader=leader, index=None)
        index = await self._find_read_index(deadline)
        if index is None:
            return ReadReply(leader=self._state.leader_vm, index=None)
        term = self._state.log.term_at(index)
        return ReadReply(leader=leader, index=index, term=term)


def _create_failure(
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
    """Return a member with the state that its storage holds.

    Blocks while the storage is read.

    :param voters: the VMs that form the group when all are empty; none
        on a VM that may only join.
    :param list_seeds: returns VMs that may know the group; by default
        the voters.

    :raises StorageError: the stored state is damaged.
    """
    stored = storage.open()
    state = MemberState(network.own_id, stored, clock)
    disk = Disk(storage, state, stored.snapshot, clock)

    def list_contacts() -> list[VmId]:
        members = [member.vm for member in state.configuration.members]
        seeds = voters if list_seeds is None else list_seeds()
        return list(dict.fromkeys([*members, *seeds]))

    context = Context(
        log_name=log_name,
        settings=settings,
        network=network,
        clock=clock,
        random=random,
        state=state,
        disk=disk,
        machines=MachineHost(settings, state, disk),
        initial_voters=tuple(voters),
        list_contacts=list_contacts,
    )
    forwarder = Forwarder(log_name, network, clock, list_contacts, random)
    return LogMember(context, forwarder)
