"""The memory ledger: what the accelerators of a failure domain may hold.

The committed memory of an accelerator covers everything that may be in it:
the memory reserved for the KV cache, each item in the newest inventory, and
each ordered load that may still take effect. A load may take effect until

* an engine that enforces fencing lists the order as settled in its current
  incarnation, or has seen a higher fencing number in it; or
* ``order_late_limit_s`` has passed since the order was last sent.

Orders are kept until that limit even when settled: an engine that restarts
loses its settled orders and fencing number, so that earlier orders may take
effect again.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge import invariants
from dotterelbridge.errors import PlacementError
from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import Fencing
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.messages import TargetState
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import EngineRole
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction

_log = structlog.get_logger(__name__)


class LoadRefused(PlacementError):
    """The ledger does not allow an order now."""


class StoredOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order as stored in the order record."""

    target: TargetId
    order: EngineOrder
    incarnation: str
    """Incarnation of the engine when the order was created."""
    kv_mb: int = 0
    """KV cache memory that a role change may need."""


class OpenOrder:
    """An order that may still take effect."""

    def __init__(
        self,
        target: TargetId,
        order: EngineOrder,
        incarnation: str,
        expires_at: float,
        kv_mb: int = 0,
    ) -> None:
        self.target = target
        self.order = order
        self.incarnation = incarnation
        self.expires_at = expires_at
        self.kv_mb = kv_mb
        self.settled_incarnation: str | None = None
        """Incarnation in which the engine listed the order as settled."""
        self.was_seen_ready = False
        """Whether an inventory listed the loaded item as ready."""
        self.refused = False

    @property
    def is_load(self) -> bool:
        return self.order.action is OrderAction.LOAD

    @property
    def key(self) -> str | None:
        """NAME@VERSION of the item."""
        return get_item_key(self.order.item) if self.order.item else None

    @property
    def record_key(self) -> str:
        return str(self.order.order_id)

    def encode(self) -> bytes:
        """Return the order as the record stores it."""
        stored = StoredOrder(
            self.target, self.order, self.incarnation, self.kv_mb
        )
        return msgspec.msgpack.encode(stored)


class Copy:
    """A copy of an item, as listed in an inventory."""

    def __init__(
        self,
        item: EngineItem,
        state: LoadState,
        running: int,
        first_seen_at: float,
    ) -> None:
        self.item = item
        self.state = state
        self.running = running
        self.first_seen_at = first_seen_at
        """Monotonic time in seconds at which this holder first saw it."""


