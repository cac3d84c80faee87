"""Fetches the engines' inventories and applies them to the ledger."""

from collections.abc import Mapping

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.ledger import AcceleratorState
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import TermState
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import Inventory

MAX_CONCURRENT_FETCHES = 16

_log = structlog.get_logger(__name__)


class InventoryReader:
    """Fetches the inventories of one failure domain for its lease holder."""

    def __init__(
        self,
        settings: PlacementSettings,
        engines: Mapping[TargetId, Engine],
        pacer: LoadPacer,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._pacer = pacer
        self._clock = clock

    async def fetch_all(self, term_state: TermState) -> None:
        limiter = anyio.Semaphore(MAX_CONCURRENT_FETCHES)

        async def fetch_one(target: TargetId) -> None:
            async with limiter:
                await self.fetch(term_state, target)

        async with anyio.create_task_group() as tasks:
            for target in self._engines:
                tasks.start_soon(fetch_one, target)

    def start_due_fetches(
        self, tasks: anyio.abc.TaskGroup, term_state: TermState, now: float
    ) -> None:
        for target in self._engines:
            if target in term_state.fetching_inventories:
                continue
            interval_s = self._choose_interval_s(term_state, target)
            if (
                now - term_state.inventory_requested_at.get(target, 0.0)
                >= interval_s
            ):
                tasks.start_soon(self.fetch, term_state, target)

    def _choose_interval_s(
        self, term_state: TermState, target: TargetId
    ) -> float:
        accelerator = term_state.ledger.accelerators[target]
        busy = (
            any(accelerator.iter_loads_in_transit())
            or any(location[0] == target for location in term_state.drains)
            or any(
                location[0] == target for location in term_state.queued_loads
            )
        )
        interval_ms = (
            self._settings.busy_inventory_interval_ms
            if busy
            else self._settings.inventory_interval_ms
        )
        return interval_ms / 1000

    async def fetch(self, term_state: TermState, target: TargetId) -> None:
        requested_at = self._clock.monotonic()
        term_state.inventory_requested_at[target] = requested_at
        term_state.fetching_inventories.add(target)
        timeout = self._settings.inventory_timeout
        try:
            with anyio.fail_after(timeout.total_seconds()):
                inventory = await self._engines[target].fetch_inventory(
                    timeout
                )
        except (TargetError, TimeoutError):
            return
        finally:
            term_state.fetching_inventories.discard(target)
        if inventory.target == target:
            self._apply_inventory(term_state, inventory, requested_at)

    def _apply_inventory(
        self, term_state: TermState, inventory: Inventory, requested_at: float
    ) -> None:
        accelerator = term_state.ledger.accelerators[inventory.target]
        before = (
            accelerator.leaving,
            set(accelerator.copies),
            accelerator.incarnation,
        )
        settled = term_state.ledger.apply_inventory(inventory, requested_at)
        after = (
            accelerator.leaving,
            set(accelerator.copies),
            accelerator.incarnation,
        )
        if before != after:
            term_state.plan_outdated = True
        for order_id in settled:
            self._handle_settled_order(term_state, accelerator, order_id)

    def _handle_settled_order(
        self,
        term_state: TermState,
        accelerator: AcceleratorState,
        order_id: OrderId,
    ) -> None:
        order = accelerator.orders[order_id]
        events.log(
            _log,
            PlacementEvent.ORDER_SETTLED,
            target=accelerator.target,
            order=order_id,
            item=order.key,
        )
        if not order.is_load:
            del accelerator.orders[order_id]
            term_state.obsolete_record_keys.append(order.record_key)
            return
        if order.key in accelerator.copies:
            self._pacer.reset_failures(accelerator.target, order.key)
        else:
            now = self._clock.monotonic()
            self._pacer.record_failure(accelerator.target, order.key, now)
            term_state.plan_outdated = True
