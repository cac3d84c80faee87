"""The acceptor role of one VM for the placement lease and order record.

The lease and the order record of a failure domain form a register in the
manner of Paxos: granting the lease promises a term, and the record is the
value accepted last. All state is in memory only. After a restart a VM
therefore grants nothing until every lease that its previous incarnation may
have granted has ended, and it does not count as knowing the record until it
has stored one.
"""

from dotterelbridge import invariants
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.placement.messages import LeaseAnswer
from dotterelbridge.placement.messages import LeaseCampaign
from dotterelbridge.placement.messages import LeaseRelease
from dotterelbridge.placement.messages import LeaseRenewal
from dotterelbridge.placement.messages import RecordAnswer
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.messages import RecordState
from dotterelbridge.placement.messages import RecordWrite

EMPTY_RECORD = RecordState(Term(0), 0, {})


class LeaseAcceptor:
    """Grants the lease and stores the newest order record on one VM."""

    def __init__(
        self,
        member: MemberId,
        lease_s: float,
        drift_margin_s: float,
        now: float,
        is_only_member: bool = False,
    ) -> None:
        self.member = member
        self._lease_s = lease_s
        self._drift_margin_s = drift_margin_s
        self._grants_allowed_at = now + lease_s + drift_margin_s
        self._promised_term = Term(0)
        self._holder: VmId | None = None
        self._ends_at = float("-inf")
        self._record = EMPTY_RECORD
        self._knows_record = False
        self._min_position = (Term(0), 0)
        if is_only_member:
            # No other VM of the domain can hold a lease.
            self._grants_allowed_at = now

    @property
    def promised_term(self) -> Term:
        """Highest term that this VM granted."""
        return self._promised_term

    @property
    def holder(self) -> VmId | None:
        """VM that this VM last granted the lease to."""
        return self._holder

    @property
    def knows_record(self) -> bool:
        """Whether this incarnation has stored the record."""
        return self._knows_record

    def is_free(self, now: float) -> bool:
        """Whether this VM could grant the lease to a new holder."""
        return now >= self._grants_allowed_at and now >= self._ends_at

    def handle_campaign(
        self, candidate: VmId, message: LeaseCampaign, now: float
    ) -> LeaseAnswer:
        """Grant a new term unless another VM's lease is still running."""
        held_by_other = now < self._ends_at and self._holder != candidate
        refused = (
            now < self._grants_allowed_at
            or held_by_other
            or message.term <= self._promised_term
            or message.lease_ms > self._lease_s * 1000
        )
        if refused:
            return self._create_answer(granted=False)
        self._grant(candidate, message.term, message.lease_ms, now)
        return self._create_answer(granted=True, with_record=True)

    def handle_renewal(
        self, holder: VmId, message: LeaseRenewal, now: float
    ) -> LeaseAnswer:
        """Extend the lease of the promised term, or join a newer one."""
        is_joining = (
            message.term > self._promised_term and now >= self._ends_at
        )
        is_extending = (
            message.term == self._promised_term and holder == self._holder
        )
        if now < self._grants_allowed_at or not (is_joining or is_extending):
            return self._create_answer(granted=False)
        self._grant(holder, message.term, message.lease_ms, now)
        if not self._knows_record:
            # Refuses writes from before the restart that arrive late.
            self._min_position = (message.term, message.sequence)
        return self._create_answer(granted=True)

    def handle_release(self, holder: VmId, message: LeaseRelease) -> None:
        """End the lease before it expires."""
        if message.term == self._promised_term and holder == self._holder:
            self._ends_at = float("-inf")

    def handle_write(self, holder: VmId, message: RecordWrite) -> RecordAnswer:
        """Store the record if the sender holds the promised term."""
        if message.term != self._promised_term or holder != self._holder:
            return self._create_write_answer(stored=False)
        if message.full_record is not None:
            return self._store_full_record(message.full_record)
        if not self._follows_stored_record(message):
            return self._create_write_answer(
                stored=False, needs_full_record=True
            )
        entries = apply_changes(self._record.entries, message.changes)
        self._store(RecordState(message.term, message.sequence, entries))
        return self._create_write_answer(stored=True)

    def _store_full_record(self, record: RecordState) -> RecordAnswer:
        stored = self._record
        position = (record.term, record.sequence)
        min_position = max((stored.term, stored.sequence), self._min_position)
        if position < min_position:
            return self._create_write_answer(stored=False)
        self._store(record)
        return self._create_write_answer(stored=True)

    def _create_write_answer(
        self, *, stored: bool, needs_full_record: bool = False
    ) -> RecordAnswer:
        return RecordAnswer(
            stored=stored,
            term=self._promised_term,
            needs_full_record=needs_full_record,
        )

    def _follows_stored_record(self, message: RecordWrite) -> bool:
        return (
            self._knows_record
            and self._record.term == message.term
            and self._record.sequence == message.sequence - 1
        )

    def _store(self, record: RecordState) -> None:
        stored = self._record
        invariants.check(
            (record.term, record.sequence) >= (stored.term, stored.sequence),
            "order record never goes back",
            old=(stored.term, stored.sequence),
            new=(record.term, record.sequence),
        )
        self._record = record
        self._knows_record = True

    def _grant(
        self, holder: VmId, term: Term, lease_ms: int, now: float
    ) -> None:
        invariants.check(
            now >= self._ends_at or holder == self._holder,
            "one lease holder at a time",
            holder=holder,
            running=self._holder,
        )
        invariants.check(
            term >= self._promised_term,
            "terms never fall",
            term=term,
            promised=self._promised_term,
        )
        self._promised_term = term
        self._holder = holder
        self._ends_at = now + lease_ms / 1000 + self._drift_margin_s

    def _create_answer(
        self, *, granted: bool, with_record: bool = False
    ) -> LeaseAnswer:
        includes_record = with_record and self._knows_record
        return LeaseAnswer(
            granted=granted,
            term=self._promised_term,
            member=self.member,
            knows_record=self._knows_record,
            record_sequence=self._record.sequence,
            record=self._record if includes_record else None,
        )


def apply_changes(
    entries: dict[str, bytes], changes: tuple[RecordChange, ...]
) -> dict[str, bytes]:
    """Return the entries with the changes applied."""
    result = dict(entries)
    for change in changes:
        if change.value is None:
            result.pop(change.key, None)
        else:
            result[change.key] = change.value
    return result
