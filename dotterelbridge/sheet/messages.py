"""Messages between daemons about the sheet."""

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
    """Asks a source for what came after a revision."""

    revision: Revision
    """The revision in force at the subscriber."""
    hold_ms: int
    """Longest time to wait for news before an empty answer."""


class PackedSheet(msgspec.Struct, frozen=True, kw_only=True):
    """A whole sheet with its rows compressed."""

    revision: Revision
    number: SheetNumber
    digest: str
    rows_packed: bytes


@register_message("sheet-news")
class SheetNews(Message):
    """Answer to a poll."""

    revision: Revision
    """The revision in force at the source."""
    detached_ms: int
    """Time since the source had contact to the log, by way of others."""
    deltas: tuple[SheetDelta, ...] = ()
    whole: PackedSheet | None = None
    """Sent when the subscriber is too far behind for deltas."""


class SubmitFailure(enum.Enum):
    """Why a forwarded submission has no outcome."""

    FAULTY = "faulty"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@register_message("sheet-submit")
class SheetSubmission(Message):
    """A submission forwarded to a VM that holds the log."""

    number: SheetNumber
    content_packed: bytes
    """The CSV, compressed with zlib."""
    timeout_ms: int


@register_message("sheet-submitted")
class SheetSubmitted(Message):
    """Answer to a forwarded submission: an outcome or a failure."""

    outcome: SubmitOutcome | None = None
    failure: SubmitFailure | None = None
    problem: str = ""
    faults: tuple[SheetFault, ...] = ()


class VmSheetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The sheet in force on one VM."""

    vm: VmId
    failure_domain: FailureDomain
    reachable: bool
    revision: Revision | None = None
    number: SheetNumber | None = None
    digest: str | None = None
    detached_ms: int | None = None


@register_message("sheet-status-request")
class SheetStatusRequest(Message):
    """Asks for the status of one VM, or of all that it reaches."""

    all_vms: bool


@register_message("sheet-status")
class SheetStatus(Message):
    """Answer to a status request."""

    vms: tuple[VmSheetStatus, ...]
