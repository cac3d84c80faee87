"""Records of targets and items, as they are encoded on the wire."""

import enum

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.ids import TargetId


class TargetPhase(enum.Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class ItemKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a model of a service, or one of the model's adapters."""

    service: ItemName
    model: str
    adapter: str = ""
    """Empty for the model itself."""

    @property
    def base_model(self) -> "ItemKey":
        """Key of the model itself, without an adapter."""
        if not self.adapter:
            return self
        return ItemKey(self.service, self.model)


class HeldModel(msgspec.Struct, frozen=True, array_like=True):
    """A model in a target's memory, with its adapters."""

    model: str
    version: int = 0
    adapters: frozenset[str] = frozenset()


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """A target's load as it reported it, some hundred ms ago."""

    running: int = 0
    waiting: int = 0
    kv_tokens_used: int = 0
    event_gap_ms: int = 0
    """Mean time between two events of a stream; 0 while unknown."""
    speed_percent: int = 100
    """Time of a step in percent of what is usual for the same models; 160
    means that a step takes 1.6 times as long."""
    error_percent: int = 0
    """Share of requests that ended with a server error, over all VMs."""
    kv_tokens_running: int = 0
    """Tokens in memory of the running requests, without those that are only
    cached; 0 while unknown."""
    events_made: int = 0
    """Events that the running requests have generated so far."""


class FleetTarget(msgspec.Struct, frozen=True, array_like=True):
    """One target, as the platform lists it and VMs exchange it."""

    target: TargetId
    born: int
    """Unix time of the target's start in ms; identifies its incarnation."""
    service: ItemName
    host: str
    """IP address."""
    port: int
    failure_domain: FailureDomain
    slots: int
    phase: TargetPhase
    held: tuple[HeldModel, ...] = ()
    load: TargetLoad = TargetLoad()
    is_silent: bool = False
    """Whether the active controller could not read its latest reports."""
    software: SoftwareVersion = SoftwareVersion("")
    """As the platform lists it; versions have no order."""

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent to the target."""
        return self.phase is TargetPhase.READY

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether a model, and its adapter if one is given, are loaded."""
        for held in self.held:
            if held.model == model:
                return not adapter or adapter in held.adapters
        return False


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that is executing or planned."""

    item: ItemKey
    ready_in_ms: int
