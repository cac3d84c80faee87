"""Sends orders to engines and waits for each until it is complete."""

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

_RETRY_DELAY = timedelta(milliseconds=50)
"""Delay before an order is sent again, and before a busy engine is
checked again."""
_REPEATED_LOAD_S = 0.1
"""Load time assumed if an engine accepts a repeated order as a new one."""
_UNANSWERED = "unanswered"
_UNLOAD_DURATION = timedelta(milliseconds=20)
"""Time from an accepted unload of an idle model until it is complete."""
_MAX_BUSY_DOUBLINGS = 3
"""How often the retry delay of a busy engine is doubled."""
_BUSY_COUNT_BEFORE_REPORT = 3
"""Refusals by a busy engine after which its report is fetched."""
_ADAPTER_DRAIN_TIMEOUT_S = 3.0
"""Time allowed for the last requests of an adapter to end; afterwards
another adapter is evicted instead."""


class OrderSender:
    """Sends one order at a time to an engine and waits for its effect.

    Each order is valid for one state of the engine only: the number of
    orders that it has accepted.
    """

    def __init__(
        self,
        authority: OrderAuthority,
        engines: EngineStates,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self._authority = authority
        self._engines = engines
        self._control = control
        self._settings = settings
        self._clock = clock

    async def execute(
        self,
        state: EngineState,
        kind: OrderKind,
        item: ItemKey,
        load_s: float = 0.0,
    ) -> bool:
        """Send an order and wait until it is complete.

        Returns False if it was refused or can no longer be completed.
        """
        attempts = 0
        while self._can_continue(state):
            if item.adapter and not state.serves(item.model):
                return False
            if await self._delay_while_executing(state, item):
                continue
            async with state.order_lock:
                if kind is OrderKind.LOAD and not state.can_load(
                    item.model, item.adapter
                ):
                    return False
                verdict = await self._send_until_answered(
                    state, kind, item, load_s
                )
            if verdict is Verdict.ALREADY_DONE:
                return True
            if verdict is Verdict.ACCEPTED:
                return await self._wait_until_done(state, kind, item)
            if verdict is not Verdict.BUSY:
                return False
            attempts += 1
            await self._back_off(state, attempts)
        return False

    def _can_continue(self, state: EngineState) -> bool:
        return (
            self._authority.is_held
            and self._engines.is_current(state)
            and not state.is_silent
        )

    async def _delay_while_executing(
        self, state: EngineState, item: ItemKey
    ) -> bool:
        """Wait for a moment if the engine accepts no orders now.

        Returns True after a wait, False if an order may be sent now.
        """
        if state.has_foreign_load:
            await self._engines.refresh_report(state)
            return True
        if item.adapter and state.executing_order is not None:
            # An engine refuses orders while it executes one for a model.
            await self._clock.sleep(_RETRY_DELAY)
            return True
        return False

    async def _send_until_answered(
        self,
        state: EngineState,
        kind: OrderKind,
        item: ItemKey,
        load_s: float,
    ) -> Verdict | None:
        """Send an order until it is answered; return the verdict.

        Returns None if this VM lost the authority or the engine is gone.
        """
        order = Order(
            kind=kind,
            model=item.model,
            adapter=item.adapter,
            expected_orders=state.orders_accepted,
        )
        state.begin_order(order, self._clock.monotonic())
        timeout = timedelta(milliseconds=self._settings.order_timeout_ms)
        verdict = None
        try:
            while verdict is None and self._can_continue(state):
                verdict = await self._send_once(state, order, timeout)
        finally:
            self._record_verdict(state, verdict, load_s)
        return verdict

    async def _send_once(
        self, state: EngineState, order: Order, timeout: timedelta
    ) -> Verdict | None:
        details = {
            "target": state.target.target,
            "kind": order.kind.value,
            "model": order.model,
            "adapter": order.adapter,
            "expected_orders": order.expected_orders,
        }
        events.log(
            _log,
            FleetEvent.ORDER_SENT,
            term=self._authority.term,
            used_mb=state.used_mb,
            report_age_s=round(self._clock.monotonic() - state.reported_at, 3),
            **details,
        )
        sent_at = self._clock.monotonic()
        try:
            verdict = await self._control.send_order(
                state.target,
                order,
                self._authority.own_vm,
                self._authority.term,
                timeout,
                may_send=lambda: self._can_continue(state),
            )
        except EngineCallFailed as error:
            _count_order(order, _UNANSWERED)
            events.log(
                _log, FleetEvent.ORDER_OVERDUE, error=str(error), **details
            )
            await self._clock.sleep(_RETRY_DELAY)
            return None
        _count_order(order, verdict.value)
        instruments.order_answers.record(
            self._clock.monotonic() - sent_at, {"item": get_item_kind(order)}
        )
        events.log(
            _log, FleetEvent.ORDER_ANSWERED, verdict=verdict.value, **details
        )
        return verdict

    def _record_verdict(
        self, state: EngineState, verdict: Verdict | None, load_s: float
    ) -> None:
        now = self._clock.monotonic()
        if verdict is Verdict.OTHER_INCARNATION:
            self._engines.mark_leaving(state)
        if verdict is Verdict.ACCEPTED:
            state.record_accepted(now + load_s, now)
        elif verdict is Verdict.ALREADY_DONE:
            state.record_already_done(now)
        elif verdict is None:
            state.record_unanswered()
        else:
            state.record_refused()

    async def _wait_until_done(
        self, state: EngineState, kind: OrderKind, item: ItemKey
    ) -> bool:
        """Wait until an accepted order is complete."""
        if kind is OrderKind.LOAD and item.adapter:
            return await self._wait_for_adapter_load(state, item)
        if kind is OrderKind.LOAD:
            return await self._wait_for_model_load(state, item)
        if item.adapter:
            return await self._wait_for_adapter_unload(state, item)
        await self._clock.sleep(_UNLOAD_DURATION)
        return True

    async def _wait_for_adapter_load(
        self, state: EngineState, item: ItemKey
    ) -> bool:
        wait = timedelta(milliseconds=self._settings.adapter_load_ms)
        await self._clock.sleep(wait)
        state.mark_adapter_ready(item.model, item.adapter)
        return True

    async def _wait_for_adapter_unload(
        self, state: EngineState, item: ItemKey
    ) -> bool:
        """Wait until an adapter in use is unloaded after its last request."""
        place = (item.model, item.adapter)
        ends_at = self._clock.monotonic() + _ADAPTER_DRAIN_TIMEOUT_S
        self._engines.publish_state(state)
        try:
            while (
                self._engines.is_current(state)
                and self._clock.monotonic() < ends_at
            ):
                await self._engines.refresh_report(state)
                if not state.has_adapter(*place):
                    return True
            return False
        finally:
            state.draining_adapters.discard(place)

    async def _wait_for_model_load(
        self, state: EngineState, item: ItemKey
    ) -> bool:
        """Wait until a load is complete.

        The same order is sent again when the load should be complete. The
        engine then answers that it is already done, earlier than a report
        would show it.
        """
        attempts = 0
        while self._can_continue(state):
            wait_s = state.executing_order.ready_at - self._clock.monotonic()
            await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))
            async with state.order_lock:
                verdict = await self._send_until_answered(
                    state, OrderKind.LOAD, item, _REPEATED_LOAD_S
                )
            if verdict is Verdict.ALREADY_DONE:
                return True
            if verdict is not Verdict.BUSY or state.executing_order is None:
                return False
            attempts += 1
            await self._back_off(state, attempts)
        return False

    async def _back_off(self, state: EngineState, attempts: int) -> None:
        """Wait before an order is sent again to a busy engine."""
        pause = _RETRY_DELAY * 2 ** min(attempts - 1, _MAX_BUSY_DOUBLINGS)
        await self._clock.sleep(pause)
        if attempts % _BUSY_COUNT_BEFORE_REPORT == 0:
            # The engine may have accepted orders that this VM did not count.
            await self._engines.refresh_report(state)


def get_item_kind(item: Order | ItemKey) -> str:
    """Return the kind of an item as a metric label."""
    return "adapter" if item.adapter else "model"


def _count_order(order: Order, verdict: str) -> None:
    instruments.orders.add(
        1,
        {
            "kind": order.kind.value,
            "item": get_item_kind(order),
            "verdict": verdict,
        },
    )
