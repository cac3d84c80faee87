"""Messages that spread the fleet's state and the demand for items."""

import msgspec

from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import PendingLoad
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.routes.document import PackedRoutes


@register_message("fleet.poll")
class FleetPoll(Message, frozen=True, kw_only=True, array_like=True):
    """Asks a VM for what is new; answered when there is something."""

    epoch: str
    """The source's numbering that ``revision`` belongs to."""
    revision: int
    routes_version: int
    control_vms: tuple[VmId, ...]
    hold_ms: int
    """Longest time to wait for news."""
    entry_vm_count: int
    """Entry VMs that follow by way of the asking VM, itself included."""


@register_message("fleet.news")
class FleetUpdate(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a FleetPoll."""

    epoch: str
    revision: int
    is_complete: bool
    """Whether the answering VM has known all targets since its start."""
    is_snapshot: bool
    """Whether targets that are not named are gone."""
    changed: tuple[FleetTarget, ...] = ()
    removed: tuple[TargetId, ...] = ()
    pending_loads: tuple[PendingLoad, ...] = ()
    """Every load that is under way or planned."""
    routes: PackedRoutes | None = None
    """Routes newer than the asking VM's."""
    control_vms: tuple[VmId, ...] | None = None
    """The control VMs, if they are not those that the asking VM named."""
    detached_ms: int
    """Time since the answering VM was certainly up to date."""
    entry_vm_count: int
    """Entry VMs of the deployment."""


class ItemDemand(msgspec.Struct, frozen=True, array_like=True):
    """What one VM's callers want of one item."""

    item: ItemKey
    arrivals: int
    """Requests that arrived since the report before."""
    running: int
    waiting: int


@register_message("fleet.demand")
class DemandReport(Message, frozen=True, kw_only=True, array_like=True):
    """Tells the VM that gives orders what callers want."""

    entry_vm: VmId
    items: tuple[ItemDemand, ...]
