"""Asks engines for their inventories and hands them to the ledger."""

from collections.abc import Mapping

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.ledger import Account
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import Holding
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import Inventory

INVENTORIES_AT_ONCE = 16

_log = structlog.get_logger(__name__)


class InventoryReader:
    """Reads the engines of one failure domain for its lease holder."""

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

    async def ask_all(self, holding: Holding) -> None:
        limiter = anyio.Semaphore(INVENTORIES_AT_ONCE)

        async def ask_one(target: TargetId) -> None:
            async with limiter:
                await self.ask(holding, target)

        async with anyio.create_task_group() as tasks:
            for target in self._engines:
                tasks.start_soon(ask_one, target)

    def ask_due(
        self, tasks: anyio.abc.TaskGroup, holding: Holding, now: float
    ) -> None:
        for target in self._engines:
            if target in holding.asking:
                continue
            interval_s = self._choose_interval_s(holding, target)
            if now - holding.asked_at.get(target, 0.0) >= interval_s:
                tasks.start_soon(self.ask, holding, target)

    def _choose_interval_s(self, holding: Holding, target: TargetId) -> float:
        account = holding.ledger.accounts[target]
        busy = (
            any(account.loads_in_transit())
            or any(place[0] == target for place in holding.drains)
            or any(place[0] == target for place in holding.intents)
        )
        interval_ms = (
            self._settings.busy_inventory_interval_ms
            if busy
            else self._settings.inventory_interval_ms
        )
        return interval_ms / 1000

    async def ask(self, holding: Holding, target: TargetId) -> None:
        asked_at = self._clock.monotonic()
        holding.asked_at[target] = asked_at
        holding.asking.add(target)
        timeout = self._settings.inventory_timeout
        try:
            with anyio.fail_after(timeout.total_seconds()):
                inventory = await self._engines[target].fetch_inventory(
                    timeout
                )
        except (TargetError, TimeoutError):
            return
        finally:
            holding.asking.discard(target)
        if inventory.target == target:
            self._take_inventory(holding, inventory, asked_at)

    def _take_inventory(
        self, holding: Holding, inventory: Inventory, asked_at: float
    ) -> None:
        account = holding.ledger.accounts[inventory.target]
        before = (account.leaving, set(account.copies), account.incarnation)
        settled = holding.ledger.observe(inventory, asked_at)
        after = (account.leaving, set(account.copies), account.incarnation)
        if before != after:
            holding.dirty = True
        for order_id in settled:
            self._note_settled(holding, account, order_id)

    def _note_settled(
        self, holding: Holding, account: Account, order_id: OrderId
    ) -> None:
        order = account.orders[order_id]
        events.log(
            _log,
            PlacementEvent.ORDER_SETTLED,
            target=account.target,
            order=order_id,
            item=order.key,
        )
        if not order.is_load:
            del account.orders[order_id]
            holding.unrecorded.append(order.record_key)
            return
        if order.key in account.copies:
            self._pacer.note_success(account.target, order.key)
        else:
            now = self._clock.monotonic()
            self._pacer.note_failure(account.target, order.key, now)
            holding.dirty = True