class AcceleratorState:
    """Inventory and open orders of one accelerator."""

    def __init__(
        self, target: TargetId, fencing: Fencing, kv_room_percent: float
    ) -> None:
        self.target = target
        self.fencing = fencing
        self.memory_mb = 0
        self.kv_mb = 0
        self.role = EngineRole.MIXED
        self.incarnation = ""
        self.fencing_number = FencingNumber(0)
        self.leaving = False
        self.running = 0
        self.waiting = 0
        self.inventory_at = float("-inf")
        self.overfull = False
        self.copies: dict[str, Copy] = {}
        self.orders: dict[OrderId, OpenOrder] = {}
        self._kv_room_percent = kv_room_percent
        self._previous_incarnations: set[str] = set()
        self._inventory_sequence = -1
        self.started_without_fencing_number = False
        """Whether the engine had no fencing number in the first inventory
        of its current incarnation."""

    def apply_inventory(
        self, inventory: Inventory, requested_at: float
    ) -> bool:
        """Apply an inventory; return False if it is older than the last."""
        if inventory.incarnation in self._previous_incarnations:
            return False
        if inventory.incarnation != self.incarnation:
            self._start_incarnation(inventory)
        if inventory.sequence < self._inventory_sequence:
            return False
        # Inventories with the same sequence number may still differ; the
        # items of both count.
        has_same_sequence = (
            inventory.sequence == self._inventory_sequence
            and self.inventory_at > float("-inf")
        )
        self._inventory_sequence = inventory.sequence
        self.inventory_at = requested_at
        self.memory_mb = inventory.memory_mb
        self.kv_mb = self._compute_kv_room_mb(inventory)
        self.role = inventory.role
        self.fencing_number = max(
            self.fencing_number, inventory.fencing_number
        )
        self.leaving = inventory.leaving
        self.running = inventory.running
        self.waiting = inventory.waiting
        self._update_copies(
            inventory, requested_at, keep_missing=has_same_sequence
        )
        self._update_settled_orders(inventory)
        return True

    def update_fencing_number(self, number: FencingNumber) -> None:
        """Apply a fencing number from the engine's answer."""
        self.fencing_number = max(self.fencing_number, number)

    def iter_pending_loads(self) -> Iterator[OpenOrder]:
        """Yield the loads that may still take effect."""
        for order in self.orders.values():
            if order.is_load and self.may_take_effect(order):
                yield order

    def iter_loads_in_transit(self) -> Iterator[OpenOrder]:
        """Yield the loads whose outcome is not known yet."""
        for order in self.iter_pending_loads():
            if self.is_outcome_unknown(order):
                yield order

    def is_outcome_unknown(self, order: OpenOrder) -> bool:
        """Whether the engine's current incarnation shows no outcome yet.

        Only such an order may be sent again: the items that an engine held
        before a restart may not fit together with those ordered since.
        """
        return (
            order.incarnation == self.incarnation
            and order.settled_incarnation is None
            and not order.was_seen_ready
            and not order.refused
        )

    def needs_higher_fencing_number(self, fencing_number: int) -> bool:
        """Whether a higher fencing number would free memory.

        An engine that restarted accepts this term's earlier orders again.
        """
        return self.fencing is Fencing.ENFORCED and any(
            order.incarnation != self.incarnation
            and order.order.fencing_number == fencing_number
            for order in self.iter_pending_loads()
        )

    def list_pending_unloads(self) -> list[str]:
        """Return the keys of copies whose ordered unload is not done."""
        return [
            order.key
            for order in self.orders.values()
            if order.order.action is OrderAction.UNLOAD
            and order.key in self.copies
            and self.may_take_effect(order)
        ]

    def has_pending(self, action: OrderAction, key: str | None) -> bool:
        """Whether an order on the item may still take effect."""
        return any(
            order.order.action is action
            and order.key == key
            and self.may_take_effect(order)
            for order in self.orders.values()
        )

    @property
    def role_change_kv_mb(self) -> int:
        """KV cache memory that an unsettled role change may need."""
        return max(
            (o.kv_mb for o in self.orders.values() if self.may_take_effect(o)),
            default=0,
        )

    @property
    def committed_mb(self) -> int:
        """Memory that may be in use, including the KV cache."""
        sizes = {k: c.item.memory_mb for k, c in self.copies.items()}
        for order in self.iter_pending_loads():
            size = order.order.item.memory_mb
            sizes[order.key] = max(size, sizes.get(order.key, 0))
        return max(self.kv_mb, self.role_change_kv_mb) + sum(sizes.values())

    @property
    def free_mb(self) -> int:
        """Memory that is free for a new load."""
        return self.memory_mb - self.committed_mb

    def describe(self) -> TargetState:
        """Return the state of the accelerator, as shown to operators."""
        return TargetState(
            target=self.target,
            memory_mb=self.memory_mb,
            committed_mb=self.committed_mb,
            kv_mb=self.kv_mb,
            fencing=self.fencing.value,
            fencing_number=self.fencing_number,
            leaving=self.leaving,
            overfull=self.overfull,
            loaded={
                key: copy.state.value
                for key, copy in sorted(self.copies.items())
            },
            ordered=tuple(
                f"{order.order.action.value} {order.key}"
                for order in self.orders.values()
                if self.may_take_effect(order)
            ),
        )

    def remove_expired_orders(self, now: float) -> list[OpenOrder]:
        """Remove and return the orders that can no longer take effect."""
        expired = [o for o in self.orders.values() if now >= o.expires_at]
        for order in expired:
            del self.orders[order.order.order_id]
        return expired

    def may_take_effect(self, order: OpenOrder) -> bool:
        """Whether the engine may still carry out the order."""
        if self.fencing is Fencing.IGNORED:
            # The engine does not refuse late duplicates of a load.
            return (
                order.is_load or order.settled_incarnation != self.incarnation
            )
        if order.settled_incarnation == self.incarnation:
            return False
        return self.fencing_number <= order.order.fencing_number

    def _start_incarnation(self, inventory: Inventory) -> None:
        if self.incarnation:
            self._previous_incarnations.add(self.incarnation)
        self.incarnation = inventory.incarnation
        self.started_without_fencing_number = inventory.fencing_number == 0
        self.fencing_number = FencingNumber(0)
        self.copies.clear()
        self._inventory_sequence = -1

    def _compute_kv_room_mb(self, inventory: Inventory) -> int:
        min_mb = int(inventory.memory_mb * self._kv_room_percent / 100)
        return max(inventory.kv_reserved_mb, min_mb)

    def _update_copies(
        self, inventory: Inventory, now: float, *, keep_missing: bool
    ) -> None:
        old = self.copies
        self.copies = {}
        for loaded in inventory.items:
            key = get_item_key(loaded.item)
            first_seen_at = old[key].first_seen_at if key in old else now
            self.copies[key] = Copy(
                loaded.item, loaded.state, loaded.running, first_seen_at
            )
        if keep_missing:
            for key in old.keys() - self.copies.keys():
                self.copies[key] = old[key]

    def _update_settled_orders(self, inventory: Inventory) -> None:
        settled = set(inventory.settled_orders)
        for order in self.orders.values():
            if order.order.order_id in settled:
                order.settled_incarnation = inventory.incarnation
            copy = self.copies.get(order.key) if order.key else None
            if order.is_load and copy and copy.state is LoadState.READY:
                order.was_seen_ready = True


