"""Assigns each attempt to a target, or refuses the request in time."""

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from datetime import timedelta
import enum
import random
import statistics
from typing import Any

import anyio
from anyio.abc import TaskGroup
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.budget import RetryBudget
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.rates import ArrivalRates
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.gateway.target import Slot
from dotterelbridge.gateway.target import create_gateway_target
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.permits.pool import Permit
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind
from dotterelbridge.targets.buffer_budget import create_buffer_budget
from dotterelbridge.targets.client import ProbeOutcome
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)

_SWEEP_INTERVAL = timedelta(milliseconds=100)
_PROBE_TIMEOUT = timedelta(seconds=1)
_LOAD_MARGIN_S = 0.2
"""Allowance after the end of a load: time until this VM learns of it, and
until the stream's first event."""
_FULL_RETRY_AFTER = timedelta(seconds=1)
"""Full targets finish about half of their requests in this time."""
_DISTANCE_COST_SHARES = (0.0, 0.01, 0.06)
"""Cost of a target in this VM's failure domain, in its region, and in
another region, as a share of the target's slots. The traffic of a stream
that crosses regions costs a few hundredths of the stream's value; a gap in
a stream at a busy engine costs two thirds of it."""
_MIN_MEASURED_TARGETS = 3
"""Targets whose speed is known, from which a usual speed can be told."""
_SLOW_RATIO = 2.0
"""Ratio to the usual time between events from which a target counts as slow;
models and batches of different sizes differ by less."""
_REPORT_LIFETIME_S = 0.75
"""Time during which VMs act on one load report: the interval of reports plus
the time for which the control VMs batch them."""
_NOT_LOADED_RETRY_AFTER_S = 1.0
_OTHER_VM_RETRY_AFTER = timedelta(milliseconds=50)
"""Delay after which a caller may retry at another VM."""


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    """Answered, with the target's own server error."""
    REFUSED = "refused"
    """Not run: the target is full."""
    ITEM_MISSING = "lacking"
    """Not run: the item is not loaded, or the request reached a target for
    which it was not meant."""
    CONNECT_FAILED = "connect_failed"
    CLOSED = "closed"
    """The target ended the connection before its answer was complete."""
    BROKEN = "broken"
    CANCELLED = "cancelled"


_FAILURES = (
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CLOSED,
    AttemptOutcome.BROKEN,
)


class _QueuedRequest:
    """A request that waits for a slot."""

    def __init__(self, call: GatewayCall, queued_at: float) -> None:
        self.call = call
        self.queued_at = queued_at
        self.slot: Slot | None = None
        self.permit: Permit | None = None
        """Ordered for this request, if only targets with a rate limit can
        take it; a more urgent request may use it."""
        self.wake_up = anyio.Event()
        self.is_reported = False
        """Whether a demand report was triggered; regular ones follow."""

    def create_sort_key(self, now: float) -> tuple[bool, int, float]:
        """Return the key by which requests get free slots, lowest first.

        Requests that can still meet their latency objective come first,
        then the more urgent, then those with the earlier deadline.
        """
        return (
            self.call.is_late(now),
            self.call.urgency,
            self.call.first_byte_deadline_at,
        )

    def assign_slot(self, slot: Slot) -> None:
        self.slot = slot
        self.wake_up.set()


