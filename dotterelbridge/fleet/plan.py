"""The plan for the engines of one service."""

from collections import Counter
import enum

import msgspec

from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import TargetId


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One item to load on an engine, optionally after evicting another."""

    target: TargetId
    item: ItemKey
    evicted: ItemKey | None = None
    """Item that is unloaded first, to free memory or an adapter place."""
    reason: str
    from_store: bool = False
    """Whether the load counts against the weight store's rate."""


class DelayReason(enum.Enum):
    """Why an item that requests wait for is not being loaded."""

    NO_ROOM = "no_room"
    """No engine has room, and nothing may be evicted."""
    STORE_LIMIT = "store_limit"
    """The limit of loads from the weight store is reached."""
    ENGINES_BUSY = "engines_busy"
    """The engines that could load it are executing other orders."""


class ServicePlan(msgspec.Struct):
    """The steps to take now, and the items that cannot be placed."""

    steps: list[Step] = []
    items_without_room: list[ItemKey] = []
    delays: Counter[DelayReason] = msgspec.field(default_factory=Counter)
    """How many wanted loads were not planned, by reason."""
