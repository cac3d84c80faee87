"""The placement lease of one failure domain, and its order record.

A VM holds the lease once a majority of the domain's entry VMs have granted
it a term. The holder counts the lease from the time of its request; the
granting VMs count it from their answer and add a margin for clock drift.
Terms are unique: a term is a round number times the number of VMs plus the
rank of the requesting VM. The term is also the fencing number of the
holder's orders.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import LeaseLost
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.placement.acceptor import LeaseAcceptor
from dotterelbridge.placement.acceptor import apply_changes
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.messages import LeaseAnswer
from dotterelbridge.placement.messages import LeaseCampaign
from dotterelbridge.placement.messages import LeaseRelease
from dotterelbridge.placement.messages import LeaseRenewal
from dotterelbridge.placement.messages import RecordAnswer
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.messages import RecordState
from dotterelbridge.placement.messages import RecordWrite
from dotterelbridge.placement.settings import PlacementSettings

RECORD_LOST_SKIPPED_ROUNDS = 1000
"""Rounds of terms skipped above the highest fencing number of the engines
when the record of earlier terms is lost. Some of those terms may not have
reached any engine."""

REBUILDING_KEY = "rebuilding"
"""Marks a record that may lack orders of an earlier holder."""

MIN_CAMPAIGN_DELAY = timedelta(milliseconds=100)

MAX_CAMPAIGN_DELAY_DOUBLINGS = 3
"""Limits how often failed campaigns double the random part of the delay."""

_log = structlog.get_logger(__name__)
_elections = metrics.meter.create_counter(
    "dotterelbridge.placement.elections",
    description="Campaigns for the placement lease, by outcome",
)


class Lease(Dumpable):
    """The lease roles of this VM: candidate, holder and acceptor."""

    def __init__(
        self,
        settings: PlacementSettings,
        network: PeerNetwork,
        members: Sequence[VmId],
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._network = network
        self._own_vm = network.own_id
        self._members = sorted(members)
        self._clock = clock
        self._random = random
        self._rank = self._members.index(self._own_vm)
        self._majority = len(self._members) // 2 + 1
        member = MemberId(f"{self._own_vm}/{random.getrandbits(48):012x}")
        self._acceptor = LeaseAcceptor(
            member,
            settings.lease_ms / 1000,
            settings.drift_margin_s,
            clock.monotonic(),
            is_only_member=len(self._members) == 1,
        )
        self._term = Term(0)
        self._ends_at = float("-inf")
        self._highest_term = Term(0)
        self._record = RecordState(Term(0), 0, {})
        self._failed_campaigns = 0
        self._write_lock = anyio.Lock()
        self.record_lost = False
        """Whether earlier orders may be missing from the record."""
        network.register_handler(LeaseCampaign, self._handle_campaign)
        network.register_handler(LeaseRenewal, self._handle_renewal)
        network.register_handler(LeaseRelease, self._handle_release)
        network.register_handler(RecordWrite, self._handle_write)

    # Candidate and holder.

    @property
    def term(self) -> Term:
        """Term of this VM's last lease and fencing number of its orders."""
        return self._term

    @property
    def record(self) -> RecordState:
        """The order record as the holder last wrote it."""
        return self._record

    @property
    def holder(self) -> VmId | None:
        """The lease holder, as far as this VM knows."""
        if self.is_held():
            return self._own_vm
        return self._acceptor.holder

    def is_held(self) -> bool:
        """Whether this VM may act; ends ``drift_ms`` before the lease does."""
        margin_s = self._settings.drift_ms / 1000
        return self._clock.monotonic() < self._ends_at - margin_s

    def check_held(self) -> None:
        """Raise LeaseLost unless this VM holds the lease now."""
        if not self.is_held():
            raise LeaseLost(
                f"{self._own_vm} does not hold the placement lease",
                "nothing to do: the domain's next lease holder takes over",
            )

    async def run(self) -> None:
        """Campaign while the lease is free, renew while it is held."""
        while True:
            if self.is_held():
                await self._wait_and_renew()
            else:
                await self._wait_and_campaign()

    async def campaign(self, floor: int = 0) -> bool:
        """Request a term above all known terms and above ``floor``."""
        term = self._choose_next_term(floor)
        self._highest_term = term
        sent_at = self._clock.monotonic()
        message = LeaseCampaign(term=term, lease_ms=self._settings.lease_ms)
        answers = await self._request_all(
            message, self._is_granted_with_record
        )
        self._update_highest_term(answers)
        granted = [a for a in answers if a.granted]
        if len(granted) < self._majority:
            self._send_release(term)
            _elections.add(1, {"outcome": "lost"})
            return False
        if not await self._take_over(term, sent_at, granted):
            self._send_release(term)
            return False
        _elections.add(1, {"outcome": "won"})
        events.log(_log, PlacementEvent.LEASE_GAINED, term=term)
        return True

    async def renew(self) -> bool:
        """Extend the lease; return False if no majority granted it."""
        sent_at = self._clock.monotonic()
        term = self._term
        message = LeaseRenewal(
            term=term,
            lease_ms=self._settings.lease_ms,
            sequence=self._record.sequence,
        )
        answers = await self._request_all(message, self._is_granted)
        self._update_highest_term(answers)
        granted = [a for a in answers if a.granted]
        if len(granted) < self._majority or term != self._term:
            return False
        self._ends_at = sent_at + self._settings.lease_ms / 1000
        if any(a.record_sequence != self._record.sequence for a in granted):
            await self._store_full_record()
        return True

    async def write_record(self, changes: Sequence[RecordChange]) -> None:
        """Store changes of the record at a majority of VMs.

        :raises LeaseLost: no majority stored them, or the lease ended.
        """
        async with self._write_lock:
            self.check_held()
            term = self._term
            self._record = RecordState(
                term,
                self._record.sequence + 1,
                apply_changes(self._record.entries, tuple(changes)),
            )
            message = RecordWrite(
                term=term,
                sequence=self._record.sequence,
                changes=tuple(changes),
            )
            stored = await self._write_all(message)
        if not stored or term != self._term:
            raise LeaseLost(
                "no majority of the domain's VMs stored the order record",
                "check the links between the domain's VMs",
            )
        self.check_held()

    async def finish_rebuild(self) -> None:
        """Mark the record as complete.

        Orders missing from it can no longer take effect.
        """
        await self.write_record([RecordChange(REBUILDING_KEY, None)])
        self.record_lost = False

    async def release(self) -> None:
        """Release the lease at shutdown, so that another VM takes over."""
        if self._ends_at == float("-inf"):
            return
        self._ends_at = float("-inf")
        self._send_release(self._term)

    def dump(self) -> dict[str, Any]:
        remaining_s = self._ends_at - self._clock.monotonic()
        return {
            "member": self._acceptor.member,
            "held": self.is_held(),
            "holder": self.holder,
            "term": self._term,
            "remaining_s": max(0.0, remaining_s),
            "promised": self._acceptor.promised_term,
            "knows_record": self._acceptor.knows_record,
            "record_entries": len(self._record.entries),
            "record_lost": self.record_lost,
        }

    async def _wait_and_renew(self) -> None:
        await self._clock.sleep(
            timedelta(milliseconds=self._settings.renew_ms)
        )
        await self.renew()
        if not self.is_held():
            events.log(_log, PlacementEvent.LEASE_LOST, term=self._term)

    async def _wait_and_campaign(self) -> None:
        await self._clock.sleep(self._choose_campaign_delay())
        if not self._acceptor.is_free(self._clock.monotonic()):
            return
        if await self.campaign():
            self._failed_campaigns = 0
        else:
            self._failed_campaigns += 1

    def _choose_campaign_delay(self) -> timedelta:
        """Return a random delay that prevents repeated split votes.

        A candidate that waits for an unresponsive VM keeps its own vote for
        the whole timeout. After a failed campaign the delays are therefore
        spread over several timeouts.
        """
        spread = MIN_CAMPAIGN_DELAY * 2
        if self._failed_campaigns:
            doublings = min(
                self._failed_campaigns, MAX_CAMPAIGN_DELAY_DOUBLINGS
            )
            spread += self._settings.lease_timeout * 2**doublings
        return MIN_CAMPAIGN_DELAY + spread * self._random.random()

    async def _take_over(
        self, term: Term, sent_at: float, granted: list[LeaseAnswer]
    ) -> bool:
        records = [a.record for a in granted if a.record is not None]
        newest = max(
            records,
            key=lambda record: (record.term, record.sequence),
            default=RecordState(Term(0), 0, {}),
        )
        entries = dict(newest.entries)
        if len(records) < self._majority:
            entries[REBUILDING_KEY] = b""
        self.record_lost = REBUILDING_KEY in entries
        self._record = RecordState(term, 1, entries)
        self._term = term
        self._ends_at = float("-inf")
        if not await self._store_full_record():
            return False
        self._ends_at = sent_at + self._settings.lease_ms / 1000
        if self.record_lost:
            events.log(_log, PlacementEvent.RECORD_LOST, term=term)
        return self.is_held()

    def _choose_next_term(self, floor: int) -> Term:
        count = len(self._members)
        highest = max(self._highest_term, self._acceptor.promised_term, floor)
        return Term((highest // count + 1) * count + self._rank)

    def compute_term_floor(self, seen_number: int) -> int:
        """Return the floor for the next term, given an engine's number."""
        if not self.record_lost:
            return seen_number
        return seen_number + RECORD_LOST_SKIPPED_ROUNDS * len(self._members)

    def _update_highest_term(self, answers: Sequence[LeaseAnswer]) -> None:
        for answer in answers:
            self._highest_term = max(self._highest_term, answer.term)

    # Requests to the domain's VMs.

    def _is_granted(self, answers: list[LeaseAnswer]) -> bool:
        return sum(a.granted for a in answers) >= self._majority

    def _is_granted_with_record(self, answers: list[LeaseAnswer]) -> bool:
        count = sum(a.granted and a.knows_record for a in answers)
        return count >= self._majority

    async def _store_full_record(self) -> bool:
        async with self._write_lock:
            return await self._write_all(self._create_full_write())

    def _create_full_write(self) -> RecordWrite:
        return RecordWrite(
            term=self._term,
            sequence=self._record.sequence,
            full_record=self._record,
        )

    async def _write_all(self, message: RecordWrite) -> bool:
        full_write = self._create_full_write()

        async def write(vm: VmId) -> RecordAnswer:
            answer = await self._request(vm, message)
            if answer.needs_full_record:
                answer = await self._request(vm, full_write)
            return answer

        def is_stored(answers: list[RecordAnswer]) -> bool:
            return sum(a.stored for a in answers) >= self._majority

        answers = await self._collect_answers(write, is_stored)
        return is_stored(answers)

    async def _request_all(
        self, message: Message, is_enough: Callable[[list], bool]
    ) -> list:
        async def request(vm: VmId) -> Message:
            return await self._request(vm, message)

        return await self._collect_answers(request, is_enough)

    async def _collect_answers(
        self,
        request: Callable[[VmId], Awaitable[Message]],
        is_enough: Callable[[list], bool],
    ) -> list:
        """Query all members at once until ``is_enough`` or all are done."""
        answers: list = []
        async with anyio.create_task_group() as tasks:

            async def request_one(vm: VmId) -> None:
                try:
                    answers.append(await request(vm))
                except PeerError:
                    return
                if is_enough(answers):
                    tasks.cancel_scope.cancel()

            for vm in self._members:
                tasks.start_soon(request_one, vm)
        return answers

    async def _request(self, vm: VmId, message: Message) -> Message:
        if vm == self._own_vm:
            handlers = {
                LeaseCampaign: self._handle_campaign,
                LeaseRenewal: self._handle_renewal,
                RecordWrite: self._handle_write,
            }
            return await handlers[type(message)](vm, message)
        return await self._network.request(
            vm, message, self._settings.lease_timeout
        )

    def _send_release(self, term: Term) -> None:
        message = LeaseRelease(term=term)
        self._acceptor.handle_release(self._own_vm, message)
        for vm in self._members:
            if vm != self._own_vm:
                self._network.send(vm, message)

    # Acceptor.

    async def _handle_campaign(
        self, sender: VmId, message: Message
    ) -> LeaseAnswer:
        now = self._clock.monotonic()
        return self._acceptor.handle_campaign(sender, message, now)

    async def _handle_renewal(
        self, sender: VmId, message: Message
    ) -> LeaseAnswer:
        now = self._clock.monotonic()
        return self._acceptor.handle_renewal(sender, message, now)

    async def _handle_release(self, sender: VmId, message: Message) -> None:
        self._acceptor.handle_release(sender, message)

    async def _handle_write(
        self, sender: VmId, message: Message
    ) -> RecordAnswer:
        return self._acceptor.handle_write(sender, message)


def create_lease(
    settings: PlacementSettings,
    network: PeerNetwork,
    members: Sequence[VmId],
    clock: Clock,
    random: random_module.Random,
) -> Lease:
    """Return the lease of this VM's failure domain.

    :param members: all entry VMs of the domain, this one included.
    """
    return Lease(settings, network, members, clock, random)
