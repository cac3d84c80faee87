"""Sends crashes and answers to the leader, directly or by way of a voter."""

from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import TraitId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.quarantine.crash_watch import Crash
from dotterelbridge.quarantine.messages import AnsweredTraits
from dotterelbridge.quarantine.messages import CrashRecorded
from dotterelbridge.quarantine.reporter import LeaderLink
from dotterelbridge.quarantine.service import QuarantineService
from dotterelbridge.replication.contact import LeaderContact

_TIMEOUT = timedelta(seconds=1)
"""Time for a voter to answer, which may have to ask the leader."""


class PeerLeaderLink(LeaderLink):
    """Sends to the leader, or to any voter while the leader is unknown."""

    def __init__(
        self,
        network: PeerNetwork,
        service: QuarantineService,
        contact: LeaderContact,
        clock: Clock,
    ) -> None:
        """Create the link of a VM.

        :param service: records what is reported while this VM leads.
        """
        self._network = network
        self._service = service
        self._contact = contact
        self._clock = clock

    async def send_crash(self, crash: Crash) -> bool:
        report = crash.create_report(self._clock.monotonic())
        if self._service.leads:
            self._service.record_crash(report)
            return True
        contact = self._contact.find()
        if contact is None:
            return False
        try:
            reply = await self._network.request(contact, report, _TIMEOUT)
        except PeerError:
            return False
        return isinstance(reply, CrashRecorded) and reply.is_recorded

    def send_answered(self, traits: tuple[TraitId, ...]) -> None:
        message = AnsweredTraits(traits=traits)
        contact = self._contact.find()
        if self._service.leads:
            self._service.record_answered(message)
        elif contact is not None:
            self._network.send(contact, message)
