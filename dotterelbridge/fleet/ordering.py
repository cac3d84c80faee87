"""Gives orders to the engines while this VM leads the replicated log.

One VM at a time gives orders: the leader of the log, once it has claimed
so on the log and once the holder before it certainly gives none. Every
order names the number of orders that the engine accepted before, so that
a copy which an engine carries out late finds another number and fails.
"""

from collections import deque
from datetime import timedelta

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.fleet import instruments
from dotterelbridge.fleet.account import EngineAccount
from dotterelbridge.fleet.board import FleetBoard
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.demand import DemandBoard
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine import Verdict
from dotterelbridge.fleet.errors import EngineUnanswered
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.holder import MACHINE_NAME
from dotterelbridge.fleet.holder import decode_other
from dotterelbridge.fleet.holder import encode_claim
from dotterelbridge.fleet.policy import FleetPolicy
from dotterelbridge.fleet.policy import ServicePlan
from dotterelbridge.fleet.policy import Step
from dotterelbridge.fleet.policy import estimate_load_s
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import TargetPhase
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.recovering import RecoveringLog
from dotterelbridge.routes.force import RoutesInForce
from dotterelbridge.routes.model import EngineInfo

_log = structlog.get_logger(__name__)

_TICK = timedelta(milliseconds=100)
_CLAIM_TIMEOUT = timedelta(seconds=1)
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
_MOVE_LIMIT_S = 20.0
"""Time after which a move that makes no way is given up: three times the
longest load, with two late answers."""


