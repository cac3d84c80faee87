"""Control interface of an engine: reports and orders."""

import abc
from collections.abc import Callable
from datetime import timedelta
import enum

import msgspec

from dotterelbridge.fleet.event_gaps import StreamProgress
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.fleet.records import TargetLoad


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's report of its state, some hundred ms old."""

    born: int | None
    """Unix time of its start in ms; None if the report lacks it."""
    held: tuple[HeldModel, ...]
    loading_adapters: tuple[tuple[str, str], ...]
    """Adapters that are being loaded, as (model, adapter)."""
    is_busy: bool
    """Whether an order for a model is being executed."""
    orders_accepted: int
    load: TargetLoad
    in_memory: frozenset[str] = frozenset()
    """Models with a copy in host memory, which load fastest."""
    on_disk: frozenset[str] = frozenset()
    is_leaving: bool = False
    streams: tuple[StreamProgress, ...] = ()
    """Streams that are running, with their progress."""


class OrderKind(enum.Enum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one incarnation of an engine to load or unload an item."""

    kind: OrderKind
    model: str
    adapter: str = ""
    expected_orders: int
    """Number of orders that the engine must have accepted before. A copy
    that arrives late is refused because the number has changed."""


class Verdict(enum.Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    """The engine is executing it."""
    ALREADY_DONE = "holds"
    """The engine is already in the state that the order asks for."""
    BUSY = "busy"
    """Another order is being executed, or ``expected_orders`` differs."""
    OTHER_INCARNATION = "other_life"
    """Another target now answers at the address."""
    REFUSED = "refused"
    """The engine cannot execute the order as it is."""


class EngineControl(abc.ABC):
    """Makes control calls to engines; implemented for each platform."""

    @abc.abstractmethod
    async def fetch_report(
        self, target: FleetTarget, timeout: timedelta
    ) -> EngineReport:
        """Return a report.

        :raises EngineCallFailed: no usable report was received.
        """

    @abc.abstractmethod
    async def send_order(
        self,
        target: FleetTarget,
        order: Order,
        holder: str,
        fencing_number: int,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> Verdict:
        """Send an order.

        :param may_send: checked immediately before the first byte is sent.
        :raises EngineCallFailed: no usable answer; the order may have been
            accepted, or may still be executed later.
        """
