"""Finds the leader and forwards commands and reads to it."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module

from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import VmId
from dotterelbridge.peers.errors import PeerBusy
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.messages import Outcome
from dotterelbridge.replication.messages import ProposeReply
from dotterelbridge.replication.messages import ProposeRequest
from dotterelbridge.replication.messages import ReadReply
from dotterelbridge.replication.messages import ReadRequest
from dotterelbridge.replication.messages import StatusReply
from dotterelbridge.replication.messages import StatusRequest

_RETRY_INTERVAL = timedelta(milliseconds=20)
_STATUS_TIMEOUT = timedelta(milliseconds=500)
_ATTEMPT_BITS = 62
_NO_LEADER = "no leader of the replicated log could be reached"
_NO_LEADER_REMEDY = (
    "try again; if it lasts, check that a majority of the voters runs and "
    "can reach each other"
)


class Deadline:
    """Point in time by which a reply is due."""

    def __init__(self, clock: Clock, timeout: timedelta) -> None:
        self._clock = clock
        self._ends_at = clock.monotonic() + timeout.total_seconds()

    def get_remaining(self) -> timedelta:
        """Return the time left, or zero after the deadline."""
        left = self._ends_at - self._clock.monotonic()
        return timedelta(seconds=max(left, 0))

    def has_expired(self) -> bool:
        """Return whether no time is left."""
        return not self.get_remaining()


class Forwarder:
    """Finds the leader and forwards commands and reads to it."""

    def __init__(
        self,
        log_name: str,
        network: PeerNetwork,
        clock: Clock,
        list_contacts: Callable[[], Sequence[VmId]],
        random: random_module.Random,
    ) -> None:
        self.leader_vm: VmId | None = None
        """The leader that another VM reported last, or None."""
        self._log_name = log_name
        self._network = network
        self._clock = clock
        self._random = random
        self._list_contacts = list_contacts
        self._contact_position = 0

    def set_leader(self, vm: VmId | None) -> None:
        """Set the leader that another VM reported; None if it knows none."""
        self.leader_vm = vm if vm != self._network.own_id else None

    async def find_leader(self, deadline: Deadline) -> VmId | None:
        """Return the leader; if unknown, ask the next VM for it.

        A command is sent only to a VM that was reported as leader. So it
        is certainly not in the log while no leader is known.
        """
        if self.leader_vm is None:
            contact = self._select_contact()
            if contact is not None:
                await self._query_leader(contact, deadline)
        return self.leader_vm

    def _select_contact(self) -> VmId | None:
        own = self._network.own_id
        others = [vm for vm in self._list_contacts() if vm != own]
        if not others:
            return None
        self._contact_position += 1
        return others[self._contact_position % len(others)]

    async def propose_once(
        self, machine_name: str, command: bytes, deadline: Deadline
    ) -> bytes | None:
        """Forward a command once.

        Returns None if it is certainly not in the log and should be sent
        to another VM.

        :raises NotCommitted: the leader refused it.
        :raises CommitUnknown: it was sent and no reply arrived.
        """
        vm = await self.find_leader(deadline)
        if vm is None:
            return None
        request = ProposeRequest(
            log_name=self._log_name,
            attempt=self._random.getrandbits(_ATTEMPT_BITS),
            machine_name=machine_name,
            command=command,
            timeout_ms=_to_ms(deadline),
        )
        try:
            reply = await self._network.request(
                vm, request, deadline.get_remaining()
            )
        except RequestNotSent:
            self.leader_vm = None
            return None
        except PeerBusy as error:
            raise NotCommitted(error.problem, error.remedy) from error
        except PeerError as error:
            self.leader_vm = None
            raise CommitUnknown(
                f"the leader's reply was lost ({error.problem})",
                "retry; the state machine recognises duplicates",
            ) from error
        return self._extract_result(reply)

    async def read_once(self, deadline: Deadline) -> ReadReply | None:
        """Ask the leader for the read index.

        Returns None if another VM must be asked.
        """
        vm = await self.find_leader(deadline)
        if vm is None:
            return None
        request = ReadRequest(
            log_name=self._log_name, timeout_ms=_to_ms(deadline)
        )
        try:
            reply = await self._network.request(
                vm, request, deadline.get_remaining()
            )
        except PeerError:
            self.leader_vm = None
            return None
        if not isinstance(reply, ReadReply) or reply.index is None:
            self.set_leader(getattr(reply, "leader_vm", None))
            return None
        return reply

    async def wait_before_retry(self, deadline: Deadline) -> None:
        """Wait briefly before another VM is asked.

        :raises NotCommitted: the deadline has passed.
        """
        if deadline.has_expired():
            raise NotCommitted(_NO_LEADER, _NO_LEADER_REMEDY)
        await self._clock.sleep(min(_RETRY_INTERVAL, deadline.get_remaining()))

    async def _query_leader(self, vm: VmId, deadline: Deadline) -> None:
        request = StatusRequest(log_name=self._log_name)
        timeout = min(_STATUS_TIMEOUT, deadline.get_remaining())
        try:
            reply = await self._network.request(vm, request, timeout)
        except PeerError:
            return
        if isinstance(reply, StatusReply):
            self.set_leader(reply.leader_vm)

    def _extract_result(self, reply: object) -> bytes | None:
        if not isinstance(reply, ProposeReply):
            raise CommitUnknown(
                "the leader sent a reply of an unexpected type",
                "run the same release on all VMs",
            )
        match reply.outcome:
            case Outcome.COMMITTED:
                return reply.result
            case Outcome.NOT_LEADER:
                self.set_leader(reply.leader_vm)
                return None
            case Outcome.REFUSED:
                raise NotCommitted(reply.problem, reply.remedy)
            case Outcome.UNKNOWN:
                raise CommitUnknown(reply.problem, reply.remedy)


def _to_ms(deadline: Deadline) -> int:
    return int(deadline.get_remaining().total_seconds() * 1000)
