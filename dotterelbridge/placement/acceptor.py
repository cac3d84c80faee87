"""One VM's part in granting the lease and storing the order record.

The lease and the record form one register per failure domain in the
manner of Paxos: a grant is a promise to a term, the record is the value
accepted last. All state is volatile. A VM that starts with nothing grants
nothing until every lease that its earlier life may have granted has
ended, and does not count as knowing the record until it has stored one.
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
    """Grants, and the newest order record, at one VM."""

    def __init__(
        self,
        member: MemberId,
        lease_s: float,
        drift_margin_s: float,
        now: float,
        alone: bool = False,
    ) -> None:
        self.member = member
        self._lease_s = lease_s
        self._drift_margin_s = drift_margin_s
        self._grants_from = now + lease_s + drift_margin_s
        self._promised = Term(0)
        self._holder: VmId | None = None
        self._ends_at = float("-inf")
        self._record = EMPTY_RECORD
        self._knows_record = False
        self._least_position = (Term(0), 0)
        if alone:
            # The only VM of the domain: no one else can hold the lease.
            self._grants_from = now

    @property
    def promised(self) -> Term:
        """Highest term that was granted."""
        return self._promised

    @property
    def holder(self) -> VmId | None:
        """VM that the lease was last granted to."""
        return self._holder

    @property
    def knows_record(self) -> bool:
        """Whether this life has stored the record."""
        return self._knows_record

    def is_free(self, now: float) -> bool:
        """Whether a new holder could get a grant."""
        return now >= self._grants_from and now >= self._ends_at

    def handle_campaign(
        self, candidate: VmId, message: LeaseCampaign, now: float
    ) -> LeaseAnswer:
        """Grant a new term unless another VM's lease runs."""
        held_by_other = now < self._ends_at and self._holder != candidate
        refused = (
            now < self._grants_from
            or held_by_other
            or message.term <= self._promised
            or message.lease_ms > self._lease_s * 1000
        )
        if refused:
            return self._answer(granted=False)
        self._grant(candidate, message.term, message.lease_ms, now)
        return self._answer(granted=True, with_record=True)

    def handle_renewal(
        self, holder: VmId, message: LeaseRenewal, now: float
    ) -> LeaseAnswer:
        """Extend the lease of the promised term, or join a running one."""
        joins = message.term > self._promised and now >= self._ends_at
        extends = message.term == self._promised and holder == self._holder
        if now < self._grants_from or not (joins or extends):
            return self._answer(granted=False)
        self._grant(holder, message.term, message.lease_ms, now)
        if not self._knows_record:
            # A write from before this VM restarted may still arrive.
            self._least_position = (message.term, message.sequence)
        return self._answer(granted=True)

    def handle_release(self, holder: VmId, message: LeaseRelease) -> None:
        """End the lease early."""
        if message.term == self._promised and holder == self._holder:
            self._ends_at = float("-inf")

    def handle_write(self, holder: VmId, message: RecordWrite) -> RecordAnswer:
        """Store the record for the VM that the promised term belongs to."""
        if message.term != self._promised or holder != self._holder:
            return self._answer_write(stored=False)
        if message.whole is not None:
            return self._store_whole(message.whole)
        if not self._continues(message):
            return self._answer_write(stored=False, needs_whole=True)
        entries = apply_changes(self._record.entries, message.changes)
        self._store(RecordState(message.term, message.sequence, entries))
        return self._answer_write(stored=True)

    def _store_whole(self, record: RecordState) -> RecordAnswer:
        old = self._record
        position = (record.term, record.sequence)
        least = max((old.term, old.sequence), self._least_position)
        if position < least:
            return self._answer_write(stored=False)
        self._store(record)
        return self._answer_write(stored=True)

    def _answer_write(
        self, *, stored: bool, needs_whole: bool = False
    ) -> RecordAnswer:
        return RecordAnswer(
            stored=stored, term=self._promised, needs_whole=needs_whole
        )

    def _continues(self, message: RecordWrite) -> bool:
        return (
            self._knows_record
            and self._record.term == message.term
            and self._record.sequence == message.sequence - 1
        )

    def _store(self, record: RecordState) -> None:
        old = self._record
        invariants.check(
            (record.term, record.sequence) >= (old.term, old.sequence),
            "order record never goes back",
            old=(old.term, old.sequence),
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
            term >= self._promised,
            "terms never fall",
            term=term,
            promised=self._promised,
        )
        self._promised = term
        self._holder = holder
        self._ends_at = now + lease_ms / 1000 + self._drift_margin_s

    def _answer(
        self, *, granted: bool, with_record: bool = False
    ) -> LeaseAnswer:
        shown = with_record and self._knows_record
        return LeaseAnswer(
            granted=granted,
            term=self._promised,
            member=self.member,
            knows_record=self._knows_record,
            record_sequence=self._record.sequence,
            record=self._record if shown else None,
        )


def apply_changes(
    entries: dict[str, bytes], changes: tuple[RecordChange, ...]
) -> dict[str, bytes]:
    """Return the entries with the changes made."""
    result = dict(entries)
    for change in changes:
        if change.value is None:
            result.pop(change.key, None)
        else:
            result[change.key] = change.value
    return result