class GatewayRouter(Dumpable):
    """Tracks all targets as this VM sees them, and queues requests."""

    def __init__(
        self,
        fleet_state: FleetState,
        clock: Clock,
        settings: GatewaySettings,
        targets_settings: TargetsSettings,
        rng: random.Random,
        failure_domain: FailureDomain,
        regions: dict[FailureDomain, Region],
        count_entry_vms: Callable[[], int],
        quarantine: Quarantine,
        limiter: RateLimiter,
    ) -> None:
        self.crash_watch = CrashWatch(clock)
        self._quarantine = quarantine
        self._limiter = limiter
        self._fleet_state = fleet_state
        self._clock = clock
        self._settings = settings
        self._targets_settings = targets_settings
        self.buffer_budget = create_buffer_budget(targets_settings)
        self._random = rng
        self._failure_domain = failure_domain
        self._regions = regions
        self._count_entry_vms = count_entry_vms
        self._targets: dict[TargetId, GatewayTarget] = {}
        self._queue: list[_QueuedRequest] = []
        self._retry_budgets: dict[ItemName, RetryBudget] = {}
        self._arrivals: Counter[ItemKey] = Counter()
        self._running: Counter[ItemKey] = Counter()
        self._arrival_rates = ArrivalRates(clock)
        self._is_draining = False
        self._started_at = clock.monotonic()
        self.missing_item_event = anyio.Event()
        """Set when a request waits for an item that no target holds."""
        fleet_state.subscribe(self._update_targets)
        quarantine.subscribe(self._wake_queue)
        limiter.subscribe(self._serve_queue)
        self._update_targets()

    # Requests.

    def record_arrival(self, call: GatewayCall) -> None:
        """Count a request that has arrived."""
        self.get_retry_budget(call).record_request()
        if call.item is not None:
            self._arrivals[call.item] += 1
            self._arrival_rates.record_request(call.item)

    def start_draining(self) -> None:
        """Refuse queued requests, and new ones that would have to wait.

        They have not run, and another VM can still serve them; this
        process is stopped after a time limit, even with requests open.
        """
        self._is_draining = True
        self._wake_queue()

    def _wake_queue(self) -> None:
        """Let all queued requests check whether they may still wait."""
        for queued in self._queue:
            queued.wake_up.set()

    def _serve_queue(self) -> None:
        """Assign free slots, and let the other requests check their wait."""
        self._dispatch()
        self._wake_queue()

    def get_retry_budget(self, call: GatewayCall) -> RetryBudget:
        """Return the retry budget of the call's service."""
        name = call.service.name
        if name not in self._retry_budgets:
            self._retry_budgets[name] = RetryBudget(
                self._settings,
                self._clock,
                self._count_entry_vms,
                self._random,
                self._started_at,
            )
        return self._retry_budgets[name]

    async def acquire(self, call: GatewayCall) -> Slot:
        """Return a slot for one attempt, waiting for it if necessary.

        :raises NoTargetAvailable: no slot is free in time; nothing was sent.
        """
        self._check_quarantine(call)
        now = self._clock.monotonic()
        queued = _QueuedRequest(call, now)
        slot = self._try_acquire_slot(call)
        if slot is not None:
            return slot
        self._check_wait(queued)
        self._log_waiting(call)
        self._queue.append(queued)
        try:
            while True:
                queued.wake_up = anyio.Event()
                with anyio.move_on_after(_SWEEP_INTERVAL.total_seconds()):
                    await queued.wake_up.wait()
                if queued.slot is not None:
                    break
                self._check_quarantine(call)
                self._check_wait(queued)
            self._record_wait(queued, "placed")
            return queued.slot
        except NoTargetAvailable:
            self._record_wait(queued, "refused")
            raise
        except BaseException:
            if queued.slot is not None:
                self.release(queued.slot, AttemptOutcome.CANCELLED)
            raise
        finally:
            self._queue.remove(queued)

    def _check_quarantine(self, call: GatewayCall) -> None:
        """Check that targets do not crash under such requests.

        A trial is a single attempt.

        :raises NoTargetAvailable: a trait of the request is quarantined.
        """
        blocked = self._find_blocked(call)
        if not blocked or (call.is_trial and not call.attempts):
            return
        if not call.attempts and self._quarantine.take_trial(blocked):
            call.is_trial = True
            return
        raise NoTargetAvailable(
            UnavailableReason.QUARANTINED,
            "targets crashed one after the other under such requests: "
            + ", ".join(sorted(blocked)),
            "send a request that does not have this in common with them",
            self._quarantine.find_retry_after(blocked),
        )

    def _find_blocked(self, call: GatewayCall) -> set[TraitId]:
        """Return the traits of a request that are quarantined."""
        if not self._quarantine.count_traits():
            return set()
        return self._quarantine.find_blocked(call.traits)

    def _may_be_sent(self, call: GatewayCall) -> bool:
        return call.is_trial or not self._find_blocked(call)

    def is_suspected(self, call: GatewayCall) -> bool:
        """Whether several targets may have crashed under this request."""
        watched = self._fleet_state.watched_traits
        return any(
            trait in watched and get_kind(trait) is TraitKind.REQUEST
            for trait in (call.traits if watched else ())
        )

    def _record_answered_traits(self, call: GatewayCall) -> None:
        """Note a complete answer, for the traits that it clears."""
        watched = self._fleet_state.watched_traits | self._find_blocked(call)
        self.crash_watch.record_answered(call.traits, watched)

    def _record_wait(self, queued: _QueuedRequest, outcome: str) -> None:
        instruments.waits.record(
            self._clock.monotonic() - queued.queued_at,
            {"service": queued.call.service.name, "outcome": outcome},
        )

    def count_waiting_requests(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    def count_held_targets(self) -> int:
        """Return the number of targets that leave or asked to wait."""
        return sum(
            target.client.is_leaving or target.client.is_held_back
            for target in self._targets.values()
        )

    def release(self, slot: Slot, outcome: AttemptOutcome) -> None:
        """Release a slot and record the outcome of its attempt."""
        target = slot.gateway_target
        target.in_flight -= 1
        instruments.attempts.add(
            1,
            {
                "service": slot.call.service.name,
                "outcome": outcome.value,
            },
        )
        now = self._clock.monotonic()
        if slot.call.item is not None:
            self._running[slot.call.item] -= 1
        if outcome is AttemptOutcome.ANSWERED:
            target.ejection.record_success()
            target.record_response(slot.acquired_at, now)
            self._record_answered_traits(slot.call)
            if slot.call.item is not None:
                target.record_held_item(slot.call.item)
        elif outcome is AttemptOutcome.SERVER_ERROR:
            target.ejection.record_success()
            target.record_server_error(slot.call.aim_s, now)
        elif (
            outcome is AttemptOutcome.ITEM_MISSING
            and slot.call.item is not None
        ):
            target.record_missing_item(slot.call.item, now)
        elif outcome in _FAILURES:
            if outcome is AttemptOutcome.CLOSED:
                self.crash_watch.record_closed_attempt(
                    target.incarnation,
                    slot.call.traits,
                    slot.first_event_at,
                )
            ejected_s = target.ejection.record_failure(now)
            if ejected_s is not None:
                events.log(
                    _log,
                    GatewayEvent.TARGET_EJECTED,
                    target=target.view.target,
                    duration_s=round(ejected_s, 3),
                    outcome=outcome.value,
                )
        self._dispatch()

    # Demand.

    def read_demand(self) -> tuple[ItemDemand, ...]:
        """Return the demand since the previous call, and reset arrivals."""
        waiting = Counter(
            queued.call.item
            for queued in self._queue
            if queued.call.item is not None
        )
        arrivals, self._arrivals = self._arrivals, Counter()
        self._running = +self._running
        items = {*waiting, *arrivals, *self._running}
        return tuple(
            ItemDemand(
                item, arrivals[item], self._running[item], waiting[item]
            )
            for item in sorted(items)
        )

    # Background work.

    async def run(self) -> None:
        """Close idle connections and probe ejected targets until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._limiter.run)
            while True:
                await self._clock.sleep(_SWEEP_INTERVAL)
                self._dispatch_after_holds()
                now = self._clock.monotonic()
                for target in list(self._targets.values()):
                    if target.client.has_connections:
                        target.client.enforce_timeouts()
                    if target.is_ejected and target.ejection.is_probe_due(now):
                        self._start_probe(group, target)

    def dump(self) -> dict[str, Any]:
        return {
            "waiting": len(self._queue),
            "quarantine": {
                "version": self._quarantine.version,
                "traits": [e.trait for e in self._quarantine.snapshot.traits],
            },
            "targets": {
                name: {
                    "service": target.view.service,
                    "phase": target.view.phase.value,
                    "in_flight": target.in_flight,
                    "estimated_load": target.estimate_load(),
                    "is_leaving": not target.takes_new_work,
                    "held_back_s": round(target.client.held_back_s, 1),
                    "slowness": round(target.slowness, 1),
                    "ejection": target.ejection.state.value,
                    "is_unreachable": target.is_unreachable,
                    "connections": target.client.count_connections(),
                }
                for name, target in self._targets.items()
            },
        }

    def _start_probe(self, group: TaskGroup, target: GatewayTarget) -> None:
        """Probe a target's health, or only connect to one with a rate limit.

        A request for its health takes a slot there, like any other.
        """
        path = target.health_path
        if self._limiter.find_limit(target.incarnation) is not None:
            path = ""
        target.ejection.start_probe()
        group.start_soon(self._probe, target, path)

    async def _probe(self, target: GatewayTarget, path: str) -> None:
        outcome = await target.client.probe(_PROBE_TIMEOUT, path)
        target.ejection.finish_probe(
            outcome is ProbeOutcome.UP, self._clock.monotonic()
        )
        if outcome is ProbeOutcome.REFUSED and target.takes_new_work:
            self.crash_watch.record_crash(target.incarnation)
        self._dispatch()

    def _update_targets(self) -> None:
        """Apply changes of the fleet state."""
        for name, known in list(self._targets.items()):
            target = self._fleet_state.targets.get(name)
            if target is None or target.born != known.view.born:
                if known.takes_new_work:
                    self.crash_watch.record_crash(known.incarnation)
                self._targets.pop(name).client.close()
                self._limiter.forget(known.incarnation)
        for name, target in self._fleet_state.targets.items():
            known = self._targets.get(name)
            if known is not None and known.view is target:
                continue
            if known is not None:
                known.update(target, self._clock.monotonic())
            else:
                self._targets[name] = create_gateway_target(
                    target,
                    self._find_distance(target),
                    self._settings,
                    self._targets_settings,
                    self._clock,
                    self._random,
                    self._limiter,
                    self.buffer_budget,
                )
        self._limiter.apply_shared(self._fleet_state.rate_limits)
        self._update_slowness()
        self._dispatch()

    def _update_slowness(self) -> None:
        """Compare how fast the streams of each service's targets advance."""
        gaps_ms: dict[ItemName, list[int]] = defaultdict(list)
        for target in self._targets.values():
            if target.view.load.event_gap_ms:
                gaps_ms[target.view.service].append(
                    target.view.load.event_gap_ms
                )
        usual_ms = {
            service: statistics.median_low(gaps)
            for service, gaps in gaps_ms.items()
            if len(gaps) >= _MIN_MEASURED_TARGETS
        }
        for target in self._targets.values():
            usual = usual_ms.get(target.view.service)
            ratio = target.view.load.event_gap_ms / usual if usual else 0.0
            slowness = ratio if ratio > _SLOW_RATIO else 1.0
            if (slowness > 1.0) != target.is_slow:
                self._log_speed(target, ratio, usual)
            target.slowness = slowness

    def _log_speed(
        self, target: GatewayTarget, ratio: float, usual_ms: int | None
    ) -> None:
        events.log(
            _log,
            GatewayEvent.TARGET_NOT_SLOW
            if target.is_slow
            else GatewayEvent.TARGET_SLOW,
            target=target.view.target,
            event_gap_ms=target.view.load.event_gap_ms,
            usual_gap_ms=usual_ms,
            ratio=round(ratio, 1),
        )

    def _find_distance(self, target: FleetTarget) -> int:
        if target.failure_domain == self._failure_domain:
            return 0
        own_region = self._regions.get(self._failure_domain)
        is_same_region = self._regions.get(target.failure_domain) == own_region
        return 1 if is_same_region else 2

    def _dispatch(self) -> None:
        """Assign free slots to queued requests, the most urgent first."""
        if not self._queue:
            return
        now = self._clock.monotonic()
        for queued in sorted(
            self._queue, key=lambda queued: queued.create_sort_key(now)
        ):
            if queued.slot is None and self._may_be_sent(queued.call):
                slot = self._try_acquire_slot(queued.call)
                if slot is not None:
                    queued.assign_slot(slot)

    def _dispatch_after_holds(self) -> None:
        """Assign slots of targets that no longer want to be left alone."""
        ended = [
            target.client.notice_wait_end()
            for target in self._targets.values()
        ]
        if any(ended):
            self._dispatch()

    def _list_eligible_targets(
        self, call: GatewayCall
    ) -> Iterator[GatewayTarget]:
        """Yield the targets that can take the request, busy ones included."""
        for target in self._list_suitable_targets(call):
            if not target.client.is_held_back:
                yield target

    def _list_suitable_targets(
        self, call: GatewayCall
    ) -> Iterator[GatewayTarget]:
        """Yield the eligible targets, and those that asked to wait."""
        now = self._clock.monotonic()
        for target in self._targets.values():
            if (
                target.view.service == call.service.name
                and target.takes_new_work
                and not target.is_unreachable
                and not target.lacks_item(call.item, now)
            ):
                yield target

    def _try_acquire_slot(self, call: GatewayCall) -> Slot | None:
        targets = self._list_free_targets(call)
        allowed = [
            t
            for t in targets
            if self._limiter.allows_request(t.incarnation, call.is_interactive)
        ]
        if not allowed:
            return None
        target = self._choose_target(call, targets)
        if target not in allowed:
            # Orders a permit for a later request; this one does not wait.
            self._limiter.prefetch_permit(target.incarnation)
            target = self._choose_target(call, allowed)
        self._limiter.record_request(target.incarnation, call.is_interactive)
        if call.item is not None:
            self._running[call.item] += 1
        return target.acquire_slot(call, self._clock.monotonic())

    def _list_free_targets(self, call: GatewayCall) -> list[GatewayTarget]:
        """Return the targets with a free slot, without those that failed."""
        targets = [
            t for t in self._list_eligible_targets(call) if t.has_free_slot()
        ]
        return self._filter_failed_targets(call, targets)

    def _choose_target(
        self, call: GatewayCall, targets: list[GatewayTarget]
    ) -> GatewayTarget:
        now = self._clock.monotonic()
        chosen = choose_candidate(
            [
                t.create_candidate(
                    _DISTANCE_COST_SHARES[t.distance],
                    call.aim_s,
                    now,
                )
                for t in targets
            ],
            self._count_entry_vms(),
            self._estimate_requests(call),
            self._random,
        )
        return targets[chosen]

    def _filter_failed_targets(
        self, call: GatewayCall, targets: list[GatewayTarget]
    ) -> list[GatewayTarget]:
        """Leave out targets that failed, unless all of them did."""
        healthy = [t for t in targets if not t.is_ejected] or targets
        not_excluded = [
            t for t in healthy if t.view.target not in call.excluded_targets
        ]
        return not_excluded or healthy

    def _estimate_requests(self, call: GatewayCall) -> float:
        """Return the requests for the item at all VMs until a new report."""
        if call.item is None:
            return 0.0
        requests_per_s = (
            self._arrival_rates.get_rate(call.item) * self._count_entry_vms()
        )
        return requests_per_s * _REPORT_LIFETIME_S

    def _check_wait(self, queued: _QueuedRequest) -> None:
        """Check that the request can still get a slot in time.

        :raises NoTargetAvailable: waiting longer is of no use.
        """
        call = queued.call
        now = self._clock.monotonic()
        remaining_s = call.remaining_first_byte_s(now)
        if self._is_draining:
            raise NoTargetAvailable(
                UnavailableReason.DRAINING,
                "this VM is shutting down and has no free slot",
                "send it again; another VM takes it",
                _OTHER_VM_RETRY_AFTER,
            )
        total_s = call.first_byte_deadline_at - call.started_at
        if next(self._list_eligible_targets(call), None) is not None:
            if remaining_s > 0 and self._may_wait_for_permit(queued, now):
                return
            if remaining_s < total_s * (1 - self._settings.wait_percent / 100):
                raise NoTargetAvailable(
                    UnavailableReason.FULL,
                    "every target that could take the request is full",
                    "send it again after the time in Retry-After",
                    _FULL_RETRY_AFTER,
                )
            return
        if self._may_wait_for_held_target(call, remaining_s, total_s):
            return
        if not queued.is_reported:
            queued.is_reported = True
            self.missing_item_event.set()
        load_time_left_s = self._find_load_time_left_s(call)
        if load_time_left_s is None:
            settings = self._settings
            percent_limit_s = total_s * settings.absent_percent / 100
            limit_s = min(settings.absent_grace_ms / 1000, percent_limit_s)
            if now - queued.queued_at > limit_s:
                raise NoTargetAvailable(
                    UnavailableReason.NOT_LOADED,
                    "no target holds what the request needs",
                    "send it again after the time in Retry-After; a load "
                    "has been requested",
                    timedelta(seconds=_NOT_LOADED_RETRY_AFTER_S),
                )
        elif load_time_left_s + _LOAD_MARGIN_S > remaining_s:
            raise NoTargetAvailable(
                UnavailableReason.LOADING,
                "the model or adapter that the request needs will be loaded "
                f"in {load_time_left_s:.1f} s",
                "send it again after the time in Retry-After",
                timedelta(seconds=load_time_left_s + _LOAD_MARGIN_S),
            )

    def _may_wait_for_held_target(
        self, call: GatewayCall, remaining_s: float, total_s: float
    ) -> bool:
        """Return whether a target that asked to wait takes requests in time.

        False if there is no such target.

        :raises NoTargetAvailable: the earliest of them returns too late.
        """
        held_back_s = min(
            (
                target.client.held_back_s
                for target in self._list_suitable_targets(call)
            ),
            default=None,
        )
        if held_back_s is None:
            return False
        wait_limit_s = total_s * self._settings.wait_percent / 100
        waited_s = total_s - remaining_s
        if waited_s + held_back_s > wait_limit_s:
            raise NoTargetAvailable(
                UnavailableReason.HELD_BACK,
                "every target that could take the request asked to wait",
                "send it again after the time in Retry-After",
                timedelta(seconds=held_back_s),
            )
        return True

    def _may_wait_for_permit(self, queued: _QueuedRequest, now: float) -> bool:
        """Return whether a permit for a target with a rate limit will do.

        Orders one if the free targets have a limit. False if there is no
        such target, or if another one may take the request.

        :raises NoTargetAvailable: no permit will be usable in time.
        """
        call = queued.call
        limited = [
            target.incarnation
            for target in self._list_free_targets(call)
            if self._limiter.find_limit(target.incarnation) is not None
        ]
        if not limited:
            return False
        if queued.permit is not None and queued.permit.is_open(now):
            return True
        waited_s = now - call.started_at
        max_wait_s = max(0.0, self._find_wait_limit_s(call) - waited_s)
        queued.permit = self._limiter.order_permit(
            limited, timedelta(seconds=max_wait_s), call.is_interactive
        )
        if queued.permit is not None:
            return True
        if len(limited) < sum(1 for _ in self._list_eligible_targets(call)):
            return False
        next_place_s = self._limiter.find_next_place_s(limited)
        if next_place_s <= max_wait_s:
            return True
        raise NoTargetAvailable(
            UnavailableReason.RATE_LIMITED,
            "every target that could take the request has reached the rate "
            "limit that it named",
            "send it again after the time in Retry-After",
            timedelta(seconds=next_place_s),
        )

    def _find_wait_limit_s(self, call: GatewayCall) -> float:
        """Return for how long a request may wait for a slot."""
        total_s = call.first_byte_deadline_at - call.started_at
        return total_s * self._settings.wait_percent / 100

    def _find_load_time_left_s(self, call: GatewayCall) -> float | None:
        """Return the seconds until the item is loaded, if that is known.

        For an adapter without a pending load of its own, the pending load
        of its model counts: the adapter takes no longer.
        """
        if call.item is None:
            return None
        time_left_s = self._fleet_state.find_load_time_left_s(call.item)
        if time_left_s is None and call.item.adapter:
            return self._fleet_state.find_load_time_left_s(
                call.item.base_model
            )
        return time_left_s

    def _log_waiting(self, call: GatewayCall) -> None:
        targets = list(self._list_eligible_targets(call))
        events.log(
            _log,
            GatewayEvent.REQUEST_WAITS,
            request=call.request.request_id,
            service=call.service.name,
            model=call.request.model,
            adapter=call.request.adapter,
            holders=len(targets),
            loads=[target.estimate_load() for target in targets],
            expected_in_s=self._find_load_time_left_s(call),
        )


def create_gateway_router(
    fleet_state: FleetState,
    clock: Clock,
    settings: GatewaySettings,
    targets_settings: TargetsSettings,
    rng: random.Random,
    failure_domain: FailureDomain,
    regions: dict[FailureDomain, Region],
    count_entry_vms: Callable[[], int],
    quarantine: Quarantine,
    limiter: RateLimiter,
) -> GatewayRouter:
    """Return the router of a VM in the given failure domain."""
    return GatewayRouter(
        fleet_state,
        clock,
        settings,
        targets_settings,
        rng,
        failure_domain,
        regions,
        count_entry_vms,
        quarantine,
        limiter,
    )
