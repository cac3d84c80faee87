"""Asks the control VM that this VM follows for permits."""

from datetime import timedelta

from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.pool import PermitChannel

_TIMEOUT = timedelta(milliseconds=350)
"""Time for a control VM to answer, which may have to ask the leader."""
_UNAVAILABLE = PermitReply(verdict=PermitVerdict.UNAVAILABLE)


class SourceChannel(PermitChannel):
    """Sends to the source of this VM's fleet state."""

    def __init__(
        self,
        network: PeerNetwork,
        follower: FleetFollower,
        settings: FleetSettings,
    ) -> None:
        self._network = network
        self._follower = follower
        self._settings = settings

    @property
    def is_cut_off(self) -> bool:
        detached_ms = self._follower.contact.detached_ms()
        return detached_ms > self._settings.detached_limit_ms

    async def request(self, request: PermitRequest) -> PermitReply:
        source = self._follower.source
        if source is None:
            return _UNAVAILABLE
        reply = await self._network.request(source, request, _TIMEOUT)
        return reply if isinstance(reply, PermitReply) else _UNAVAILABLE

    def send_notice(self, notice: RateLimitNotice) -> None:
        source = self._follower.source
        if source is not None:
            self._network.send(source, notice)
