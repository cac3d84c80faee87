"""Messages between daemons to distribute, submit and query the sheet."""

import enum

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.sheet.delta import SheetDelta
from dotterelbridge.sheet.faults import SheetFault
from dotterelbridge.sheet.state_machine import SubmitOutcome


@register_message("sheet-poll")
class SheetPoll(Message):
    """Requests the changes after a revision from a source."""

    revision: Revision
    """The revision that is active at the subscriber."""
    hold_ms: int
    """Maximum time to wait for an update before an empty reply."""


class PackedSheet(msgspec.Struct, frozen=True, kw_only=True):
    """A full sheet with its rows compressed."""

    revision: Revision
    number: SheetNumber
    digest: str
    rows_packed: bytes


@register_message("sheet-news")
class SheetNews(Message):
    """Reply to a poll: deltas, a full sheet, or neither."""

    revision: Revision
    """The revision that is active at the source."""
    detached_ms: int
    """Time since the last contact with the log, directly or via others."""
    deltas: tuple[SheetDelta, ...] = ()
    whole: PackedSheet | None = None
    """The full sheet, when the subscriber is too far behind for deltas."""


class SubmitFailure(enum.Enum):
    """Why a forwarded submission has no outcome."""

    FAULTY = "faulty"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@register_message("sheet-submit")
class SheetSubmission(Message):
    """A submission forwarded to a control VM."""

    number: SheetNumber
    content_packed: bytes
    """The CSV, compressed with zlib."""
    timeout_ms: int


@register_message("sheet-submitted")
class SheetSubmitted(Message):
    """Reply to a forwarded submission: an outcome or a failure."""

    outcome: SubmitOutcome | None = None
    failure: SubmitFailure | None = None
    problem: str = ""
    faults: tuple[SheetFault, ...] = ()


class VmSheetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The active sheet of one VM."""

    vm: VmId
    failure_domain: FailureDomain
    reachable: bool
    revision: Revision | None = None
    number: SheetNumber | None = None
    digest: str | None = None
    detached_ms: int | None = None


@register_message("sheet-status-request")
class SheetStatusRequest(Message):
    """Requests the status of the receiver, or of all VMs that it reaches."""

    all_vms: bool


@register_message("sheet-status")
class SheetStatus(Message):
    """Reply to a status request."""

    vms: tuple[VmSheetStatus, ...]
