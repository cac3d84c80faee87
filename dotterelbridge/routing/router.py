"""The router: finds a place at a target for each attempt of a request."""

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
from dotterelbridge.placement.demand import DemandSource
from dotterelbridge.placement.demand import ItemDemand
from dotterelbridge.routing import metrics
from dotterelbridge.routing.budget import RetryBudget
from dotterelbridge.routing.cache_feed import CacheFeed
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.chooser import create_chooser
from dotterelbridge.routing.cuts import DomainCuts
from dotterelbridge.routing.demand import DemandCounter
from dotterelbridge.routing.errors import DeadlinePassed
from dotterelbridge.routing.errors import DeadlineUnreachable
from dotterelbridge.routing.errors import ItemNotLoaded
from dotterelbridge.routing.errors import QueueFull
from dotterelbridge.routing.errors import RetriesSpent
from dotterelbridge.routing.errors import RoutingRefused
from dotterelbridge.routing.events import RoutingEvent
from dotterelbridge.routing.queue import Waiter
from dotterelbridge.routing.queue import WaitQueue
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.target import Distance
from dotterelbridge.routing.target import Outcome
from dotterelbridge.routing.target import Slot
from dotterelbridge.routing.target import Target
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.cache_index import CacheIndex
from dotterelbridge.targets.client import create_target_client
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)
_DEFAULT_HOLD_S = 1.0
_CLIENT_SWEEP_TICKS = 5
_RELIEF_MARGIN = 1.5
"""Factor on the expected time to first token, whose spread is wide."""
_LOAD_RETRY = timedelta(seconds=2)


