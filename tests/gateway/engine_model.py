"""A model of engines and entry VMs without a network, for load tests.

An engine runs steps of a batch, processes prompts between them, and
preempts requests when its memory is full. Entry VMs choose targets by late
reports of it.
"""

from collections import OrderedDict
from collections import deque
from datetime import timedelta
import functools
import heapq
import itertools
import random

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.rates import ArrivalRates
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.gateway.request import PromptPart
from dotterelbridge.gateway.settings import BalanceMode
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import create_gateway_target
from dotterelbridge.gateway.work_balancer import WorkBalancer
from dotterelbridge.targets.buffer_budget import create_buffer_budget
from dotterelbridge.targets.settings import TargetsSettings
from tests.fleet.support import create_target
from tests.fleet.support import key
from tests.permits.support import create_limiter
from tests.routes.support import LLM
from tests.routes.support import create_engine
from tests.routes.support import create_route
from tests.routes.support import create_route_set

STEP_MS = 4.75
STEP_PER_REQUEST_MS = 0.02
PREFILL_TOKENS_PER_MS = 33
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 10
FIRST_EVENT_AIM_S = 0.405
GAP_AIM_MS = 200
REPORT_INTERVAL_S = 0.4
REPORT_DELAY_S = 0.35
REPORT_LIFETIME_S = REPORT_INTERVAL_S + REPORT_DELAY_S
QUEUE_LIMIT = 6
COPIES = 4
SLOWDOWN = 2.5
WAIT_LIMIT_S = 0.8
RETRY_INTERVAL_S = 0.05


class ModelRequest:
    """One request at an engine."""

    def __init__(self, call, output_tokens, pace) -> None:
        self.call = call
        self.output_tokens = output_tokens
        self.pace = pace
        self.made_tokens = 0
        self.prefill_left = 0
        self.longest_gap_s = 0.0
        self.vm = None
        self.slot = None

    @property
    def memory_tokens(self) -> int:
        return self.call.request.tokens_in + self.made_tokens

    def record_step(self, now) -> None:
        self.made_tokens += 1
        if self.made_tokens % TOKENS_PER_EVENT and not self.is_done:
            return
        if self.slot.first_event_at is not None:
            self.longest_gap_s = max(
                self.longest_gap_s, now - self.last_event_at
            )
        self.last_event_at = now
        self.slot.record_events(1, now)

    @property
    def is_done(self) -> bool:
        return self.made_tokens >= self.output_tokens


