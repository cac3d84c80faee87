"""Messages that distribute the fleet state and report demand."""

import msgspec

from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import PendingLoad
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.permits.messages import RateLimit
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot
from dotterelbridge.routes.document import PackedRoutes
from dotterelbridge.teams.permission import UNCONFIRMED_MS


@register_message("fleet.poll")
class FleetPoll(Message, frozen=True, kw_only=True, array_like=True):
    """Asks a VM for changes; answered when there are some (long poll)."""

    epoch: str
    """The source's epoch, within which ``revision`` is meaningful."""
    revision: int
    routes_version: int
    control_vms: tuple[VmId, ...]
    hold_ms: int
    """Longest time to wait for changes before answering."""
    entry_vm_count: int
    """Entry VMs that follow through the polling VM, itself included."""
    quarantine_version: int = 0


@register_message("fleet.news")
class FleetUpdate(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a FleetPoll."""

    epoch: str
    revision: int
    is_complete: bool
    """Whether the answering VM has learned of all targets since it started."""
    is_snapshot: bool
    """Whether ``changed`` lists all targets, so that others are gone."""
    changed: tuple[FleetTarget, ...] = ()
    removed: tuple[TargetId, ...] = ()
    pending_loads: tuple[PendingLoad, ...] = ()
    """Every load that is executing or planned."""
    routes: PackedRoutes | None = None
    """Routes newer than those of the polling VM, if any."""
    control_vms: tuple[VmId, ...] | None = None
    """The control VMs, if they differ from those in the poll."""
    detached_ms: int
    """Time since the answering VM was last known to be up to date."""
    entry_vm_count: int
    """Number of entry VMs in the deployment."""
    quarantine: QuarantineSnapshot | None = None
    """A version newer than that of the polling VM, if any."""
    rate_limits: tuple[RateLimit, ...] = ()
    """Every limit in force that a target has named."""
    watched_traits: tuple[TraitId, ...] = ()
    """Traits of which VMs report complete answers."""
    lifted_rate_limits: tuple[RateLimit, ...] = ()
    """Limits that have ended. A limit that is in neither list may still be
    in force, as the answering VM may have restarted since."""
    confirmed_ms: int = UNCONFIRMED_MS
    """Time since the routes of the answering VM were known to include all
    that were acknowledged; 0 on the leader of the log."""


class ItemDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one entry VM's callers for one item."""

    item: ItemKey
    arrivals: int
    """Requests that arrived since the previous report."""
    running: int
    waiting: int


class TargetAnswers(msgspec.Struct, frozen=True, array_like=True):
    """Answers that one entry VM got from one incarnation of a target."""

    target: TargetId
    born: int
    answered: int
    """Requests answered without a server error."""
    errors: int
    """Requests answered with a server error."""


class StreamGap(msgspec.Struct, frozen=True, array_like=True):
    """Time between the events of the streams of one model at one target."""

    target: TargetId
    born: int
    model: str
    streams: int
    gap_ms: float
    """Median over the streams of their median time between two events."""


@register_message("fleet.demand")
class DemandReport(Message, frozen=True, kw_only=True, array_like=True):
    """Reports the demand of an entry VM's callers to the active controller."""

    entry_vm: VmId
    items: tuple[ItemDemand, ...]
    answered_traits: tuple[TraitId, ...] = ()
    """Traits of requests that were answered completely since the previous
    report."""
    answers: tuple[TargetAnswers, ...] = ()
    """Answers since the previous report, where there were any."""
    stream_gaps: tuple[StreamGap, ...] = ()
    """Measurements since the previous report."""
