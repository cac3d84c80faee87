"""Simulates engines and callers in virtual time around the real planner.

Steps of a plan take the times that the platform documents. Requests wait
for their model and run on any engine that serves it. As on an entry VM,
they are rejected if no load of the model is planned for a while; their
callers retry once. Requests are abandoned when their callers time out.
"""

from collections import Counter
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
import random

import msgspec

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.demand import DemandTracker
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.engine_state import EngineState
from dotterelbridge.fleet.messages import DemandReport
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.model_placement import estimate_load_s
from dotterelbridge.fleet.plan import Step
from dotterelbridge.fleet.policy import plan_service
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.fleet.store_limiter import StoreLoadLimiter
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.routes.model import EngineInfo
from tests.fleet.support import create_report
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import LLM

TICK_S = 0.1
REQUEST_DURATION_S = 1.8
"""Duration of a stream."""
DISK_MODEL_COUNT = 6
ABSENT_GRACE_S = GatewaySettings().absent_grace_ms / 1000
RETRY_AFTER_S = 1.0
UNLOAD_DELAY_S = 0.1
"""Time for the notice to the entry VMs and for the order."""


class SimulatedCaller(msgspec.Struct):
    """Request rate for one model, and the timeout of each request."""

    model: str
    requests_per_s: float
    timeout_s: float


class _Waiting(msgspec.Struct):
    model: str
    waiting_since: float
    times_out_at: float
    is_retry: bool = False
    """Whether the request was rejected once."""


