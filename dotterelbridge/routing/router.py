"""The router: assigns each attempt of a request a slot at a target."""

from collections.abc import Iterator
from datetime import timedelta
import math
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.view import MembershipView
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import TargetView
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.placement.demand import DemandSource
from dotterelbridge.placement.demand import ItemDemand
from dotterelbridge.quarantine.guard import CrashGuard
from dotterelbridge.routing import metrics
from dotterelbridge.routing.budget import RetryBudget
from dotterelbridge.routing.cache_event_poller import CacheEventPoller
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.chooser import create_chooser
from dotterelbridge.routing.demand import DemandCounter
from dotterelbridge.routing.errors import DeadlinePassed
from dotterelbridge.routing.errors import DeadlineUnreachable
from dotterelbridge.routing.errors import ItemNotLoaded
from dotterelbridge.routing.errors import Quarantined
from dotterelbridge.routing.errors import QueueFull
from dotterelbridge.routing.errors import RateLimited
from dotterelbridge.routing.errors import RetriesExhausted
from dotterelbridge.routing.errors import RoutingRefused
from dotterelbridge.routing.events import RoutingEvent
from dotterelbridge.routing.partitions import PartitionDetector
from dotterelbridge.routing.queue import Waiter
from dotterelbridge.routing.queue import WaitQueue
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Outcome
from dotterelbridge.routing.target import Slot
from dotterelbridge.routing.target import Target
from dotterelbridge.routing.target import get_incarnation
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.buffer_budget import create_buffer_budget
from dotterelbridge.targets.cache_index import CacheIndex
from dotterelbridge.targets.client import ProbeOutcome
from dotterelbridge.targets.client import TargetClient
from dotterelbridge.targets.client import create_target_client
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.targets.statements import TargetStatement

_log = structlog.get_logger(__name__)
_DEFAULT_SLOT_HOLD_S = 1.0
_CLIENT_SWEEP_INTERVAL_TICKS = 5
_PREEMPTION_MARGIN_FACTOR = 1.5
"""Factor on the expected time to first token, which has a high variance."""
_LOAD_RETRY_AFTER = timedelta(seconds=2)


