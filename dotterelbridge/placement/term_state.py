"""State that the lease holder keeps for one term."""

import msgspec

from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlannedLoad


class QueuedLoad:
    """A planned load that waits for free memory or the load rate limit."""

    def __init__(self, planned: PlannedLoad, created_at: float) -> None:
        self.planned = planned
        self.created_at = created_at

    @property
    def location(self) -> tuple[TargetId, str]:
        return self.planned.target, get_item_key(self.planned.item)


class Drain:
    """The drain of a copy: no new work; unloaded once idle."""

    def __init__(self, reason: str, started_at: float) -> None:
        self.reason = reason
        self.started_at = started_at


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A load or unload that was ordered, as shown to operators."""

    at: str
    action: str
    item: str
    target: TargetId
    reason: str

    def describe(self) -> str:
        """Return the move as one line for operators."""
        return (
            f"{self.at} {self.action} {self.item} {self.target}: {self.reason}"
        )


class TermState:
    """State of one term in which this VM holds the lease."""

    def __init__(self, term: Term, ledger: MemoryLedger) -> None:
        self.term = term
        self.ledger = ledger
        self.queued_loads: dict[tuple[TargetId, str], QueuedLoad] = {}
        self.drains: dict[tuple[TargetId, str], Drain] = {}
        self.sent_at: dict[OrderId, float] = {}
        self.sending: set[OrderId] = set()
        self.fencing_sent_at: dict[TargetId, float] = {}
        self.inventory_requested_at: dict[TargetId, float] = {}
        self.fetching_inventories: set[TargetId] = set()
        self.planned_at = float("-inf")
        self.plan = Plan()
        self.plan_outdated = True
        """Whether something that a plan depends on has changed since."""
        self.obsolete_record_keys: list[str] = []
        """Keys of orders to remove from the order record."""