class FleetSimulation:
    """Engines of one service, their plans, and waiting requests."""

    def __init__(
        self,
        engine: EngineInfo,
        held: list[list[str]],
        callers: list[SimulatedCaller],
        seed: int,
    ) -> None:
        self.served_counts: Counter[str] = Counter()
        self.request_counts: Counter[str] = Counter()
        self.loads = 0
        """Loads from the weight store."""
        self._rng = random.Random(seed)
        self._clock = ManualClock(100.0)
        self._engine = engine
        self._callers = callers
        self._demand = DemandTracker(self._clock)
        self._store_limiter = StoreLoadLimiter(FleetSettings(), 0.0)
        self._engines = []
        self._disks: dict[str, OrderedDict[str, None]] = {}
        for number, models in enumerate(held):
            state = EngineState(create_target(f"e{number}", models), engine)
            self._disks[state.target.target] = OrderedDict.fromkeys(models)
            self._engines.append(state)
            self._report(state, models)
        self._waiting: list[_Waiting] = []
        self._retrying: list[_Waiting] = []
        """Rejected requests that will be retried."""
        self._running: list[tuple[float, str]] = []
        self._scheduled: list[tuple[float, Callable[[], None]]] = []

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        for _ in range(round(seconds / TICK_S)):
            self._clock.advance(timedelta(seconds=TICK_S))
            self._run_scheduled()
            arrivals = self._create_requests()
            self._serve_waiting()
            self._report_demand(arrivals)
            self._plan()

    def list_unserved_models(self, times: int) -> list[str]:
        """Return the models with that many requests and none served."""
        return [
            model
            for model, count in self.request_counts.items()
            if count >= times and not self.served_counts[model]
        ]

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served_counts.total() / max(1, self.request_counts.total())

    # Callers.

    def _create_requests(self) -> Counter[str]:
        now = self._clock.monotonic()
        arrivals: Counter[str] = Counter()
        for caller in self._callers:
            if self._rng.random() < caller.requests_per_s * TICK_S:
                arrivals[caller.model] += 1
                times_out_at = now + caller.timeout_s
                self._waiting.append(_Waiting(caller.model, now, times_out_at))
        self.request_counts += arrivals
        for request in self._retrying:
            if request.waiting_since <= now:
                arrivals[request.model] += 1
                self._waiting.append(request)
        self._retrying = [r for r in self._retrying if r.waiting_since > now]
        return arrivals

    def _serve_waiting(self) -> None:
        now = self._clock.monotonic()
        still_waiting = []
        for request in self._waiting:
            if any(s.serves(request.model) for s in self._engines):
                self.served_counts[request.model] += 1
                self._running.append((now + REQUEST_DURATION_S, request.model))
                self._record_served(request.model)
            elif request.times_out_at > now:
                if self._is_rejected(request):
                    self._schedule_retry(request)
                else:
                    still_waiting.append(request)
        self._waiting = still_waiting
        self._running = [run for run in self._running if run[0] > now]

    def _record_served(self, model: str) -> None:
        """Record a request that begins to run."""

    def _is_rejected(self, request: _Waiting) -> bool:
        waited_s = self._clock.monotonic() - request.waiting_since
        return waited_s > ABSENT_GRACE_S and not any(
            state.incoming_model == request.model for state in self._engines
        )

    def _schedule_retry(self, request: _Waiting) -> None:
        if not request.is_retry:
            request.is_retry = True
            request.waiting_since = self._clock.monotonic() + RETRY_AFTER_S
            self._retrying.append(request)

    def _report_demand(self, arrivals: Counter[str]) -> None:
        running = Counter(model for _, model in self._running)
        waiting = Counter(request.model for request in self._waiting)
        items = tuple(
            ItemDemand(key(m), arrivals[m], running[m], waiting[m])
            for m in sorted({*arrivals, *running, *waiting})
        )
        self._demand.add_report(DemandReport(entry_vm="f1", items=items))

    # Engines.

    def _plan(self) -> None:
        now = self._clock.monotonic()
        loading = sum(s.is_loading_from_store for s in self._engines)
        plan = plan_service(
            LLM,
            self._engine,
            self._engines,
            self._demand.sum_reports(),
            self._store_limiter.count_allowed(self._engine, loading, now),
            self._demand.get_time_since_first_request_s(LLM),
            now,
            *self._list_speed_arguments(),
        )
        for step in plan.steps:
            if not step.item.adapter:
                self._start_step(step)

    def _list_speed_arguments(self) -> tuple:
        """Return the arguments of the planner that concern speeds."""
        return ()

    def _start_step(self, step: Step) -> None:
        state = next(
            s for s in self._engines if s.target.target == step.target
        )
        now = self._clock.monotonic()
        model = self._engine.find_model(step.item.model)
        load_s = estimate_load_s(state, model)
        if step.from_store:
            self.loads += 1
            self._store_limiter.record_start(now)
            state.is_loading_from_store = True
        load_starts_at = now
        if step.evicted is not None:
            load_starts_at = (
                self._find_last_end(step.evicted.model) + UNLOAD_DELAY_S
            )

        def load():
            if step.evicted is not None:
                state.remove_model(step.evicted.model)
            order = Order(
                kind=OrderKind.LOAD, model=model.name, expected_orders=0
            )
            state.begin_order(order, self._clock.monotonic())
            state.record_accepted(load_starts_at + load_s, load_starts_at)

        def finish():
            state.complete_model_order(self._clock.monotonic())
            state.clear_model_move()
            disk = self._disks[state.target.target]
            disk[model.name] = None
            disk.move_to_end(model.name)
            if len(disk) > DISK_MODEL_COUNT:
                disk.popitem(last=False)
            self._report(state, list(state.ready))

        self._scheduled.append((load_starts_at, load))
        self._scheduled.append((load_starts_at + load_s, finish))

    def _find_last_end(self, model: str) -> float:
        """Return when a model's last request ends; unloads wait for it."""
        ends = [at for at, name in self._running if name == model]
        return max([self._clock.monotonic(), *ends])

    def _run_scheduled(self) -> None:
        now = self._clock.monotonic()
        due = [entry for entry in self._scheduled if entry[0] <= now]
        self._scheduled = [
            entry for entry in self._scheduled if entry[0] > now
        ]
        for _, finish in sorted(due, key=lambda entry: entry[0]):
            finish()

    def _report(self, state: EngineState, models: list[str]) -> None:
        disk = frozenset(self._disks[state.target.target])
        report = create_report(models, on_disk=disk)
        state.apply_report(report, self._clock.monotonic() + 1.0)
