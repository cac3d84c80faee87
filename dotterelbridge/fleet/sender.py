"""Sends orders to engines and follows each until it is carried out."""

from datetime import timedelta

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet import instruments
from dotterelbridge.fleet.authority import OrderAuthority
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine import Verdict
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.engine_states import EngineStates
from dotterelbridge.fleet.errors import EngineCallFailed
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.settings import FleetSettings

_log = structlog.get_logger(__name__)

_LOOK_AGAIN = timedelta(milliseconds=50)
"""Pause before an engine that is busy is asked again."""
_MOMENT_S = 0.1
_UNANSWERED = "unanswered"
_UNLOAD_TIME = timedelta(milliseconds=20)
"""Time from an accepted unload of an idle model until it is done."""
_BUSY_DOUBLINGS = 3
_BUSY_BEFORE_REPORT = 3
_ADAPTER_IN_USE_S = 3.0
"""Time that the last requests of an adapter may take to end; beyond it
another one makes room."""


class OrderSender:
    """Has one order carried out at a time, each for one engine's state."""

    def __init__(
        self,
        authority: OrderAuthority,
        accounts: EngineStates,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self._authority = authority
        self._accounts = accounts
        self._control = control
        self._settings = settings
        self._clock = clock

    async def carry_out(
        self,
        account: EngineState,
        kind: OrderKind,
        item: ItemKey,
        load_s: float = 0.0,
    ) -> bool:
        """Have an order carried out; False where it was refused."""
        tries = 0
        while self._may_go_on(account):
            if item.adapter and not account.serves(item.model):
                return False
            if await self._wait_for_engine(account, item):
                continue
            async with account.sending:
                if kind is OrderKind.LOAD and not account.fits(
                    item.model, item.adapter
                ):
                    return False
                verdict = await self._send_until_answered(
                    account, kind, item, load_s
                )
            if verdict is Verdict.ALREADY_DONE:
                return True
            if verdict is Verdict.ACCEPTED:
                return await self._finish(account, kind, item)
            if verdict is not Verdict.BUSY:
                return False
            tries += 1
            await self._wait_busy(account, tries)
        return False

    def _may_go_on(self, account: EngineState) -> bool:
        return (
            self._authority.is_held
            and self._accounts.is_current(account)
            and not account.is_silent
        )

    async def _wait_for_engine(
        self, account: EngineState, item: ItemKey
    ) -> bool:
        """Wait a moment while the engine takes no orders; False if not."""
        if account.has_foreign_load:
            await self._accounts.refresh(account)
            return True
        if item.adapter and account.loading is not None:
            # Engines take no orders while one for a model is under way.
            await self._clock.sleep(_LOOK_AGAIN)
            return True
        return False

    async def _send_until_answered(
        self,
        account: EngineState,
        kind: OrderKind,
        item: ItemKey,
        load_s: float,
    ) -> Verdict | None:
        """Send an order, again after each silence; return the answer."""
        order = Order(
            kind=kind,
            model=item.model,
            adapter=item.adapter,
            expected_orders=account.orders_accepted,
        )
        account.open_order(order, self._clock.monotonic())
        timeout = timedelta(milliseconds=self._settings.order_timeout_ms)
        verdict = None
        try:
            while verdict is None and self._may_go_on(account):
                verdict = await self._send_once(account, order, timeout)
        finally:
            self._settle(account, verdict, load_s)
        return verdict

    async def _send_once(
        self, account: EngineState, order: Order, timeout: timedelta
    ) -> Verdict | None:
        details = {
            "target": account.target.target,
            "kind": order.kind.value,
            "model": order.model,
            "adapter": order.adapter,
            "expected_orders": order.expected_orders,
        }
        events.log(
            _log,
            FleetEvent.ORDER_SENT,
            term=self._authority.term,
            used_mb=account.used_mb,
            report_age_s=round(
                self._clock.monotonic() - account.reported_at, 3
            ),
            **details,
        )
        sent_at = self._clock.monotonic()
        try:
            verdict = await self._control.send_order(
                account.target,
                order,
                self._authority.own,
                self._authority.term,
                timeout,
            )
        except EngineCallFailed as error:
            _count_order(order, _UNANSWERED)
            events.log(
                _log, FleetEvent.ORDER_OVERDUE, error=str(error), **details
            )
            await self._clock.sleep(_LOOK_AGAIN)
            return None
        _count_order(order, verdict.value)
        instruments.order_answers.record(
            self._clock.monotonic() - sent_at, {"item": name_item(order)}
        )
        events.log(
            _log, FleetEvent.ORDER_ANSWERED, verdict=verdict.value, **details
        )
        return verdict

    def _settle(
        self, account: EngineState, verdict: Verdict | None, load_s: float
    ) -> None:
        now = self._clock.monotonic()
        if verdict is Verdict.OTHER_INCARNATION:
            self._accounts.take_leave(account)
        if verdict is Verdict.ACCEPTED:
            account.settle_accepted(now + load_s, now)
        elif verdict is Verdict.ALREADY_DONE:
            account.settle_held(now)
        elif verdict is None:
            account.settle_unanswered()
        else:
            account.settle_refused()

    async def _finish(
        self, account: EngineState, kind: OrderKind, item: ItemKey
    ) -> bool:
        """Wait until an accepted order is carried out."""
        if kind is OrderKind.LOAD and item.adapter:
            return await self._finish_adapter_load(account, item)
        if kind is OrderKind.LOAD:
            return await self._finish_load(account, item)
        if item.adapter:
            return await self._finish_adapter_unload(account, item)
        await self._clock.sleep(_UNLOAD_TIME)
        return True

    async def _finish_adapter_load(
        self, account: EngineState, item: ItemKey
    ) -> bool:
        wait = timedelta(milliseconds=self._settings.adapter_load_ms)
        await self._clock.sleep(wait)
        account.finish_adapter(item.model, item.adapter)
        return True

    async def _finish_adapter_unload(
        self, account: EngineState, item: ItemKey
    ) -> bool:
        """Wait until an adapter in use has left its place."""
        place = (item.model, item.adapter)
        ends_at = self._clock.monotonic() + _ADAPTER_IN_USE_S
        self._accounts.show(account)
        try:
            while (
                self._accounts.is_current(account)
                and self._clock.monotonic() < ends_at
            ):
                await self._accounts.refresh(account)
                if not account.has_adapter(*place):
                    return True
            return False
        finally:
            account.leaving_adapters.discard(place)

    async def _finish_load(self, account: EngineState, item: ItemKey) -> bool:
        """Wait until a load is done.

        The same order is sent again when the load should be over: the
        engine answers that it holds, without the lag of a report.
        """
        tries = 0
        while self._may_go_on(account):
            wait_s = account.loading.ready_at - self._clock.monotonic()
            await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))
            async with account.sending:
                verdict = await self._send_until_answered(
                    account, OrderKind.LOAD, item, _MOMENT_S
                )
            if verdict is Verdict.ALREADY_DONE:
                return True
            if verdict is not Verdict.BUSY or account.loading is None:
                return False
            tries += 1
            await self._wait_busy(account, tries)
        return False

    async def _wait_busy(self, account: EngineState, tries: int) -> None:
        """Wait before an engine that refused an order is asked again."""
        pause = _LOOK_AGAIN * 2 ** min(tries - 1, _BUSY_DOUBLINGS)
        await self._clock.sleep(pause)
        if tries % _BUSY_BEFORE_REPORT == 0:
            # Perhaps it has accepted orders that are not known here.
            await self._accounts.refresh(account)


def name_item(item: Order | ItemKey) -> str:
    """Return the kind of an item, for metrics."""
    return "adapter" if item.adapter else "model"


def _count_order(order: Order, verdict: str) -> None:
    instruments.orders.add(
        1,
        {
            "kind": order.kind.value,
            "item": name_item(order),
            "verdict": verdict,
        },
    )