class ModelEngine:
    """One engine; its batch advances step by step."""

    def __init__(self, name, models, slots, kv_tokens, speed) -> None:
        self.name = name
        self.models = models
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.speed = speed
        self.running: list[ModelRequest] = []
        self.queue: deque[ModelRequest] = deque()
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.preempted = 0
        self.is_stepping = False

    @property
    def used_tokens(self) -> int:
        return sum(r.memory_tokens for r in self.running)

    def create_report(self) -> TargetLoad:
        used = self.used_tokens
        return TargetLoad(
            running=len(self.running),
            waiting=len(self.queue),
            kv_tokens_used=min(
                self.kv_tokens, used + sum(self.parts.values())
            ),
            kv_tokens_running=used,
            events_made=sum(
                r.made_tokens // TOKENS_PER_EVENT for r in self.running
            ),
        )

    def begin_step(self) -> float:
        """Return the seconds that the next step takes."""
        used = self.used_tokens
        while self.queue and len(self.running) < self.slots:
            used += self.queue[0].memory_tokens
            if used > self.kv_tokens:
                break
            request = self.queue.popleft()
            request.prefill_left = self._count_new_tokens(request)
            self.running.append(request)
        chunk = CHUNK_TOKENS
        for request in self.running:
            tokens = min(chunk, request.prefill_left)
            request.prefill_left -= tokens
            chunk -= tokens
        batch = [r for r in self.running if not r.prefill_left]
        step_ms = (CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS
        if batch:
            pace = sum(r.pace for r in batch) / len(batch)
            step_ms += pace * (STEP_MS + STEP_PER_REQUEST_MS * len(batch))
        return self.speed * step_ms / 1000

    def end_step(self, now) -> list[ModelRequest]:
        """Generate tokens; return the requests that are complete."""
        for request in self.running:
            if not request.prefill_left:
                request.record_step(now)
        done = [r for r in self.running if r.is_done]
        self.running = [r for r in self.running if not r.is_done]
        while len(self.running) > 1 and self.used_tokens > self.kv_tokens:
            self.queue.appendleft(self.running.pop())
            self.preempted += 1
        return done

    def _count_new_tokens(self, request) -> int:
        held = 0
        is_held = request.made_tokens == 0
        for part in request.call.request.prompt_parts:
            is_held = is_held and part.part_id in self.parts
            held += part.tokens if is_held else 0
            self.parts[part.part_id] = part.tokens
            self.parts.move_to_end(part.part_id)
        while sum(self.parts.values()) > self.kv_tokens / 3:
            self.parts.popitem(last=False)
        return max(1, request.memory_tokens - held)


class ModelVm:
    """An entry VM that chooses targets by one of the strategies."""

    def __init__(self, clock, strategy, engines, vm_count, seed) -> None:
        self.clock = clock
        self.vm_count = vm_count
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.balancer = WorkBalancer(
            BalanceMode.WORK,
            clock,
            self.rng,
            lambda: vm_count,
            (0.0, 0.01, 0.06),
        )
        self.rates = ArrivalRates(clock)
        settings, targets = GatewaySettings(), TargetsSettings()
        self.targets = {
            engine.name: create_gateway_target(
                create_target(engine.name, engine.models, slots=engine.slots),
                0,
                settings,
                targets,
                clock,
                self.rng,
                create_limiter(clock),
                create_buffer_budget(targets),
            )
            for engine in engines
        }

    def choose(self, call):
        """Return a target, or None if all are full."""
        free = [
            target
            for target in self.targets.values()
            if target.has_free_slot() and target.view.holds(call.request.model)
        ]
        if not free:
            return None
        now = self.clock.monotonic()
        expected = (
            self.rates.get_rate(call.item) * self.vm_count * REPORT_LIFETIME_S
        )
        if self.strategy == "work":
            return self.balancer.choose(call, free, expected)
        if self.strategy == "requests":
            candidates = [t.create_candidate(0.0, 0.4, now) for t in free]
            return free[
                choose_candidate(candidates, self.vm_count, expected, self.rng)
            ]
        if self.strategy == "two choices":
            free = self.rng.sample(free, min(2, len(free)))
            return min(free, key=lambda t: t.estimate_load())
        if self.strategy == "least outstanding":
            return min(free, key=lambda t: (t.in_flight, self.rng.random()))
        assert self.strategy == "shortest work"
        return min(free, key=lambda t: (self._find_work(t), self.rng.random()))

    def _find_work(self, target) -> float:
        mean = self.balancer.read_mean_request(LLM)
        if mean is None:
            return target.in_flight
        workload = target.workload
        now = self.clock.monotonic()
        units = workload.estimate_units(mean, target.view.slots, now)
        units += workload.read_sent_units(now)
        return workload.read_speed(now) * (units + 1)


class Pattern:
    """A load pattern, with the engines that get it."""

    def __init__(
        self,
        speeds=(1.0,) * 7,
        vm_count=18,
        requests_per_s=80.0,
        kv_tokens=45_000,
        slots=24,
        long_share=0.0,
        sessions=0,
        seconds=16.0,
        publishes_speed=False,
        pace=0.5,
        models=(),
        slow_s=0.0,
    ) -> None:
        """Create a pattern.

        :param models: pace and share of the requests of each model, if there
            are several; each is loaded into four engines.
        :param slow_s: time for which an engine is slower by a factor of 2.5,
            one after the other, a quarter of them at a time.
        """
        self.speeds = speeds
        self.vm_count = vm_count
        self.requests_per_s = requests_per_s
        self.kv_tokens = kv_tokens
        self.slots = slots
        self.long_share = long_share
        self.sessions = sessions
        self.seconds = seconds
        self.publishes_speed = publishes_speed
        self.slow_s = slow_s
        self.models = models or ((pace, 1.0),)

    def list_models(self, engine_number) -> list[str]:
        """Return the models of an engine."""
        count = len(self.speeds)
        copies = COPIES if len(self.models) > 1 else count
        return [
            f"m{number}"
            for number in range(len(self.models))
            if (engine_number - 2 * number) % count < copies
        ]


class Simulation:
    """Plays a load pattern with one strategy."""

    def __init__(self, pattern: Pattern, strategy: str, seed=1) -> None:
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._route = create_route("quotes", gap_aim_ms=GAP_AIM_MS)
        self._service = create_route_set(
            1,
            engine=create_engine(
                slots=pattern.slots, kv_tokens=pattern.kv_tokens
            ),
        ).find_service(LLM)
        self._engines = [
            ModelEngine(
                f"e{i}",
                pattern.list_models(i),
                pattern.slots,
                pattern.kv_tokens,
                speed,
            )
            for i, speed in enumerate(pattern.speeds)
        ]
        self._vms = [
            ModelVm(self._clock, strategy, self._engines, pattern.vm_count, i)
            for i in range(pattern.vm_count)
        ]
        self._numbers = itertools.count()
        self._due = []
        self.requests = 0
        self.late = 0
        self.refused = 0
        self.max_units = 0.0

    def run(self) -> "Simulation":
        """Play the pattern to its end."""
        self._schedule(0.0, self._arrive)
        for engine in self._engines:
            delay_s = self._rng.random() * REPORT_INTERVAL_S
            self._schedule(delay_s, functools.partial(self._report, engine))
        while self._due:
            at, _, action = heapq.heappop(self._due)
            now = self._clock.monotonic()
            self._clock.advance(timedelta(seconds=max(0.0, at - now)))
            action()
        return self

    @property
    def preempted(self) -> int:
        return sum(engine.preempted for engine in self._engines)

    def _schedule(self, delay_s, action) -> None:
        at = self._clock.monotonic() + delay_s
        heapq.heappush(self._due, (at, next(self._numbers), action))

    @property
    def _is_over(self) -> bool:
        return self._clock.monotonic() > self._pattern.seconds

    def _arrive(self) -> None:
        if self._is_over:
            return
        self._schedule(
            self._rng.expovariate(self._pattern.requests_per_s), self._arrive
        )
        self.requests += 1
        models = self._pattern.models
        shares = [share for _, share in models]
        number = self._rng.choices(range(len(models)), shares)[0]
        request = ModelRequest(
            self._create_call(f"m{number}"),
            max(10, round(self._rng.lognormvariate(5.6, 0.5))),
            models[number][0],
        )
        request.vm = self._rng.choice(self._vms)
        request.vm.rates.record_request(request.call.item)
        self._send(request)

    def _create_call(self, model) -> GatewayCall:
        now = self._clock.monotonic()
        tokens = round(self._rng.lognormvariate(6.5, 0.4))
        if self._rng.random() < self._pattern.long_share:
            tokens = 6000
        parts = ()
        if self._pattern.sessions:
            session = self._rng.randrange(self._pattern.sessions)
            parts = (
                PromptPart(f"s{session}", 1500),
                PromptPart(f"r{next(self._numbers)}", tokens),
            )
            tokens += 1500
        return GatewayCall(
            request=GatewayRequest(
                request_id="r",
                method="POST",
                host="quotes.example",
                target="/quotes/",
                path="/quotes/",
                headers=[],
                body=b"",
                deadline_ms=None,
                model=model,
                tokens_in=tokens,
                tokens_out=1200,
                prompt_parts=parts,
            ),
            route=self._route,
            service=self._service,
            item=key(model),
            started_at=now,
            deadline_at=now + 10,
            first_byte_deadline_at=now + 2,
            attempts=1,
        )

    def _send(self, request) -> None:
        now = self._clock.monotonic()
        target = request.vm.choose(request.call)
        engine = None
        if target is not None:
            engine = self._engines[int(target.view.target[1:])]
            if len(engine.queue) >= QUEUE_LIMIT:
                engine = None
        if engine is None:
            if now - request.call.started_at > WAIT_LIMIT_S:
                self.refused += 1
                return
            self._schedule(
                RETRY_INTERVAL_S, functools.partial(self._send, request)
            )
            return
        request.slot = target.acquire_slot(request.call, now)
        request.vm.balancer.record_sent(request.slot)
        engine.queue.append(request)
        if not engine.is_stepping:
            self._begin_step(engine)

    def _begin_step(self, engine) -> None:
        engine.is_stepping = bool(engine.running or engine.queue)
        if engine.is_stepping:
            step_s = engine.begin_step() * self._find_slowdown(engine)
            self._schedule(step_s, functools.partial(self._end_step, engine))

    def _find_slowdown(self, engine) -> float:
        if not self._pattern.slow_s:
            return 1.0
        turn = int(self._clock.monotonic() / self._pattern.slow_s)
        is_slow = (turn + self._engines.index(engine)) % 4 == 0
        return SLOWDOWN if is_slow else 1.0

    def _end_step(self, engine) -> None:
        now = self._clock.monotonic()
        for request in engine.end_step(now):
            call, slot = request.call, request.slot
            self.late += (
                slot.first_event_at - call.started_at > FIRST_EVENT_AIM_S
                or request.longest_gap_s * 1000 > GAP_AIM_MS
            )
            slot.gateway_target.in_flight -= 1
            request.vm.balancer.record_ended(slot, True)
        self._begin_step(engine)

    def _report(self, engine) -> None:
        if self._is_over:
            return
        load = engine.create_report()
        fields = {"slots": engine.slots, "load": load}
        if self._pattern.publishes_speed:
            percent = round(engine.speed * 100)
            fields["load"] = TargetLoad(
                load.running,
                load.waiting,
                load.kv_tokens_used,
                0,
                percent,
                0,
                load.kv_tokens_running,
                load.events_made,
            )
        view = create_target(engine.name, engine.models, **fields)
        self._schedule(REPORT_DELAY_S, functools.partial(self._deliver, view))
        self._schedule(
            REPORT_INTERVAL_S, functools.partial(self._report, engine)
        )

    def _deliver(self, view) -> None:
        for vm in self._vms:
            vm.targets[view.target].update(view, self._clock.monotonic())
