"""How the other parts see the VMs and targets of the deployment."""

import abc
from collections.abc import Callable
import enum

import msgspec

from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId


class MemberState(enum.Enum):
    """Liveness of a VM or target."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


class TargetKind(enum.Enum):
    """What stands behind a target's address."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.Enum):
    """Whether an engine checks the fencing number of an order."""

    ENFORCED = "enforced"
    IGNORED = "ignored"


class TargetInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What the settings say of a target."""

    target: TargetId
    kind: TargetKind
    business: Business
    failure_domain: FailureDomain
    region: Region
    host: str
    """IP number."""
    port: int
    fencing: Fencing = Fencing.ENFORCED
    service: ItemName | None = None
    """Name of the plain service; services only."""


class VmInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What the settings say of an entry VM."""

    vm: VmId
    business: Business
    failure_domain: FailureDomain
    region: Region
    host: str
    """IP number."""
    port: int
    """Port of the peer listener."""


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """State of one target as this VM knows it."""

    info: TargetInfo
    state: MemberState
    ready_items: frozenset[ItemName] = frozenset()
    """Models and adapters that are ready; NAME@VERSION for each."""
    running: int = 0
    waiting: int = 0
    reported_at: float = 0.0
    """Monotonic seconds at which the report was received."""

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent to the target."""
        return self.state in (MemberState.LIVE, MemberState.SUSPECT)


class MembershipView(abc.ABC):
    """The VMs and targets as this VM knows them."""

    @abc.abstractmethod
    def get_targets(self) -> dict[TargetId, TargetView]:
        """Return all targets by name."""

    @abc.abstractmethod
    def get_vm_state(self, vm: VmId) -> MemberState:
        """Return the liveness of a VM."""

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after every change."""
