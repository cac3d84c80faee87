"""The placement lease of one failure domain, and its order record.

A VM holds the lease when a majority of the domain's entry VMs granted it
a term; it counts the lease from the moment it asked, and the granting VMs
count it from the answer and a drift margin longer. A term is unique: it
is a round times the number of VMs plus the rank of the VM that asks. The
term is also the fencing number of the holder's orders.
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

REBUILD_ROUNDS = 1000
"""Rounds skipped above the engines' highest number when the record of
earlier terms is lost: room for terms that no engine has seen yet."""

REBUILDING_KEY = "rebuilding"
"""Entry of a record that may lack orders of an earlier holder."""

CAMPAIGN_WAIT = timedelta(milliseconds=100)

CAMPAIGN_DOUBLINGS = 3
"""Doublings of the spread of campaigns after as many failures."""

_log = structlog.get_logger(__name__)
_elections = metrics.meter.create_counter(
    "dotterelbridge.placement.elections",
    description="Campaigns for the placement lease, by outcome",
)


class Lease(Dumpable):
    """This VM's part in the lease: candidate, holder and acceptor."""

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
        self._own = network.own_id
        self._members = sorted(members)
        self._clock = clock
        self._random = random
        self._rank = self._members.index(self._own)
        self._majority = len(self._members) // 2 + 1
        member = MemberId(f"{self._own}/{random.getrandbits(48):012x}")
        self._acceptor = LeaseAcceptor(
            member,
            settings.lease_ms / 1000,
            settings.drift_margin_s,
            clock.monotonic(),
            alone=len(self._members) == 1,
        )
        self._term = Term(0)
        self._ends_at = float("-inf")
        self._highest_term = Term(0)
        self._record = RecordState(Term(0), 0, {})
        self._failures = 0
        self._write_lock = anyio.Lock()
        self.record_lost = False
        """Whether earlier orders may be missing from the record."""
        network.handle(LeaseCampaign, self._handle_campaign)
        network.handle(LeaseRenewal, self._handle_renewal)
        network.handle(LeaseRelease, self._handle_release)
        network.handle(RecordWrite, self._handle_write)

    # The holder's side.

    @property
    def term(self) -> Term:
        """Term of the lease held, and the fencing number of orders."""
        return self._term

    @property
    def record(self) -> RecordState:
        """The order record as the holder last wrote it."""
        return self._record

    @property
    def holder(self) -> VmId | None:
        """VM that this VM believes to hold the lease."""
        if self.is_held():
            return self._own
        return self._acceptor.holder

    def is_held(self) -> bool:
        """Whether this VM may act; false a little before the end."""
        guard_s = self._settings.drift_ms / 1000
        return self._clock.monotonic() < self._ends_at - guard_s

    def check(self) -> None:
        """Raise LeaseLost unless this VM holds the lease now."""
        if not self.is_held():
            raise LeaseLost(
                f"{self._own} does not hold the placement lease",
                "nothing to do: the domain's next holder goes on",
            )

    async def run(self) -> None:
        """Campaign while the lease is free, renew while it is held."""
        while True:
            if self.is_held():
                await self._hold()
            else:
                await self._stand_by()

    async def campaign(self, floor: int = 0) -> bool:
        """Ask for a term above all known ones and above ``floor``."""
        term = self._next_term(floor)
        self._highest_term = term
        sent_at = self._clock.monotonic()
        message = LeaseCampaign(term=term, lease_ms=self._settings.lease_ms)
        answers = await self._ask_all(message, self._has_known_majority)
        self._note_terms(answers)
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
        """Ask for a longer lease; False when no majority agreed."""
        sent_at = self._clock.monotonic()
        term = self._term
        message = LeaseRenewal(
            term=term,
            lease_ms=self._settings.lease_ms,
            sequence=self._record.sequence,
        )
        answers = await self._ask_all(message, self._is_granted)
        self._note_terms(answers)
        granted = [a for a in answers if a.granted]
        if len(granted) < self._majority or term != self._term:
            return False
        self._ends_at = sent_at + self._settings.lease_ms / 1000
        if any(a.record_sequence != self._record.sequence for a in granted):
            await self._store_whole()
        return True

    async def write_record(self, changes: Sequence[RecordChange]) -> None:
        """Store changes of the record at a majority.

        :raises LeaseLost: no majority stored them, or the lease ended.
        """
        async with self._write_lock:
            self.check()
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
        self.check()

    async def finish_rebuild(self) -> None:
        """Note that every order missing from the record is dead."""
        await self.write_record([RecordChange(REBUILDING_KEY, None)])
        self.record_lost = False

    async def release(self) -> None:
        """Give the lease back, at shutdown, so that another VM goes on."""
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
            "promised": self._acceptor.promised,
            "knows_record": self._acceptor.knows_record,
            "record_entries": len(self._record.entries),
            "record_lost": self.record_lost,
        }

    async def _hold(self) -> None:
        await self._clock.sleep(
            timedelta(milliseconds=self._settings.renew_ms)
        )
        await self.renew()
        if not self.is_held():
            events.log(_log, PlacementEvent.LEASE_LOST, term=self._term)

    async def _stand_by(self) -> None:
        await self._clock.sleep(self._choose_wait())
        if not self._acceptor.is_free(self._clock.monotonic()):
            return
        if await self.campaign():
            self._failures = 0
        else:
            self._failures += 1

    def _choose_wait(self) -> timedelta:
        """Return a wait that keeps candidates from splitting the votes.

        A candidate whose campaign waits for a silent VM holds its own
        vote for the whole timeout; after a failure the waits are spread
        over several of these.
        """
        spread = CAMPAIGN_WAIT * 2
        if self._failures:
            doublings = min(self._failures, CAMPAIGN_DOUBLINGS)
            spread += self._settings.lease_timeout * 2**doublings
        return CAMPAIGN_WAIT + spread * self._random.random()

    async def _take_over(
        self, term: Term, sent_at: float, granted: list[LeaseAnswer]
    ) -> bool:
        known = [a.record for a in granted if a.record is not None]
        newest = max(
            known,
            key=lambda record: (record.term, record.sequence),
            default=RecordState(Term(0), 0, {}),
        )
        entries = dict(newest.entries)
        if len(known) < self._majority:
            entries[REBUILDING_KEY] = b""
        self.record_lost = REBUILDING_KEY in entries
        self._record = RecordState(term, 1, entries)
        self._term = term
        self._ends_at = float("-inf")
        if not await self._store_whole():
            return False
        self._ends_at = sent_at + self._settings.lease_ms / 1000
        if self.record_lost:
            events.log(_log, PlacementEvent.RECORD_LOST, term=term)
        return self.is_held()

    def _next_term(self, floor: int) -> Term:
        count = len(self._members)
        highest = max(self._highest_term, self._acceptor.promised, floor)
        return Term((highest // count + 1) * count + self._rank)

    def floor_above(self, number: int) -> int:
        """Return a floor for terms when ``number`` was seen at an engine."""
        if not self.record_lost:
            return number
        return number + REBUILD_ROUNDS * len(self._members)

    def _note_terms(self, answers: Sequence[LeaseAnswer]) -> None:
        for answer in answers:
            self._highest_term = max(self._highest_term, answer.term)

    # Exchanges with the domain's VMs.

    def _is_granted(self, answers: list[LeaseAnswer]) -> bool:
        return sum(a.granted for a in answers) >= self._majority

    def _has_known_majority(self, answers: list[LeaseAnswer]) -> bool:
        known = sum(a.granted and a.knows_record for a in answers)
        return known >= self._majority

    async def _store_whole(self) -> bool:
        async with self._write_lock:
            return await self._write_all(self._create_whole_write())

    def _create_whole_write(self) -> RecordWrite:
        return RecordWrite(
            term=self._term,
            sequence=self._record.sequence,
            whole=self._record,
        )

    async def _write_all(self, message: RecordWrite) -> bool:
        whole = self._create_whole_write()

        async def write(vm: VmId) -> RecordAnswer:
            answer = await self._ask(vm, message)
            if answer.needs_whole:
                answer = await self._ask(vm, whole)
            return answer

        def is_stored(answers: list[RecordAnswer]) -> bool:
            return sum(a.stored for a in answers) >= self._majority

        answers = await self._gather(write, is_stored)
        return is_stored(answers)

    async def _ask_all(
        self, message: Message, enough: Callable[[list], bool]
    ) -> list:
        async def ask(vm: VmId) -> Message:
            return await self._ask(vm, message)

        return await self._gather(ask, enough)

    async def _gather(
        self,
        ask: Callable[[VmId], Awaitable[Message]],
        enough: Callable[[list], bool],
    ) -> list:
        """Ask all members at once until ``enough`` or all are done."""
        answers: list = []
        async with anyio.create_task_group() as tasks:

            async def ask_one(vm: VmId) -> None:
                try:
                    answers.append(await ask(vm))
                except PeerError:
                    return
                if enough(answers):
                    tasks.cancel_scope.cancel()

            for vm in self._members:
                tasks.start_soon(ask_one, vm)
        return answers

    async def _ask(self, vm: VmId, message: Message) -> Message:
        if vm == self._own:
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
        self._acceptor.handle_release(self._own, message)
        for vm in self._members:
            if vm != self._own:
                self._network.send(vm, message)

    # The acceptor's side.

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
    """Return this VM's part in its failure domain's lease.

    :param members: all entry VMs of the domain, this one included.
    """
    return Lease(settings, network, members, clock, random)
