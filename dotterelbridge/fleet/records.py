"""What is known of the targets, and how it is written on the wire."""

import enum

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId


class TargetPhase(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class ItemKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A model of a service, or one of its adapters."""

    service: ItemName
    model: str
    adapter: str = ""
    """Empty for the model itself."""

    @property
    def base_model(self) -> "ItemKey":
        """The model that the item is, or belongs to."""
        if not self.adapter:
            return self
        return ItemKey(self.service, self.model)


class HeldModel(msgspec.Struct, frozen=True, array_like=True):
    """A model in a target's memory, with its adapters."""

    model: str
    version: int = 0
    adapters: frozenset[str] = frozenset()


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a target reported of its work, some hundred ms late."""

    running: int = 0
    waiting: int = 0
    kv_tokens_used: int = 0


class FleetTarget(msgspec.Struct, frozen=True, array_like=True):
    """One target, as the platform lists it and the VMs tell each other."""

    target: TargetId
    born: int
    """Unix time of the target's start in ms; tells its lives apart."""
    service: ItemName
    host: str
    """IP number."""
    port: int
    failure_domain: FailureDomain
    slots: int
    phase: TargetPhase
    held: tuple[HeldModel, ...] = ()
    load: TargetLoad = TargetLoad()
    is_silent: bool = False
    """Whether the VM that gives orders could not read its last reports."""

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent to the target."""
        return self.phase is TargetPhase.READY

    def holds(self, model: str, adapter: str = "") -> bool:
        """Whether a model, and an adapter of it, are loaded."""
        for held in self.held:
            if held.model == model:
                return not adapter or adapter in held.adapters
        return False


class PendingLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that is under way or planned."""

    item: ItemKey
    ready_in_ms: int
