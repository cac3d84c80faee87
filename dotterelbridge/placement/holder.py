"""The placement part of the daemon.

Every VM takes part in the lease and reports demand. The lease holder
keeps the memory ledger of its failure domain, plans, and sends orders:
recorded by a majority first, with the lease checked before each one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import LeaseLost
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import TargetConnectFailed
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import FencingNumber
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import OrderId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.membership.records import LoadsBody
from dotterelbridge.membership.records import PauseBody
from dotterelbridge.membership.service import Membership
from dotterelbridge.membership.view import Fencing
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.placement.demand import DemandSource
from dotterelbridge.placement.events import PlacementEvent
from dotterelbridge.placement.gather import DemandGatherer
from dotterelbridge.placement.lease import REBUILDING_KEY
from dotterelbridge.placement.lease import create_lease
from dotterelbridge.placement.ledger import Account
from dotterelbridge.placement.ledger import LoadRefused
from dotterelbridge.placement.ledger import MemoryLedger
from dotterelbridge.placement.ledger import OpenOrder
from dotterelbridge.placement.ledger import key_of
from dotterelbridge.placement.messages import PlacementState
from dotterelbridge.placement.messages import PlacementStateRequest
from dotterelbridge.placement.messages import RecordChange
from dotterelbridge.placement.pacing import DomainWish
from dotterelbridge.placement.pacing import LoadPacer
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import CopyView
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import PlannedLoad
from dotterelbridge.placement.policy import create_policy
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import EngineItem
from dotterelbridge.targets.engine import EngineOrder
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction
from dotterelbridge.targets.engine import OrderAnswer
from dotterelbridge.targets.engine import OrderStatus

TICK = timedelta(milliseconds=200)
INTENT_MAX_AGE_S = 120.0
"""A planned load that found no room for so long is planned anew."""

MOVES_KEPT = 50
STATE_TIMEOUT = timedelta(seconds=2)
INVENTORIES_AT_ONCE = 16

_log = structlog.get_logger(__name__)
_orders = metrics.meter.create_counter(
    "dotterelbridge.placement.orders",
    description="Orders sent to engines, by action and answer",
)


class Intent:
    """A planned load that waits for room or for its turn."""

    def __init__(self, load: PlannedLoad, created_at: float) -> None:
        self.load = load
        self.created_at = created_at

    @property
    def place(self) -> tuple[TargetId, str]:
        return self.load.target, key_of(self.load.item)


class Drain:
    """A copy that gets no new work and is unloaded once idle."""

    def __init__(self, reason: str, started_at: float) -> None:
        self.reason = reason
        self.started_at = started_at


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A move that was ordered, for operators."""

    at: str
    action: str
    item: str
    target: TargetId
    reason: str


