"""Sends the lease holder's orders to engines.

An order is recorded by a majority before it is sent, and the lease is
checked before each exchange.
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
from dotterelbridge.placement.ledger import Account
from dotterelbridge.placement.ledger import OpenOrder
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import Holding
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
        is_leaving: Callable[[Account], bool],
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._engines = engines
        self._pacer = pacer
        self._is_leaving = is_leaving
        self._clock = clock
        self._life = f"{random.getrandbits(32):08x}"
        self._created = 0
        """Orders made by this life, so that each has its own id."""

    def create_order(
        self,
        holding: Holding,
        action: OrderAction,
        item: EngineItem | None,
        role: EngineRole | None = None,
    ) -> EngineOrder:
        """Return an order of this term with an id of its own."""
        self._created += 1
        order_id = f"{self._life}-{holding.term}-{self._created}"
        return EngineOrder(
            order_id=OrderId(order_id),
            fencing_number=FencingNumber(holding.term),
            action=action,
            item=item,
            role=role,
        )

    async def record_and_send(
        self,
        tasks: anyio.abc.TaskGroup,
        holding: Holding,
        opened: list[OpenOrder],
    ) -> None:
        """Record orders by majority, then send them.

        :raises LeaseLost: nothing was sent.
        """
        if not opened:
            return
        await self._lease.write_record(
            [RecordChange(o.record_key, o.encode()) for o in opened]
        )
        for order in opened:
            self._start_sending(tasks, holding, order)

    def _start_sending(
        self,
        tasks: anyio.abc.TaskGroup,
        holding: Holding,
        order: OpenOrder,
    ) -> None:
        now = self._clock.monotonic()
        order_id = order.order.order_id
        is_first = order_id not in holding.sent_at
        holding.sent_at[order_id] = now
        holding.sending.add(order_id)
        holding.ledger.note_sent(order, now)
        tasks.start_soon(self._send, holding, order, is_first)

    async def _send(
        self, holding: Holding, order: OpenOrder, is_first: bool
    ) -> None:
        try:
            answer = await self.exchange(
                holding, order.target, order.order, order if is_first else None
            )
        finally:
            holding.sending.discard(order.order.order_id)
        if answer is not None:
            self._take_answer(holding, order, answer)

    async def exchange(
        self,
        holding: Holding,
        target: TargetId,
        order: EngineOrder,
        unsent: OpenOrder | None = None,
    ) -> OrderAnswer | None:
        """Send an order; None when no answer came.

        :param unsent: dropped from the ledger when the order certainly
            did not arrive.
        """
        self._lease.check()
        timeout = self._settings.order_timeout
        action = order.action.value
        try:
            with anyio.fail_after(timeout.total_seconds()):
                answer = await self._engines[target].send_order(order, timeout)
        except TargetConnectFailed:
            if unsent is not None:
                self._cancel(holding, unsent)
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

    def _cancel(self, holding: Holding, order: OpenOrder) -> None:
        holding.ledger.cancel_unsent(order)
        holding.sent_at.pop(order.order.order_id, None)
        holding.unrecorded.append(order.record_key)
        now = self._clock.monotonic()
        if order.is_load:
            self._pacer.note_failure(order.target, order.key, now)
        holding.dirty = True

    def _take_answer(
        self, holding: Holding, order: OpenOrder, answer: OrderAnswer
    ) -> None:
        account = holding.ledger.accounts[order.target]
        if answer.status is OrderStatus.STALE_FENCING:
            account.note_fence(answer.fencing_number)
            return
        if answer.status in (OrderStatus.ACCEPTED, OrderStatus.DUPLICATE):
            return
        order.refused = True
        holding.dirty = True
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
            self._pacer.note_failure(order.target, order.key, now)

    def resend(
        self, tasks: anyio.abc.TaskGroup, holding: Holding, now: float
    ) -> None:
        """Send orders again that left no trace; the same order each time."""
        for account in holding.ledger.accounts.values():
            for order in list(account.orders.values()):
                if self._is_resend_due(holding, account, order, now):
                    self._start_sending(tasks, holding, order)

    def _is_resend_due(
        self,
        holding: Holding,
        account: Account,
        order: OpenOrder,
        now: float,
    ) -> bool:
        order_id = order.order.order_id
        if order_id in holding.sending or not account.is_unanswered(order):
            return False
        is_present = order.key in account.copies
        if is_present == order.is_load or self._is_leaving(account):
            return False
        is_current = order.order.fencing_number == holding.term
        if not is_current and account.fencing is Fencing.ENFORCED:
            return False
        sent_at = holding.sent_at.get(order_id, float("-inf"))
        return now - sent_at >= self._settings.order_resend_s
