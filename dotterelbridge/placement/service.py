"""The placement part of the daemon.

Every VM takes part in the lease and reports demand. The lease holder
keeps the memory ledger of its failure domain, plans, and sends orders:
recorded by a majority first, with the lease checked before each one.
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
from dotterelbridge.placement.demand_collection import DemandGatherer
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.inventories import InventoryReader
from dotterelbridge.placement.lease import REBUILDING_KEY
from dotterelbridge.placement.lease import create_lease
from dotterelbridge.placement.ledger import Account
from dotterelbridge.placement.ledger import LoadRefused
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.placement.ledger import OpenOrder
from dotterelbridge.placement.ledger import get_item_key
from dotterelbridge.placement.messages import PlacementState
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.pacing import DomainWish
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.plan_input import PlanInputBuilder
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlannedLoad
from dotterelbridge.placement.policy import create_policy
from dotterelbridge.placement.sender import OrderSender
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.state_exchange import StateExchange
from dotterelbridge.placement.term_state import Drain
from dotterelbridge.placement.term_state import Holding
from dotterelbridge.placement.term_state import Intent
from dotterelbridge.placement.term_state import Move
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction
from dotterelbridge.targets.engine import OrderStatus

TICK = timedelta(milliseconds=200)
INTENT_MAX_AGE_S = 120.0
"""A planned load that found no room for so long is planned anew."""

MOVES_KEPT = 50

_log = structlog.get_logger(__name__)


class Placement(Dumpable):
    """Placement on one VM."""

    def __init__(
        self,
        settings: PlacementSettings,
        network: PeerNetwork,
        own: VmInfo,
        vms: Sequence[VmInfo],
        membership: Membership,
        engines: Mapping[TargetId, Engine],
        sheet: SheetSource,
        demand: DemandSource,
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._own = own
        self._membership = membership
        self._engines = self._choose_engines(engines)
        self._sheet = sheet
        self._clock = clock
        members = [v.vm for v in vms if v.failure_domain == own.failure_domain]
        self.lease = create_lease(settings, network, members, clock, random)
        self._gatherer = DemandGatherer(
            settings, network, self.lease, demand, clock
        )
        self._plan_input = PlanInputBuilder(
            settings,
            membership,
            self._gatherer,
            own.failure_domain,
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
        self._holding: Holding | None = None
        self._moves: list[Move] = []
        self._unreachable: dict[ItemName, str] = {}
        self.planning_s = 0.0
        """Time that the last plan took."""
        self._states = StateExchange(
            network,
            self.lease,
            own,
            vms,
            membership.domains,
            self._create_state,
        )
        sheet.subscribe(self._note_sheet)
        metrics.meter.create_observable_gauge(
            "dotterelbridge.placement.memory",
            callbacks=[self._observe_memory],
            unit="MiBy",
            description="Accelerator memory at the lease holder, by target "
            "and kind: committed, free",
        )

    # What operators ask.

    @property
    def holding(self) -> Holding | None:
        """The present term, while this VM holds the lease."""
        return self._holding if self.lease.is_held() else None

    @property
    def paused(self) -> bool:
        """Whether operators paused the moves of this domain."""
        domain = self._own.failure_domain
        body = self._membership.find_body(domain, "s", domain)
        return bool(body and body.paused)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the moves of all domains."""
        for domain in self._membership.domains():
            self._membership.publish(domain, domain, PauseBody(paused=paused))
        event = (
            PlacementEvent.MOVES_PAUSED
            if paused
            else PlacementEvent.MOVES_RESUMED
        )
        events.log(_log, event)

    def moves(self) -> list[Move]:
        """Return the newest moves that this VM ordered."""
        return list(self._moves)

    @property
    def sheet(self) -> SheetRevision:
        """The sheet that placement follows."""
        return self._sheet.current()

    async def fetch_states(self) -> list[PlacementState]:
        """Return what each failure domain's holder knows, own first.

        A domain that cannot be asked is left out.
        """
        return await self._states.fetch_all()

    def dump(self) -> dict[str, Any]:
        holding = self.holding
        state = {
            "lease": self.lease.dump(),
            "demand": self._gatherer.dump(),
            "paused": self.paused,
            "pacing": self._pacer.dump(),
            "planning_ms": round(self.planning_s * 1000, 3),
            "moves": [msgspec.to_builtins(move) for move in self._moves],
        }
        if holding is None:
            return state
        return state | {
            "ledger": msgspec.to_builtins(holding.ledger.describe()),
            "planned_loads": [
                {
                    "target": intent.load.target,
                    "item": get_item_key(intent.load.item),
                    "reason": intent.load.reason,
                }
                for intent in holding.intents.values()
            ],
            "draining": [
                {"target": target, "item": key, "reason": drain.reason}
                for (target, key), drain in holding.drains.items()
            ],
            "unreachable": dict(holding.plan.unreachable),
            "absent": dict(holding.plan.absent),
        }

    # Running.

    async def run(self) -> None:
        """Take part in the lease and place while it is held."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lease.run)
                tasks.start_soon(self._gatherer.run)
                tasks.start_soon(self._place)
        finally:
            await self.lease.release()

    async def _place(self) -> None:
        while True:
            if not self.lease.is_held():
                await self._clock.sleep(TICK)
                continue
            try:
                async with anyio.create_task_group() as tasks:
                    await self._serve_term(tasks)
                    tasks.cancel_scope.cancel()
            except* LeaseLost:
                pass
            self._holding = None
            await self._clock.sleep(TICK)

    async def _serve_term(self, tasks: anyio.abc.TaskGroup) -> None:
        holding = self._start_term()
        await self._inventories.ask_all(holding)
        self._adopt_drains(holding, self._clock.monotonic())
        while self.lease.is_held() and self.lease.term == holding.term:
            floor = self._find_higher_fence(holding)
            if floor is not None:
                await self._raise_term(floor)
                return
            await self._step(tasks, holding)
            await self._clock.sleep(TICK)

    def _start_term(self) -> Holding:
        now = self._clock.monotonic()
        ledger = MemoryLedger(
            {t: self._fencing_of(t) for t in self._engines},
            self._settings.kv_room_percent,
            self._settings.order_late_limit_s,
            self._settings.inventory_max_age_s,
        )
        entries = [
            value
            for key, value in self.lease.record.entries.items()
            if key != REBUILDING_KEY
        ]
        own = self._own.failure_domain
        ledger.restore(
            entries,
            now,
            record_lost=self.lease.record_lost,
            has_past=self._membership.find_body(own, "l", own) is not None,
        )
        self._holding = Holding(self.lease.term, ledger)
        return self._holding

    def _adopt_drains(self, holding: Holding, now: float) -> None:
        """Go on with the drains of the holder before."""
        domain = self._own.failure_domain
        for target in self._engines:
            body = self._membership.find_body(domain, "d", target)
            for key in body.items if body else ():
                holding.drains[target, key] = Drain("drained before", now)
            account = holding.ledger.accounts[target]
            for key in account.pending_unloads():
                holding.drains[target, key] = Drain("unload ordered", now)

    async def _step(
        self, tasks: anyio.abc.TaskGroup, holding: Holding
    ) -> None:
        """Do one round of the holder's work."""
        now = self._clock.monotonic()
        self._inventories.ask_due(tasks, holding, now)
        await self._drop_expired(holding, now)
        await self._finish_rebuild(holding, now)
        self._end_drains(holding)
        if self.paused:
            self._sender.resend(tasks, holding, now)
            return
        self._plan_if_due(holding, now)
        self._share_pace(holding)
        self._claim(tasks, holding, now)
        opened = self._open_unloads(holding, now)
        opened += self._open_loads(holding, now)
        await self._sender.record_and_send(tasks, holding, opened)
        self._sender.resend(tasks, holding, now)

    # Terms and the record.

    def _find_higher_fence(self, holding: Holding) -> int | None:
        """Return the number that this holder's term must exceed, if any."""
        term = holding.term
        for account in holding.ledger.accounts.values():
            if account.fencing_number > term:
                return account.fencing_number
            if account.has_revenants(term):
                return term
        return None

    async def _raise_term(self, floor: int) -> None:
        events.log(_log, PlacementEvent.TERM_RAISED, seen=floor)
        await self.lease.campaign(self.lease.floor_above(floor))

    async def _drop_expired(self, holding: Holding, now: float) -> None:
        expired = holding.ledger.expire(now)
        for order in expired:
            if not (order.seen_ready or order.settled_in):
                events.log(
                    _log,
                    PlacementEvent.ORDER_EXPIRED,
                    target=order.target,
                    order=order.order.order_id,
                    item=order.key,
                )
        keys = [order.record_key for order in expired] + holding.unrecorded
        if keys:
            holding.unrecorded = []
            await self.lease.write_record(
                [RecordChange(key, None) for key in keys]
            )

    async def _finish_rebuild(self, holding: Holding, now: float) -> None:
        if self.lease.record_lost and not holding.ledger.is_rebuilding(now):
            await self.lease.finish_rebuild()

    # Planning.

    def _plan_if_due(self, holding: Holding, now: float) -> None:
        interval_s = self._settings.plan_interval_ms / 1000
        slow_s = self._settings.replan_interval_ms / 1000
        age_s = now - holding.planned_at
        if age_s < interval_s or not (holding.dirty or age_s >= slow_s):
            return
        # Without a sheet nothing says that what is loaded is not wanted.
        if self.sheet.revision == EMPTY_SHEET.revision:
            return
        holding.dirty = False
        holding.planned_at = now
        self._drop_intents(holding, now)
        started = self._clock.monotonic()
        plan = self._policy.plan(
            self._plan_input.create(holding, self.sheet, now)
        )
        self.planning_s = self._clock.monotonic() - started
        self._take_plan(holding, plan, now)

    def _drop_intents(self, holding: Holding, now: float) -> None:
        """Forget planned loads that are done, stale or off the sheet."""
        wanted = {f"{r.name}@{r.version}" for r in self.sheet.rows}
        for place, intent in list(holding.intents.items()):
            target, key = place
            account = holding.ledger.accounts[target]
            is_stale = now - intent.created_at > INTENT_MAX_AGE_S
            is_done = key in account.copies
            is_moot = key not in wanted or self._is_leaving(account)
            backed_off = self._pacer.is_backed_off(target, key, now)
            if is_stale or is_done or is_moot or backed_off:
                del holding.intents[place]

    def _take_plan(self, holding: Holding, plan: Plan, now: float) -> None:
        holding.plan = plan
        for target, key in plan.revived:
            holding.drains.pop((target, key), None)
            self._publish_drains(holding, target)
        for unload in plan.unloads:
            place = (unload.target, unload.key)
            holding.intents.pop(place, None)
            holding.drains.setdefault(place, Drain(unload.reason, now))
            self._publish_drains(holding, unload.target)
        for load in plan.loads:
            intent = Intent(load, now)
            if not self._pacer.is_backed_off(*intent.place, now):
                holding.intents.setdefault(intent.place, intent)
        self._note_unreachable(plan)

    def _note_unreachable(self, plan: Plan) -> None:
        for name, reason in plan.unreachable.items():
            if self._unreachable.get(name) != reason:
                events.log(
                    _log,
                    PlacementEvent.ITEM_UNREACHABLE,
                    item=name,
                    reason=reason,
                )
        self._unreachable = dict(plan.unreachable)

    def _share_pace(self, holding: Holding) -> None:
        """State this domain's wish and take its share of the pace."""
        items = [o.order.item for o in holding.ledger.loads_in_transit()]
        items += [i.load.item for i in holding.intents.values()]
        adapters = sum(item.kind is ItemKind.ADAPTER for item in items)
        wish = LoadsBody(
            wanting=len(items) - adapters, adapters_wanting=adapters
        )
        own = self._own.failure_domain
        known = self._membership.find_body(own, "l", own)
        if known or items:
            self._membership.publish(own, own, wish)
        others = [
            self._find_wish(domain)
            for domain in self._membership.domains()
            if domain != own
        ]
        self._pacer.set_shares(wish.wanting, wish.adapters_wanting, others)

    def _find_wish(self, domain: str) -> DomainWish:
        body = self._membership.find_body(domain, "l", domain)
        return DomainWish(
            heard=self._membership.is_domain_heard(domain),
            wanting=body.wanting if body else 0,
            adapters_wanting=body.adapters_wanting if body else 0,
        )

    # Drains and unloads.

    def _publish_drains(self, holding: Holding, target: TargetId) -> None:
        keys = [key for place, key in holding.drains if place == target]
        self._membership.set_draining(target, keys)

    def _end_drains(self, holding: Holding) -> None:
        """Forget the drains of copies that are gone."""
        for place in list(holding.drains):
            account = holding.ledger.accounts[place[0]]
            known = account.inventory_at > float("-inf")
            if known and place[1] not in account.copies:
                del holding.drains[place]
                self._publish_drains(holding, place[0])

    def _open_unloads(self, holding: Holding, now: float) -> list[OpenOrder]:
        opened = []
        for (target, key), drain in holding.drains.items():
            account = holding.ledger.accounts[target]
            copy = account.copies.get(key)
            if copy is None or not self._is_drained(account, key, drain):
                continue
            if account.has_pending(OrderAction.UNLOAD, key):
                continue
            order = self._sender.create_order(
                holding, OrderAction.UNLOAD, copy.item
            )
            opened.append(holding.ledger.open_unload(target, order, now))
            self._note_move("unload", copy.item, target, drain.reason)
        return opened

    def _is_drained(self, account: Account, key: str, drain: Drain) -> bool:
        """Whether no VM sends new work and none runs any more."""
        copy = account.copies[key]
        notice_ended_at = drain.started_at + self._settings.drain_notice_s
        return (
            copy.state is LoadState.READY
            and copy.running == 0
            and account.inventory_at >= notice_ended_at
        )

    # Loads.

    def _claim(
        self, tasks: anyio.abc.TaskGroup, holding: Holding, now: float
    ) -> None:
        """Give this term's fencing number to engines that need it.

        The order is a change to the role that the engine has, so it
        changes nothing but the highest number seen, which kills the
        orders of earlier holders.
        """
        targets = {place[0] for place in holding.intents}
        targets |= {place[0] for place in holding.drains}
        targets |= {o.target for o in holding.ledger.loads_in_transit()}
        for target in sorted(targets):
            account = holding.ledger.accounts[target]
            claimed_at = holding.claimed_at.get(target, float("-inf"))
            recent = now - claimed_at < self._settings.order_resend_s
            known = account.inventory_at > float("-inf")
            needed = holding.ledger.needs_claim(target, holding.term)
            if recent or not known or not needed:
                continue
            holding.claimed_at[target] = now
            order = self._sender.create_order(
                holding, OrderAction.CHANGE_ROLE, None, role=account.role
            )
            tasks.start_soon(self._send_claim, holding, target, order)

    async def _send_claim(
        self, holding: Holding, target: TargetId, order: EngineOrder
    ) -> None:
        answer = await self._sender.exchange(holding, target, order)
        if answer is not None and answer.status in (
            OrderStatus.ACCEPTED,
            OrderStatus.DUPLICATE,
        ):
            await self._inventories.ask(holding, target)

    def _open_loads(self, holding: Holding, now: float) -> list[OpenOrder]:
        in_transit = self._count_transit(holding)
        opened = []
        intents = sorted(
            holding.intents.values(), key=lambda i: i.load.urgency
        )
        for intent in intents:
            kind = intent.load.item.kind
            if not self._pacer.may_load(kind, in_transit[kind], now):
                continue
            order = self._open_load(holding, intent, now)
            if order is None:
                continue
            del holding.intents[intent.place]
            in_transit[kind] += 1
            self._pacer.note_load(kind, now)
            opened.append(order)
        return opened

    def _count_transit(self, holding: Holding) -> dict[ItemKind, int]:
        counts = {ItemKind.MODEL: 0, ItemKind.ADAPTER: 0}
        for order in holding.ledger.loads_in_transit():
            counts[order.order.item.kind] += 1
        return counts

    def _open_load(
        self, holding: Holding, intent: Intent, now: float
    ) -> OpenOrder | None:
        load = intent.load
        account = holding.ledger.accounts[load.target]
        if self._is_leaving(account) or not self._has_base(account, load):
            return None
        order = self._sender.create_order(holding, OrderAction.LOAD, load.item)
        try:
            opened = holding.ledger.open_load(load.target, order, now)
        except LoadRefused:
            return None
        self._note_move("load", load.item, load.target, load.reason)
        return opened

    def _has_base(self, account: Account, load: PlannedLoad) -> bool:
        if load.item.kind is not ItemKind.ADAPTER:
            return True
        return any(
            copy.item.name == load.item.base and copy.state is LoadState.READY
            for copy in account.copies.values()
        )

    def _create_state(self) -> PlacementState:
        holding = self.holding
        domain = self._own.failure_domain
        if holding is None:
            return PlacementState(domain=domain, paused=self.paused)
        last = self._moves[-1] if self._moves else None
        return PlacementState(
            domain=domain,
            holder=self._own.vm,
            paused=self.paused,
            targets=tuple(holding.ledger.describe()),
            unreachable=holding.plan.unreachable,
            absent=holding.plan.absent,
            last_move=last.describe() if last else "",
        )

    def _note_move(
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
        del self._moves[:-MOVES_KEPT]

    def _is_leaving(self, account: Account) -> bool:
        view = self._membership.targets()[account.target]
        return account.leaving or view.state is MemberState.LEAVING

    def _choose_engines(
        self, engines: Mapping[TargetId, Engine]
    ) -> dict[TargetId, Engine]:
        own = self._own.failure_domain
        views = self._membership.targets()
        return {
            target: engine
            for target, engine in sorted(engines.items())
            if views[target].info.failure_domain == own
        }

    def _fencing_of(self, target: TargetId) -> Fencing:
        return self._membership.targets()[target].info.fencing

    def _observe_memory(self, _options: object) -> list[Observation]:
        holding = self._holding
        if holding is None:
            return []
        return [
            observation
            for account in list(holding.ledger.accounts.values())
            for observation in (
                Observation(
                    account.committed_mb,
                    {"target": account.target, "kind": "committed"},
                ),
                Observation(
                    account.free_mb,
                    {"target": account.target, "kind": "free"},
                ),
            )
        ]

    def _note_sheet(self, revision: SheetRevision) -> None:
        if self._holding is not None:
            self._holding.dirty = True


def create_placement(
    settings: PlacementSettings,
    network: PeerNetwork,
    own: VmInfo,
    vms: Sequence[VmInfo],
    membership: Membership,
    engines: Mapping[TargetId, Engine],
    sheet: SheetSource,
    demand: DemandSource,
    clock: Clock,
    random: random_module.Random,
) -> Placement:
    """Return the placement part of one daemon.

    :param vms: all entry VMs; those of the own failure domain grant the
        lease.
    :param engines: the engines of the own failure domain at least.
    """
    return Placement(
        settings,
        network,
        own,
        vms,
        membership,
        engines,
        sheet,
        demand,
        clock,
        random,
    )