class Holding:
    """One term of this VM as the lease holder."""

    def __init__(self, term: Term, ledger: MemoryLedger) -> None:
        self.term = term
        self.ledger = ledger
        self.intents: dict[tuple[TargetId, str], Intent] = {}
        self.drains: dict[tuple[TargetId, str], Drain] = {}
        self.sent_at: dict[OrderId, float] = {}
        self.sending: set[OrderId] = set()
        self.claimed_at: dict[TargetId, float] = {}
        self.asked_at: dict[TargetId, float] = {}
        self.asking: set[TargetId] = set()
        self.planned_at = float("-inf")
        self.plan = Plan()
        self.unrecorded: list[str] = []
        """Keys of orders that the record still has to drop."""


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
        self._policy = create_policy(settings)
        self._pacer = LoadPacer(settings, random)
        self._random = random
        self._life = f"{random.getrandbits(32):08x}"
        self._orders = 0
        """Orders made by this life, so that each has its own id."""
        self._holding: Holding | None = None
        self._moves: list[Move] = []
        self._unreachable: dict[ItemName, str] = {}
        self._dirty = True
        self.planning_s = 0.0
        """Time that the last plan took."""
        self._network = network
        self._vms = {vm.vm: vm for vm in vms}
        sheet.subscribe(self._note_sheet)
        network.handle(PlacementStateRequest, self._handle_state_request)

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
        states = [await self._fetch_own_state()]
        domains = self._membership.domains()
        domains.remove(self._own.failure_domain)
        async with anyio.create_task_group() as tasks:
            for domain in domains:
                tasks.start_soon(self._fetch_state, domain, states)
        return states

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
                    "item": key_of(intent.load.item),
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
        await self._ask_all(holding)
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
        self._dirty = True
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
        self._ask_due(tasks, holding, now)
        await self._drop_expired(holding, now)
        await self._finish_rebuild(holding, now)
        self._end_drains(holding)
        if self.paused:
            self._resend(tasks, holding, now)
            return
        self._plan_if_due(holding, now)
        self._share_pace(holding)
        self._claim(tasks, holding, now)
        opened = self._open_unloads(holding, now)
        opened += self._open_loads(holding, now)
        await self._record_and_send(tasks, holding, opened)
        self._resend(tasks, holding, now)

    # Inventories.

    async def _ask_all(self, holding: Holding) -> None:
        limiter = anyio.Semaphore(INVENTORIES_AT_ONCE)

        async def ask(target: TargetId) -> None:
            async with limiter:
                await self._ask(holding, target)

        async with anyio.create_task_group() as tasks:
            for target in self._engines:
                tasks.start_soon(ask, target)

    def _ask_due(
        self, tasks: anyio.abc.TaskGroup, holding: Holding, now: float
    ) -> None:
        for target in self._engines:
            if target in holding.asking:
                continue
            interval_s = self._choose_interval_s(holding, target)
            if now - holding.asked_at.get(target, 0.0) >= interval_s:
                tasks.start_soon(self._ask, holding, target)

    def _choose_interval_s(self, holding: Holding, target: TargetId) -> float:
        account = holding.ledger.accounts[target]
        busy = (
            any(account.loads_in_transit())
            or any(place[0] == target for place in holding.drains)
            or any(place[0] == target for place in holding.intents)
        )
        interval_ms = (
            self._settings.busy_inventory_interval_ms
            if busy
            else self._settings.inventory_interval_ms
        )
        return interval_ms / 1000

    async def _ask(self, holding: Holding, target: TargetId) -> None:
        asked_at = self._clock.monotonic()
        holding.asked_at[target] = asked_at
        holding.asking.add(target)
        timeout = self._settings.inventory_timeout
        try:
            with anyio.fail_after(timeout.total_seconds()):
                inventory = await self._engines[target].fetch_inventory(
                    timeout
                )
        except (TargetError, TimeoutError):
            return
        finally:
            holding.asking.discard(target)
        if inventory.target == target:
            self._take_inventory(holding, inventory, asked_at)

    def _take_inventory(
        self, holding: Holding, inventory: Inventory, asked_at: float
    ) -> None:
        account = holding.ledger.accounts[inventory.target]
        before = (account.leaving, set(account.copies), account.incarnation)
        settled = holding.ledger.observe(inventory, asked_at)
        after = (account.leaving, set(account.copies), account.incarnation)
        if before != after:
            self._dirty = True
        for order_id in settled:
            self._note_settled(holding, account, order_id)

    def _note_settled(
        self, holding: Holding, account: Account, order_id: OrderId
    ) -> None:
        order = account.orders[order_id]
        events.log(
            _log,
            PlacementEvent.ORDER_SETTLED,
            target=account.target,
            order=order_id,
            item=order.key,
        )
        if not order.is_load:
            del account.orders[order_id]
            holding.unrecorded.append(order.record_key)
            return
        if order.key in account.copies:
            self._pacer.note_success(account.target, order.key)
        else:
            now = self._clock.monotonic()
            self._pacer.note_failure(account.target, order.key, now)
            self._dirty = True

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
        if age_s < interval_s or not (self._dirty or age_s >= slow_s):
            return
        # Without a sheet nothing says that what is loaded is not wanted.
        if self.sheet.revision == EMPTY_SHEET.revision:
            return
        self._dirty = False
        holding.planned_at = now
        self._drop_intents(holding, now)
        started = self._clock.monotonic()
        plan = self._policy.plan(self._create_input(holding, now))
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

    def _create_input(self, holding: Holding, now: float) -> PlanInput:
        rates, waiting = self._gatherer.total()
        return PlanInput(
            accelerators=[
                self._view_account(holding, account, now)
                for account in holding.ledger.accounts.values()
            ],
            rows=[
                row
                for row in self.sheet.rows
                if row.kind is not ItemKind.SERVICE
            ],
            rates=rates,
            waiting=waiting,
            elsewhere=self._list_elsewhere(),
            domain_count=len(self._membership.domains()),
        )

    def _view_account(
        self, holding: Holding, account: Account, now: float
    ) -> AcceleratorView:
        target = account.target
        age_s = now - account.inventory_at
        copies = dict(self._view_copies(holding, account, now))
        free_mb = account.free_mb
        for (place, key), intent in holding.intents.items():
            if place == target and key not in copies:
                copies[key] = CopyView(item=intent.load.item, ready=False)
                free_mb -= intent.load.item.memory_mb
        return AcceleratorView(
            target=target,
            usable_mb=account.memory_mb - account.kv_mb,
            free_mb=free_mb,
            accepts_loads=(
                age_s <= self._settings.inventory_max_age_s
                and not account.overfull
                and not holding.ledger.is_blocked(account, now)
            ),
            leaving=self._is_leaving(account),
            copies=copies,
        )

    def _view_copies(
        self, holding: Holding, account: Account, now: float
    ) -> Iterable[tuple[str, CopyView]]:
        target = account.target
        for order in account.loads_in_transit():
            yield order.key, CopyView(item=order.order.item, ready=False)
        for key, copy in account.copies.items():
            unloading = copy.state is LoadState.UNLOADING
            unload_sent = account.has_pending(OrderAction.UNLOAD, key)
            yield (
                key,
                CopyView(
                    item=copy.item,
                    age_s=now - copy.since,
                    running=copy.running,
                    ready=copy.state is LoadState.READY,
                    draining=unloading or (target, key) in holding.drains,
                    unload_sent=unloading or unload_sent,
                ),
            )

    def _list_elsewhere(self) -> frozenset[str]:
        own = self._own.failure_domain
        ready: set[str] = set()
        for view in self._membership.targets().values():
            if view.info.failure_domain != own and view.takes_new_work:
                ready |= view.ready_items
        return frozenset(ready)

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
            order = self._create_order(holding, OrderAction.UNLOAD, copy.item)
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
            order = self._create_order(
                holding, OrderAction.CHANGE_ROLE, None, role=account.role
            )
            tasks.start_soon(self._send_claim, holding, target, order)

    async def _send_claim(
        self, holding: Holding, target: TargetId, order: EngineOrder
    ) -> None:
        answer = await self._exchange(holding, target, order)
        if answer is not None and answer.status in (
            OrderStatus.ACCEPTED,
            OrderStatus.DUPLICATE,
        ):
            await self._ask(holding, target)

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
        order = self._create_order(holding, OrderAction.LOAD, load.item)
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

    # Sending.

    async def _record_and_send(
        self,
        tasks: anyio.abc.TaskGroup,
        holding: Holding,
        opened: list[OpenOrder],
    ) -> None:
        if not opened:
            return
        await self.lease.write_record(
            [RecordChange(o.record_key, o.encode()) for o in opened]
        )
        for order in opened:
            self._start_sending(tasks, holding, order)

    def _start_sending(
        self,
        tasks: anyio.abc.TaskGroup,
        holding: Holding,
        order: OpenOrder,
    ) -> None:
        now = self._clock.monotonic()
        order_id = order.order.order_id
        is_first = order_id not in holding.sent_at
        holding.sent_at[order_id] = now
        holding.sending.add(order_id)
        holding.ledger.note_sent(order, now)
        tasks.start_soon(self._send, holding, order, is_first)

    async def _send(
        self, holding: Holding, order: OpenOrder, is_first: bool
    ) -> None:
        try:
            answer = await self._exchange(
                holding, order.target, order.order, order if is_first else None
            )
        finally:
            holding.sending.discard(order.order.order_id)
        if answer is not None:
            self._take_answer(holding, order, answer)

    async def _exchange(
        self,
        holding: Holding,
        target: TargetId,
        order: EngineOrder,
        unsent: OpenOrder | None = None,
    ) -> OrderAnswer | None:
        """Send an order; None when no answer came.

        :param unsent: dropped from the ledger when the order certainly
            did not arrive.
        """
        self.lease.check()
        timeout = self._settings.order_timeout
        action = order.action.value
        try:
            with anyio.fail_after(timeout.total_seconds()):
                answer = await self._engines[target].send_order(order, timeout)
        except TargetConnectFailed:
            if unsent is not None:
                self._cancel(holding, unsent)
            _orders.add(1, {"action": action, "answer": "not sent"})
            return None
        except (TargetError, TimeoutError):
            events.log(
                _log,
                PlacementEvent.ORDER_ANSWER_LOST,
                target=target,
                order=order.order_id,
            )
            _orders.add(1, {"action": action, "answer": "lost"})
            return None
        _orders.add(1, {"action": action, "answer": answer.status.value})
        events.log(
            _log,
            PlacementEvent.ORDER_SENT,
            target=target,
            order=order.order_id,
            action=action,
            item=key_of(order.item) if order.item else None,
            answer=answer.status.value,
        )
        return answer

    def _cancel(self, holding: Holding, order: OpenOrder) -> None:
        holding.ledger.cancel_unsent(order)
        holding.sent_at.pop(order.order.order_id, None)
        holding.unrecorded.append(order.record_key)
        now = self._clock.monotonic()
        if order.is_load:
            self._pacer.note_failure(order.target, order.key, now)
        self._dirty = True

    def _take_answer(
        self, holding: Holding, order: OpenOrder, answer: OrderAnswer
    ) -> None:
        account = holding.ledger.accounts[order.target]
        if answer.status is OrderStatus.STALE_FENCING:
            account.note_fence(answer.fencing_number)
            return
        if answer.status in (OrderStatus.ACCEPTED, OrderStatus.DUPLICATE):
            return
        order.refused = True
        self._dirty = True
        events.log(
            _log,
            PlacementEvent.ORDER_REFUSED,
            target=order.target,
            order=order.order.order_id,
            item=order.key,
            answer=answer.status.value,
            reason=answer.reason,
        )
        if order.is_load:
            now = self._clock.monotonic()
            self._pacer.note_failure(order.target, order.key, now)

    def _resend(
        self, tasks: anyio.abc.TaskGroup, holding: Holding, now: float
    ) -> None:
        """Send orders again that left no trace; the same order each time."""
        for account in holding.ledger.accounts.values():
            for order in list(account.orders.values()):
                if self._is_resend_due(holding, account, order, now):
                    self._start_sending(tasks, holding, order)

    def _is_resend_due(
        self,
        holding: Holding,
        account: Account,
        order: OpenOrder,
        now: float,
    ) -> bool:
        order_id = order.order.order_id
        if order_id in holding.sending or not account.is_unanswered(order):
            return False
        is_present = order.key in account.copies
        if is_present == order.is_load or self._is_leaving(account):
            return False
        is_current = order.order.fencing_number == holding.term
        if not is_current and account.fencing is Fencing.ENFORCED:
            return False
        sent_at = holding.sent_at.get(order_id, float("-inf"))
        return now - sent_at >= self._settings.order_resend_s

    # State for operators.

    async def _fetch_own_state(self) -> PlacementState:
        holder = self.lease.holder
        if self.holding is not None or holder in (None, self._own.vm):
            return self._create_state()
        request = PlacementStateRequest(forward=False)
        try:
            return await self._network.request(holder, request, STATE_TIMEOUT)
        except PeerError:
            return PlacementState(domain=self._own.failure_domain)

    async def _fetch_state(
        self, domain: FailureDomain, states: list[PlacementState]
    ) -> None:
        request = PlacementStateRequest(forward=True)
        for vm, info in sorted(self._vms.items()):
            if info.failure_domain != domain or not self._network.connected(
                vm
            ):
                continue
            try:
                states.append(
                    await self._network.request(vm, request, STATE_TIMEOUT)
                )
            except PeerError:
                continue
            return

    async def _handle_state_request(
        self, sender: VmId, message: Message
    ) -> PlacementState:
        if message.forward:
            return await self._fetch_own_state()
        return self._create_state()

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
            last_move=_describe_move(last) if last else "",
        )

    # Helpers.

    def _create_order(
        self,
        holding: Holding,
        action: OrderAction,
        item: EngineItem | None,
        role: Any = None,
    ) -> EngineOrder:
        self._orders += 1
        order_id = f"{self._life}-{holding.term}-{self._orders}"
        return EngineOrder(
            order_id=OrderId(order_id),
            fencing_number=FencingNumber(holding.term),
            action=action,
            item=item,
            role=role,
        )

    def _note_move(
        self, action: str, item: EngineItem, target: TargetId, reason: str
    ) -> None:
        self._moves.append(
            Move(
                at=self._clock.now().isoformat(),
                action=action,
                item=key_of(item),
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

    def _note_sheet(self, revision: SheetRevision) -> None:
        self._dirty = True


def _describe_move(move: Move) -> str:
    return f"{move.at} {move.action} {move.item} {move.target}: {move.reason}"


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
