"""The control side of an engine that the platform lists."""

import abc
from datetime import timedelta
import enum

import msgspec

from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.fleet.records import TargetLoad


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself, some hundred ms late."""

    born: int | None
    """Unix time of its start in ms; None where it does not say."""
    held: tuple[HeldModel, ...]
    loading_adapters: tuple[tuple[str, str], ...]
    """Adapters that are on their way, as (model, adapter)."""
    is_busy: bool
    """Whether an order for a model is being carried out."""
    orders_accepted: int
    load: TargetLoad
    in_memory: frozenset[str] = frozenset()
    """Models with a copy in host memory, which load fastest."""
    on_disk: frozenset[str] = frozenset()
    is_leaving: bool = False


class OrderKind(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order to one life of an engine."""

    kind: OrderKind
    model: str
    adapter: str = ""
    expected_orders: int
    """Orders that the engine must have accepted before, so that a copy
    which arrives late finds another number and is refused."""


class Verdict(enum.Enum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    """It is being carried out."""
    ALREADY_DONE = "holds"
    """It was carried out already."""
    BUSY = "busy"
    """Another order is under way, or the number of orders differs."""
    OTHER_INCARNATION = "other_life"
    """Another target answered at the address."""
    REFUSED = "refused"
    """The order cannot be carried out as it is."""


class EngineControl(abc.ABC):
    """Control calls to engines, in whatever form they take them."""

    @abc.abstractmethod
    async def fetch_report(
        self, target: FleetTarget, timeout: timedelta
    ) -> EngineReport:
        """Return a report; EngineUnanswered if none can be had."""

    @abc.abstractmethod
    async def send_order(
        self,
        target: FleetTarget,
        order: Order,
        holder: str,
        fencing_number: int,
        timeout: timedelta,
    ) -> Verdict:
        """Send an order.

        :raises EngineUnanswered: it may have been accepted, or may be
            carried out later.
        """