class MemoryLedger:
    """Accounts for the accelerator memory of one failure domain."""

    def __init__(
        self,
        fencing: dict[TargetId, Fencing],
        kv_room_percent: float,
        order_late_limit_s: float,
        inventory_max_age_s: float,
    ) -> None:
        self._order_late_limit_s = order_late_limit_s
        self._inventory_max_age_s = inventory_max_age_s
        self.accelerators = {
            target: AcceleratorState(target, kind, kv_room_percent)
            for target, kind in fencing.items()
        }
        self._rebuild_ends_at = float("-inf")
        self._had_earlier_holder = False

    def restore(
        self,
        entries: Iterable[bytes],
        now: float,
        *,
        record_lost: bool,
        had_earlier_holder: bool,
    ) -> None:
        """Restore open orders from the record of earlier terms.

        :param record_lost: whether orders may be missing from the record;
            engines that ignore fencing then get no load before
            ``order_late_limit_s`` has passed.
        :param had_earlier_holder: whether an earlier lease holder is known
            to have existed; engines without a fencing number then wait as
            long as engines that ignore fencing.
        """
        for entry in entries:
            stored = msgspec.msgpack.decode(entry, type=StoredOrder)
            accelerator = self.accelerators.get(stored.target)
            if accelerator is None:
                continue
            order = OpenOrder(
                stored.target,
                stored.order,
                stored.incarnation,
                now + self._order_late_limit_s,
                stored.kv_mb,
            )
            accelerator.orders[stored.order.order_id] = order
        if record_lost:
            self._rebuild_ends_at = now + self._order_late_limit_s
            self._had_earlier_holder = had_earlier_holder

    def is_rebuilding(self, now: float) -> bool:
        """Whether orders missing from the record may take effect."""
        return now < self._rebuild_ends_at

    def is_blocked(self, accelerator: AcceleratorState, now: float) -> bool:
        """Whether an order missing from the record may take effect here."""
        if not self.is_rebuilding(now):
            return False
        if accelerator.fencing is Fencing.IGNORED:
            return True
        return (
            accelerator.started_without_fencing_number
            and self._had_earlier_holder
        )

    def apply_inventory(
        self, inventory: Inventory, requested_at: float
    ) -> list[OrderId]:
        """Apply an inventory; return the orders that it settled."""
        accelerator = self.accelerators[inventory.target]
        before = {
            o.order.order_id for o in self._iter_unsettled_orders(accelerator)
        }
        is_first = not accelerator.incarnation
        if not accelerator.apply_inventory(inventory, requested_at):
            return []
        if is_first and not accelerator.started_without_fencing_number:
            # The number comes from an earlier holder. Loaded items would
            # prove nothing: an engine may start with some.
            self._had_earlier_holder = True
        self._update_overfull(accelerator)
        after = {
            o.order.order_id for o in self._iter_unsettled_orders(accelerator)
        }
        return sorted(before - after)

    def find_refusal_reason(
        self,
        target: TargetId,
        item: EngineItem,
        fencing_number: int,
        now: float,
    ) -> str | None:
        """Return why a load is not allowed now, or None."""
        accelerator = self.accelerators[target]
        key = get_item_key(item)
        if now - accelerator.inventory_at > self._inventory_max_age_s:
            return "there is no recent inventory of the engine"
        if accelerator.leaving:
            return "the engine is leaving"
        if accelerator.overfull:
            return "the inventory lists more than the accelerator can hold"
        if key in accelerator.copies or accelerator.has_pending(
            OrderAction.LOAD, key
        ):
            return "the item is loaded already or its load is pending"
        if accelerator.has_pending(OrderAction.UNLOAD, key):
            return "an unload of the item may still take effect"
        if accelerator.role_change_kv_mb:
            return "a role change is not settled"
        if self._lacks_fencing_number(accelerator, fencing_number):
            return "the engine does not have this holder's fencing number yet"
        if self.is_blocked(accelerator, now):
            return (
                "orders from before the record was lost may still take effect"
            )
        if accelerator.free_mb < item.memory_mb:
            return "not enough free memory"
        return None

    def needs_fencing_update(
        self, target: TargetId, fencing_number: int
    ) -> bool:
        """Whether the engine must receive the fencing number first."""
        return self._lacks_fencing_number(
            self.accelerators[target], fencing_number
        )

    def open_load(
        self, target: TargetId, order: EngineOrder, now: float
    ) -> OpenOrder:
        """Commit the memory of a load before it is recorded and sent.

        :raises LoadRefused: the load is not allowed now.
        """
        refusal_reason = self.find_refusal_reason(
            target, order.item, order.fencing_number, now
        )
        if refusal_reason:
            raise LoadRefused(
                f"cannot load {get_item_key(order.item)} on {target}: "
                f"{refusal_reason}",
                "wait for the next plan",
            )
        accelerator = self.accelerators[target]
        open_order = self._add_order(accelerator, order, now)
        self._check_memory(accelerator)
        return open_order

    def open_unload(
        self, target: TargetId, order: EngineOrder, now: float
    ) -> OpenOrder:
        """Open an unload; its memory stays committed until it is done."""
        accelerator = self.accelerators[target]
        if get_item_key(order.item) not in accelerator.copies:
            raise LoadRefused(
                f"{get_item_key(order.item)} is not on {target}",
                "nothing to unload",
            )
        return self._add_order(accelerator, order, now)

    def open_role_change(
        self, target: TargetId, order: EngineOrder, kv_mb: int, now: float
    ) -> OpenOrder:
        """Commit the larger KV cache memory of the old and new role."""
        accelerator = self.accelerators[target]
        extra_mb = max(0, kv_mb - accelerator.kv_mb)
        if accelerator.free_mb < extra_mb or accelerator.role_change_kv_mb:
            raise LoadRefused(
                f"not enough memory on {target} for the new role's KV cache",
                "unload an item first",
            )
        open_order = self._add_order(accelerator, order, now, kv_mb)
        self._check_memory(accelerator)
        return open_order

    def cancel_unsent_order(self, order: OpenOrder) -> None:
        """Remove an order that was certainly not sent."""
        accelerator = self.accelerators[order.target]
        accelerator.orders.pop(order.order.order_id, None)

    def extend_expiry(self, order: OpenOrder, now: float) -> None:
        """Restart the order's ``order_late_limit_s`` at this send."""
        order.expires_at = now + self._order_late_limit_s

    def remove_expired_orders(self, now: float) -> list[OpenOrder]:
        """Remove and return the orders that can no longer take effect."""
        return [
            order
            for accelerator in self.accelerators.values()
            for order in accelerator.remove_expired_orders(now)
        ]

    def list_loads_in_transit(self) -> list[OpenOrder]:
        """Return the loads whose outcome is not known yet."""
        return [
            order
            for accelerator in self.accelerators.values()
            for order in accelerator.iter_loads_in_transit()
        ]

    def describe(self) -> list[TargetState]:
        """Return the state of all accelerators, as shown to operators."""
        return [
            accelerator.describe()
            for _, accelerator in sorted(self.accelerators.items())
        ]

    def _add_order(
        self,
        accelerator: AcceleratorState,
        order: EngineOrder,
        now: float,
        kv_mb: int = 0,
    ) -> OpenOrder:
        expires_at = now + self._order_late_limit_s
        open_order = OpenOrder(
            accelerator.target,
            order,
            accelerator.incarnation,
            expires_at,
            kv_mb,
        )
        invariants.check(
            order.order_id not in accelerator.orders,
            "order ids are unique",
            target=accelerator.target,
            order=order.order_id,
        )
        accelerator.orders[order.order_id] = open_order
        return open_order

    def _lacks_fencing_number(
        self, accelerator: AcceleratorState, fencing_number: int
    ) -> bool:
        return (
            accelerator.fencing is Fencing.ENFORCED
            and accelerator.fencing_number != fencing_number
        )

    def _iter_unsettled_orders(
        self, accelerator: AcceleratorState
    ) -> Iterator[OpenOrder]:
        for order in accelerator.orders.values():
            if accelerator.may_take_effect(order) and not order.was_seen_ready:
                yield order

    def _update_overfull(self, accelerator: AcceleratorState) -> None:
        overfull = accelerator.committed_mb > accelerator.memory_mb
        if overfull and not accelerator.overfull:
            events.log(
                _log,
                PlacementEvent.TARGET_OVERFULL,
                target=accelerator.target,
                committed_mb=accelerator.committed_mb,
                memory_mb=accelerator.memory_mb,
            )
        accelerator.overfull = overfull

    def _check_memory(self, accelerator: AcceleratorState) -> None:
        invariants.check(
            accelerator.committed_mb <= accelerator.memory_mb,
            "accelerator memory never over-committed",
            target=accelerator.target,
            committed_mb=accelerator.committed_mb,
            memory_mb=accelerator.memory_mb,
        )


def get_item_key(item: EngineItem) -> str:
    """Return NAME@VERSION of an item."""
    return f"{item.name}@{item.version}"
