"""The interface of a model engine and the types it deals in.

docs/design/engine-protocol.md gives the HTTP protocol behind it.
"""

import abc
from datetime import timedelta
import enum

import msgspec

from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId


class EngineItem(msgspec.Struct, frozen=True, kw_only=True):
    """A model or adapter in one version, as an engine loads it."""

    kind: ItemKind
    name: ItemName
    version: str
    base: ItemName | None = None
    """Base model of an adapter."""
    memory_mb: int
    """Accelerator memory of the weights, in mebibytes."""


class LoadState(enum.Enum):
    """State of an item at an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class LoadedItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item that occupies accelerator memory."""

    item: EngineItem
    state: LoadState
    running: int = 0
    """Requests running on the item."""


class EngineRole(enum.Enum):
    """Work that a replica does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """What one engine reports of itself."""

    target: TargetId
    incarnation: str
    """Changes whenever the engine restarts, which empties its memory."""
    memory_mb: int
    """Accelerator memory, in mebibytes."""
    kv_reserved_mb: int
    """Part of the memory that is kept for KV cache."""
    role: EngineRole
    fencing_number: FencingNumber
    """Highest number that the engine has seen in an order."""
    items: list[LoadedItem]
    running: int
    waiting: int
    leaving: bool = False
    sequence: int = 0
    """Grows with every change of the items."""
    settled_orders: list[OrderId] = []
    """Recent orders that took effect or were refused for good."""


class OrderAction(enum.Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One order to one engine."""

    order_id: OrderId
    fencing_number: FencingNumber
    action: OrderAction
    item: EngineItem | None = None
    role: EngineRole | None = None


class OrderStatus(enum.Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    STALE_FENCING = "stale_fencing"
    NO_MEMORY = "no_memory"
    REFUSED = "refused"


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to one order."""

    status: OrderStatus
    fencing_number: FencingNumber
    """Highest number that the engine has seen."""
    reason: str = ""


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load report; stale by the time it is read."""

    running: int
    waiting: int
    kv_used_fraction: float
    tokens_per_second: float
    leaving: bool = False


class CacheEventKind(enum.Enum):
    """Change of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One prefix-cache event; late, and with gaps in ``sequence``."""

    sequence: int
    kind: CacheEventKind
    model: ItemName
    block: str = ""
    """Hash of the chain of prompt blocks that ends with this block."""


class Engine(abc.ABC):
    """Control side of one model engine."""

    @property
    @abc.abstractmethod
    def target(self) -> TargetId:
        """Name of the target."""

    @abc.abstractmethod
    async def fetch_inventory(self, timeout: timedelta) -> Inventory:
        """Return what the engine reports; TargetError when it cannot."""

    @abc.abstractmethod
    async def send_order(
        self, order: EngineOrder, timeout: timedelta
    ) -> OrderAnswer:
        """Send an order.

        :raises TargetConnectFailed: the order cannot have arrived.
        :raises TargetExchangeFailed: it may have arrived, now or later.
        """

    @abc.abstractmethod
    async def fetch_load(self, timeout: timedelta) -> EngineLoad:
        """Return the engine's load report."""

    @abc.abstractmethod
    async def fetch_cache_events(
        self, after: int, timeout: timedelta
    ) -> list[CacheEvent]:
        """Return the cache events with a sequence above ``after``."""

    @abc.abstractmethod
    async def transfer_prefix(
        self, block: str, source: "Engine", timeout: timedelta
    ) -> None:
        """Import a prefix's KV cache that ``source`` exports."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections to the engine."""
