"""Issues permits on the leader of the log, and passes requests on to it."""

from collections.abc import Callable
from datetime import timedelta
import random

from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict

_CHECK_INTERVAL = timedelta(milliseconds=100)
_LEADER_TIMEOUT = timedelta(milliseconds=250)
"""Time for the leader to answer: five crossings of the slowest link and
back."""
_UNAVAILABLE = PermitReply(verdict=PermitVerdict.UNAVAILABLE)


class PermitService:
    """Answers requests for permits on the leader, or passes them on to it.

    Nobody issues permits for VMs that are cut off from the leader: each of
    them issues its own part. The leader leaves out the parts of VMs that it
    does not hear of.
    """

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
        get_share: Callable[[int], float],
    ) -> None:
        """Create the service of a VM.

        :param get_led_term: returns the term that this VM leads, with a
            valid lease, or None.
        :param get_share: returns the part of all VMs that this VM hears of;
            gets their number as the sender of a request knows it.
        """
        self._network = network
        self._clock = clock
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        self._issuer = PermitIssuer(clock, rng, get_share)
        self._issuing_term: Term | None = None
        network.register_handler(PermitRequest, self._handle_request)

    async def run(self) -> None:
        """Notice when this VM begins to lead, until cancelled."""
        while True:
            self._check_leads()
            await self._clock.sleep(_CHECK_INTERVAL)

    @property
    def leads(self) -> bool:
        """Whether this VM issues permits."""
        return self._get_led_term() is not None

    async def request(self, request: PermitRequest) -> PermitReply:
        """Return the decision on a request.

        :raises PeerError: the leader did not answer.
        """
        if self._check_leads():
            return self._issuer.decide(request)
        leader = self._get_leader()
        if leader is None or leader == self._network.own_id:
            return _UNAVAILABLE
        reply = await self._network.request(leader, request, _LEADER_TIMEOUT)
        return reply if isinstance(reply, PermitReply) else _UNAVAILABLE

    async def _handle_request(
        self, sender: VmId, request: PermitRequest
    ) -> PermitReply:
        if sender == self._get_leader():
            # Each of the two takes the other for the leader.
            return _UNAVAILABLE
        try:
            return await self.request(request)
        except PeerError:
            return _UNAVAILABLE

    def _check_leads(self) -> bool:
        """Return whether this VM leads; a new leader waits at first."""
        term = self._get_led_term()
        if term is not None and term != self._issuing_term:
            self._issuer.wait_for_predecessor()
        self._issuing_term = term
        return term is not None
