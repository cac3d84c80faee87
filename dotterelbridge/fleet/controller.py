"""Sends orders to the engines while this VM leads the replicated log.

One VM at a time sends orders, the active controller: the leader of the
log, once it has claimed the authority on the log and the previous holder
can no longer send orders. Every order states how many orders the engine
has accepted before, so that a copy that reaches the engine late is
refused because the number has changed.
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
from dotterelbridge.fleet.placement_speeds import PlacementSpeeds
from dotterelbridge.fleet.placement_speeds import create_placement_speeds
from dotterelbridge.fleet.plan import ServicePlan
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.plan_reporter import PlanReporter
from dotterelbridge.fleet.policy import plan_service
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.sender import OrderSender
from dotterelbridge.fleet.sender import get_item_kind
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.speed_moves import SpeedMoves
from dotterelbridge.fleet.store_limiter import StoreLoadLimiter
from dotterelbridge.fleet.target_evidence import TargetEvidence
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import VmId
from dotterelbridge.replication.recovering_log import RecoveringLog
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.model import Service

_log = structlog.get_logger(__name__)

_MAX_PLAN_INTERVAL = timedelta(milliseconds=100)
_MIN_PLAN_PAUSE_S = 0.02
"""Shortest pause between two plans, about the time that an adapter load
takes. The reports of many engines arrive more often than that."""
_PLAN_PAUSE_RATIO = 4.0
"""Shortest pause as a multiple of the duration of the last plan, so that
planning leaves most of the CPU to reports, orders and the feed."""
_MOVE_TIMEOUT_S = 20.0
"""Time after which a move is abandoned: three times the longest load, plus
two late answers."""


class FleetController:
    """Plans what engines should hold, and loads and unloads accordingly."""

    def __init__(
        self,
        authority: OrderAuthority,
        engines: EngineStates,
        sender: OrderSender,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        demand: DemandTracker,
        settings: FleetSettings,
        clock: Clock,
        evidence: TargetEvidence | None = None,
    ) -> None:
        self._evidence = evidence
        self._speed_moves: dict[ItemName, SpeedMoves] = {}
        self._authority = authority
        self._engines = engines
        self._sender = sender
        self._fleet_state = fleet_state
        self._routes = routes
        self._demand = demand
        self._settings = settings
        self._clock = clock
        self._plan_reporter = PlanReporter(clock)
        self._store_limiter = StoreLoadLimiter(settings, clock.monotonic())
        self._pending_loads: dict[ItemKey, float] = {}
        self._items_without_room: dict[ItemName, set[ItemKey]] = {}
        """Items that no engine has room for, by service, already logged."""

    @property
    def can_send_orders(self) -> bool:
        """Whether this VM may send orders at this moment."""
        return self._authority.is_held

    def request_plan(self) -> None:
        """Make the next plan early because something changed."""
        self._engines.changed.set()

    async def run(self) -> None:
        """Send orders whenever this VM leads the log, until cancelled."""
        while True:
            await self._authority.acquire()
            await self._run_term()

    async def _run_term(self) -> None:
        self._store_limiter = StoreLoadLimiter(
            self._settings, self._authority.elected_at
        )
        self._speed_moves.clear()
        try:
            async with anyio.create_task_group() as group:
                while self.can_send_orders:
                    self._engines.sync_targets()
                    self._engines.start_due_reports(group)
                    started_at = self._clock.monotonic()
                    self._plan(group)
                    plan_s = self._clock.monotonic() - started_at
                    self._fleet_state.update(
                        pending_loads=dict(self._pending_loads)
                    )
                    await self._wait_for_change(plan_s)
                group.cancel_scope.cancel()
        finally:
            self._engines.clear()
            self._authority.release()

    async def _wait_for_change(self, plan_s: float) -> None:
        """Return when the next plan is due."""
        pause_s = max(_MIN_PLAN_PAUSE_S, plan_s * _PLAN_PAUSE_RATIO)
        await self._clock.sleep(timedelta(seconds=pause_s))
        with anyio.move_on_after(_MAX_PLAN_INTERVAL.total_seconds()):
            await self._engines.changed.wait()
        self._engines.changed = anyio.Event()

    # Plans.

    def _plan(self, group: TaskGroup) -> None:
        now = self._clock.monotonic()
        demand = self._demand.sum_reports()
        for service in self._routes.list_services():
            if service.engine is None:
                continue
            started_at = self._clock.monotonic()
            states = self._engines.list_by_service(service.name)
            store_loads = self._store_limiter.count_allowed(
                service.engine, self._count_store_loads(), now
            )
            plan = plan_service(
                service.name,
                service.engine,
                states,
                demand,
                store_loads,
                self._demand.get_time_since_first_request_s(service.name),
                now,
                self._find_speeds(service, states),
                self._speed_moves.setdefault(service.name, SpeedMoves()),
            )
            self._plan_reporter.record(
                service.name,
                plan,
                self._clock.monotonic() - started_at,
                states,
                demand,
                store_loads,
            )
            self._log_items_without_room(service.name, plan, demand)
            for step in plan.steps:
                self._start_step(group, step, now)

    def _find_speeds(
        self, service: Service, states: list[EngineState]
    ) -> PlacementSpeeds | None:
        """Return the speeds of a service's engines, if placement uses them."""
        routes = self._routes.route_set
        if (
            not self._settings.place_by_speed
            or self._evidence is None
            or routes is None
        ):
            return None
        return create_placement_speeds(
            service.name,
            [state.target for state in states],
            [model.name for model in service.engine.models],
            routes,
            self._evidence.speeds,
        )

    def _log_items_without_room(
        self,
        service: ItemName,
        plan: ServicePlan,
        demand: dict[ItemKey, Demand],
    ) -> None:
        """Log each item that waits for room, once."""
        items_without_room = set(plan.items_without_room)
        for key in sorted(
            items_without_room - self._items_without_room.get(service, set())
        ):
            events.log(
                _log,
                FleetEvent.ITEM_ABSENT,
                service=service,
                model=key.model,
                adapter=key.adapter,
                waiting=demand[key].waiting if key in demand else 0,
            )
        self._items_without_room[service] = items_without_room

    def _count_store_loads(self) -> int:
        """Return the number of loads from the weight store in progress."""
        return sum(s.is_loading_from_store for s in self._engines)

    def _start_step(self, group: TaskGroup, step: Step, now: float) -> None:
        state = self._engines[step.target]
        if step.from_store:
            self._store_limiter.record_start(now)
            state.is_loading_from_store = True
        model = state.engine.find_model(step.item.model)
        if step.item.adapter:
            load_s = self._settings.adapter_load_ms / 1000
        else:
            load_s = estimate_load_s(state, model)
        self._pending_loads[step.item] = now + load_s
        self._log_step(step, load_s)
        if step.evicted is not None and not step.evicted.adapter:
            state.start_draining(step.evicted.model)
            self._engines.publish_state(state)
        group.start_soon(self._execute_step, state, step, load_s)

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

    async def _execute_step(
        self, state: EngineState, step: Step, load_s: float
    ) -> None:
        """Load one item on an engine, after an eviction if it needs one."""
        started_at = self._clock.monotonic()
        with anyio.move_on_after(_MOVE_TIMEOUT_S):
            try:
                evicted = step.evicted
                if evicted and not await self._evict(state, evicted):
                    return
                await self._load(state, step, load_s)
            finally:
                self._finish_step(state, step)
                self._record_move(state, step, started_at)

    def _record_move(
        self, state: EngineState, step: Step, started_at: float
    ) -> None:
        item = step.item
        served = state.serves(item.model, item.adapter)
        outcome = "served" if served else "given_up"
        instruments.moves.record(
            self._clock.monotonic() - started_at,
            {
                "item": get_item_kind(item),
                "outcome": outcome,
            },
        )

    def _finish_step(self, state: EngineState, step: Step) -> None:
        self._pending_loads.pop(step.item, None)
        if step.item.adapter:
            state.incoming_adapters.discard(
                (step.item.model, step.item.adapter)
            )
        else:
            state.clear_model_move()
        if step.evicted is not None:
            if step.evicted.adapter:
                state.evicting_adapters.discard(
                    (step.evicted.model, step.evicted.adapter)
                )
            else:
                state.draining_models.discard(step.evicted.model)
        self._engines.publish_state(state)
        self.request_plan()

    async def _evict(self, state: EngineState, item: ItemKey) -> bool:
        if not item.adapter:
            notice = timedelta(milliseconds=self._settings.drop_notice_ms)
            await self._clock.sleep(notice)
        done = await self._sender.execute(state, OrderKind.UNLOAD, item)
        self._engines.publish_state(state)
        return done

    async def _load(
        self, state: EngineState, step: Step, load_s: float
    ) -> None:
        started_at = self._clock.monotonic()
        done = await self._sender.execute(
            state, OrderKind.LOAD, step.item, load_s
        )
        if done and step.from_store:
            self._store_limiter.record_end(
                state.engine,
                self._count_store_loads(),
                load_s,
                self._clock.monotonic() - started_at,
            )
        self._engines.publish_state(state)


def create_fleet_controller(
    own_vm: VmId,
    log: RecoveringLog,
    fleet_state: FleetState,
    routes: ActiveRoutes,
    demand: DemandTracker,
    control: EngineControl,
    settings: FleetSettings,
    clock: Clock,
    evidence: TargetEvidence | None = None,
) -> FleetController:
    """Return the fleet controller of a control VM."""
    authority = OrderAuthority(own_vm, log, settings, clock)
    engines = EngineStates(
        fleet_state, routes, control, settings, clock, evidence
    )
    sender = OrderSender(authority, engines, control, settings, clock)
    return FleetController(
        authority,
        engines,
        sender,
        fleet_state,
        routes,
        demand,
        settings,
        clock,
        evidence,
    )
