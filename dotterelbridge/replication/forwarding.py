"""Commands and reads that must reach the leader, wherever it is."""

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

_RETRY_PAUSE = timedelta(milliseconds=20)
_STATUS_TIMEOUT = timedelta(milliseconds=500)
_ATTEMPT_BITS = 62
_NO_LEADER = "no leader of the replicated log could be reached"
_NO_LEADER_REMEDY = (
    "try again; if it lasts, check that a majority of the voters runs and "
    "can reach each other"
)


class Deadline:
    """The instant by which an answer is due."""

    def __init__(self, clock: Clock, timeout: timedelta) -> None:
        self._clock = clock
        self._ends_at = clock.monotonic() + timeout.total_seconds()

    def remaining(self) -> timedelta:
        """Return the time left, zero when it is over."""
        left = self._ends_at - self._clock.monotonic()
        return timedelta(seconds=max(left, 0))

    def is_over(self) -> bool:
        """Return whether no time is left."""
        return not self.remaining()


class Forwarder:
    """Finds the leader and sends it what this VM can't decide."""

    def __init__(
        self,
        log_name: str,
        network: PeerNetwork,
        clock: Clock,
        list_contacts: Callable[[], Sequence[VmId]],
        random: random_module.Random,
    ) -> None:
        self.leader: VmId | None = None
        """The leader that another VM named last."""
        self._log_name = log_name
        self._network = network
        self._clock = clock
        self._random = random
        self._list_contacts = list_contacts
        self._asked = 0

    def learn_leader(self, vm: VmId | None) -> None:
        """Note whom another VM called leader; None when it knows none."""
        self.leader = vm if vm != self._network.own_id else None

    async def find_leader(self, deadline: Deadline) -> VmId | None:
        """Return the leader; without one, ask the next voter for it.

        A command goes only to a VM that is called leader, so that it is
        certainly not in the log while there is none.
        """
        if self.leader is None:
            contact = self._next_contact()
            if contact is not None:
                await self._ask_for_leader(contact, deadline)
        return self.leader

    def _next_contact(self) -> VmId | None:
        own = self._network.own_id
        others = [vm for vm in self._list_contacts() if vm != own]
        if not others:
            return None
        self._asked += 1
        return others[self._asked % len(others)]

    async def propose_once(
        self, machine: str, command: bytes, deadline: Deadline
    ) -> bytes | None:
        """Forward a command once.

        Returns None when it is certainly not in the log and another VM
        should be asked.

        :raises NotCommitted: the leader refused it.
        :raises CommitUnknown: it was sent and no answer came.
        """
        vm = await self.find_leader(deadline)
        if vm is None:
            return None
        request = ProposeRequest(
            log=self._log_name,
            attempt=self._random.getrandbits(_ATTEMPT_BITS),
            machine=machine,
            command=command,
            timeout_ms=_to_ms(deadline),
        )
        try:
            reply = await self._network.request(
                vm, request, deadline.remaining()
            )
        except RequestNotSent:
            self.leader = None
            return None
        except PeerBusy as error:
            raise NotCommitted(error.problem, error.remedy) from error
        except PeerError as error:
            self.leader = None
            raise CommitUnknown(
                f"the leader's answer was lost ({error.problem})",
                "ask again; the state machine recognises a repetition",
            ) from error
        return self._read_reply(reply)

    async def read_once(self, deadline: Deadline) -> ReadReply | None:
        """Ask for the read index once; None when another must be asked."""
        vm = await self.find_leader(deadline)
        if vm is None:
            return None
        request = ReadRequest(log=self._log_name, timeout_ms=_to_ms(deadline))
        try:
            reply = await self._network.request(
                vm, request, deadline.remaining()
            )
        except PeerError:
            self.leader = None
            return None
        if not isinstance(reply, ReadReply) or reply.index is None:
            self.learn_leader(getattr(reply, "leader", None))
            return None
        return reply

    async def pause(self, deadline: Deadline) -> None:
        """Wait a little before another VM is asked.

        :raises NotCommitted: the time is over.
        """
        if deadline.is_over():
            raise NotCommitted(_NO_LEADER, _NO_LEADER_REMEDY)
        await self._clock.sleep(min(_RETRY_PAUSE, deadline.remaining()))

    async def _ask_for_leader(self, vm: VmId, deadline: Deadline) -> None:
        request = StatusRequest(log=self._log_name)
        timeout = min(_STATUS_TIMEOUT, deadline.remaining())
        try:
            reply = await self._network.request(vm, request, timeout)
        except PeerError:
            return
        if isinstance(reply, StatusReply):
            self.learn_leader(reply.leader)

    def _read_reply(self, reply: object) -> bytes | None:
        if not isinstance(reply, ProposeReply):
            raise CommitUnknown(
                "the leader's answer was not understood",
                "run the same release on all VMs",
            )
        match reply.outcome:
            case Outcome.COMMITTED:
                return reply.result
            case Outcome.NOT_LEADER:
                self.learn_leader(reply.leader)
                return None
            case Outcome.REFUSED:
                raise NotCommitted(reply.problem, reply.remedy)
            case Outcome.UNKNOWN:
                raise CommitUnknown(reply.problem, reply.remedy)


def _to_ms(deadline: Deadline) -> int:
    return int(deadline.remaining().total_seconds() * 1000)
