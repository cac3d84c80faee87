"""Gives orders to the engines while this VM leads the replicated log.

One VM at a time gives orders: the leader of the log, once it has claimed
so on the log and once the holder before it certainly gives none. Every
order names the number of orders that the engine accepted before, so that
a copy which an engine carries out late finds another number and fails.
"""

from datetime import timedelta

import anyio
from anyio.abc import TaskGroup
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet import instruments
from dotterelbridge.fleet.authority import OrderAuthority
from dotterelbridge.fleet.demand import Demand
from dotterelbridge.fleet.demand import DemandTracker
from dotterelbridge.fleet.engine import EngineControl
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.engine_states import EngineStates
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.model_placement import estimate_load_s
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.plan_record import PlanRecord
from dotterelbridge.fleet.policy import plan_service
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.sender import OrderSender
from dotterelbridge.fleet.sender import name_item
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.store import StoreBudget
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import VmId
from dotterelbridge.replication.recovering_log import RecoveringLog
from dotterelbridge.routes.active_routes import ActiveRoutes

_log = structlog.get_logger(__name__)

_TICK = timedelta(milliseconds=100)
_PLAN_PAUSE_S = 0.02
"""Shortest time between two plans: that in which an adapter is loaded.
Reports of many engines arrive faster."""
_PLAN_PAUSE_RATIO = 4.0
"""The same in durations of the last plan, so that plans leave most of the
processor to reports, orders and the feed."""
_MOVE_LIMIT_S = 20.0
"""Time after which a move that makes no way is given up: three times the
longest load, with two late answers."""


class FleetController:
    """Plans what engines should hold, and moves models and adapters."""

    def __init__(
        self,
        authority: OrderAuthority,
        accounts: EngineStates,
        sender: OrderSender,
        board: FleetState,
        routes: ActiveRoutes,
        demand: DemandTracker,
        settings: FleetSettings,
        clock: Clock,
    ) -> None:
        self._authority = authority
        self._accounts = accounts
        self._sender = sender
        self._board = board
        self._routes = routes
        self._demand = demand
        self._settings = settings
        self._clock = clock
        self._record = PlanRecord(clock)
        self._store = StoreBudget(settings, clock.monotonic())
        self._pending_loads: dict[ItemKey, float] = {}
        self._blocked: dict[ItemName, set[ItemKey]] = {}
        """Items that no engine has room for, by service."""

    @property
    def may_order(self) -> bool:
        """Whether this VM is the one that gives orders, at this moment."""
        return self._authority.is_held

    def request_plan(self) -> None:
        """Plan at once: something changed."""
        self._accounts.changed.set()

    async def run(self) -> None:
        """Give orders whenever this VM leads, until cancelled."""
        while True:
            await self._authority.acquire()
            await self._serve_term()

    async def _serve_term(self) -> None:
        self._store = StoreBudget(self._settings, self._authority.elected_at)
        try:
            async with anyio.create_task_group() as group:
                while self.may_order:
                    self._accounts.match()
                    self._accounts.start_reports(group)
                    began_at = self._clock.monotonic()
                    self._plan(group)
                    took_s = self._clock.monotonic() - began_at
                    self._board.update(pending_loads=dict(self._pending_loads))
                    await self._wait_for_change(took_s)
                group.cancel_scope.cancel()
        finally:
            self._accounts.clear()
            self._authority.give_up()

    async def _wait_for_change(self, plan_s: float) -> None:
        """Return when the next plan is due."""
        pause_s = max(_PLAN_PAUSE_S, plan_s * _PLAN_PAUSE_RATIO)
        await self._clock.sleep(timedelta(seconds=pause_s))
        with anyio.move_on_after(_TICK.total_seconds()):
            await self._accounts.changed.wait()
        self._accounts.changed = anyio.Event()

    # Plans.

    def _plan(self, group: TaskGroup) -> None:
        now = self._clock.monotonic()
        demand = self._demand.sum_reports()
        for service in self._routes.list_services():
            if service.engine is None:
                continue
            began_at = self._clock.monotonic()
            accounts = self._accounts.list_service(service.name)
            store_loads = self._store.count_allowed(
                service.engine, self._count_store_loads(), now
            )
            plan = plan_service(
                service.name,
                service.engine,
                accounts,
                demand,
                store_loads,
                self._demand.get_time_since_first_request_s(service.name),
                now,
            )
            self._record.note(
                service.name,
                plan,
                self._clock.monotonic() - began_at,
                accounts,
                demand,
                store_loads,
            )
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

    def _count_store_loads(self) -> int:
        """Return the loads from the weight store that are under way."""
        return sum(a.loading_from_store for a in self._accounts)

    def _start_step(self, group: TaskGroup, step: Step, now: float) -> None:
        account = self._accounts[step.target]
        if step.from_store:
            self._store.note_start(now)
            account.loading_from_store = True
        model = account.engine.find_model(step.item.model)
        if step.item.adapter:
            load_s = self._settings.adapter_load_ms / 1000
        else:
            load_s = estimate_load_s(account, model)
        self._pending_loads[step.item] = now + load_s
        self._log_step(step, load_s)
        if step.evicted is not None and not step.evicted.adapter:
            account.start_dropping(step.evicted.model)
            self._accounts.show(account)
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
        self, account: EngineState, step: Step, load_s: float
    ) -> None:
        """Bring one item to an engine."""
        began_at = self._clock.monotonic()
        with anyio.move_on_after(_MOVE_LIMIT_S):
            try:
                evicted = step.evicted
                if evicted and not await self._evict(account, evicted):
                    return
                await self._load(account, step, load_s)
            finally:
                self._end_move(account, step)
                self._measure_move(account, step, began_at)

    def _measure_move(
        self, account: EngineState, step: Step, began_at: float
    ) -> None:
        item = step.item
        served = account.serves(item.model, item.adapter)
        outcome = "served" if served else "given_up"
        instruments.moves.record(
            self._clock.monotonic() - began_at,
            {
                "item": name_item(item),
                "outcome": outcome,
            },
        )

    def _end_move(self, account: EngineState, step: Step) -> None:
        self._pending_loads.pop(step.item, None)
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
        self._accounts.show(account)
        self.request_plan()

    async def _evict(self, account: EngineState, item: ItemKey) -> bool:
        if not item.adapter:
            notice = timedelta(milliseconds=self._settings.drop_notice_ms)
            await self._clock.sleep(notice)
        done = await self._sender.carry_out(account, OrderKind.UNLOAD, item)
        self._accounts.show(account)
        return done

    async def _load(
        self, account: EngineState, step: Step, load_s: float
    ) -> None:
        began_at = self._clock.monotonic()
        done = await self._sender.carry_out(
            account, OrderKind.LOAD, step.item, load_s
        )
        if done and step.from_store:
            self._store.note_end(
                account.engine,
                self._count_store_loads(),
                load_s,
                self._clock.monotonic() - began_at,
            )
        self._accounts.show(account)


def create_fleet_controller(
    own: VmId,
    log: RecoveringLog,
    board: FleetState,
    routes: ActiveRoutes,
    demand: DemandTracker,
    control: EngineControl,
    settings: FleetSettings,
    clock: Clock,
) -> FleetController:
    """Return the part that gives orders on a control VM."""
    authority = OrderAuthority(own, log, settings, clock)
    accounts = EngineStates(board, routes, control, settings, clock)
    sender = OrderSender(authority, accounts, control, settings, clock)
    return FleetController(
        authority, accounts, sender, board, routes, demand, settings, clock
    )
