"""Interface of a model engine's control API, and its types.

The HTTP protocol is described in docs/design/engine-protocol.md.
"""

import abc
from collections.abc import Callable
from datetime import timedelta
import enum

import msgspec

from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId


class EngineItem(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a model or adapter that an engine can load."""

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
    """Requests that run on the item."""


class EngineRole(enum.Enum):
    """Inference phases that an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Inventory report of one engine."""

    target: TargetId
    incarnation: str
    """Changes with every restart of the engine, which unloads all items."""
    memory_mb: int
    """Accelerator memory, in mebibytes."""
    kv_reserved_mb: int
    """Part of the memory that is reserved for the KV cache."""
    role: EngineRole
    fencing_number: FencingNumber
    """Highest fencing number that the engine has received in an order."""
    items: list[LoadedItem]
    running: int
    waiting: int
    leaving: bool = False
    sequence: int = 0
    """Increases with every change of the items."""
    settled_orders: list[OrderId] = []
    """Recent orders that completed or were refused permanently."""


class OrderAction(enum.Enum):
    """Action that an order requests of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to one engine."""

    order_id: OrderId
    fencing_number: FencingNumber
    action: OrderAction
    item: EngineItem | None = None
    role: EngineRole | None = None


class OrderStatus(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    STALE_FENCING = "stale_fencing"
    NO_MEMORY = "no_memory"
    REFUSED = "refused"


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's response to an order."""

    status: OrderStatus
    fencing_number: FencingNumber
    """Highest fencing number that the engine has received."""
    reason: str = ""


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load report; it may be outdated when it is read."""

    running: int
    waiting: int
    kv_used_fraction: float
    tokens_per_second: float
    leaving: bool = False


class CacheEventKind(enum.Enum):
    """Kind of change of an engine's prefix cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Prefix-cache event; events arrive late, with gaps in ``sequence``."""

    sequence: int
    kind: CacheEventKind
    model: ItemName
    block: str = ""
    """Hash of the prompt up to and including this block."""


class Engine(abc.ABC):
    """Client of one engine's control API."""

    @property
    @abc.abstractmethod
    def target(self) -> TargetId:
        """Name of the target."""

    @abc.abstractmethod
    async def fetch_inventory(self, timeout: timedelta) -> Inventory:
        """Return the engine's inventory.

        :raises TargetError: the engine did not return a valid one.
        """

    @abc.abstractmethod
    async def send_order(
        self,
        order: EngineOrder,
        timeout: timedelta,
        may_send: Callable[[], bool] | None = None,
    ) -> OrderAnswer:
        """Send an order.

        :param may_send: checked immediately before the first byte is sent.
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
        """Import the KV cache of a prefix from ``source``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections to the engine."""
