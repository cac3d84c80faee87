"""Records reports of crashes on the leader of the log, and tells all VMs.

For VMs that are linked with all voters. Nodes, which follow control VMs, have
the fleet's feed for this.
"""

from collections.abc import Callable
from datetime import timedelta

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Term
from dotterelbridge.ids import TraitId
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.quarantine.keeper import QuarantineKeeper
from dotterelbridge.quarantine.messages import AnsweredTraits
from dotterelbridge.quarantine.messages import CrashEvidence
from dotterelbridge.quarantine.messages import CrashRecorded
from dotterelbridge.quarantine.messages import CrashReport
from dotterelbridge.quarantine.messages import QuarantineUpdate
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot
from dotterelbridge.quarantine.quarantine import QuarantineTable

_INTERVAL = timedelta(seconds=1)
"""Time between two updates, from which VMs learn that missed the latest."""
_LEADER_TIMEOUT = timedelta(milliseconds=500)
"""Time for the leader to answer a report that this VM passes on."""


class QuarantineService:
    """Handles the reports of all VMs on a voter."""

    def __init__(
        self,
        network: PeerNetwork,
        table: QuarantineTable,
        clock: Clock,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
        apply: Callable[[QuarantineSnapshot, frozenset[TraitId]], None],
    ) -> None:
        """Create the service of a VM.

        :param get_led_term: returns the term that this VM leads, or None.
        :param apply: puts a quarantine in force on this VM, and tells it of
            which traits it reports complete answers.
        """
        self.keeper: QuarantineKeeper | None = None
        """Decides while this VM leads; None on a VM without the log."""
        self._network = network
        self._table = table
        self._clock = clock
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        self._apply = apply
        self._watched: frozenset[TraitId] = frozenset()
        self._is_update_due = False
        self._term: Term | None = None
        """The term of the latest update."""
        table.subscribe(lambda snapshot: self._send_update())
        network.register_handler(CrashReport, self._handle_crash_report)
        network.register_handler(AnsweredTraits, self._handle_answered)
        network.register_handler(QuarantineUpdate, self._handle_update)
        network.register_handler(CrashEvidence, self._handle_evidence)

    @property
    def leads(self) -> bool:
        """Whether this VM records reports."""
        return self.keeper is not None and self._get_led_term() is not None

    async def run(self) -> None:
        """Run the keeper and repeat updates while this VM leads."""
        async with anyio.create_task_group() as group:
            if self.keeper is not None:
                group.start_soon(self.keeper.run)
            while True:
                await self._clock.sleep(_INTERVAL)
                if self._is_update_due:
                    self._is_update_due = bool(
                        self._watched or self._table.snapshot.traits
                    )
                    self._send_update()

    def publish_watched(self, traits: frozenset[TraitId]) -> None:
        """Tell all VMs of which traits they report complete answers."""
        if traits != self._watched:
            self._watched = traits
            self._send_update()

    def share_evidence(self, evidence: CrashEvidence) -> None:
        """Send what the leader has recorded to the other VMs."""
        for peer in self._network.list_peers():
            self._network.send(peer, evidence)

    def record_crash(self, report: CrashReport) -> None:
        """Record a report on the leader."""
        self.keeper.record_crash(report)

    def record_answered(self, message: AnsweredTraits) -> None:
        """Record complete answers on the leader."""
        self.keeper.record_answered(message.traits)

    def _send_update(self) -> None:
        term = self._get_led_term()
        if term is None:
            return
        self._term = term
        self._is_update_due = True
        message = QuarantineUpdate(
            term=term,
            snapshot=self._table.snapshot,
            watched=tuple(sorted(self._watched)),
        )
        for peer in self._network.list_peers():
            self._network.send(peer, message)
        self._apply(self._table.snapshot, self._watched)

    async def _handle_update(
        self, sender: VmId, message: QuarantineUpdate
    ) -> None:
        if self._term is not None and message.term < self._term:
            return
        self._term = message.term
        self._watched = frozenset(message.watched)
        self._apply(message.snapshot, self._watched)

    async def _handle_evidence(
        self, sender: VmId, evidence: CrashEvidence
    ) -> None:
        if self.keeper is not None and not self.leads:
            self.keeper.apply_evidence(evidence)

    async def _handle_crash_report(
        self, sender: VmId, report: CrashReport
    ) -> CrashRecorded:
        """Record a report, or pass it on to the leader."""
        if self.leads:
            self.record_crash(report)
            return CrashRecorded(is_recorded=True)
        leader = self._get_leader()
        if leader is None or leader in (sender, self._network.own_id):
            return CrashRecorded(is_recorded=False)
        try:
            return await self._network.request(leader, report, _LEADER_TIMEOUT)
        except PeerError:
            return CrashRecorded(is_recorded=False)

    async def _handle_answered(
        self, sender: VmId, message: AnsweredTraits
    ) -> None:
        leader = self._get_leader()
        if self.leads:
            self.record_answered(message)
        elif leader not in (None, sender, self._network.own_id):
            self._network.send(leader, message)
