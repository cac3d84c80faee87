"""What a plan for the engines of one service consists of."""

from collections import Counter
import enum

import msgspec

from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import TargetId


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One item to bring to an engine, perhaps in the place of another."""

    target: TargetId
    item: ItemKey
    evicted: ItemKey | None = None
    """What is unloaded first, to make room."""
    reason: str
    from_store: bool = False
    """Whether the load takes part of the weight store's rate."""


class DelayReason(enum.Enum):
    """Why an item that requests wait for is not brought to an engine."""

    NO_ROOM = "no_room"
    """Nothing may give way."""
    STORE_LIMIT = "store_limit"
    """The weight store allows no further load."""
    ENGINES_BUSY = "engines_busy"
    """The engines that could take it carry out other orders."""


class ServicePlan(msgspec.Struct):
    """The steps to take now, and what no engine has room for."""

    steps: list[Step] = []
    items_without_room: list[ItemKey] = []
    delays: Counter[DelayReason] = msgspec.field(default_factory=Counter)
    """What wants were not served for."""
