"""Asks the control VM that this VM follows for credit of teams."""

from datetime import timedelta

from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.quotas.channel import CreditChannel
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest

_TIMEOUT = timedelta(milliseconds=350)
"""Time for a control VM to answer, which may have to ask the leader."""
_UNAVAILABLE = CreditReply(is_available=False)


class SourceCreditChannel(CreditChannel):
    """Sends to the source of this VM's fleet state."""

    def __init__(self, network: PeerNetwork, follower: FleetFollower) -> None:
        self._network = network
        self._follower = follower

    async def request(self, request: CreditRequest) -> CreditReply:
        source = self._follower.source
        if source is None:
            return _UNAVAILABLE
        reply = await self._network.request(source, request, _TIMEOUT)
        return reply if isinstance(reply, CreditReply) else _UNAVAILABLE
