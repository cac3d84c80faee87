"""The memory ledger: what each accelerator of the domain may hold.

An accelerator's memory is committed to everything that may be in it: the
KV cache room, each item that the newest inventory shows, and each load
that was ordered and may still take effect. A load may take effect until

* the engine lists the order as settled in its present incarnation, or
  has seen a higher fencing number there, if it enforces fencing; or
* ``order_late_limit_s`` has passed since the order was last sent.

Nothing is forgotten before that limit: an engine that restarts forgets
settled orders and fencing numbers, and they count again.
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
    """An order as the order record keeps it."""

    target: TargetId
    order: EngineOrder
    incarnation: str
    """Incarnation of the engine that the order was meant for."""
    kv_mb: int = 0
    """KV cache room that a change of role may take."""


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
        self.settled_in: str | None = None
        """Incarnation of the engine that listed the order as settled."""
        self.seen_ready = False
        """Whether a loaded item was seen ready after the order."""
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
    """An item that an inventory shows."""

    def __init__(
        self, item: EngineItem, state: LoadState, running: int, since: float
    ) -> None:
        self.item = item
        self.state = state
        self.running = running
        self.since = since
        """Monotonic seconds at which this holder first saw it."""


class Account:
    """One accelerator."""

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
        self._former: set[str] = set()
        self._sequence = -1
        self.forgot_fence = False
        """Whether the engine knew no fencing number when it was first
        seen in its incarnation."""

    def observe(self, inventory: Inventory, asked_at: float) -> bool:
        """Take in an inventory; False when it is older than the last."""
        if inventory.incarnation in self._former:
            return False
        if inventory.incarnation != self.incarnation:
            self._start_incarnation(inventory)
        if inventory.sequence < self._sequence:
            return False
        contradicts = (
            inventory.sequence == self._sequence
            and self.inventory_at > float("-inf")
        )
        self._sequence = inventory.sequence
        self.inventory_at = asked_at
        self.memory_mb = inventory.memory_mb
        self.kv_mb = self._find_kv_room(inventory)
        self.role = inventory.role
        self.fencing_number = max(
            self.fencing_number, inventory.fencing_number
        )
        self.leaving = inventory.leaving
        self.running = inventory.running
        self.waiting = inventory.waiting
        self._note_items(inventory, asked_at, keep_missing=contradicts)
        self._settle(inventory)
        return True

    def note_fence(self, number: FencingNumber) -> None:
        """Take in a fencing number that the engine's answer told."""
        self.fencing_number = max(self.fencing_number, number)

    def pending_loads(self) -> Iterator[OpenOrder]:
        """Yield the loads that may still take effect."""
        for order in self.orders.values():
            if order.is_load and self.may_take_effect(order):
                yield order

    def loads_in_transit(self) -> Iterator[OpenOrder]:
        """Yield the loads whose outcome is not known yet."""
        for order in self.pending_loads():
            if self.is_unanswered(order):
                yield order

    def is_unanswered(self, order: OpenOrder) -> bool:
        """Whether an order to the engine as it runs now left no trace.

        Only such an order may be sent again: what an engine had before
        it restarted may not fit together with what it was given since.
        """
        return (
            order.incarnation == self.incarnation
            and order.settled_in is None
            and not order.seen_ready
            and not order.refused
        )

    def has_revenants(self, fencing_number: int) -> bool:
        """Whether a higher fencing number would free memory.

        An engine that restarted takes this term's earlier orders again.
        """
        return self.fencing is Fencing.ENFORCED and any(
            order.incarnation != self.incarnation
            and order.order.fencing_number == fencing_number
            for order in self.pending_loads()
        )

    def pending_unloads(self) -> list[str]:
        """Return the copies whose unload was ordered and is not done."""
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
    def role_kv_mb(self) -> int:
        """KV cache room that an unsettled change of role may take."""
        return max(
            (o.kv_mb for o in self.orders.values() if self.may_take_effect(o)),
            default=0,
        )

    @property
    def committed_mb(self) -> int:
        """Memory that may be in use, KV cache room included."""
        sizes = {k: c.item.memory_mb for k, c in self.copies.items()}
        for order in self.pending_loads():
            size = order.order.item.memory_mb
            sizes[order.key] = max(size, sizes.get(order.key, 0))
        return max(self.kv_mb, self.role_kv_mb) + sum(sizes.values())

    @property
    def free_mb(self) -> int:
        """Memory that a new load may take."""
        return self.memory_mb - self.committed_mb

    def describe(self) -> TargetState:
        """Return the account for operators."""
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

    def expire(self, now: float) -> list[OpenOrder]:
        """Drop and return the orders that can no longer arrive."""
        gone = [o for o in self.orders.values() if now >= o.expires_at]
        for order in gone:
            del self.orders[order.order.order_id]
        return gone

    def may_take_effect(self, order: OpenOrder) -> bool:
        """Whether the engine would still carry the order out."""
        if self.fencing is Fencing.IGNORED:
            # Copies of the order on their way are not refused here.
            return order.is_load or order.settled_in != self.incarnation
        if order.settled_in == self.incarnation:
            return False
        return self.fencing_number <= order.order.fencing_number

    def _start_incarnation(self, inventory: Inventory) -> None:
        if self.incarnation:
            self._former.add(self.incarnation)
        self.incarnation = inventory.incarnation
        self.forgot_fence = inventory.fencing_number == 0
        self.fencing_number = FencingNumber(0)
        self.copies.clear()
        self._sequence = -1

    def _find_kv_room(self, inventory: Inventory) -> int:
        least_mb = int(inventory.memory_mb * self._kv_room_percent / 100)
        return max(inventory.kv_reserved_mb, least_mb)

    def _note_items(
        self, inventory: Inventory, now: float, *, keep_missing: bool
    ) -> None:
        old = self.copies
        self.copies = {}
        for loaded in inventory.items:
            key = get_item_key(loaded.item)
            since = old[key].since if key in old else now
            self.copies[key] = Copy(
                loaded.item, loaded.state, loaded.running, since
            )
        if keep_missing:
            for key in old.keys() - self.copies.keys():
                self.copies[key] = old[key]

    def _settle(self, inventory: Inventory) -> None:
        settled = set(inventory.settled_orders)
        for order in self.orders.values():
            if order.order.order_id in settled:
                order.settled_in = inventory.incarnation
            copy = self.copies.get(order.key) if order.key else None
            if order.is_load and copy and copy.state is LoadState.READY:
                order.seen_ready = True


