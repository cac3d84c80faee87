"""Asks the leader of the log for permits, directly or by way of a voter."""

from datetime import timedelta

from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.broadcaster import RateLimitBroadcaster
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.pool import PermitChannel
from dotterelbridge.permits.service import PermitService
from dotterelbridge.replication.contact import LeaderContact

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
        contact: LeaderContact,
    ) -> None:
        """Create the channel of a VM.

        :param service: answers while this VM leads.
        :param broadcaster: records notices while this VM leads.
        """
        self._network = network
        self._service = service
        self._broadcaster = broadcaster
        self._contact = contact

    async def request(self, request: PermitRequest) -> PermitReply:
        if self._service.leads:
            return await self._service.request(request)
        contact = self._contact.find()
        if contact is not None:
            reply = await self._network.request(contact, request, _TIMEOUT)
            if isinstance(reply, PermitReply):
                return reply
        return PermitReply(verdict=PermitVerdict.UNAVAILABLE)

    def send_notice(self, notice: RateLimitNotice) -> None:
        if self._service.leads:
            self._broadcaster.record(notice)
            return
        contact = self._contact.find()
        if contact is not None:
            self._network.send(contact, notice)