class Ordering:
    """The orders of one VM, and what it knows of the engines for them."""

    def __init__(
        self,
        own: VmId,
        log: RecoveringLog,
        board: FleetBoard,
        routes: RoutesInForce,
        demand: DemandBoard,
        control: EngineControl,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self._own = own
        self._log = log
        self._board = board
        self._routes = routes
        self._demand = demand
        self._control = control
        self._settings = settings
        self._clock = clock
        self._accounts: dict[TargetId, EngineAccount] = {}
        self._term: Term | None = None
        """The term in which this VM may give orders."""
        self._store_starts: deque[float] = deque()
        self._wake = anyio.Event()
        self._expected: dict[ItemKey, float] = {}
        self._reporting: set[TargetId] = set()
        self._blocked: dict[ItemName, set[ItemKey]] = {}
        """Items that no engine has room for, by service."""

    @property
    def may_order(self) -> bool:
        """Whether this VM is the one that gives orders, at this moment."""
        return (
            self._term is not None
            and self._log.leads()
            and self._log.term == self._term
        )

    def wake(self) -> None:
        """Plan at once: something changed."""
        self._wake.set()

    async def run(self) -> None:
        """Give orders whenever this VM leads, until cancelled."""
        while True:
            if not self._log.leads():
                await self._clock.sleep(_LOOK_AGAIN)
                continue
            term = self._log.term
            if await self._take_office(term):
                await self._serve_term(term)

    async def _take_office(self, term: Term) -> bool:
        """Claim on the log, and wait out the holder before.

        Its lease was over when this VM was elected; from then on the time
        counts in which it may have given its last order.
        """
        elected_at = self._clock.monotonic()
        try:
            other = await self._claim(term)
            if other is not None:
                await self._wait_for_other(term, other, elected_at)
                await self._claim(term, is_settled=True)
        except (NotCommitted, CommitUnknown):
            await self._clock.sleep(_LOOK_AGAIN)
            return False
        if not self._log.leads() or self._log.term != term:
            return False
        self._term = term
        events.log(_log, FleetEvent.ORDERING_STARTED, term=term)
        return True

    async def _claim(
        self, term: Term, is_settled: bool = False
    ) -> VmId | None:
        """Claim on the log; return who may still give orders beside."""
        claim = encode_claim(self._own, term, is_settled)
        result = await self._log.propose(MACHINE_NAME, claim, _CLAIM_TIMEOUT)
        return decode_other(result)

    async def _wait_for_other(
        self, term: Term, other: VmId, elected_at: float
    ) -> None:
        wait_s = self._settings.holder_wait_ms / 1000
        wait_s -= self._clock.monotonic() - elected_at
        events.log(
            _log,
            FleetEvent.ORDERING_WAITS,
            term=term,
            holder_before=other,
            wait_ms=self._settings.holder_wait_ms,
        )
        await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))

    async def _serve_term(self, term: Term) -> None:
        self._accounts = {}
        try:
            async with anyio.create_task_group() as group:
                while self.may_order:
                    self._match_accounts()
                    self._start_reports(group)
                    self._plan(group)
                    self._publish()
                    with anyio.move_on_after(_TICK.total_seconds()):
                        await self._wake.wait()
                    self._wake = anyio.Event()
                group.cancel_scope.cancel()
        finally:
            self._term = None
            self._reporting.clear()
            events.log(_log, FleetEvent.ORDERING_ENDED, term=term)

    # Accounts and reports.

    def _match_accounts(self) -> None:
        """Keep one account for each life of each engine."""
        for name, account in list(self._accounts.items()):
            target = self._board.targets.get(name)
            if target is None or target.born != account.target.born:
                del self._accounts[name]
        for name, target in self._board.targets.items():
            service = self._routes.find_service(target.service)
            if service is None or service.engine is None:
                continue
            account = self._accounts.get(name)
            if account is None:
                account = EngineAccount(target, service.engine)
                self._accounts[name] = account
            account.target = target
            account.engine = service.engine

    def _start_reports(self, group) -> None:
        now = self._clock.monotonic()
        interval_s = self._settings.report_interval_ms / 1000
        for name, account in self._accounts.items():
            due = now - account.reported_at >= interval_s
            if due and name not in self._reporting:
                self._reporting.add(name)
                group.start_soon(self._fetch_report, account)

    async def _fetch_report(self, account: EngineAccount) -> None:
        name = account.target.target
        timeout = timedelta(milliseconds=self._settings.report_timeout_ms)
        try:
            report = await self._control.fetch_report(account.target, timeout)
        except EngineUnanswered as error:
            account.note_failed_report(self._clock.monotonic())
            events.log(
                _log,
                FleetEvent.REPORT_FAILED,
                target=name,
                error=str(error),
            )
            return
        finally:
            self._reporting.discard(name)
        if report.born is not None and report.born != account.target.born:
            return
        if not account.is_known:
            events.log(
                _log,
                FleetEvent.ENGINE_KNOWN,
                target=name,
                held=[held.model for held in report.held],
                in_memory=sorted(report.in_memory),
                on_disk=sorted(report.on_disk),
                orders=report.orders_accepted,
                is_busy=report.is_busy,
            )
        account.take_report(report, self._clock.monotonic())
        target = msgspec.structs.replace(
            account.target, held=account.list_served(), load=report.load
        )
        if report.is_leaving:
            target = msgspec.structs.replace(target, phase=TargetPhase.LEAVING)
        account.target = target
        self._board.update([target])
        self.wake()

    # Plans.

    def _plan(self, group) -> None:
        now = self._clock.monotonic()
        demand = self._demand.read()
        for service in self._routes.services():
            if service.engine is None:
                continue
            accounts = [
                account
                for account in self._accounts.values()
                if account.target.service == service.name
            ]
            policy = FleetPolicy(
                service.name,
                service.engine,
                accounts,
                demand,
                self._count_store_loads(service.engine, now),
                self._demand.asked_s(service.name),
                now,
            )
            plan = policy.plan()
            self._log_absent(service.name, plan, demand)
            for step in plan.steps:
                self._start_step(group, step, now)

    def _log_absent(
        self,
        service: ItemName,
        plan: ServicePlan,
        demand: dict[ItemKey, Demand],
    ) -> None:
        """Tell once of each item that waits for room."""
        blocked = set(plan.blocked)
        for key in sorted(blocked - self._blocked.get(service, set())):
            events.log(
                _log,
                FleetEvent.ITEM_ABSENT,
                service=service,
                model=key.model,
                adapter=key.adapter,
                waiting=demand[key].waiting if key in demand else 0,
            )
        self._blocked[service] = blocked

    def _count_store_loads(self, engine: EngineInfo, now: float) -> int:
        """Return how many loads from the weight store may start now."""
        window_s = self._settings.store_burst_s
        while self._store_starts and self._store_starts[0] < now - window_s:
            self._store_starts.popleft()
        in_window = int(engine.loads_per_s * window_s)
        running = sum(a.loading_from_store for a in self._accounts.values())
        return min(
            in_window - len(self._store_starts),
            self._settings.store_at_once - running,
        )

    def _start_step(self, group, step: Step, now: float) -> None:
        account = self._accounts[step.target]
        if step.from_store:
            self._store_starts.append(now)
            account.loading_from_store = True
        model = account.engine.find_model(step.item.model)
        if step.item.adapter:
            load_s = self._settings.adapter_load_ms / 1000
        else:
            load_s = estimate_load_s(account, model)
        self._expected[step.item] = now + load_s
        self._log_step(step, load_s)
        if step.evicted is not None and not step.evicted.adapter:
            account.start_dropping(step.evicted.model)
            self._show(account)
        group.start_soon(self._move, account, step, load_s)

    def _log_step(self, step: Step, load_s: float) -> None:
        evicted = step.evicted
        events.log(
            _log,
            FleetEvent.MOVE_PLANNED,
            target=step.target,
            model=step.item.model,
            adapter=step.item.adapter,
            evicted_model=evicted.model if evicted else None,
            evicted_adapter=evicted.adapter if evicted else None,
            reason=step.reason,
            load_s=load_s,
        )

    async def _move(
        self, account: EngineAccount, step: Step, load_s: float
    ) -> None:
        """Bring one item to an engine."""
        began_at = self._clock.monotonic()
        with anyio.move_on_after(_MOVE_LIMIT_S):
            try:
                evicted = step.evicted
                if evicted and not await self._evict(account, evicted):
                    return
                await self._load(account, step.item, load_s)
            finally:
                self._end_move(account, step)
                self._measure_move(account, step, began_at)

    def _measure_move(
        self, account: EngineAccount, step: Step, began_at: float
    ) -> None:
        item = step.item
        served = account.serves(item.model, item.adapter)
        outcome = "served" if served else "given_up"
        instruments.moves.record(
            self._clock.monotonic() - began_at,
            {
                "item": _name_item(item),
                "outcome": outcome,
            },
        )

    def _end_move(self, account: EngineAccount, step: Step) -> None:
        self._expected.pop(step.item, None)
        if step.item.adapter:
            account.moving_adapters.discard(
                (step.item.model, step.item.adapter)
            )
        else:
            account.give_up_moving()
        if step.evicted is not None:
            if step.evicted.adapter:
                account.evicting.discard(
                    (step.evicted.model, step.evicted.adapter)
                )
            else:
                account.dropping.discard(step.evicted.model)
        self._show(account)
        self.wake()

    async def _evict(self, account: EngineAccount, item: ItemKey) -> bool:
        if not item.adapter:
            notice = timedelta(milliseconds=self._settings.drop_notice_ms)
            await self._clock.sleep(notice)
        done = await self._order(account, OrderKind.UNLOAD, item)
        self._show(account)
        return done

    async def _load(
        self, account: EngineAccount, item: ItemKey, load_s: float
    ) -> None:
        await self._order(account, OrderKind.LOAD, item, load_s)
        self._show(account)

    def _show(self, account: EngineAccount) -> None:
        """Let the entry VMs know what the engine serves now."""
        account.target = msgspec.structs.replace(
            account.target, held=account.list_served()
        )
        if account.target.target in self._board.targets:
            self._board.update([account.target])

    def _publish(self) -> None:
        self._board.update(expected=dict(self._expected))

    # Orders.

    async def _order(
        self,
        account: EngineAccount,
        kind: OrderKind,
        item: ItemKey,
        load_s: float = 0.0,
    ) -> bool:
        """Have an order carried out; False where it was refused."""
        tries = 0
        while self.may_order and self._is_current(account):
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
            if verdict is Verdict.HOLDS:
                return True
            if verdict is Verdict.ACCEPTED:
                return await self._finish(account, kind, item)
            if verdict is not Verdict.BUSY:
                return False
            tries += 1
            await self._wait_busy(account, tries)
        return False

    async def _wait_for_engine(
        self, account: EngineAccount, item: ItemKey
    ) -> bool:
        """Wait a moment while the engine takes no orders; False if not."""
        if account.has_foreign_load:
            await self._refresh(account)
            return True
        if item.adapter and account.loading is not None:
            # Engines take no orders while one for a model is under way.
            await self._clock.sleep(_LOOK_AGAIN)
            return True
        return False

    async def _send_until_answered(
        self,
        account: EngineAccount,
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
            while (
                verdict is None
                and self.may_order
                and self._is_current(account)
            ):
                verdict = await self._send_once(account, order, timeout)
        finally:
            self._settle(account, verdict, load_s)
        return verdict

    async def _send_once(
        self, account: EngineAccount, order: Order, timeout: timedelta
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
            term=self._term,
            used_mb=account.used_mb,
            report_age_s=round(
                self._clock.monotonic() - account.reported_at, 3
            ),
            **details,
        )
        sent_at = self._clock.monotonic()
        try:
            verdict = await self._control.send_order(
                account.target, order, self._own, self._term, timeout
            )
        except EngineUnanswered as error:
            _count_order(order, _UNANSWERED)
            events.log(
                _log, FleetEvent.ORDER_OVERDUE, error=str(error), **details
            )
            await self._clock.sleep(_LOOK_AGAIN)
            return None
        _count_order(order, verdict.value)
        instruments.order_answers.record(
            self._clock.monotonic() - sent_at, {"item": _name_item(order)}
        )
        events.log(
            _log, FleetEvent.ORDER_ANSWERED, verdict=verdict.value, **details
        )
        return verdict

    def _settle(
        self, account: EngineAccount, verdict: Verdict | None, load_s: float
    ) -> None:
        now = self._clock.monotonic()
        if verdict is Verdict.OTHER_LIFE:
            self._take_leave(account)
        if verdict is Verdict.ACCEPTED:
            account.settle_accepted(now + load_s, now)
        elif verdict is Verdict.HOLDS:
            account.settle_held(now)
        elif verdict is None:
            account.settle_unanswered()
        else:
            account.settle_refused()

    def _take_leave(self, account: EngineAccount) -> None:
        """Count an engine no more: another one answers at its address.

        The platform's list shows that only seconds later.
        """
        account.target = msgspec.structs.replace(
            account.target, phase=TargetPhase.LEAVING
        )
        self._board.update([account.target])

    async def _finish(
        self, account: EngineAccount, kind: OrderKind, item: ItemKey
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
        self, account: EngineAccount, item: ItemKey
    ) -> bool:
        wait = timedelta(milliseconds=self._settings.adapter_load_ms)
        await self._clock.sleep(wait)
        account.finish_adapter(item.model, item.adapter)
        return True

    async def _finish_adapter_unload(
        self, account: EngineAccount, item: ItemKey
    ) -> bool:
        """Wait until an adapter in use has left its place."""
        place = (item.model, item.adapter)
        ends_at = self._clock.monotonic() + _ADAPTER_IN_USE_S
        self._show(account)
        try:
            while (
                self._is_current(account) and self._clock.monotonic() < ends_at
            ):
                await self._refresh(account)
                if not account.has_adapter(*place):
                    return True
            return False
        finally:
            account.leaving_adapters.discard(place)

    async def _finish_load(
        self, account: EngineAccount, item: ItemKey
    ) -> bool:
        """Wait until a load is done.

        The same order is sent again when the load should be over: the
        engine answers that it holds, without the lag of a report.
        """
        tries = 0
        while self.may_order and self._is_current(account):
            wait_s = account.loading.ready_at - self._clock.monotonic()
            await self._clock.sleep(timedelta(seconds=max(0.0, wait_s)))
            async with account.sending:
                verdict = await self._send_until_answered(
                    account, OrderKind.LOAD, item, _MOMENT_S
                )
            if verdict is Verdict.HOLDS:
                return True
            if verdict is not Verdict.BUSY or account.loading is None:
                return False
            tries += 1
            await self._wait_busy(account, tries)
        return False

    async def _wait_busy(self, account: EngineAccount, tries: int) -> None:
        """Wait before an engine that refused an order is asked again."""
        pause = _LOOK_AGAIN * 2 ** min(tries - 1, _BUSY_DOUBLINGS)
        await self._clock.sleep(pause)
        if tries % _BUSY_BEFORE_REPORT == 0:
            # Perhaps it has accepted orders that are not known here.
            await self._refresh(account)

    def _is_current(self, account: EngineAccount) -> bool:
        return self._accounts.get(account.target.target) is account

    async def _refresh(self, account: EngineAccount) -> None:
        """Read a report now, or a little later where one is under way."""
        await self._clock.sleep(_LOOK_AGAIN)
        name = account.target.target
        if name not in self._reporting:
            self._reporting.add(name)
            await self._fetch_report(account)


def _name_item(item: Order | ItemKey) -> str:
    return "adapter" if item.adapter else "model"


def _count_order(order: Order, verdict: str) -> None:
    instruments.orders.add(
        1,
        {
            "kind": order.kind.value,
            "item": _name_item(order),
            "verdict": verdict,
        },
    )


def create_ordering(
    own: VmId,
    log: RecoveringLog,
    board: FleetBoard,
    routes: RoutesInForce,
    demand: DemandBoard,
    control: EngineControl,
    settings: FleetSettings,
    clock: Clock,
) -> Ordering:
    """Return the part that gives orders on a control VM."""
    return Ordering(own, log, board, routes, demand, control, settings, clock)
