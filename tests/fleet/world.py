"""Engines and callers in virtual time, without network, around the plans.

What a step of a plan takes is what the platform's page states. Requests
wait for their model and run at any engine that serves it. As at an entry
VM, they are refused where no load is planned for a while; their callers
come back once. They leave when their patience ends.
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
from dotterelbridge.fleet.store import StoreBudget
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.routes.model import EngineInfo
from tests.fleet.support import create_report
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.routes.support import LLM

TICK_S = 0.1
RUN_S = 1.8
"""Time that a stream takes."""
DISK_MODELS = 6
ABSENT_S = GatewaySettings().absent_grace_ms / 1000
RETRY_AFTER_S = 1.0
UNLOAD_S = 0.1
"""Notice to the entry VMs, and the order."""


class Caller(msgspec.Struct):
    """Requests for one model, a second, and how long each waits."""

    model: str
    per_s: float
    patience_s: float


class _Waiting(msgspec.Struct):
    model: str
    since: float
    leaves_at: float
    is_back: bool = False
    """Whether it was refused once."""


class FleetWorld:
    """One service: its engines, the plans, and who waits."""

    def __init__(
        self,
        engine: EngineInfo,
        held: list[list[str]],
        callers: list[Caller],
        seed: int,
    ) -> None:
        self.served: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()
        self.loads = 0
        """Loads from the weight store."""
        self._rng = random.Random(seed)
        self._clock = ManualClock(100.0)
        self._engine = engine
        self._callers = callers
        self._demand = DemandTracker(self._clock)
        self._store = StoreBudget(FleetSettings(), 0.0)
        self._accounts = []
        self._disks: dict[str, OrderedDict[str, None]] = {}
        for number, models in enumerate(held):
            account = EngineState(create_target(f"e{number}", models), engine)
            self._disks[account.target.target] = OrderedDict.fromkeys(models)
            self._accounts.append(account)
            self._report(account, models)
        self._waiting: list[_Waiting] = []
        self._away: list[_Waiting] = []
        """Requests that were refused and come back."""
        self._runs: list[tuple[float, str]] = []
        self._due: list[tuple[float, Callable[[], None]]] = []

    def play(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self._clock.advance(timedelta(seconds=TICK_S))
            self._finish_due()
            arrived = self._let_callers_ask()
            self._serve()
            self._tell_demand(arrived)
            self._plan()

    def list_starved(self, times: int) -> list[str]:
        """Return the models asked for so often and never served."""
        return [
            model
            for model, count in self.asked.items()
            if count >= times and not self.served[model]
        ]

    @property
    def served_share(self) -> float:
        """Part of the requests that were served."""
        return self.served.total() / max(1, self.asked.total())

    # Callers.

    def _let_callers_ask(self) -> Counter[str]:
        now = self._clock.monotonic()
        arrived: Counter[str] = Counter()
        for caller in self._callers:
            if self._rng.random() < caller.per_s * TICK_S:
                arrived[caller.model] += 1
                leaves_at = now + caller.patience_s
                self._waiting.append(_Waiting(caller.model, now, leaves_at))
        self.asked += arrived
        for request in self._away:
            if request.since <= now:
                arrived[request.model] += 1
                self._waiting.append(request)
        self._away = [r for r in self._away if r.since > now]
        return arrived

    def _serve(self) -> None:
        now = self._clock.monotonic()
        left = []
        for request in self._waiting:
            if any(a.serves(request.model) for a in self._accounts):
                self.served[request.model] += 1
                self._runs.append((now + RUN_S, request.model))
            elif request.leaves_at > now:
                if self._is_refused(request):
                    self._send_away(request)
                else:
                    left.append(request)
        self._waiting = left
        self._runs = [run for run in self._runs if run[0] > now]

    def _is_refused(self, request: _Waiting) -> bool:
        waited_s = self._clock.monotonic() - request.since
        return waited_s > ABSENT_S and not any(
            account.moving_model == request.model for account in self._accounts
        )

    def _send_away(self, request: _Waiting) -> None:
        if not request.is_back:
            request.is_back = True
            request.since = self._clock.monotonic() + RETRY_AFTER_S
            self._away.append(request)

    def _tell_demand(self, arrived: Counter[str]) -> None:
        running = Counter(model for _, model in self._runs)
        waiting = Counter(request.model for request in self._waiting)
        items = tuple(
            ItemDemand(key(m), arrived[m], running[m], waiting[m])
            for m in sorted({*arrived, *running, *waiting})
        )
        self._demand.add_report(DemandReport(entry_vm="f1", items=items))

    # Engines.

    def _plan(self) -> None:
        now = self._clock.monotonic()
        loading = sum(a.loading_from_store for a in self._accounts)
        plan = plan_service(
            LLM,
            self._engine,
            self._accounts,
            self._demand.sum_reports(),
            self._store.count_allowed(self._engine, loading, now),
            self._demand.get_time_since_first_request_s(LLM),
            now,
        )
        for step in plan.steps:
            if not step.item.adapter:
                self._start(step)

    def _start(self, step: Step) -> None:
        account = next(
            a for a in self._accounts if a.target.target == step.target
        )
        now = self._clock.monotonic()
        model = self._engine.find_model(step.item.model)
        load_s = estimate_load_s(account, model)
        if step.from_store:
            self.loads += 1
            self._store.note_start(now)
            account.loading_from_store = True
        begins_at = now
        if step.evicted is not None:
            begins_at = self._find_last_run_end(step.evicted.model) + UNLOAD_S

        def load():
            if step.evicted is not None:
                account.forget_model(step.evicted.model)
            order = Order(
                kind=OrderKind.LOAD, model=model.name, expected_orders=0
            )
            account.open_order(order, self._clock.monotonic())
            account.settle_accepted(begins_at + load_s, begins_at)

        def finish():
            account.finish_model(self._clock.monotonic())
            account.give_up_moving()
            disk = self._disks[account.target.target]
            disk[model.name] = None
            disk.move_to_end(model.name)
            if len(disk) > DISK_MODELS:
                disk.popitem(last=False)
            self._report(account, list(account.ready))

        self._due.append((begins_at, load))
        self._due.append((begins_at + load_s, finish))

    def _find_last_run_end(self, model: str) -> float:
        """Return when the runs of a model end: an unload waits for them."""
        ends = [at for at, name in self._runs if name == model]
        return max([self._clock.monotonic(), *ends])

    def _finish_due(self) -> None:
        now = self._clock.monotonic()
        due = [entry for entry in self._due if entry[0] <= now]
        self._due = [entry for entry in self._due if entry[0] > now]
        for _, finish in sorted(due, key=lambda entry: entry[0]):
            finish()

    def _report(self, account: EngineState, models: list[str]) -> None:
        disk = frozenset(self._disks[account.target.target])
        report = create_report(models, on_disk=disk)
        account.apply_report(report, self._clock.monotonic() + 1.0)
