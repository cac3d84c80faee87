"""The placement service of the daemon.

Every VM takes part in the lease and reports demand. The lease holder keeps
the memory ledger of its failure domain, plans loads and unloads, and sends
them to engines as orders. Each order is first recorded at a majority of the
domain's VMs, and the lease is checked before each send.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
import msgspec
from opentelemetry.metrics import Observation
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import LeaseLost
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.records import LoadsBody
from dotterelbridge.membership.records import PauseBody
from dotterelbridge.membership.service import Membership
from dotterelbridge.membership.view import Fencing
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.placement.demand import DemandSource
from dotterelbridge.placement.demand_collection import DemandCollector
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.inventories import InventoryReader
from dotterelbridge.placement.lease import REBUILDING_KEY
from dotterelbridge.placement.lease import create_lease
from dotterelbridge.placement.ledger import AcceleratorState
from dotterelbridge.placement.ledger import LoadRefused
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.placement.ledger import OpenOrder
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.messages import PlacementState
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.pacing import WantedLoads
from dotterelbridge.placement.plan_input import PlanInputBuilder
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlannedLoad
from dotterelbridge.placement.policy import create_policy
from dotterelbridge.placement.sender import OrderSender
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.state_exchange import StateExchange
from dotterelbridge.placement.term_state import Drain
from dotterelbridge.placement.term_state import Move
from dotterelbridge.placement.term_state import QueuedLoad
from dotterelbridge.placement.term_state import TermState
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction
from dotterelbridge.targets.engine import OrderStatus

STEP_INTERVAL = timedelta(milliseconds=200)
QUEUED_LOAD_MAX_AGE_S = 120.0
"""A queued load that finds no free memory for this long is replanned."""

KEPT_MOVES_COUNT = 50

_log = structlog.get_logger(__name__)


class Placement(Dumpable):
    """The placement service of one VM."""

    def __init__(
        self,
        settings: PlacementSettings,
        network: PeerNetwork,
        own_vm: VmInfo,
        vms: Sequence[VmInfo],
        membership: Membership,
        engines: Mapping[TargetId, Engine],
        sheet: SheetSource,
        demand: DemandSource,
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._own_vm = own_vm
        self._membership = membership
        self._engines = self._choose_engines(engines)
        self._sheet = sheet
        self._clock = clock
        members = [
            v.vm for v in vms if v.failure_domain == own_vm.failure_domain
        ]
        self.lease = create_lease(settings, network, members, clock, random)
        self._demand_collector = DemandCollector(
            settings, network, self.lease, demand, clock
        )
        self._plan_input_builder = PlanInputBuilder(
            settings,
            membership,
            self._demand_collector,
            own_vm.failure_domain,
            self._is_leaving,
        )
        self._policy = create_policy(settings)
        self._pacer = LoadPacer(settings, random)
        self._inventories = InventoryReader(
            settings, self._engines, self._pacer, clock
        )
        self._sender = OrderSender(
            settings,
            self.lease,
            self._engines,
            self._pacer,
            self._is_leaving,
            clock,
            random,
        )
        self._term_state: TermState | None = None
        self._moves: list[Move] = []
        self._unreachable: dict[ItemName, str] = {}
        self.last_plan_duration_s = 0.0
        """Duration of the last run of the policy."""
        self._states = StateExchange(
            network,
            self.lease,
            own_vm,
            vms,
            membership.list_domains,
            self._create_state,
        )
        sheet.subscribe(self._handle_sheet_change)
        metrics.meter.create_observable_gauge(
            "dotterelbridge.placement.memory",
            callbacks=[self._observe_memory],
            unit="MiBy",
            description="Accelerator memory at the lease holder, by target "
            "and kind: committed, free",
        )

    # Queries and commands of operators.

    @property
    def term_state(self) -> TermState | None:
        """State of the current term, while this VM holds the lease."""
        return self._term_state if self.lease.is_held() else None

    @property
    def paused(self) -> bool:
        """Whether operators paused the moves of this domain."""
        domain = self._own_vm.failure_domain
        body = self._membership.find_body(domain, "s", domain)
        return bool(body and body.paused)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the moves of all domains."""
        for domain in self._membership.list_domains():
            self._membership.publish(domain, domain, PauseBody(paused=paused))
        event = (
            PlacementEvent.MOVES_PAUSED
            if paused
            else PlacementEvent.MOVES_RESUMED
        )
        events.log(_log, event)

    def list_moves(self) -> list[Move]:
        """Return the most recent loads and unloads that this VM ordered."""
        return list(self._moves)

    @property
    def sheet(self) -> SheetRevision:
        """The sheet revision that placement follows."""
        return self._sheet.get_active_sheet()

    async def fetch_states(self) -> list[PlacementState]:
        """Return the state of each failure domain, the local one first.

        Other domains that cannot be reached are left out.
        """
        return await self._states.fetch_all()

    def dump(self) -> dict[str, Any]:
        term_state = self.term_state
        state = {
            "lease": self.lease.dump(),
            "demand": self._demand_collector.dump(),
            "paused": self.paused,
            "pacing": self._pacer.dump(),
            "planning_ms": round(self.last_plan_duration_s * 1000, 3),
            "moves": [msgspec.to_builtins(move) for move in self._moves],
        }
        if term_state is None:
            return state
        return state | {
            "ledger": msgspec.to_builtins(term_state.ledger.describe()),
            "planned_loads": [
                {
                    "target": queued_load.planned.target,
                    "item": get_item_key(queued_load.planned.item),
                    "reason": queued_load.planned.reason,
                }
                for queued_load in term_state.queued_loads.values()
            ],
            "draining": [
                {"target": target, "item": key, "reason": drain.reason}
                for (target, key), drain in term_state.drains.items()
            ],
            "unreachable": dict(term_state.plan.unreachable),
            "absent": dict(term_state.plan.absent),
        }

    # Main loop.

    async def run(self) -> None:
        """Take part in the lease and run placement while holding it."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lease.run)
                tasks.start_soon(self._demand_collector.run)
                tasks.start_soon(self._run_terms)
        finally:
            await self.lease.release()

    async def _run_terms(self) -> None:
        while True:
            if not self.lease.is_held():
                await self._clock.sleep(STEP_INTERVAL)
                continue
            try:
                async with anyio.create_task_group() as tasks:
                    await self._run_term(tasks)
                    tasks.cancel_scope.cancel()
            except* LeaseLost:
                pass
            self._term_state = None
            await self._clock.sleep(STEP_INTERVAL)

    async def _run_term(self, tasks: anyio.abc.TaskGroup) -> None:
        term_state = self._start_term()
        await self._inventories.fetch_all(term_state)
        self._restore_drains(term_state, self._clock.monotonic())
        while self.lease.is_held() and self.lease.term == term_state.term:
            floor = self._find_term_floor(term_state)
            if floor is not None:
                await self._raise_term(floor)
                return
            await self._run_step(tasks, term_state)
            await self._clock.sleep(STEP_INTERVAL)

    def _start_term(self) -> TermState:
        now = self._clock.monotonic()
        ledger = MemoryLedger(
            {t: self._get_fencing(t) for t in self._engines},
            self._settings.kv_room_percent,
            self._settings.order_late_limit_s,
            self._settings.inventory_max_age_s,
        )
        entries = [
            value
            for key, value in self.lease.record.entries.items()
            if key != REBUILDING_KEY
        ]
        own_domain = self._own_vm.failure_domain
        ledger.restore(
            entries,
            now,
            record_lost=self.lease.record_lost,
            had_earlier_holder=self._membership.find_body(
                own_domain, "l", own_domain
            )
            is not None,
        )
        self._term_state = TermState(self.lease.term, ledger)
        return self._term_state

    def _restore_drains(self, term_state: TermState, now: float) -> None:
        """Resume the drains of earlier terms."""
        domain = self._own_vm.failure_domain
        for target in self._engines:
            body = self._membership.find_body(domain, "d", target)
            for key in body.items if body else ():
                term_state.drains[target, key] = Drain(
                    "drained in an earlier term", now
                )
            accelerator = term_state.ledger.accelerators[target]
            for key in accelerator.list_pending_unloads():
                term_state.drains[target, key] = Drain(
                    "unload ordered in an earlier term", now
                )

    async def _run_step(
        self, tasks: anyio.abc.TaskGroup, term_state: TermState
    ) -> None:
        """Run one step of the lease holder's work."""
        now = self._clock.monotonic()
        self._inventories.start_due_fetches(tasks, term_state, now)
        await self._drop_expired(term_state, now)
        await self._finish_rebuild(term_state, now)
        self._remove_finished_drains(term_state)
        if self.paused:
            self._sender.resend_due_orders(tasks, term_state, now)
            return
        self._plan_if_due(term_state, now)
        self._update_load_limits(term_state)
        self._raise_fencing_numbers(tasks, term_state, now)
        open_orders = self._open_unloads(term_state, now)
        open_orders += self._open_loads(term_state, now)
        await self._sender.record_and_send(tasks, term_state, open_orders)
        self._sender.resend_due_orders(tasks, term_state, now)

    # Terms and the order record.

    def _find_term_floor(self, term_state: TermState) -> int | None:
        """Return the number that the holder's term must exceed, if any."""
        term = term_state.term
        for accelerator in term_state.ledger.accelerators.values():
            if accelerator.fencing_number > term:
                return accelerator.fencing_number
            if accelerator.needs_higher_fencing_number(term):
                return term
        return None

    async def _raise_term(self, floor: int) -> None:
        events.log(_log, PlacementEvent.TERM_RAISED, seen=floor)
        await self.lease.campaign(self.lease.compute_term_floor(floor))

    async def _drop_expired(self, term_state: TermState, now: float) -> None:
        expired = term_state.ledger.remove_expired_orders(now)
        for order in expired:
            if not (order.was_seen_ready or order.settled_incarnation):
                events.log(
                    _log,
                    PlacementEvent.ORDER_EXPIRED,
                    target=order.target,
                    order=order.order.order_id,
                    item=order.key,
                )
        keys = [
            order.record_key for order in expired
        ] + term_state.obsolete_record_keys
        if keys:
            term_state.obsolete_record_keys = []
            await self.lease.write_record(
                [RecordChange(key, None) for key in keys]
            )

    async def _finish_rebuild(self, term_state: TermState, now: float) -> None:
        if self.lease.record_lost and not term_state.ledger.is_rebuilding(now):
            await self.lease.finish_rebuild()

    # Planning.

    def _plan_if_due(self, term_state: TermState, now: float) -> None:
        interval_s = self._settings.plan_interval_ms / 1000
        replan_interval_s = self._settings.replan_interval_ms / 1000
        age_s = now - term_state.planned_at
        if age_s < interval_s or not (
            term_state.plan_outdated or age_s >= replan_interval_s
        ):
            return
        # Before the first sheet, nothing says which items are unwanted.
        if self.sheet.revision == EMPTY_SHEET.revision:
            return
        term_state.plan_outdated = False
        term_state.planned_at = now
        self._drop_obsolete_loads(term_state, now)
        started = self._clock.monotonic()
        plan = self._policy.plan(
            self._plan_input_builder.create(term_state, self.sheet, now)
        )
        self.last_plan_duration_s = self._clock.monotonic() - started
        self._apply_plan(term_state, plan, now)

    def _drop_obsolete_loads(self, term_state: TermState, now: float) -> None:
        """Drop queued loads that are done, stale, unwanted or backed off."""
        wanted = {f"{r.name}@{r.version}" for r in self.sheet.rows}
        for location, queued_load in list(term_state.queued_loads.items()):
            target, key = location
            accelerator = term_state.ledger.accelerators[target]
            is_stale = now - queued_load.created_at > QUEUED_LOAD_MAX_AGE_S
            is_done = key in accelerator.copies
            is_unwanted = key not in wanted or self._is_leaving(accelerator)
            backed_off = self._pacer.is_backed_off(target, key, now)
            if is_stale or is_done or is_unwanted or backed_off:
                del term_state.queued_loads[location]

    def _apply_plan(
        self, term_state: TermState, plan: Plan, now: float
    ) -> None:
        term_state.plan = plan
        for target, key in plan.cancelled_drains:
            term_state.drains.pop((target, key), None)
            self._publish_drains(term_state, target)
        for unload in plan.unloads:
            location = (unload.target, unload.key)
            term_state.queued_loads.pop(location, None)
            term_state.drains.setdefault(location, Drain(unload.reason, now))
            self._publish_drains(term_state, unload.target)
        for load in plan.loads:
            queued_load = QueuedLoad(load, now)
            if not self._pacer.is_backed_off(*queued_load.location, now):
                term_state.queued_loads.setdefault(
                    queued_load.location, queued_load
                )
        self._log_unreachable(plan)

    def _log_unreachable(self, plan: Plan) -> None:
        for name, reason in plan.unreachable.items():
            if self._unreachable.get(name) != reason:
                events.log(
                    _log,
                    PlacementEvent.ITEM_UNREACHABLE,
                    item=name,
                    reason=reason,
                )
        self._unreachable = dict(plan.unreachable)

    def _update_load_limits(self, term_state: TermState) -> None:
        """Publish the loads that this domain wants and update its limits."""
        items = [
            o.order.item for o in term_state.ledger.list_loads_in_transit()
        ]
        items += [q.planned.item for q in term_state.queued_loads.values()]
        adapters = sum(item.kind is ItemKind.ADAPTER for item in items)
        wanted = LoadsBody(
            wanting=len(items) - adapters, adapters_wanting=adapters
        )
        own_domain = self._own_vm.failure_domain
        published = self._membership.find_body(own_domain, "l", own_domain)
        if published or items:
            self._membership.publish(own_domain, own_domain, wanted)
        other_domains = [
            self._get_wanted_loads(domain)
            for domain in self._membership.list_domains()
            if domain != own_domain
        ]
        self._pacer.update_limits(
            wanted.wanting, wanted.adapters_wanting, other_domains
        )

    def _get_wanted_loads(self, domain: str) -> WantedLoads:
        body = self._membership.find_body(domain, "l", domain)
        return WantedLoads(
            is_reachable=self._membership.is_domain_reachable(domain),
            models_wanted=body.wanting if body else 0,
            adapters_wanted=body.adapters_wanting if body else 0,
        )

    # Drains and unloads.

    def _publish_drains(self, term_state: TermState, target: TargetId) -> None:
        keys = [key for drained, key in term_state.drains if drained == target]
        self._membership.set_draining(target, keys)

    def _remove_finished_drains(self, term_state: TermState) -> None:
        """Remove the drains of copies that are gone."""
        for location in list(term_state.drains):
            accelerator = term_state.ledger.accelerators[location[0]]
            has_inventory = accelerator.inventory_at > float("-inf")
            if has_inventory and location[1] not in accelerator.copies:
                del term_state.drains[location]
                self._publish_drains(term_state, location[0])

    def _open_unloads(
        self, term_state: TermState, now: float
    ) -> list[OpenOrder]:
        open_orders = []
        for (target, key), drain in term_state.drains.items():
            accelerator = term_state.ledger.accelerators[target]
            copy = accelerator.copies.get(key)
            if copy is None or not self._is_drained(accelerator, key, drain):
                continue
            if accelerator.has_pending(OrderAction.UNLOAD, key):
                continue
            order = self._sender.create_order(
                term_state, OrderAction.UNLOAD, copy.item
            )
            open_orders.append(
                term_state.ledger.open_unload(target, order, now)
            )
            self._append_move("unload", copy.item, target, drain.reason)
        return open_orders

    def _is_drained(
        self, accelerator: AcceleratorState, key: str, drain: Drain
    ) -> bool:
        """Whether the copy gets no new work and runs no requests."""
        copy = accelerator.copies[key]
        notice_ended_at = drain.started_at + self._settings.drain_notice_s
        return (
            copy.state is LoadState.READY
            and copy.running == 0
            and accelerator.inventory_at >= notice_ended_at
        )

    # Loads.

    def _raise_fencing_numbers(
        self, tasks: anyio.abc.TaskGroup, term_state: TermState, now: float
    ) -> None:
        """Send this term's fencing number to engines that need it.

        The order sets the role that the engine already has. Its only effect
        is to raise the highest number that the engine has seen, so that the
        engine refuses the orders of earlier holders.
        """
        targets = {location[0] for location in term_state.queued_loads}
        targets |= {location[0] for location in term_state.drains}
        targets |= {
            o.target for o in term_state.ledger.list_loads_in_transit()
        }
        for target in sorted(targets):
            accelerator = term_state.ledger.accelerators[target]
            fencing_sent_at = term_state.fencing_sent_at.get(
                target, float("-inf")
            )
            was_sent_recently = (
                now - fencing_sent_at < self._settings.order_resend_s
            )
            has_inventory = accelerator.inventory_at > float("-inf")
            needs_update = term_state.ledger.needs_fencing_update(
                target, term_state.term
            )
            if was_sent_recently or not has_inventory or not needs_update:
                continue
            term_state.fencing_sent_at[target] = now
            order = self._sender.create_order(
                term_state,
                OrderAction.CHANGE_ROLE,
                None,
                role=accelerator.role,
            )
            tasks.start_soon(
                self._send_fencing_order, term_state, target, order
            )

    async def _send_fencing_order(
        self, term_state: TermState, target: TargetId, order: EngineOrder
    ) -> None:
        answer = await self._sender.send_order(term_state, target, order)
        if answer is not None and answer.status in (
            OrderStatus.ACCEPTED,
            OrderStatus.DUPLICATE,
        ):
            await self._inventories.fetch(term_state, target)

    def _open_loads(
        self, term_state: TermState, now: float
    ) -> list[OpenOrder]:
        in_transit = self._count_loads_in_transit(term_state)
        open_orders = []
        queued_loads = sorted(
            term_state.queued_loads.values(), key=lambda q: q.planned.sort_key
        )
        for queued_load in queued_loads:
            kind = queued_load.planned.item.kind
            if not self._pacer.is_load_allowed(kind, in_transit[kind], now):
                continue
            order = self._open_load(term_state, queued_load, now)
            if order is None:
                continue
            del term_state.queued_loads[queued_load.location]
            in_transit[kind] += 1
            self._pacer.count_load(kind, now)
            open_orders.append(order)
        return open_orders

    def _count_loads_in_transit(
        self, term_state: TermState
    ) -> dict[ItemKind, int]:
        counts = {ItemKind.MODEL: 0, ItemKind.ADAPTER: 0}
        for order in term_state.ledger.list_loads_in_transit():
            counts[order.order.item.kind] += 1
        return counts

    def _open_load(
        self, term_state: TermState, queued_load: QueuedLoad, now: float
    ) -> OpenOrder | None:
        load = queued_load.planned
        accelerator = term_state.ledger.accelerators[load.target]
        if self._is_leaving(accelerator) or not self._has_base(
            accelerator, load
        ):
            return None
        order = self._sender.create_order(
            term_state, OrderAction.LOAD, load.item
        )
        try:
            open_order = term_state.ledger.open_load(load.target, order, now)
        except LoadRefused:
            return None
        self._append_move("load", load.item, load.target, load.reason)
        return open_order

    def _has_base(
        self, accelerator: AcceleratorState, load: PlannedLoad
    ) -> bool:
        if load.item.kind is not ItemKind.ADAPTER:
            return True
        return any(
            copy.item.name == load.item.base and copy.state is LoadState.READY
            for copy in accelerator.copies.values()
        )

    def _create_state(self) -> PlacementState:
        term_state = self.term_state
        domain = self._own_vm.failure_domain
        if term_state is None:
            return PlacementState(domain=domain, paused=self.paused)
        last = self._moves[-1] if self._moves else None
        return PlacementState(
            domain=domain,
            holder=self._own_vm.vm,
            paused=self.paused,
            targets=tuple(term_state.ledger.describe()),
            unreachable=term_state.plan.unreachable,
            absent=term_state.plan.absent,
            last_move=last.describe() if last else "",
        )

    def _append_move(
        self, action: str, item: EngineItem, target: TargetId, reason: str
    ) -> None:
        self._moves.append(
            Move(
                at=self._clock.now().isoformat(),
                action=action,
                item=get_item_key(item),
                target=target,
                reason=reason,
            )
        )
        del self._moves[:-KEPT_MOVES_COUNT]

    def _is_leaving(self, accelerator: AcceleratorState) -> bool:
        view = self._membership.get_targets()[accelerator.target]
        return accelerator.leaving or view.state is MemberState.LEAVING

    def _choose_engines(
        self, engines: Mapping[TargetId, Engine]
    ) -> dict[TargetId, Engine]:
        own_domain = self._own_vm.failure_domain
        views = self._membership.get_targets()
        return {
            target: engine
            for target, engine in sorted(engines.items())
            if views[target].info.failure_domain == own_domain
        }

    def _get_fencing(self, target: TargetId) -> Fencing:
        return self._membership.get_targets()[target].info.fencing

    def _observe_memory(self, _options: object) -> list[Observation]:
        term_state = self._term_state
        if term_state is None:
            return []
        return [
            observation
            for accelerator in list(term_state.ledger.accelerators.values())
            for observation in (
                Observation(
                    accelerator.committed_mb,
                    {"target": accelerator.target, "kind": "committed"},
                ),
                Observation(
                    accelerator.free_mb,
                    {"target": accelerator.target, "kind": "free"},
                ),
            )
        ]

    def _handle_sheet_change(self, revision: SheetRevision) -> None:
        if self._term_state is not None:
            self._term_state.plan_outdated = True


def create_placement(
    settings: PlacementSettings,
    network: PeerNetwork,
    own_vm: VmInfo,
    vms: Sequence[VmInfo],
    membership: Membership,
    engines: Mapping[TargetId, Engine],
    sheet: SheetSource,
    demand: DemandSource,
    clock: Clock,
    random: random_module.Random,
) -> Placement:
    """Return the placement service of one daemon.

    :param vms: all entry VMs; those of the own failure domain grant the
        lease.
    :param engines: at least the engines of the own failure domain.
    """
    return Placement(
        settings,
        network,
        own_vm,
        vms,
        membership,
        engines,
        sheet,
        demand,
        clock,
        random,
    )
