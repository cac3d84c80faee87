"""Sends the lease holder's orders to engines.

An order is recorded at a majority of the domain's VMs before it is sent,
and the lease is checked before each send.
"""

from collections.abc import Callable
from collections.abc import Mapping
import random as random_module

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import Fencing
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.lease import Lease
from dotterelbridge.placement.ledger import AcceleratorState
from dotterelbridge.placement.ledger import OpenOrder
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import TermState
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import EngineRole
from dotterelbridge.targets.engine import OrderAction
from dotterelbridge.targets.engine import OrderAnswer
from dotterelbridge.targets.engine import OrderStatus

_log = structlog.get_logger(__name__)
_answers = metrics.meter.create_counter(
    "dotterelbridge.placement.orders",
    description="Orders sent to engines, by action and answer",
)


class OrderSender:
    """Creates, records, sends and resends orders."""

    def __init__(
        self,
        settings: PlacementSettings,
        lease: Lease,
        engines: Mapping[TargetId, Engine],
        pacer: LoadPacer,
        is_leaving: Callable[[AcceleratorState], bool],
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._engines = engines
        self._pacer = pacer
        self._is_leaving = is_leaving
        self._clock = clock
        self._incarnation = f"{random.getrandbits(32):08x}"
        self._created_count = 0
        """Number of orders of this incarnation; makes order ids unique."""

    def create_order(
        self,
        term_state: TermState,
        action: OrderAction,
        item: EngineItem | None,
        role: EngineRole | None = None,
    ) -> EngineOrder:
        """Return an order of this term with a unique id."""
        self._created_count += 1
        order_id = (
            f"{self._incarnation}-{term_state.term}-{self._created_count}"
        )
        return EngineOrder(
            order_id=OrderId(order_id),
            fencing_number=FencingNumber(term_state.term),
            action=action,
            item=item,
            role=role,
        )

    async def record_and_send(
        self,
        tasks: anyio.abc.TaskGroup,
        term_state: TermState,
        open_orders: list[OpenOrder],
    ) -> None:
        """Record orders at a majority of VMs, then send them.

        :raises LeaseLost: nothing was sent.
        """
        if not open_orders:
            return
        await self._lease.write_record(
            [RecordChange(o.record_key, o.encode()) for o in open_orders]
        )
        for order in open_orders:
            self._start_sending(tasks, term_state, order)

    def _start_sending(
        self,
        tasks: anyio.abc.TaskGroup,
        term_state: TermState,
        order: OpenOrder,
    ) -> None:
        now = self._clock.monotonic()
        order_id = order.order.order_id
        is_first = order_id not in term_state.sent_at
        term_state.sent_at[order_id] = now
        term_state.sending.add(order_id)
        term_state.ledger.extend_expiry(order, now)
        tasks.start_soon(self._send, term_state, order, is_first)

    async def _send(
        self, term_state: TermState, order: OpenOrder, is_first: bool
    ) -> None:
        try:
            answer = await self.send_order(
                term_state,
                order.target,
                order.order,
                order if is_first else None,
            )
        finally:
            term_state.sending.discard(order.order.order_id)
        if answer is not None:
            self._handle_answer(term_state, order, answer)

    async def send_order(
        self,
        term_state: TermState,
        target: TargetId,
        order: EngineOrder,
        cancel_if_unsent: OpenOrder | None = None,
    ) -> OrderAnswer | None:
        """Send an order; return None if no answer came.

        :param cancel_if_unsent: open order to remove from the ledger if the
            order certainly did not arrive.
        """
        self._lease.check_held()
        timeout = self._settings.order_timeout
        action = order.action.value
        try:
            with anyio.fail_after(timeout.total_seconds()):
                answer = await self._engines[target].send_order(
                    order, timeout, may_send=self._lease.is_held
                )
        except TargetConnectFailed:
            if cancel_if_unsent is not None:
                self._cancel_unsent_order(term_state, cancel_if_unsent)
            _answers.add(1, {"action": action, "answer": "not sent"})
            return None
        except (TargetError, TimeoutError):
            events.log(
                _log,
                PlacementEvent.ORDER_ANSWER_LOST,
                target=target,
                order=order.order_id,
            )
            _answers.add(1, {"action": action, "answer": "lost"})
            return None
        _answers.add(1, {"action": action, "answer": answer.status.value})
        events.log(
            _log,
            PlacementEvent.ORDER_SENT,
            target=target,
            order=order.order_id,
            action=action,
            item=get_item_key(order.item) if order.item else None,
            answer=answer.status.value,
        )
        return answer

    def _cancel_unsent_order(
        self, term_state: TermState, order: OpenOrder
    ) -> None:
        term_state.ledger.cancel_unsent_order(order)
        term_state.sent_at.pop(order.order.order_id, None)
        term_state.obsolete_record_keys.append(order.record_key)
        now = self._clock.monotonic()
        if order.is_load:
            self._pacer.record_failure(order.target, order.key, now)
        term_state.plan_outdated = True

    def _handle_answer(
        self, term_state: TermState, order: OpenOrder, answer: OrderAnswer
    ) -> None:
        accelerator = term_state.ledger.accelerators[order.target]
        if answer.status is OrderStatus.STALE_FENCING:
            accelerator.update_fencing_number(answer.fencing_number)
            return
        if answer.status in (OrderStatus.ACCEPTED, OrderStatus.DUPLICATE):
            return
        order.refused = True
        term_state.plan_outdated = True
        events.log(
            _log,
            PlacementEvent.ORDER_REFUSED,
            target=order.target,
            order=order.order.order_id,
            item=order.key,
            answer=answer.status.value,
            reason=answer.reason,
        )
        if order.is_load:
            now = self._clock.monotonic()
            self._pacer.record_failure(order.target, order.key, now)

    def resend_due_orders(
        self, tasks: anyio.abc.TaskGroup, term_state: TermState, now: float
    ) -> None:
        """Resend orders, unchanged, whose outcome is unknown."""
        for accelerator in term_state.ledger.accelerators.values():
            for order in list(accelerator.orders.values()):
                if self._is_resend_due(term_state, accelerator, order, now):
                    self._start_sending(tasks, term_state, order)

    def _is_resend_due(
        self,
        term_state: TermState,
        accelerator: AcceleratorState,
        order: OpenOrder,
        now: float,
    ) -> bool:
        order_id = order.order.order_id
        if (
            order_id in term_state.sending
            or not accelerator.is_outcome_unknown(order)
        ):
            return False
        is_present = order.key in accelerator.copies
        if is_present == order.is_load or self._is_leaving(accelerator):
            return False
        is_current = order.order.fencing_number == term_state.term
        if not is_current and accelerator.fencing is Fencing.ENFORCED:
            return False
        sent_at = term_state.sent_at.get(order_id, float("-inf"))
        return now - sent_at >= self._settings.order_resend_s