class Router(DemandSource, Dumpable):
    """This VM's view of all targets, and the requests that wait for a slot."""

    def __init__(
        self,
        membership: MembershipView,
        sheet: SheetSource,
        clock: Clock,
        settings: RoutingSettings,
        rng: random.Random,
        targets_settings: TargetsSettings,
        failure_domain: FailureDomain,
        region: Region,
        limiter: RateLimiter,
        guard: CrashGuard,
    ) -> None:
        self._membership = membership
        self._limiter = limiter
        self._guard = guard
        self._closed_targets: list[Target] = []
        """Targets that closed a connection, to find out whether they run."""
        self._has_closed_targets = anyio.Event()
        self._clock = clock
        self._settings = settings
        self._random = rng
        self._targets_settings = targets_settings
        self.buffer_budget = create_buffer_budget(targets_settings)
        self._failure_domain = failure_domain
        self._region = region
        self.cache = CacheIndex()
        self._chooser = create_chooser(settings, rng, self.cache)
        self._targets: dict[TargetId, Target] = {}
        self._targets_by_model: dict[str, dict[TargetId, Target]] = {}
        self._models_by_target: dict[TargetId, frozenset[str]] = {}
        self._models_by_item: dict[ItemName, set[str]] = {}
        self._rows: dict[ItemName, SheetRow] = {}
        self._queue = WaitQueue(
            {
                Priority.URGENT: settings.urgent_queue_limit,
                Priority.NORMAL: settings.normal_queue_limit,
                Priority.BACKGROUND: settings.background_queue_limit,
            },
            settings.background_wait_limit_ms / 1000,
            settings.background_share_percent,
        )
        self._priority_retry_budgets = {
            priority: RetryBudget(
                settings.retry_budget_percent, settings.retry_reserve
            )
            for priority in Priority
        }
        self.demand = DemandCounter()
        self._targets_to_probe: list[Target] = []
        self._partition_detector = PartitionDetector()
        self._cache_event_poller = CacheEventPoller(
            lambda: self._targets,
            self.cache,
            clock,
            settings.cache_polls_per_s,
        )
        self._apply_sheet(sheet.get_active_sheet())
        sheet.subscribe(self._apply_sheet)
        self._apply_membership()
        membership.subscribe(self._apply_membership)
        limiter.subscribe(self._handle_permits_changed)
        guard.quarantine.subscribe(self._refuse_quarantined)

    # Sheet.

    def find_sheet_row(self, name: str) -> SheetRow | None:
        """Return the sheet's row of a model, adapter or service."""
        return self._rows.get(ItemName(name))

    def list_rows(self) -> list[SheetRow]:
        """Return all rows of the active sheet."""
        return list(self._rows.values())

    # Attempts.

    def record_arrival(self, call: Call) -> None:
        """Count a request that arrived, as demand and in the retry budget."""
        self.demand.record_arrival(call.item, call.priority)
        self._priority_retry_budgets[call.priority].record_first_attempt()

    def charge_retry(self, call: Call, failed: Target) -> None:
        """Charge a retry to the budgets of the target and the priority.

        :raises RetriesExhausted: no retry is allowed; the caller gets the
            failure.
        """
        budgets = (
            failed.retry_budget,
            self._priority_retry_budgets[call.priority],
        )
        exhausted = any(not budget.allows_retry for budget in budgets)
        refused = exhausted or call.attempts >= self._settings.attempts_limit
        metrics.record_retry(call.priority, not refused)
        if refused:
            events.log(
                _log,
                RoutingEvent.RETRY_REFUSED,
                request=call.request_id,
                target=failed.view.info.target,
                attempts=call.attempts,
            )
            raise RetriesExhausted(
                f"{call.attempts} attempts failed and no more are allowed",
                "try again later",
                timedelta(seconds=1),
            )
        for budget in budgets:
            budget.record_retry()

    def can_retry_elsewhere(self, call: Call, target: Target) -> bool:
        """Whether a late request can be given up and retried elsewhere."""
        budgets = (
            target.retry_budget,
            self._priority_retry_budgets[call.priority],
        )
        if any(not budget.allows_retry for budget in budgets):
            return False
        if call.attempts >= self._settings.attempts_limit:
            return False
        return any(
            other is not target
            and not other.is_ejected
            and other.has_free_slot
            for _, candidates in self._list_candidates(call)
            for other in candidates
        )

    async def acquire(
        self,
        call: Call,
        avoided_targets: frozenset[TargetId] = frozenset(),
        deadline_at: float | None = None,
    ) -> Slot:
        """Return a slot at a target, waiting for it until the deadline.

        :param avoided_targets: used only when no other has a free slot.
        :param deadline_at: overrides the call's own deadline.
        :raises RoutingRefused: no slot; nothing was sent.
        """
        self._check_quarantine(call)
        if deadline_at is None:
            deadline_at = call.deadline_at
        now = self._clock.monotonic()
        waiter = Waiter(call, deadline_at, avoided_targets, now)
        if not self._queue.count_item_waiters(call.item):
            slot = self._try_acquire(waiter, now)
            if slot is not None:
                return slot
        self._check_admission(waiter, now)
        self._queue.add(waiter)
        try:
            self._dispatch((call.item,))
            if waiter.slot is None:
                self._order_permit(waiter, now)
                self._preempt_for_waiter(waiter)
            return await waiter.wait()
        except BaseException:
            if waiter.slot is not None:
                self.release(waiter.slot, Outcome.CANCELLED)
            raise
        finally:
            self._queue.remove(waiter)

    def is_suspected(self, call: Call) -> bool:
        """Whether several targets may have crashed under this request."""
        return self._guard.is_alert and any(
            self._guard.is_suspected(trait) for trait in call.list_traits()[:1]
        )

    def _check_quarantine(self, call: Call) -> None:
        """Check that targets do not crash under such requests.

        :raises Quarantined: a trait of the request is quarantined.
        """
        blocked = self._guard.find_blocked(call.list_traits)
        if not blocked or self._guard.quarantine.take_trial(blocked):
            return
        raise Quarantined(
            "targets crashed one after the other under such requests: "
            + ", ".join(sorted(blocked)),
            "send a request that does not have this in common with them",
            self._guard.find_retry_after(blocked),
        )

    def _refuse_quarantined(self) -> None:
        """Refuse the waiters with a trait that is now quarantined."""
        for waiter in list(self._queue.list_waiters()):
            try:
                self._check_quarantine(waiter.call)
            except Quarantined as error:
                self._queue.remove(waiter)
                waiter.refuse(error)

    def record_tokens(self, slot: Slot, count: int) -> None:
        """Count relayed tokens; the first one updates the latency estimate."""
        if slot.first_token_at is None:
            now = self._clock.monotonic()
            slot.first_token_at = now
            self._partition_detector.record_response(slot.target)
            elapsed = now - slot.acquired_at
            target = slot.target
            target.latency.record_first_token(
                slot.compute_unloaded_first_token_s(elapsed), now
            )
            target.concurrency.record_first_token(
                elapsed, target.in_flight, now
            )
            if target.has_free_slot:
                self._dispatch_target(target)
        slot.tokens += count

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Free a slot and grant it to the next waiter."""
        now = self._clock.monotonic()
        target = slot.target
        ejection_s = target.release_slot(slot, outcome, now)
        self.demand.record_tokens(slot.item, slot.tokens)
        metrics.record_attempt(outcome.value)
        if target.distance is Distance.OTHER_REGION:
            region = target.view.info.region
            metrics.record_region_bytes(region, slot.bytes_relayed)
        if ejection_s is not None:
            metrics.record_ejection()
            self._log_ejection(target, ejection_s)
        self._record_evidence(slot, outcome)
        if outcome is Outcome.SILENT:
            self._targets_to_probe.append(target)
            if slot.first_token_at is None:
                self._partition_detector.record_no_response(target, now)
                # A lower bound of its latency, so that others are preferred.
                elapsed = now - slot.acquired_at
                target.latency.record_first_token(elapsed, now)
        self._dispatch_target(target)

    def _record_evidence(self, slot: Slot, outcome: Outcome) -> None:
        """Record whether a request was answered or may have ended a target."""
        call = slot.call
        if outcome is Outcome.SUCCEEDED and self._guard.is_alert:
            self._guard.record_answered(call.list_traits())
        elif outcome is Outcome.CLOSED:
            self._guard.record_closed_attempt(
                slot.target.incarnation,
                call.list_traits(),
                slot.acquired_at,
                slot.first_token_at,
            )
            self._closed_targets.append(slot.target)
            self._has_closed_targets.set()

    # DemandSource.

    def read_demand(self) -> dict[ItemName, ItemDemand]:
        waiting = {
            item: self._queue.count_item_waiters(item)
            for item in self._queue.list_items()
        }
        return self.demand.read_and_reset(waiting)

    # Periodic work.

    async def run(self) -> None:
        """Check timeouts, deadlines and ejections until cancelled."""
        interval = timedelta(milliseconds=self._settings.sweep_interval_ms)
        ticks = 0
        async with anyio.create_task_group() as group:
            group.start_soon(self._limiter.run)
            group.start_soon(self._guard.run)
            group.start_soon(self._check_closed_targets)
            if self._settings.chooser == "estimate":
                group.start_soon(self._cache_event_poller.run)
            while True:
                await self._clock.sleep(interval)
                ticks += 1
                if ticks % _CLIENT_SWEEP_INTERVAL_TICKS == 0:
                    self.sweep_clients()
                    self._record_waiting()
                self._dispatch_after_holds()
                self.expire_waiters()
                self._order_permits()
                for target in self.start_due_probes():
                    group.start_soon(self.probe, target)

    def _dispatch_after_holds(self) -> None:
        """Assign slots of targets that no longer want to be left alone."""
        for target in self._targets.values():
            if target.client.notice_wait_end():
                self._dispatch_target(target)

    def _handle_permits_changed(self) -> None:
        """Assign slots of targets with a rate limit, or refuse waiters."""
        self._dispatch_all()
        self._order_permits()

    def _order_permits(self) -> None:
        """Order permits for waiters that need one, the first ones first."""
        if not self._limiter.count_limited():
            return
        now = self._clock.monotonic()
        for waiter in sorted(
            self._queue.list_waiters(), key=lambda waiter: waiter.order_key
        ):
            if waiter.slot is None:
                self._order_permit(waiter, now)

    def _order_permit(self, waiter: Waiter, now: float) -> None:
        """Order a permit if all targets for a request have a rate limit.

        Refuses the request if no permit will be usable in time.
        """
        if waiter.permit is not None and waiter.permit.is_open(now):
            return
        targets = self._list_free_targets(waiter, now)
        limited = [
            target.incarnation
            for target in targets
            if self._limiter.find_limit(target.incarnation) is not None
        ]
        if not limited or len(limited) < len(targets):
            return
        max_wait_s = max(0.0, waiter.deadline_at - now)
        next_place_s = self._limiter.find_next_place_s(limited)
        if next_place_s > max_wait_s:
            self._queue.remove(waiter)
            waiter.refuse(_create_limit_error(next_place_s))
            self.demand.record_missed(waiter.call.item)
            return
        waiter.permit = self._limiter.order_permit(
            limited, timedelta(seconds=max_wait_s), waiter.is_interactive
        )

    def _list_free_targets(self, waiter: Waiter, now: float) -> list[Target]:
        """Return the targets that have a free slot for a request."""
        for model, candidates in self._list_candidates(waiter.call):
            usable = self._filter_usable(candidates, model, now)
            free = [target for target in usable if target.has_free_slot]
            if free:
                return free
        return []

    def _record_waiting(self) -> None:
        for priority in Priority:
            metrics.record_waiting(
                priority, self._queue.count_waiters(priority)
            )

    def sweep_clients(self) -> None:
        """Abort timed-out exchanges and close idle connections."""
        for target in self._targets.values():
            target.client.enforce_timeouts()

    def expire_waiters(self) -> None:
        """Refuse the waiters whose deadline has passed."""
        if not len(self._queue):
            return
        now = self._clock.monotonic()
        for waiter in self._queue.list_waiters():
            if waiter.deadline_at <= now and waiter.slot is None:
                self._queue.remove(waiter)
                waiter.refuse(self._create_expiry_error(waiter.call))
                self.demand.record_missed(waiter.call.item)

    def start_due_probes(self) -> list[Target]:
        """Return the targets to probe now, marked as being probed.

        These are ejected targets whose ejection has expired, and targets
        that have left a request unanswered.
        """
        now = self._clock.monotonic()
        due = []
        for target in self._targets.values():
            if target.ejection.is_probe_due(now):
                target.ejection.start_probe()
                due.append(target)
        unresponsive, self._targets_to_probe = self._targets_to_probe, []
        return due + [
            target for target in unresponsive if not target.is_ejected
        ]

    async def probe(self, target: Target) -> None:
        """Probe a target that failed or stopped responding."""
        timeout = timedelta(milliseconds=self._settings.probe_timeout_ms)
        outcome = await target.client.probe(timeout)
        answered = outcome is ProbeOutcome.UP
        now = self._clock.monotonic()
        if not target.is_ejected:
            # A request timed out. That counts as a failure of the target
            # only if the probe fails too.
            if not answered:
                target.ejection.record_failure(now)
            return
        target.ejection.finish_probe(answered, now)
        if not answered:
            return
        target.concurrency.begin_slow_start()
        events.log(
            _log,
            RoutingEvent.TARGET_RETURNED,
            target=target.view.info.target,
        )
        self._dispatch_target(target)

    async def _check_closed_targets(self) -> None:
        """Find out whether targets that closed connections still run."""
        async with anyio.create_task_group() as group:
            while True:
                await self._has_closed_targets.wait()
                self._has_closed_targets = anyio.Event()
                closed, self._closed_targets = self._closed_targets, []
                for target in dict.fromkeys(closed):
                    group.start_soon(self._check_runs, target)

    async def _check_runs(self, target: Target) -> None:
        timeout = timedelta(milliseconds=self._settings.probe_timeout_ms)
        outcome = await target.client.probe(timeout)
        if outcome is ProbeOutcome.REFUSED and target.takes_new_work:
            self._guard.record_crash(target.incarnation)

    def dump(self) -> dict[str, Any]:
        now = self._clock.monotonic()
        return {
            "chooser": self._settings.chooser,
            "waiting": {
                priority.value: self._queue.count_waiters(priority)
                for priority in Priority
            },
            "waiting_items": {
                item: self._queue.count_item_waiters(item)
                for item in self._queue.list_items()
            },
            "retry_budgets": {
                priority.value: budget.available_retries
                for priority, budget in self._priority_retry_budgets.items()
            },
            "cache_entries": len(self.cache),
            "cache_gaps": self.cache.gap_count,
            "targets": {
                name: _dump_target(target, now)
                for name, target in self._targets.items()
            },
        }

    # Sheet and membership.

    def _apply_sheet(self, revision: SheetRevision) -> None:
        self._rows = dict(revision.index())

    def _apply_membership(self) -> None:
        """Apply the changes of the membership view."""
        views = self._membership.get_targets()
        for name in [name for name in self._targets if name not in views]:
            self._remove_target(name)
        changed = [
            view
            for name, view in views.items()
            if name not in self._targets
            or self._targets[name].view is not view
        ]
        for view in changed:
            self._apply_view(view)
        if len(self._queue):
            self._dispatch_all()

    def _apply_view(self, view: TargetView) -> None:
        name = view.info.target
        target = self._targets.get(name)
        if target is not None and target.view.info != view.info:
            self._remove_target(name)
            target = None
        if target is None:
            target = Target(
                view,
                self._create_client(view),
                self._find_distance(view),
                self._settings,
                self._random,
            )
            self._targets[name] = target
        target.update_view(view)
        self._index_target(target, _list_models(view))

    def _create_client(self, view: TargetView) -> TargetClient:
        incarnation = get_incarnation(view)

        def record_answer(
            status: int, statement: TargetStatement, sent_at: float
        ) -> None:
            self._limiter.record_answer(
                incarnation, status, statement, sent_at
            )

        return create_target_client(
            view.info,
            self._targets_settings,
            self._clock,
            self._random,
            record_answer,
            self.buffer_budget,
        )

    def _remove_target(self, name: TargetId) -> None:
        target = self._targets.pop(name)
        self._index_target(target, frozenset())
        self.cache.remove_target(name)
        target.client.close()
        self._limiter.forget(target.incarnation)

    def _index_target(self, target: Target, models: frozenset[str]) -> None:
        name = target.view.info.target
        previous = self._models_by_target.pop(name, frozenset())
        if models:
            self._models_by_target[name] = models
        for model in previous - models:
            targets = self._targets_by_model[model]
            targets.pop(name, None)
            if not targets:
                del self._targets_by_model[model]
                self._models_by_item[_get_item_name(model)].discard(model)
        for model in models:
            self._targets_by_model.setdefault(model, {})[name] = target
            self._models_by_item.setdefault(_get_item_name(model), set()).add(
                model
            )

    def _find_distance(self, view: TargetView) -> Distance:
        if view.info.failure_domain == self._failure_domain:
            return Distance.OWN_DOMAIN
        if view.info.region == self._region:
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

    # Choice of a target.

    def _list_candidates(
        self, call: Call
    ) -> Iterator[tuple[str, list[Target]]]:
        """Yield acceptable models, preferred first, with ready targets."""
        for model in self._list_acceptable_models(call):
            targets = self._targets_by_model.get(model, {}).values()
            ready = [
                target
                for target in targets
                if target.takes_new_work and not self._is_unreachable(target)
            ]
            if ready:
                yield model, ready

    def _is_unreachable(self, target: Target) -> bool:
        return self._partition_detector.is_unreachable(
            target, self._clock.monotonic()
        )

    def _list_acceptable_models(self, call: Call) -> Iterator[str]:
        if call.is_service:
            yield call.item
            return
        preferred = f"{call.item}@{call.version or call.row.version}"
        yield preferred
        if call.version is not None:
            return
        # While the version on the sheet is loading, any other loaded
        # version keeps the model available.
        for model in sorted(self._models_by_item.get(call.item, ())):
            if model != preferred:
                yield model

    def _try_acquire(self, waiter: Waiter, now: float) -> Slot | None:
        for model, candidates in self._list_candidates(waiter.call):
            usable = self._filter_usable(candidates, model, now)
            if not usable:
                continue
            target = self._choose_target(waiter, usable, now)
            if target is None:
                return None
            self._limiter.record_request(
                target.incarnation, waiter.is_interactive
            )
            self._preempt_if_overloaded(waiter, target, now)
            slot = target.acquire_slot(waiter.call, model, now)
            waiter.call.attempts += 1
            target.retry_budget.record_first_attempt()
            self.cache.add_sent_prompt(
                target.view.info.target,
                waiter.call.item,
                waiter.call.prompt_blocks,
                now,
            )
            return slot
        return None

    def _filter_usable(
        self, candidates: list[Target], model: str, now: float
    ) -> list[Target]:
        ready = [
            target
            for target in candidates
            if not target.lacks_item(model, now)
            and not target.client.is_held_back
        ]
        not_ejected = [target for target in ready if not target.is_ejected]
        if not_ejected:
            return not_ejected
        # Without any other target, a failing one still gets one request at
        # a time.
        return [target for target in ready if target.in_flight == 0]

    def _choose_target(
        self, waiter: Waiter, usable: list[Target], now: float
    ) -> Target | None:
        free = [target for target in usable if target.has_free_slot]
        if self._waits_for_free_batch(waiter, now):
            free = [target for target in free if not target.is_batch_full]
        preferred = [
            target
            for target in free
            if target.view.info.target not in waiter.avoided_targets
        ]
        return self._choose_allowed(waiter, preferred or free, now)

    def _choose_allowed(
        self, waiter: Waiter, targets: list[Target], now: float
    ) -> Target | None:
        """Choose a target whose rate limit, if any, allows a request."""
        allowed = [
            target
            for target in targets
            if self._limiter.allows_request(
                target.incarnation, waiter.is_interactive
            )
        ]
        target = self._choose_by_distance(waiter, targets, now)
        if target in allowed or not allowed:
            return target if allowed else None
        # Orders a permit for a later request; this one does not wait.
        self._limiter.prefetch_permit(target.incarnation)
        return self._choose_by_distance(waiter, allowed, now)

    def _waits_for_free_batch(self, waiter: Waiter, now: float) -> bool:
        """Whether a request waits here rather than in an engine's queue.

        Background requests do, until they are overdue, so that they don't
        occupy batch capacity that urgent work needs next.
        """
        if waiter.call.priority is not Priority.BACKGROUND:
            return False
        limit_s = self._settings.background_wait_limit_ms / 1000
        return now - waiter.enqueued_at < limit_s

    def _choose_by_distance(
        self, waiter: Waiter, targets: list[Target], now: float
    ) -> Target | None:
        """Choose at the shortest distance that can meet the deadline."""
        best = None
        best_s = math.inf
        for distance in Distance:
            at_distance = [t for t in targets if t.distance is distance]
            if not at_distance:
                continue
            target = self._chooser.choose(waiter.call, at_distance, now)
            expected_s = self._chooser.estimate_first_token_s(
                waiter.call, target, now
            )
            if now + expected_s <= waiter.deadline_at:
                return target
            if expected_s < best_s:
                best, best_s = target, expected_s
        return best

    # Queue.

    def _check_admission(self, waiter: Waiter, now: float) -> None:
        call = waiter.call
        if self._queue.is_full(call.priority):
            self.demand.record_missed(call.item)
            raise QueueFull(
                f"the queue for {call.priority.value} requests is full",
                "send it again after the time in Retry-After",
                timedelta(seconds=1),
            )
        wait_s = self._estimate_wait_s(waiter)
        if wait_s is None or now + wait_s <= waiter.deadline_at:
            return
        self.demand.record_missed(call.item)
        raise DeadlineUnreachable(
            f"the estimated wait of {wait_s:.1f} s exceeds the deadline",
            "send it again after the time in Retry-After, or allow more "
            "in Dotterelbridge-Deadline",
            timedelta(seconds=wait_s),
        )

    def _estimate_wait_s(self, waiter: Waiter) -> float | None:
        """Return the estimated wait; None while no target has the item."""
        candidates = next(
            (
                candidates
                for _, candidates in self._list_candidates(waiter.call)
            ),
            None,
        )
        if not candidates:
            return None
        if waiter.call.priority is Priority.URGENT and any(
            target.find_preemptible_slot() for target in candidates
        ):
            return 0.0
        ahead = self._queue.count_waiters_ahead(
            waiter.call.item, waiter.order_key
        )
        slot_holds_s = [
            target.latency.slot_hold_s or _DEFAULT_SLOT_HOLD_S
            for target in candidates
        ]
        slots = sum(target.concurrency.limit for target in candidates)
        slot_hold_s = sum(slot_holds_s) / len(slot_holds_s)
        held_back_s = min(target.client.held_back_s for target in candidates)
        return held_back_s + (ahead + 1) * slot_hold_s / slots

    def _dispatch_all(self) -> None:
        self._dispatch(tuple(self._queue.list_items()))

    def _dispatch_target(self, target: Target) -> None:
        if not len(self._queue):
            return
        models = self._models_by_target.get(target.view.info.target, ())
        items = {_get_item_name(model) for model in models}
        self._dispatch(tuple(items.intersection(self._queue.list_items())))

    def _dispatch(self, items: tuple[ItemName, ...]) -> None:
        """Grant free slots to waiters in queue order."""
        now = self._clock.monotonic()
        open_items = set(items)
        while open_items:
            waiter = self._queue.select_next(open_items, now)
            if waiter is None:
                return
            slot = self._try_acquire(waiter, now)
            if slot is None:
                open_items.discard(waiter.call.item)
                continue
            self._queue.remove_granted(waiter)
            waiter.grant(slot)

    def _preempt_if_overloaded(
        self, waiter: Waiter, target: Target, now: float
    ) -> None:
        """Preempt a background stream at a target too busy for urgent work.

        This frees a place in the engine's batch, for which the urgent
        request would wait otherwise.
        """
        if waiter.call.priority is not Priority.URGENT:
            return
        expected_s = self._chooser.estimate_first_token_s(
            waiter.call, target, now
        )
        if now + expected_s * _PREEMPTION_MARGIN_FACTOR > waiter.deadline_at:
            self._preempt_one(target)

    def _preempt_for_waiter(self, waiter: Waiter) -> None:
        """Preempt one background stream for a waiting urgent request."""
        if waiter.call.priority is not Priority.URGENT:
            return
        for _, candidates in self._list_candidates(waiter.call):
            for target in candidates:
                if not target.is_ejected and self._preempt_one(target):
                    return

    def _preempt_one(self, target: Target) -> bool:
        slot = target.find_preemptible_slot()
        if slot is None:
            return False
        metrics.record_preemption()
        preempt, slot.preempt = slot.preempt, None
        slot.preempted = True
        slot.call.preemptions += 1
        events.log(
            _log,
            RoutingEvent.BACKGROUND_CANCELLED,
            request=slot.call.request_id,
            target=target.view.info.target,
        )
        preempt()
        return True

    def _create_expiry_error(self, call: Call) -> RoutingRefused:
        if next(self._list_candidates(call), None) is None:
            return ItemNotLoaded(
                f"no target had {call.item!r} loaded before the deadline",
                "send it again after the time in Retry-After; a load has "
                "been requested",
                _LOAD_RETRY_AFTER,
            )
        return DeadlinePassed(
            "the deadline passed while the request waited for a free slot",
            "send it again after the time in Retry-After, or allow more "
            "in Dotterelbridge-Deadline",
            timedelta(seconds=1),
        )

    def _log_ejection(self, target: Target, duration_s: float) -> None:
        events.log(
            _log,
            RoutingEvent.TARGET_EJECTED,
            target=target.view.info.target,
            duration_s=round(duration_s, 3),
        )


def _create_limit_error(wait_s: float) -> RateLimited:
    return RateLimited(
        "every target that could take the request has reached the rate limit "
        "that it named",
        "send it again after the time in Retry-After",
        timedelta(seconds=wait_s),
    )


def _get_item_name(model: str) -> ItemName:
    return ItemName(model.partition("@")[0])


def _list_models(view: TargetView) -> frozenset[str]:
    if view.info.kind is TargetKind.SERVICE:
        return frozenset(
            () if view.info.service is None else (view.info.service,)
        )
    return view.ready_items


def _dump_target(target: Target, now: float) -> dict[str, Any]:
    return {
        "state": target.view.state.value,
        "distance": target.distance.name.lower(),
        "in_flight": target.in_flight,
        "limit": target.concurrency.limit,
        "ejection": target.ejection.state.value,
        "failures": target.ejection.consecutive_failures,
        "retry_budget": target.retry_budget.available_retries,
        "first_token_s": target.latency.get_first_token_s(now),
        "between_tokens_s": target.latency.inter_token_s,
        "reported_running": target.view.running,
        "reported_waiting": target.view.waiting,
        "report_age_s": now - target.view.reported_at,
        "connections": target.client.count_connections(),
    }


def create_router(
    membership: MembershipView,
    sheet: SheetSource,
    clock: Clock,
    settings: RoutingSettings,
    rng: random.Random,
    targets_settings: TargetsSettings,
    failure_domain: FailureDomain,
    region: Region,
    limiter: RateLimiter,
    guard: CrashGuard,
) -> Router:
    """Return the router of a VM in the given failure domain and region."""
    return Router(
        membership,
        sheet,
        clock,
        settings,
        rng,
        targets_settings,
        failure_domain,
        region,
        limiter,
        guard,
    )
