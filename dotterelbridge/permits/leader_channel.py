"""Asks the leader of the log for permits, directly or by way of a voter."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module

from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.broadcaster import RateLimitBroadcaster
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.pool import PermitChannel
from dotterelbridge.permits.service import PermitService

_TIMEOUT = timedelta(milliseconds=350)
"""Time for a voter to answer, which may have to ask the leader."""


class LeaderChannel(PermitChannel):
    """Sends to the leader, or to any voter while the leader is unknown."""

    is_cut_off = False
    """Not known in advance: only requests without an answer tell."""

    def __init__(
        self,
        network: PeerNetwork,
        service: PermitService,
        broadcaster: RateLimitBroadcaster,
        get_leader: Callable[[], VmId | None],
        voters: Sequence[VmId],
        rng: random_module.Random,
    ) -> None:
        """Create the channel of a VM.

        :param service: answers while this VM leads.
        :param broadcaster: records notices while this VM leads.
        """
        self._network = network
        self._service = service
        self._broadcaster = broadcaster
        self._get_leader = get_leader
        self._voters = voters
        self._random = rng

    async def request(self, request: PermitRequest) -> PermitReply:
        if self._service.leads:
            return await self._service.request(request)
        contact = self._choose_contact()
        if contact is not None:
            reply = await self._network.request(contact, request, _TIMEOUT)
            if isinstance(reply, PermitReply):
                return reply
        return PermitReply(verdict=PermitVerdict.UNAVAILABLE)

    def send_notice(self, notice: RateLimitNotice) -> None:
        if self._service.leads:
            self._broadcaster.record(notice)
            return
        contact = self._choose_contact()
        if contact is not None:
            self._network.send(contact, notice)

    def _choose_contact(self) -> VmId | None:
        leader = self._get_leader()
        if leader is not None and self._network.is_connected(leader):
            return leader
        connected = [v for v in self._voters if self._network.is_connected(v)]
        return self._random.choice(connected) if connected else None
