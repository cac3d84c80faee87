"""Messages that spread the fleet's state and the demand for items."""

import msgspec

from dotterelbridge.fleet.records import Expectation
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
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
    roster: tuple[VmId, ...]
    hold_ms: int
    """Longest time to wait for news."""
    entry_vms: int
    """Entry VMs that follow by way of the asking VM, itself included."""


@register_message("fleet.news")
class FleetNews(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a FleetPoll."""

    epoch: str
    revision: int
    is_primed: bool
    """Whether the answering VM has known all targets since its start."""
    is_whole: bool
    """Whether targets that are not named are gone."""
    changed: tuple[FleetTarget, ...] = ()
    removed: tuple[TargetId, ...] = ()
    expected: tuple[Expectation, ...] = ()
    """Every load that is under way or planned."""
    routes: PackedRoutes | None = None
    """Routes newer than the asking VM's."""
    roster: tuple[VmId, ...] | None = None
    """The control VMs, if they are not those that the asking VM named."""
    detached_ms: int
    """Time since the answering VM was certainly up to date."""
    entry_vms: int
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
