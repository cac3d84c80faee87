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
    """A key of the order record and its new value, or None to drop it."""

    key: str
    value: bytes | None


class RecordState(msgspec.Struct, frozen=True, array_like=True):
    """The whole order record with its position."""

    term: Term
    sequence: int
    entries: dict[str, bytes]


@register_message("lease_campaign")
class LeaseCampaign(Message, frozen=True, kw_only=True, array_like=True):
    """Asks for the lease under a new term."""

    term: Term
    lease_ms: int


@register_message("lease_renewal")
class LeaseRenewal(Message, frozen=True, kw_only=True, array_like=True):
    """Asks to extend the lease of a term."""

    term: Term
    lease_ms: int
    sequence: int
    """Newest position of the order record."""


@register_message("lease_answer")
class LeaseAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Answer to a campaign or renewal."""

    granted: bool
    term: Term
    """Highest term that the VM has promised."""
    member: MemberId
    knows_record: bool = False
    """False for a VM that restarted and has not learnt the record yet."""
    record_sequence: int = 0
    record: RecordState | None = None
    """In the answer to a granted campaign only."""


@register_message("lease_release")
class LeaseRelease(Message, frozen=True, kw_only=True, array_like=True):
    """Gives the lease of a term back before it ends."""

    term: Term


@register_message("record_write")
class RecordWrite(Message, frozen=True, kw_only=True, array_like=True):
    """Stores the order record, as changes or whole."""

    term: Term
    sequence: int
    changes: tuple[RecordChange, ...] = ()
    whole: RecordState | None = None


@register_message("record_answer")
class RecordAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Answer to a record write."""

    stored: bool
    term: Term
    needs_whole: bool = False
    """The VM lacks the position that the changes start from."""


class ItemRate(msgspec.Struct, frozen=True, array_like=True):
    """Smoothed demand for one item at one VM."""

    rate: float
    """Requests a second; urgent and missed ones weigh double."""
    waiting: int = 0
    """Requests that wait now."""


@register_message("demand_report")
class DemandReport(Message, frozen=True, kw_only=True, array_like=True):
    """Demand at one VM that changed since its last report."""

    whole: bool
    """Whether items that are left out have no demand."""
    rates: dict[ItemName, ItemRate]


class TargetState(msgspec.Struct, frozen=True, kw_only=True):
    """One accelerator as the lease holder's ledger has it."""

    target: TargetId
    memory_mb: int
    committed_mb: int
    kv_mb: int
    fencing: str
    fencing_number: int
    leaving: bool
    overfull: bool
    loaded: dict[str, str]
    """State of each item that is there."""
    ordered: tuple[str, ...]
    """Orders that may still take effect."""


@register_message("placement_state_request")
class PlacementStateRequest(Message, frozen=True, kw_only=True):
    """Asks what the holder of the receiver's failure domain knows."""

    forward: bool
    """Whether a VM that is not the holder asks the holder."""


@register_message("placement_state")
class PlacementState(Message, frozen=True, kw_only=True):
    """What the lease holder of a failure domain knows."""

    domain: FailureDomain
    holder: VmId | None = None
    """None when the domain has no holder now."""
    paused: bool = False
    targets: tuple[TargetState, ...] = ()
    unreachable: dict[ItemName, str] = msgspec.field(default_factory=dict)
    absent: dict[ItemName, str] = msgspec.field(default_factory=dict)
    last_move: str = ""