class Router(DemandSource, Dumpable):
    """Local view of all targets, and the requests that wait for one."""

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
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._random = rng
        self._targets_settings = targets_settings
        self._failure_domain = failure_domain
        self._region = region
        self.cache = CacheIndex()
        self._chooser = create_chooser(settings, rng, self.cache)
        self._targets: dict[TargetId, Target] = {}
        self._by_model: dict[str, dict[TargetId, Target]] = {}
        self._models_of: dict[TargetId, frozenset[str]] = {}
        self._versions: dict[ItemName, set[str]] = {}
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
        self._class_retries = {
            priority: RetryBudget(
                settings.retry_budget_percent, settings.retry_reserve
            )
            for priority in Priority
        }
        self.demand = DemandCounter()
        self._probes: list[Target] = []
        self._cuts = DomainCuts()
        self._cache_feed = CacheFeed(
            lambda: self._targets,
            self.cache,
            clock,
            settings.cache_polls_per_s,
        )
        self._take_sheet(sheet.current())
        sheet.subscribe(self._take_sheet)
        self._refresh()
        membership.subscribe(self._refresh)

    # Items.

    def find_row(self, name: str) -> SheetRow | None:
        """Return the sheet's row of a model, adapter or service."""
        return self._rows.get(ItemName(name))

    def rows(self) -> list[SheetRow]:
        """Return the rows of the sheet in force."""
        return list(self._rows.values())

    # Attempts.

    def start_call(self, call: Call) -> None:
        """Count a request that arrived."""
        self.demand.record_arrival(call.item, call.priority)
        self._class_retries[call.priority].earn()

    def check_retry(self, call: Call, failed: Target) -> None:
        """Spend from the retry budgets.

        :raises RetriesSpent: the failure goes to the caller.
        """
        budgets = (failed.retries, self._class_retries[call.priority])
        spent = any(not budget.has_retry for budget in budgets)
        refused = spent or call.attempts >= self._settings.attempts_limit
        metrics.record_retry(call.priority, not refused)
        if refused:
            events.log(
                _log,
                RoutingEvent.RETRY_REFUSED,
                request=call.request,
                target=failed.view.info.target,
                attempts=call.attempts,
            )
            raise RetriesSpent(
                f"{call.attempts} attempts failed and no more are allowed",
                "try again later",
                timedelta(seconds=1),
            )
        for budget in budgets:
            budget.spend()

    def may_move(self, call: Call, target: Target) -> bool:
        """Whether a late request may be given up and run elsewhere."""
        budgets = (target.retries, self._class_retries[call.priority])
        if any(not budget.has_retry for budget in budgets):
            return False
        if call.attempts >= self._settings.attempts_limit:
            return False
        return any(
            other is not target and not other.is_ejected and other.has_room
            for _, holders in self._list_holders(call)
            for other in holders
        )

    async def acquire(
        self,
        call: Call,
        avoid: frozenset[TargetId] = frozenset(),
        deadline_at: float | None = None,
    ) -> Slot:
        """Return a place at a target, waiting until the deadline.

        :param avoid: targets to use only when no other has room.
        :param deadline_at: in place of the call's own.
        :raises RoutingRefused: nothing was sent.
        """
        if deadline_at is None:
            deadline_at = call.deadline_at
        now = self._clock.monotonic()
        waiter = Waiter(call, deadline_at, avoid, now)
        if not self._queue.count_item(call.item):
            slot = self._try_take(waiter, now)
            if slot is not None:
                return slot
        self._check_admission(waiter, now)
        self._queue.add(waiter)
        try:
            self._dispatch((call.item,))
            if waiter.slot is None:
                self._make_room(waiter)
            return await waiter.wait()
        except BaseException:
            if waiter.slot is not None:
                self.release(waiter.slot, Outcome.CANCELLED)
            raise
        finally:
            self._queue.remove(waiter)

    def record_tokens(self, slot: Slot, count: int) -> None:
        """Count relayed tokens; the first teaches the target's speed."""
        if slot.first_token_at is None:
            now = self._clock.monotonic()
            slot.first_token_at = now
            self._cuts.record_answer(slot.target)
            elapsed = now - slot.taken_at
            target = slot.target
            target.speed.record_first_token(slot.unloaded_s(elapsed), now)
            target.limit.record_first_token(elapsed, target.in_flight, now)
            if target.has_room:
                self._dispatch_target(target)
        slot.tokens += count

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Give a place back and hand it on."""
        now = self._clock.monotonic()
        target = slot.target
        ejected_s = target.release(slot, outcome, now)
        self.demand.record_tokens(slot.item, slot.tokens)
        metrics.record_attempt(outcome.value)
        if target.distance is Distance.OTHER_REGION:
            region = target.view.info.region
            metrics.record_region_bytes(region, slot.bytes_relayed)
        if ejected_s is not None:
            metrics.record_ejection()
            self._log_ejection(target, ejected_s)
        if outcome is Outcome.SILENT:
            self._probes.append(target)
            if slot.first_token_at is None:
                self._cuts.record_silence(target, now)
                # Known to be slow at least, so that others come first.
                elapsed = now - slot.taken_at
                target.speed.record_first_token(elapsed, now)
        self._dispatch_target(target)

    # DemandSource.

    def read_demand(self) -> dict[ItemName, ItemDemand]:
        waiting = {
            item: self._queue.count_item(item) for item in self._queue.items()
        }
        return self.demand.read(waiting)

    # The daemon's part.

    async def run(self) -> None:
        """Check deadlines, silence and ejections until cancelled."""
        interval = timedelta(milliseconds=self._settings.sweep_interval_ms)
        ticks = 0
        async with anyio.create_task_group() as group:
            if self._settings.chooser == "estimate":
                group.start_soon(self._cache_feed.run)
            while True:
                await self._clock.sleep(interval)
                ticks += 1
                if ticks % _CLIENT_SWEEP_TICKS == 0:
                    self.sweep_clients()
                    self._record_waiting()
                self.expire_waiters()
                for target in self.find_due_probes():
                    group.start_soon(self.probe, target)

    def _record_waiting(self) -> None:
        for priority in Priority:
            metrics.record_waiting(priority, self._queue.count(priority))

    def sweep_clients(self) -> None:
        """End silent exchanges and drop connections unused for long."""
        for target in self._targets.values():
            target.client.enforce_timeouts()

    def expire_waiters(self) -> None:
        """Refuse those whose deadline passed while they waited."""
        if not len(self._queue):
            return
        now = self._clock.monotonic()
        for waiter in self._queue.waiters():
            if waiter.deadline_at <= now and waiter.slot is None:
                self._queue.remove(waiter)
                waiter.refuse(self._explain_expiry(waiter.call))
                self.demand.record_missed(waiter.call.item)

    def find_due_probes(self) -> list[Target]:
        """Return the targets to probe now and mark them so."""
        now = self._clock.monotonic()
        due = []
        for target in self._targets.values():
            if target.ejection.is_probe_due(now):
                target.ejection.start_probe()
                due.append(target)
        silent, self._probes = self._probes, []
        return due + [target for target in silent if not target.is_ejected]

    async def probe(self, target: Target) -> None:
        """Open a connection to a target that failed or went silent."""
        timeout = timedelta(milliseconds=self._settings.probe_timeout_ms)
        answered = await target.client.probe(timeout)
        now = self._clock.monotonic()
        if not target.is_ejected:
            # Silence: the target is condemned only if this failed too.
            if not answered:
                target.ejection.record_failure(now)
            return
        target.ejection.finish_probe(answered, now)
        if not answered:
            return
        target.limit.restart()
        events.log(
            _log,
            RoutingEvent.TARGET_RETURNED,
            target=target.view.info.target,
        )
        self._dispatch_target(target)

    def dump(self) -> dict[str, Any]:
        now = self._clock.monotonic()
        return {
            "chooser": self._settings.chooser,
            "waiting": {
                priority.value: self._queue.count(priority)
                for priority in Priority
            },
            "waiting_items": {
                item: self._queue.count_item(item)
                for item in self._queue.items()
            },
            "retry_budgets": {
                priority.value: budget.tokens
                for priority, budget in self._class_retries.items()
            },
            "cache_entries": len(self.cache),
            "cache_gaps": self.cache.gap_count,
            "targets": {
                name: _dump_target(target, now)
                for name, target in self._targets.items()
            },
        }

    # Views.

    def _take_sheet(self, revision: SheetRevision) -> None:
        self._rows = dict(revision.index())

    def _refresh(self) -> None:
        """Take what changed in the membership view."""
        views = self._membership.get_targets()
        for name in [name for name in self._targets if name not in views]:
            self._drop(name)
        changed = [
            view
            for name, view in views.items()
            if name not in self._targets
            or self._targets[name].view is not view
        ]
        for view in changed:
            self._take_view(view)
        if len(self._queue):
            self._dispatch_all()

    def _take_view(self, view: TargetView) -> None:
        name = view.info.target
        target = self._targets.get(name)
        if target is not None and target.view.info != view.info:
            self._drop(name)
            target = None
        if target is None:
            target = Target(
                view,
                create_target_client(
                    view.info, self._targets_settings, self._clock
                ),
                self._find_distance(view),
                self._settings,
                self._random,
            )
            self._targets[name] = target
        target.update(view)
        self._index(target, _list_models(view))

    def _drop(self, name: TargetId) -> None:
        target = self._targets.pop(name)
        self._index(target, frozenset())
        self.cache.remove_target(name)
        target.client.close()

    def _index(self, target: Target, models: frozenset[str]) -> None:
        name = target.view.info.target
        known = self._models_of.pop(name, frozenset())
        if models:
            self._models_of[name] = models
        for model in known - models:
            holders = self._by_model[model]
            holders.pop(name, None)
            if not holders:
                del self._by_model[model]
                self._versions[_item_of(model)].discard(model)
        for model in models:
            self._by_model.setdefault(model, {})[name] = target
            self._versions.setdefault(_item_of(model), set()).add(model)

    def _find_distance(self, view: TargetView) -> Distance:
        if view.info.failure_domain == self._failure_domain:
            return Distance.OWN_DOMAIN
        if view.info.region == self._region:
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

    # Choice.

    def _list_holders(self, call: Call) -> Iterator[tuple[str, list[Target]]]:
        """Yield the versions that may serve, best first, with holders."""
        for model in self._list_acceptable(call):
            holders = self._by_model.get(model, {}).values()
            ready = [
                target
                for target in holders
                if target.takes_new_work and not self._is_cut_off(target)
            ]
            if ready:
                yield model, ready

    def _is_cut_off(self, target: Target) -> bool:
        return self._cuts.is_cut_off(target, self._clock.monotonic())

    def _list_acceptable(self, call: Call) -> Iterator[str]:
        if call.is_service:
            yield call.item
            return
        wanted = f"{call.item}@{call.version or call.row.version}"
        yield wanted
        if call.version is not None:
            return
        # While the sheet's version loads, another one keeps the model
        # reachable.
        for model in sorted(self._versions.get(call.item, ())):
            if model != wanted:
                yield model

    def _try_take(self, waiter: Waiter, now: float) -> Slot | None:
        for model, holders in self._list_holders(waiter.call):
            usable = self._list_usable(holders, model, now)
            if not usable:
                continue
            target = self._choose(waiter, usable, now)
            if target is None:
                return None
            self._relieve(waiter, target, now)
            slot = target.take(waiter.call, model, now)
            waiter.call.attempts += 1
            target.retries.earn()
            self.cache.add_sent_prompt(
                target.view.info.target,
                waiter.call.item,
                waiter.call.prompt_blocks,
                now,
            )
            return slot
        return None

    def _list_usable(
        self, holders: list[Target], model: str, now: float
    ) -> list[Target]:
        ready = [target for target in holders if not target.lacks(model, now)]
        kept = [target for target in ready if not target.is_ejected]
        if kept:
            return kept
        # Better one request at a time to a failing target than none.
        return [target for target in ready if target.in_flight == 0]

    def _choose(
        self, waiter: Waiter, usable: list[Target], now: float
    ) -> Target | None:
        roomy = [target for target in usable if target.has_room]
        if self._gives_way(waiter, now):
            roomy = [target for target in roomy if not target.is_full]
        wanted = [
            target
            for target in roomy
            if target.view.info.target not in waiter.avoid
        ]
        return self._choose_by_distance(waiter, wanted or roomy, now)

    def _gives_way(self, waiter: Waiter, now: float) -> bool:
        """Whether a request waits here rather than in an engine's queue.

        Background work does, so that it can't fill places that urgent
        work needs next; until it has waited for its limit.
        """
        if waiter.call.priority is not Priority.BACKGROUND:
            return False
        limit_s = self._settings.background_wait_limit_ms / 1000
        return now - waiter.enqueued_at < limit_s

    def _choose_by_distance(
        self, waiter: Waiter, targets: list[Target], now: float
    ) -> Target | None:
        """Stay near unless the deadline holds only farther away."""
        best = None
        best_s = math.inf
        for distance in Distance:
            near = [t for t in targets if t.distance is distance]
            if not near:
                continue
            target = self._chooser.choose(waiter.call, near, now)
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
                f"too many {call.priority.value} requests wait",
                "send it again after the time in Retry-After",
                timedelta(seconds=1),
            )
        wait_s = self._estimate_wait_s(waiter)
        if wait_s is None or now + wait_s <= waiter.deadline_at:
            return
        self.demand.record_missed(call.item)
        raise DeadlineUnreachable(
            f"the wait of about {wait_s:.1f} s is beyond the deadline",
            "send it again after the time in Retry-After, or allow more "
            "in Dotterelbridge-Deadline",
            timedelta(seconds=wait_s),
        )

    def _estimate_wait_s(self, waiter: Waiter) -> float | None:
        """Return the expected wait; None while no target has the item."""
        holders = next(
            (holders for _, holders in self._list_holders(waiter.call)), None
        )
        if not holders:
            return None
        if waiter.call.priority is Priority.URGENT and any(
            target.find_displaceable() for target in holders
        ):
            return 0.0
        ahead = self._queue.count_before(waiter.call.item, waiter.key)
        holds = [target.speed.hold_s or _DEFAULT_HOLD_S for target in holders]
        places = sum(target.limit.limit for target in holders)
        return (ahead + 1) * (sum(holds) / len(holds)) / places

    def _dispatch_all(self) -> None:
        self._dispatch(tuple(self._queue.items()))

    def _dispatch_target(self, target: Target) -> None:
        if not len(self._queue):
            return
        models = self._models_of.get(target.view.info.target, ())
        items = {_item_of(model) for model in models}
        self._dispatch(tuple(items.intersection(self._queue.items())))

    def _dispatch(self, items: tuple[ItemName, ...]) -> None:
        """Hand free places to waiters, best first."""
        now = self._clock.monotonic()
        open_items = set(items)
        while open_items:
            waiter = self._queue.pick(open_items, now)
            if waiter is None:
                return
            slot = self._try_take(waiter, now)
            if slot is None:
                open_items.discard(waiter.call.item)
                continue
            self._queue.take(waiter)
            waiter.grant(slot)

    def _relieve(self, waiter: Waiter, target: Target, now: float) -> None:
        """Cancel a background stream at a target too busy for urgent work.

        The place in the engine's batch is what urgent work waits for then.
        """
        if waiter.call.priority is not Priority.URGENT:
            return
        expected_s = self._chooser.estimate_first_token_s(
            waiter.call, target, now
        )
        if now + expected_s * _RELIEF_MARGIN > waiter.deadline_at:
            self._displace(target)

    def _make_room(self, waiter: Waiter) -> None:
        """Cancel one background stream for an urgent request that waits."""
        if waiter.call.priority is not Priority.URGENT:
            return
        for _, holders in self._list_holders(waiter.call):
            for target in holders:
                if not target.is_ejected and self._displace(target):
                    return

    def _displace(self, target: Target) -> bool:
        slot = target.find_displaceable()
        if slot is None:
            return False
        metrics.record_displacement()
        displace, slot.displace = slot.displace, None
        slot.displaced = True
        slot.call.cancellations += 1
        events.log(
            _log,
            RoutingEvent.BACKGROUND_CANCELLED,
            request=slot.call.request,
            target=target.view.info.target,
        )
        displace()
        return True

    def _explain_expiry(self, call: Call) -> RoutingRefused:
        if next(self._list_holders(call), None) is None:
            return ItemNotLoaded(
                f"no target had {call.item!r} loaded before the deadline",
                "send it again after the time in Retry-After; its load "
                "has been asked for",
                _LOAD_RETRY,
            )
        return DeadlinePassed(
            "the deadline passed while the request waited for a place",
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


def _item_of(model: str) -> ItemName:
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
        "limit": target.limit.limit,
        "ejection": target.ejection.state.value,
        "failures": target.ejection.failures,
        "retry_budget": target.retries.tokens,
        "first_token_s": target.speed.first_token_s(now),
        "between_tokens_s": target.speed.between_s,
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
) -> Router:
    """Return the router of a VM that stands in the given domain."""
    return Router(
        membership,
        sheet,
        clock,
        settings,
        rng,
        targets_settings,
        failure_domain,
        region,
    )
