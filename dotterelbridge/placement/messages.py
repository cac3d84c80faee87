"""Messages of the placement part."""

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class RecordChange(msgspec.Struct, frozen=True, array_like=True):
    """One changed entry of the order record; None removes the key."""

    key: str
    value: bytes | None


class RecordState(msgspec.Struct, frozen=True, array_like=True):
    """The full order record, with the term and number of its last write."""

    term: Term
    sequence: int
    entries: dict[str, bytes]


@register_message("lease_campaign")
class LeaseCampaign(Message, frozen=True, kw_only=True, array_like=True):
    """Requests the lease under a new term."""

    term: Term
    lease_ms: int


@register_message("lease_renewal")
class LeaseRenewal(Message, frozen=True, kw_only=True, array_like=True):
    """Requests an extension of the lease of a term."""

    term: Term
    lease_ms: int
    sequence: int
    """Sequence number of the last write to the order record."""


@register_message("lease_answer")
class LeaseAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Answer to a campaign or renewal."""

    granted: bool
    term: Term
    """Highest term that the VM has promised."""
    member: MemberId
    knows_record: bool = False
    """False for a VM that restarted and has not stored the record since."""
    record_sequence: int = 0
    record: RecordState | None = None
    """Set only in the answer to a granted campaign."""


@register_message("lease_release")
class LeaseRelease(Message, frozen=True, kw_only=True, array_like=True):
    """Releases the lease of a term before it expires."""

    term: Term


@register_message("record_write")
class RecordWrite(Message, frozen=True, kw_only=True, array_like=True):
    """Writes the order record, either as changes or as a full copy."""

    term: Term
    sequence: int
    changes: tuple[RecordChange, ...] = ()
    full_record: RecordState | None = None


@register_message("record_answer")
class RecordAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Answer to a record write."""

    stored: bool
    term: Term
    needs_full_record: bool = False
    """Whether the VM lacks the write that the changes are based on."""


class ItemRate(msgspec.Struct, frozen=True, array_like=True):
    """Smoothed demand for one item at one VM."""

    rate: float
    """Requests per second; urgent and missed requests count twice."""
    waiting: int = 0
    """Requests that are waiting now."""


@register_message("demand_report")
class DemandReport(Message, frozen=True, kw_only=True, array_like=True):
    """Demand at one VM that changed since its last report."""

    is_full: bool
    """Whether items that are not listed have no demand; otherwise their
    demand has not changed."""
    rates: dict[ItemName, ItemRate]


class TargetState(msgspec.Struct, frozen=True, kw_only=True):
    """One accelerator, as recorded in the lease holder's memory ledger."""

    target: TargetId
    memory_mb: int
    committed_mb: int
    kv_mb: int
    fencing: str
    fencing_number: int
    leaving: bool
    overfull: bool
    loaded: dict[str, str]
    """Load state of each item on the accelerator."""
    ordered: tuple[str, ...]
    """Orders that may still take effect."""


@register_message("placement_state_request")
class PlacementStateRequest(Message, frozen=True, kw_only=True):
    """Requests the placement state of the receiver's failure domain."""

    forward: bool
    """Whether a receiver that does not hold the lease asks the holder."""


@register_message("placement_state")
class PlacementState(Message, frozen=True, kw_only=True):
    """Placement state of a failure domain, from its lease holder."""

    domain: FailureDomain
    holder: VmId | None = None
    """None while the domain has no lease holder that answers."""
    paused: bool = False
    targets: tuple[TargetState, ...] = ()
    unreachable: dict[ItemName, str] = msgspec.field(default_factory=dict)
    absent: dict[ItemName, str] = msgspec.field(default_factory=dict)
    last_move: str = ""
