"""Adds a VM without a log to a group, or forms a new group.

If none of the voters in the settings has a log, the first of them by name
forms a group. Otherwise a VM without a log asks the leader to add it as a
learner. So a VM whose disk was lost can't form a second group beside the
old one, and can't vote before it holds what it had acknowledged under its
former member id.
"""

from datetime import timedelta

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.context import MemberContext
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.entries import encode_configuration
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.leadership import Leadership
from dotterelbridge.replication.messages import JoinReply
from dotterelbridge.replication.messages import JoinRequest
from dotterelbridge.replication.messages import StatusReply
from dotterelbridge.replication.messages import StatusRequest
from dotterelbridge.replication.storage import Ballot

_log = structlog.get_logger(__name__)

_FIRST_TERM = Term(1)
_GROUP_ID_BITS = 64
_JOIN_TIMEOUT_COUNT = 4
"""Join intervals that the leader has to add a learner."""
_REJOIN_ELECTION_TIMEOUT_COUNT = 4
"""Election timeouts without a leader message before joining again."""


class Joiner:
    """Joins a group for this member and adds others that ask to join."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._state = context.state

    async def run(self) -> None:
        """Ask to join whenever the group may not list this member."""
        interval = timedelta(
            milliseconds=self._context.settings.join_interval_ms
        )
        if self._should_join():
            events.log(
                _log, ReplicationEvent.JOINING, member=self._state.member_id
            )
        while True:
            if self._should_join():
                await self._try_join_or_form(interval)
            delay_share = 0.5 + self._context.random.random()
            await self._context.clock.sleep(interval * delay_share)

    async def handle_status(
        self, sender: VmId, request: StatusRequest
    ) -> StatusReply:
        """Answer a StatusRequest."""
        return StatusReply(
            member_id=self._state.member_id,
            group_id=self._state.configuration.group_id,
            leader_vm=self._state.leader_vm,
        )

    async def handle_join(
        self,
        sender: VmId,
        request: JoinRequest,
        leadership: Leadership | None,
    ) -> JoinReply:
        """Add a VM as a learner, or pass the request on to the leader."""
        if leadership is not None:
            vm = request.vm or sender
            accepted = await self._add_learner(leadership, request, vm)
        elif request.vm is None:
            accepted = await self._pass_on_join(sender, request)
        else:
            accepted = False
        return JoinReply(leader_vm=self._state.leader_vm, accepted=accepted)

    async def _pass_on_join(self, vm: VmId, request: JoinRequest) -> bool:
        leader_vm = self._state.leader_vm
        if leader_vm in (None, vm):
            return False
        request = msgspec.structs.replace(request, vm=vm)
        try:
            reply = await self._context.network.request(
                leader_vm, request, self._join_timeout
            )
        except PeerError:
            return False
        return isinstance(reply, JoinReply) and reply.accepted

    def _should_join(self) -> bool:
        """Return whether the group may not list this member.

        The entry that added a learner can be lost with its leader. The
        next leader then does not know the learner.
        """
        own = self._state.configuration.find_member(self._state.member_id)
        if own is None:
            return True
        silence_limit = (
            self._context.election_timeout * _REJOIN_ELECTION_TIMEOUT_COUNT
        )
        if (
            self._state.heard_leader_within(silence_limit)
            or self._state.is_leader
        ):
            return False
        # A voter may have been replaced while it was unreachable; the group
        # does not notify members that it removed.
        return not own.voter or self._context.settings.losses_tolerated > 0

    @property
    def _join_timeout(self) -> timedelta:
        interval_ms = self._context.settings.join_interval_ms
        return timedelta(milliseconds=interval_ms) * _JOIN_TIMEOUT_COUNT

    def _belongs_to_group(self) -> bool:
        return bool(self._state.configuration.group_id)

    async def _add_learner(
        self, leadership: Leadership, request: JoinRequest, vm: VmId
    ) -> bool:
        try:
            with anyio.fail_after(
                leadership.configuration_change_timeout.total_seconds()
            ):
                await leadership.add_learner(request.member_id, vm)
        except (ReplicationError, TimeoutError):
            return False
        return True

    async def _try_join_or_form(self, timeout: timedelta) -> None:
        replies = await self._request_statuses(timeout)
        own_group = self._state.configuration.group_id
        groups = {r.group_id for r in replies.values() if r.group_id}
        if own_group in groups or (groups and not own_group):
            await self._request_join(replies)
        elif self._may_form_group(replies) and not self._belongs_to_group():
            await self._form_group(replies)

    async def _request_statuses(
        self, timeout: timedelta
    ) -> dict[VmId, StatusReply]:
        replies: dict[VmId, StatusReply] = {}

        async def request_status(vm: VmId) -> None:
            request = StatusRequest(log_name=self._context.log_name)
            try:
                reply = await self._context.network.request(
                    vm, request, timeout
                )
            except PeerError:
                return
            if isinstance(reply, StatusReply):
                replies[vm] = reply

        vms = self._context.contacts.list_vms()
        if not self._belongs_to_group():
            # Seeds that were reloaded may name others, and the group is
            # formed of all initial voters.
            vms = dict.fromkeys([*vms, *self._context.initial_voters])
        async with anyio.create_task_group() as group:
            for vm in vms:
                if vm != self._state.vm:
                    group.start_soon(request_status, vm)
        return replies

    async def _request_join(self, replies: dict[VmId, StatusReply]) -> None:
        """Ask the VMs that were reported as leader first, then the others."""
        leader_vms = [r.leader_vm for r in replies.values() if r.leader_vm]
        request = JoinRequest(
            log_name=self._context.log_name, member_id=self._state.member_id
        )
        for vm in dict.fromkeys([*leader_vms, *replies]):
            if vm == self._state.vm:
                continue
            try:
                reply = await self._context.network.request(
                    vm, request, self._join_timeout
                )
            except PeerError:
                continue
            if isinstance(reply, JoinReply) and reply.accepted:
                return

    def _may_form_group(self, replies: dict[VmId, StatusReply]) -> bool:
        voters = self._context.initial_voters
        others = set(voters) - {self._state.vm}
        return self._state.vm == min(voters, default=None) and (
            others <= set(replies)
        )

    async def _form_group(self, replies: dict[VmId, StatusReply]) -> None:
        member_ids = {vm: reply.member_id for vm, reply in replies.items()}
        member_ids[self._state.vm] = self._state.member_id
        group_id = f"{self._context.random.getrandbits(_GROUP_ID_BITS):016x}"
        configuration = Configuration(
            group_id=group_id,
            members=tuple(
                Member(member_id=member_ids[vm], vm=vm, voter=True)
                for vm in sorted(self._context.initial_voters)
            ),
        )
        entry = Entry(
            index=LogIndex(1),
            term=_FIRST_TERM,
            kind=EntryKind.CONFIGURATION,
            command=encode_configuration(configuration),
        )
        async with self._context.storage_writer.lock:
            if self._belongs_to_group() or self._state.term >= _FIRST_TERM:
                return
            await self._context.storage_writer.write_ballot(
                Ballot(term=_FIRST_TERM)
            )
            await self._context.storage_writer.append_entries([entry])
        events.log(_log, ReplicationEvent.GROUP_FORMED, group_id=group_id)


def require_leadership(leadership: Leadership | None) -> Leadership:
    """Return the leadership; raise NotCommitted if this VM does not lead."""
    if leadership is None:
        raise NotCommitted(
            "this VM does not lead the replicated log",
            "send the change to the leader; 'dump replication' names it",
        )
    return leadership
