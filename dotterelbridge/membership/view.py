"""Interface through which other components see VMs and targets."""

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
    """Kind of process that serves a target's address."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.Enum):
    """Whether an engine rejects orders with an outdated fencing number."""

    ENFORCED = "enforced"
    IGNORED = "ignored"


class TargetInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of one target."""

    target: TargetId
    kind: TargetKind
    business: Business
    failure_domain: FailureDomain
    region: Region
    host: str
    """IP address."""
    port: int
    fencing: Fencing = Fencing.ENFORCED
    service: ItemName | None = None
    """Name of the plain service; None for engines."""


class VmInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of one entry VM."""

    vm: VmId
    business: Business
    failure_domain: FailureDomain
    region: Region
    host: str
    """IP address."""
    port: int
    """Port of the peer listener."""


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """State of one target as this VM knows it."""

    info: TargetInfo
    state: MemberState
    ready_items: frozenset[ItemName] = frozenset()
    """Keys (NAME@VERSION) of the models and adapters that are ready."""
    running: int = 0
    waiting: int = 0
    reported_at: float = 0.0
    """Monotonic time in seconds at which the load was reported."""

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent to the target."""
        return self.state in (MemberState.LIVE, MemberState.SUSPECT)


class MembershipView(abc.ABC):
    """The VMs and targets, with their state as this VM knows it."""

    @abc.abstractmethod
    def get_targets(self) -> dict[TargetId, TargetView]:
        """Return all targets by name."""

    @abc.abstractmethod
    def get_vm_state(self, vm: VmId) -> MemberState:
        """Return the liveness of a VM."""

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change."""