class MemoryLedger:
    """The accelerators of one failure domain, for the lease holder."""

    def __init__(
        self,
        fencing: dict[TargetId, Fencing],
        kv_room_percent: float,
        order_late_limit_s: float,
        inventory_max_age_s: float,
    ) -> None:
        self._late_limit_s = order_late_limit_s
        self._max_age_s = inventory_max_age_s
        self.accounts = {
            target: Account(target, kind, kv_room_percent)
            for target, kind in fencing.items()
        }
        self._rebuilt_at = float("-inf")
        self._has_past = False

    def restore(
        self,
        entries: Iterable[bytes],
        now: float,
        *,
        record_lost: bool,
        has_past: bool,
    ) -> None:
        """Start a term from the record of earlier ones.

        :param record_lost: orders may be missing from the record; an
            engine that ignores fencing gets no load before the late
            limit has passed.
        :param has_past: holders before this one are known to have been;
            an engine that has forgotten their fencing numbers then waits
            as one that ignores them.
        """
        for entry in entries:
            stored = msgspec.msgpack.decode(entry, type=StoredOrder)
            account = self.accounts.get(stored.target)
            if account is None:
                continue
            order = OpenOrder(
                stored.target,
                stored.order,
                stored.incarnation,
                now + self._late_limit_s,
                stored.kv_mb,
            )
            account.orders[stored.order.order_id] = order
        if record_lost:
            self._rebuilt_at = now + self._late_limit_s
            self._has_past = has_past

    def is_rebuilding(self, now: float) -> bool:
        """Whether orders that are missing from the record may arrive."""
        return now < self._rebuilt_at

    def is_blocked(self, account: Account, now: float) -> bool:
        """Whether an unknown order of the past may still take effect."""
        if not self.is_rebuilding(now):
            return False
        if account.fencing is Fencing.IGNORED:
            return True
        return account.forgot_fence and self._has_past

    def observe(self, inventory: Inventory, asked_at: float) -> list[OrderId]:
        """Take in an inventory; returns the orders that it settled."""
        account = self.accounts[inventory.target]
        before = {o.order.order_id for o in self._unsettled(account)}
        is_first = not account.incarnation
        if not account.observe(inventory, asked_at):
            return []
        if is_first and not account.forgot_fence:
            # An earlier holder gave orders. Items alone do not tell: an
            # engine may start with some.
            self._has_past = True
        self._note_overfull(account)
        after = {o.order.order_id for o in self._unsettled(account)}
        return sorted(before - after)

    def find_obstacle(
        self,
        target: TargetId,
        item: EngineItem,
        fencing_number: int,
        now: float,
    ) -> str | None:
        """Return why a load is not allowed now, or None."""
        account = self.accounts[target]
        key = get_item_key(item)
        if now - account.inventory_at > self._max_age_s:
            return "the engine cannot be asked for its inventory"
        if account.leaving:
            return "the engine is leaving"
        if account.overfull:
            return "the inventory shows more than the accelerator can hold"
        if key in account.copies or account.has_pending(OrderAction.LOAD, key):
            return "the item is there or on its way"
        if account.has_pending(OrderAction.UNLOAD, key):
            return "an unload of the item may still take effect"
        if account.role_kv_mb:
            return "a change of role is not settled"
        if self._awaits_fence(account, fencing_number):
            return "the engine has not taken this holder's fencing number"
        if self.is_blocked(account, now):
            return "orders from before the record was lost may arrive"
        if account.free_mb < item.memory_mb:
            return "not enough free memory"
        return None

    def needs_claim(self, target: TargetId, fencing_number: int) -> bool:
        """Whether an engine must be given the fencing number first."""
        return self._awaits_fence(self.accounts[target], fencing_number)

    def open_load(
        self, target: TargetId, order: EngineOrder, now: float
    ) -> OpenOrder:
        """Commit the memory of a load, before it is recorded and sent.

        :raises LoadRefused: with the obstacle.
        """
        obstacle = self.find_obstacle(
            target, order.item, order.fencing_number, now
        )
        if obstacle:
            raise LoadRefused(
                f"cannot load {get_item_key(order.item)} on {target}: "
                f"{obstacle}",
                "wait; placement plans again",
            )
        account = self.accounts[target]
        opened = self._open(account, order, now)
        self._check_memory(account)
        return opened

    def open_unload(
        self, target: TargetId, order: EngineOrder, now: float
    ) -> OpenOrder:
        """Note an unload; its memory stays counted until it is gone."""
        account = self.accounts[target]
        if get_item_key(order.item) not in account.copies:
            raise LoadRefused(
                f"{get_item_key(order.item)} is not on {target}",
                "nothing to unload",
            )
        return self._open(account, order, now)

    def open_role_change(
        self, target: TargetId, order: EngineOrder, kv_mb: int, now: float
    ) -> OpenOrder:
        """Commit the larger KV cache room of the old and new role."""
        account = self.accounts[target]
        extra_mb = max(0, kv_mb - account.kv_mb)
        if account.free_mb < extra_mb or account.role_kv_mb:
            raise LoadRefused(
                f"no room on {target} for the new role's KV cache",
                "unload an item first",
            )
        opened = self._open(account, order, now, kv_mb)
        self._check_memory(account)
        return opened

    def cancel_unsent(self, order: OpenOrder) -> None:
        """Drop an order that certainly was not sent."""
        account = self.accounts[order.target]
        account.orders.pop(order.order.order_id, None)

    def note_sent(self, order: OpenOrder, now: float) -> None:
        """Count the late limit from this sending on."""
        order.expires_at = now + self._late_limit_s

    def expire(self, now: float) -> list[OpenOrder]:
        """Drop and return the orders that can no longer arrive."""
        return [
            order
            for account in self.accounts.values()
            for order in account.expire(now)
        ]

    def loads_in_transit(self) -> list[OpenOrder]:
        """Return the loads whose outcome is not known yet."""
        return [
            order
            for account in self.accounts.values()
            for order in account.loads_in_transit()
        ]

    def describe(self) -> list[TargetState]:
        """Return the accounts for operators."""
        return [
            account.describe() for _, account in sorted(self.accounts.items())
        ]

    def _open(
        self,
        account: Account,
        order: EngineOrder,
        now: float,
        kv_mb: int = 0,
    ) -> OpenOrder:
        expires_at = now + self._late_limit_s
        opened = OpenOrder(
            account.target, order, account.incarnation, expires_at, kv_mb
        )
        invariants.check(
            order.order_id not in account.orders,
            "order ids are unique",
            target=account.target,
            order=order.order_id,
        )
        account.orders[order.order_id] = opened
        return opened

    def _awaits_fence(self, account: Account, fencing_number: int) -> bool:
        return (
            account.fencing is Fencing.ENFORCED
            and account.fencing_number != fencing_number
        )

    def _unsettled(self, account: Account) -> Iterator[OpenOrder]:
        for order in account.orders.values():
            if account.may_take_effect(order) and not order.seen_ready:
                yield order

    def _note_overfull(self, account: Account) -> None:
        overfull = account.committed_mb > account.memory_mb
        if overfull and not account.overfull:
            events.log(
                _log,
                PlacementEvent.TARGET_OVERFULL,
                target=account.target,
                committed_mb=account.committed_mb,
                memory_mb=account.memory_mb,
            )
        account.overfull = overfull

    def _check_memory(self, account: Account) -> None:
        invariants.check(
            account.committed_mb <= account.memory_mb,
            "accelerator memory never over-committed",
            target=account.target,
            committed_mb=account.committed_mb,
            memory_mb=account.memory_mb,
        )


def get_item_key(item: EngineItem) -> str:
    """Return NAME@VERSION of an item."""
    return f"{item.name}@{item.version}"
