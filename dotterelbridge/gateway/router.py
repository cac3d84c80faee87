"""Assigns each attempt to a target, or refuses the request in time."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.budget import RetryBudget
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.error_watch import ErrorWatch
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.outcomes import FAILURES
from dotterelbridge.gateway.outcomes import AttemptOutcome
from dotterelbridge.gateway.queued_request import QueuedRequest
from dotterelbridge.gateway.rates import ArrivalRates
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.gateway.target import Slot
from dotterelbridge.gateway.target_table import TargetTable
from dotterelbridge.gateway.waiting import WaitPolicy
from dotterelbridge.gateway.work_balancer import WorkBalancer
from dotterelbridge.gateway.workload import REPORT_LIFETIME_S
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TraitId
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind
from dotterelbridge.targets.buffer_budget import create_buffer_budget
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)

_SWEEP_INTERVAL = timedelta(milliseconds=100)
_DISTANCE_COST_SHARES = (0.0, 0.01, 0.06)
"""Cost of a target in this VM's failure domain, in its region, and in
another region, as a share of the target's slots. The traffic of a stream
that crosses regions costs a few hundredths of the stream's value; a gap in
a stream at a busy engine costs two thirds of it."""
_ANSWERS = (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR)


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
        self.buffer_budget = create_buffer_budget(targets_settings)
        self._random = rng
        self._count_entry_vms = count_entry_vms
        self.error_watch = (
            ErrorWatch(clock, rng) if settings.error_evidence else None
        )
        self._table = TargetTable(
            fleet_state,
            clock,
            settings,
            targets_settings,
            rng,
            failure_domain,
            regions,
            limiter,
            self.buffer_budget,
            self.crash_watch,
            self.error_watch,
            count_entry_vms,
        )
        self._targets = self._table.targets
        self._waiting = WaitPolicy(
            self._table,
            fleet_state,
            limiter,
            settings,
            clock,
            lambda: self.missing_item_event.set(),
        )
        self._work_balancer = WorkBalancer(
            settings.balance,
            clock,
            rng,
            count_entry_vms,
            _DISTANCE_COST_SHARES,
        )
        self._queue: list[QueuedRequest] = []
        self._retry_budgets: dict[ItemName, RetryBudget] = {}
        self._arrivals: Counter[ItemKey] = Counter()
        self._running: Counter[ItemKey] = Counter()
        self._arrival_rates = ArrivalRates(clock)
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
        self._waiting.is_draining = True
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
        self._work_balancer.check_memory(call)
        now = self._clock.monotonic()
        queued = QueuedRequest(call, now)
        slot = self._try_acquire_slot(call)
        if slot is not None:
            return slot
        self._waiting.check(queued)
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
                self._waiting.check(queued)
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

    def _record_wait(self, queued: QueuedRequest, outcome: str) -> None:
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
        self._work_balancer.record_ended(
            slot, outcome is AttemptOutcome.ANSWERED
        )
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
        if self.error_watch is not None and outcome in _ANSWERS:
            self.error_watch.record_answer(
                target.incarnation, outcome is AttemptOutcome.SERVER_ERROR
            )
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
        elif outcome in FAILURES:
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
                self._table.start_probes(group, self._dispatch)

    def dump(self) -> dict[str, Any]:
        return {
            "waiting": len(self._queue),
            "balance": self._work_balancer.dump(),
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
                    **self._work_balancer.dump_target(target),
                }
                for name, target in self._targets.items()
            },
        }

    def _update_targets(self) -> None:
        """Apply changes of the fleet state."""
        self._table.update()
        self._limiter.apply_shared(self._fleet_state.rate_limits)
        self._dispatch()

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

    def _try_acquire_slot(self, call: GatewayCall) -> Slot | None:
        targets = self._table.list_free(call)
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
        slot = target.acquire_slot(call, self._clock.monotonic())
        self._work_balancer.record_sent(slot)
        return slot

    def _choose_target(
        self, call: GatewayCall, targets: list[GatewayTarget]
    ) -> GatewayTarget:
        if self._work_balancer.is_active(call, self._targets.values()):
            return self._work_balancer.choose(
                call, targets, self._estimate_requests(call)
            )
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

    def _estimate_requests(self, call: GatewayCall) -> float:
        """Return the requests for the item at all VMs until a new report."""
        if call.item is None:
            return 0.0
        requests_per_s = (
            self._arrival_rates.get_rate(call.item) * self._count_entry_vms()
        )
        return requests_per_s * REPORT_LIFETIME_S

    def _log_waiting(self, call: GatewayCall) -> None:
        targets = list(self._table.list_eligible(call))
        events.log(
            _log,
            GatewayEvent.REQUEST_WAITS,
            request=call.request.request_id,
            service=call.service.name,
            model=call.request.model,
            adapter=call.request.adapter,
            origin=call.origin.software if call.origin else None,
            holders=len(targets),
            loads=[target.estimate_load() for target in targets],
            expected_in_s=self._waiting.find_load_time_left_s(call),
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
