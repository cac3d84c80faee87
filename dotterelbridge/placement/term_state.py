"""What the lease holder keeps for the length of one term."""

import msgspec

from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlannedLoad


class Intent:
    """A planned load that waits for room or for its turn."""

    def __init__(self, load: PlannedLoad, created_at: float) -> None:
        self.load = load
        self.created_at = created_at

    @property
    def place(self) -> tuple[TargetId, str]:
        return self.load.target, get_item_key(self.load.item)


class Drain:
    """A copy that gets no new work and is unloaded once idle."""

    def __init__(self, reason: str, started_at: float) -> None:
        self.reason = reason
        self.started_at = started_at


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A move that was ordered, for operators."""

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


class Holding:
    """One term of this VM as the lease holder."""

    def __init__(self, term: Term, ledger: MemoryLedger) -> None:
        self.term = term
        self.ledger = ledger
        self.intents: dict[tuple[TargetId, str], Intent] = {}
        self.drains: dict[tuple[TargetId, str], Drain] = {}
        self.sent_at: dict[OrderId, float] = {}
        self.sending: set[OrderId] = set()
        self.claimed_at: dict[TargetId, float] = {}
        self.asked_at: dict[TargetId, float] = {}
        self.asking: set[TargetId] = set()
        self.planned_at = float("-inf")
        self.plan = Plan()
        self.dirty = True
        """Whether something changed that a plan depends on."""
        self.unrecorded: list[str] = []
        """Keys of orders that the record still has to drop."""
