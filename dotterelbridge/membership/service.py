"""The membership part: polls, heartbeats, digests, and the view of them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
import sys
from typing import Any

import anyio
import anyio.abc
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import PlacementError
from dotterelbridge.errors import TargetError
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.membership.events import MembershipEvent
from dotterelbridge.membership.messages import Digest
from dotterelbridge.membership.messages import HashesAnswer
from dotterelbridge.membership.messages import HashesRequest
from dotterelbridge.membership.messages import Heartbeat
from dotterelbridge.membership.messages import LoadReport
from dotterelbridge.membership.messages import SyncAnswer
from dotterelbridge.membership.messages import SyncRequest
from dotterelbridge.membership.platform import PlatformList
from dotterelbridge.membership.platform import PlatformListError
from dotterelbridge.membership.platform import PlatformState
from dotterelbridge.membership.records import AnyBody
from dotterelbridge.membership.records import DrainingBody
from dotterelbridge.membership.records import MarkBody
from dotterelbridge.membership.records import PlatformBody
from dotterelbridge.membership.records import Record
from dotterelbridge.membership.records import RecordTable
from dotterelbridge.membership.records import TargetBody
from dotterelbridge.membership.records import VmBody
from dotterelbridge.membership.records import hash_name
from dotterelbridge.membership.settings import MembershipSettings
from dotterelbridge.membership.view import MembershipView
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import TargetView
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.membership.vms import VmTable
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.engine import Inventory
from dotterelbridge.targets.engine import LoadState

BACKUP_POLL_EVERY = 5
"""The backup poller polls in one of so many rounds while all is well."""

HEARTBEATS_PER_S = 15.0
"""Heartbeats that a VM sends at most; a large domain beats more slowly."""

SUSPECT_AFTER_BEATS = 3.0

_log = structlog.get_logger(__name__)


class TargetReport:
    """What this VM last heard of one target's load, and when."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting = 0
        self.reported_at = float("-inf")
        self.reporter: VmId | None = None


class ReadyItems:
    """A target's ready items, with the records that they come from."""

    def __init__(
        self,
        body: TargetBody | None,
        draining: DrainingBody | None,
        items: frozenset[ItemName],
    ) -> None:
        self.body = body
        self.draining = draining
        self.items = items


class Membership(MembershipView, Dumpable):
    """The VMs and targets of the deployment, as this VM knows them."""

    def __init__(
        self,
        settings: MembershipSettings,
        network: PeerNetwork,
        own: VmInfo,
        vms: Sequence[VmInfo],
        targets: Sequence[TargetInfo],
        engines: Mapping[TargetId, Engine],
        platform: PlatformList | None,
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._network = network
        self._own = own
        self._vms = {vm.vm: vm for vm in vms}
        self._infos = {info.target: info for info in targets}
        self._engines = engines
        self._platform = platform
        self._clock = clock
        self._random = random
        self.incarnation = random.randrange(1, 2**32)
        self._table = RecordTable(own.vm)
        self._reports = {t: TargetReport() for t in self._infos}
        self._names_by_hash = {hash_name(t): t for t in self._infos}
        now = clock.monotonic()
        self._started_at = now
        peers = sum(v.failure_domain == own.failure_domain for v in vms) - 1
        self._heartbeat_interval = max(
            settings.heartbeat_interval,
            timedelta(seconds=peers / HEARTBEATS_PER_S),
        )
        beat_s = self._heartbeat_interval.total_seconds()
        self._poll_patience_s = (
            max(beat_s, settings.poll_interval.total_seconds()) * 1.5
        )
        self._suspect_after_s = max(
            settings.suspect_after_s, SUSPECT_AFTER_BEATS * beat_s
        )
        self._lost_after_s = max(
            settings.lost_after_s, 2 * self._suspect_after_s
        )
        self._life = VmTable(
            own.vm,
            [v.vm for v in vms if v.failure_domain == own.failure_domain],
            self._suspect_after_s,
            self._lost_after_s,
            now,
        )
        self._own_targets = sorted(
            t
            for t, info in self._infos.items()
            if info.failure_domain == own.failure_domain
        )
        self._domain_vms = self._group_vms_by_domain()
        self._domain_heard_at: dict[FailureDomain, float] = {}
        self._digest_at: dict[FailureDomain, float] = {}
        """When this VM itself heard a digest of a domain."""
        self._silent_domains: set[FailureDomain] = set()
        self._news: list[Record] = []
        self._foreign_news: list[Record] = []
        self._polled_loads: dict[TargetId, LoadReport] = {}
        self._fresh_loads: list[LoadReport] = []
        self._round = 0
        self._wake = anyio.Event()
        self._callbacks: list[Callable[[], None]] = []
        self._views: dict[TargetId, TargetView] = {}
        self._stale: set[TargetId] = set(self._infos)
        """Targets whose view has changed since it was made."""
        self._ready: dict[TargetId, ReadyItems] = {}
        self._pollers: dict[TargetId, list[VmId]] = {}
        self._pollers_of: list[VmId] = []
        """VMs among which ``_pollers`` divides the targets."""
        self._tasks: anyio.abc.TaskGroup | None = None
        self._syncing: set[FailureDomain | None] = set()
        network.register_handler(Heartbeat, self._handle_heartbeat)
        network.register_handler(Digest, self._handle_digest)
        network.register_handler(HashesRequest, self._handle_hashes_request)
        network.register_handler(SyncRequest, self._handle_sync_request)

    # The view.

    def get_targets(self) -> dict[TargetId, TargetView]:
        if self._stale:
            changed = {t: self._view_target(t) for t in self._stale}
            self._views = self._views | changed
            self._stale.clear()
        return self._views

    def get_vm_state(self, vm: VmId) -> MemberState:
        info = self._vms.get(vm)
        if info is None:
            return MemberState.LOST
        if self._is_marked(info.failure_domain, vm):
            return MemberState.LEAVING
        if info.failure_domain == self._own.failure_domain:
            return self._life.state(vm)
        body = self._table.find_body(info.failure_domain, "v", vm)
        return MemberState(body.state) if body else MemberState.SUSPECT

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def is_domain_reachable(self, domain: FailureDomain) -> bool:
        """Whether this VM lately heard any VM of another domain."""
        if domain == self._own.failure_domain:
            return True
        return domain not in self._silent_domains

    def list_domains(self) -> list[FailureDomain]:
        """Return all failure domains that have entry VMs, sorted."""
        return sorted(self._domain_vms)

    # Marks and records of other parts.

    def mark_leaving(self, name: str) -> None:
        """Mark a VM or target as leaving, on every VM within seconds.

        :raises PlacementError: no VM or target has the name.
        """
        if self.publish(self._find_domain(name), name, MarkBody(leaving=True)):
            events.log(_log, MembershipEvent.LEAVING_MARKED, name=name)

    def clear_leaving(self, name: str) -> None:
        """Take the operators' leaving mark away; PlacementError as above."""
        domain = self._find_domain(name)
        if self._table.find(domain, "m", name) is None:
            return
        if self.publish(domain, name, MarkBody(leaving=False)):
            events.log(_log, MembershipEvent.LEAVING_CLEARED, name=name)

    def is_marked_by_operator(self, name: str) -> bool:
        """Whether an operator's leaving mark stands."""
        body = self._table.find_body(self._find_domain(name), "m", name)
        return bool(body and body.leaving)

    def set_draining(self, target: TargetId, items: Iterable[str]) -> None:
        """State which items of a target get no new work."""
        domain = self._infos[target].failure_domain
        body = DrainingBody(items=tuple(sorted(items)))
        if body.items or self._table.find(domain, "d", target):
            self.publish(domain, target, body)

    def publish(
        self, domain: FailureDomain, name: str, body: AnyBody
    ) -> Record | None:
        """Spread a statement to all VMs; None when it is known already."""
        record = self._table.put(domain, name, body)
        if record is not None:
            self._note_news([record], foreign=False)
        return record

    def find_body(self, domain: FailureDomain, tag: str, name: str):
        """Return what is known on a subject, or None."""
        return self._table.find_body(domain, tag, name)

    # Running.

    async def run(self) -> None:
        """Poll, send and judge until cancelled."""
        self._note_own_life()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._send_news)
            tasks.start_soon(self._exchange_digests)
            tasks.start_soon(self._poll_targets)
            if self._platform is not None:
                tasks.start_soon(self._poll_platform)

    def dump(self) -> dict[str, Any]:
        return {
            "incarnation": self.incarnation,
            "vms": {vm: self.get_vm_state(vm).value for vm in self._vms},
            "silent_domains": sorted(self._silent_domains),
            "records": {
                domain: len(self._table.records(domain))
                for domain in self._table.domains()
            },
            "targets": {
                name: {
                    "state": view.state.value,
                    "ready_items": sorted(view.ready_items),
                    "running": view.running,
                    "waiting": view.waiting,
                    "reported_at": view.reported_at,
                }
                for name, view in self.get_targets().items()
            },
        }

    # Heartbeats and news within the domain.

    async def _send_heartbeats(self) -> None:
        self._beat()
        await self._sleep_part_of(self._heartbeat_interval)
        while True:
            self._beat()
            await self._clock.sleep(self._heartbeat_interval)

    def _beat(self) -> None:
        now = self._clock.monotonic()
        changed = self._life.check_silence(now)
        self._publish_vm_states()
        self._judge_domains(now)
        heartbeat = self._create_heartbeat(tuple(self._polled_loads.values()))
        for vm in self._life.others():
            self._network.send(vm, heartbeat)
        if changed:
            self._notify()

    def _create_heartbeat(
        self,
        loads: tuple[LoadReport, ...] = (),
        records: tuple[Record, ...] = (),
    ) -> Heartbeat:
        domain = self._own.failure_domain
        return Heartbeat(
            incarnation=self.incarnation,
            own_hash=self._table.hash_of(domain),
            others_hash=self._table.hash_of_others(domain),
            heard_domains=self._create_heard_mask(),
            loads=loads,
            records=records,
        )

    async def _send_news(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            news, self._news = self._news, []
            foreign, self._foreign_news = self._foreign_news, []
            self._spread(tuple(news), tuple(foreign))

    def _spread(
        self, news: tuple[Record, ...], foreign: tuple[Record, ...]
    ) -> None:
        loads, self._fresh_loads = self._fresh_loads, []
        heartbeat = self._create_heartbeat(tuple(loads), news + foreign)
        for vm in self._life.others():
            self._network.send(vm, heartbeat)
        if not news:
            return
        for domain in self._other_domains():
            self._send_digest(domain, news)

    async def _handle_heartbeat(
        self, sender: VmId, message: Message
    ) -> Message | None:
        now = self._clock.monotonic()
        if not self._life.hear(sender, message.incarnation, now):
            return None
        self._take_loads(sender, message.loads, now)
        self._take_heard_mask(message.heard_domains)
        self._merge(message.records)
        own = self._own.failure_domain
        if message.own_hash != self._table.hash_of(own):
            self._start_sync(sender, own)
        elif message.others_hash != self._table.hash_of_others(own):
            self._start_sync(sender, None)
        return None

    def _take_loads(
        self, sender: VmId, loads: tuple[LoadReport, ...], now: float
    ) -> None:
        for load in loads:
            target = self._names_by_hash.get(load.target_hash)
            if target is not None:
                self._note_load(target, load, sender, now)
        if loads:
            self._notify()

    def _note_load(
        self, target: TargetId, load: LoadReport, reporter: VmId, now: float
    ) -> None:
        report = self._reports[target]
        report.running = load.running
        report.waiting = load.waiting
        report.reported_at = now
        report.reporter = reporter
        self._stale.add(target)

    # Digests between domains.

    async def _exchange_digests(self) -> None:
        await self._sleep_part_of(self._settings.digest_interval)
        while True:
            for domain in self._other_domains():
                self._send_digest(domain, ())
            await self._clock.sleep(self._settings.digest_interval)

    def _send_digest(
        self, domain: FailureDomain, records: tuple[Record, ...]
    ) -> None:
        digest = self._create_digest(records)
        for vm in self._list_counterparts(domain):
            if self._network.send(vm, digest):
                return

    def _create_digest(self, records: tuple[Record, ...]) -> Digest:
        own = self._own.failure_domain
        return Digest(
            domain=own, hash=self._table.hash_of(own), records=records
        )

    def _list_counterparts(self, domain: FailureDomain) -> list[VmId]:
        """Return a domain's VMs, the one of the own rank first.

        Every VM keeps to one counterpart in each domain while it is
        reachable, so that links between domains stay few.
        """
        own_vms = self._domain_vms[self._own.failure_domain]
        others = self._domain_vms[domain]
        start = own_vms.index(self._own.vm) % len(others)
        return others[start:] + others[:start]

    async def _handle_digest(
        self, sender: VmId, message: Message
    ) -> Message | None:
        self._digest_at[message.domain] = self._clock.monotonic()
        self._hear_domain(message.domain)
        newer = self._table.merge(message.records)
        if newer:
            self._note_news(newer, foreign=True)
        if message.hash != self._table.hash_of(message.domain):
            self._start_sync(sender, message.domain)
        return None

    def _create_heard_mask(self) -> int:
        now = self._clock.monotonic()
        mask = 0
        for bit, domain in enumerate(self.list_domains()):
            heard_at = self._digest_at.get(domain, float("-inf"))
            if now - heard_at < self._suspect_after_s:
                mask |= 1 << bit
        return mask

    def _take_heard_mask(self, mask: int) -> None:
        for bit, domain in enumerate(self.list_domains()):
            if mask >> bit & 1 and domain != self._own.failure_domain:
                self._hear_domain(domain)

    def _hear_domain(self, domain: FailureDomain) -> None:
        self._domain_heard_at[domain] = self._clock.monotonic()
        if domain in self._silent_domains:
            self._silent_domains.discard(domain)
            events.log(_log, MembershipEvent.DOMAIN_HEARD, domain=domain)
            self._stale.update(self._infos)
            self._notify()

    def _judge_domains(self, now: float) -> None:
        limit_s = self._lost_after_s
        for domain in self._other_domains():
            heard_at = self._domain_heard_at.get(domain, self._started_at)
            silent = now - heard_at >= limit_s
            if silent and domain not in self._silent_domains:
                self._silent_domains.add(domain)
                events.log(_log, MembershipEvent.DOMAIN_SILENT, domain=domain)
                self._stale.update(self._infos)
                self._notify()

    # Repair of missed records.

    def _start_sync(self, peer: VmId, domain: FailureDomain | None) -> None:
        """Fetch what the peer has, unless news on its way brings it.

        :param domain: None for all domains but the own one.
        """
        if self._tasks is None or domain in self._syncing:
            return
        self._syncing.add(domain)
        self._tasks.start_soon(self._sync, peer, domain)

    async def _sync(self, peer: VmId, domain: FailureDomain | None) -> None:
        before = self._hash_scope(domain)
        try:
            await self._clock.sleep(self._settings.sync_delay)
            if self._hash_scope(domain) != before:
                return  # News came; the next heartbeat compares again.
            domains = [domain] if domain else await self._find_unequal(peer)
            for name in domains:
                await self._fetch_newer(peer, name)
        except PeerError:
            return  # The next differing hash starts it again.
        finally:
            self._syncing.discard(domain)

    def _hash_scope(self, domain: FailureDomain | None) -> int:
        if domain is None:
            return self._table.hash_of_others(self._own.failure_domain)
        return self._table.hash_of(domain)

    async def _find_unequal(self, peer: VmId) -> list[FailureDomain]:
        answer = await self._network.request(
            peer, HashesRequest(), self._settings.sync_timeout
        )
        return [
            domain
            for domain, value in answer.hashes.items()
            if value != self._table.hash_of(domain)
        ]

    async def _fetch_newer(self, peer: VmId, domain: FailureDomain) -> None:
        request = SyncRequest(
            domain=domain, versions=tuple(self._table.versions(domain))
        )
        answer = await self._network.request(
            peer, request, self._settings.sync_timeout
        )
        newer = self._merge(answer.records)
        if self._vms[peer].failure_domain != self._own.failure_domain:
            self._note_news(newer, foreign=True)
        if answer.wanted:
            records = self._table.find_hashed(domain, answer.wanted)
            self._network.send(peer, self._create_digest(tuple(records)))

    async def _handle_hashes_request(
        self, sender: VmId, message: Message
    ) -> Message | None:
        table = self._table
        return HashesAnswer(
            hashes={d: table.hash_of(d) for d in table.domains()}
        )

    async def _handle_sync_request(
        self, sender: VmId, message: Message
    ) -> Message | None:
        newer = self._table.find_newer(message.domain, message.versions)
        wanted = self._table.list_wanted(message.domain, message.versions)
        return SyncAnswer(records=tuple(newer), wanted=tuple(wanted))

    def _merge(self, records: Iterable[Record]) -> list[Record]:
        newer = self._table.merge(records)
        if newer:
            self._mark_stale(newer)
            self._note_own_life()
            self._notify()
        return newer

    def _mark_stale(self, records: Iterable[Record]) -> None:
        self._stale.update(r.name for r in records if r.name in self._infos)

    def _note_news(self, records: Sequence[Record], foreign: bool) -> None:
        if not records:
            return
        self._mark_stale(records)
        (self._foreign_news if foreign else self._news).extend(records)
        self._wake.set()
        self._notify()

    # VM states for the other domains.

    def _note_own_life(self) -> None:
        """Contradict a record that calls this life lost or an earlier one."""
        body = VmBody(
            state=MemberState.LIVE.value, incarnation=self.incarnation
        )
        self.publish(self._own.failure_domain, self._own.vm, body)

    def _publish_vm_states(self) -> None:
        """Tell the other domains of lost VMs; the first VM's duty."""
        if self._life.not_lost()[0] != self._own.vm:
            return
        for vm in self._life.others():
            if self._life.state(vm) is MemberState.LOST:
                body = VmBody(
                    state=MemberState.LOST.value,
                    incarnation=self._life.incarnation(vm),
                )
                self.publish(self._own.failure_domain, vm, body)

    # Polls.

    async def _poll_targets(self) -> None:
        await self._sleep_part_of(self._settings.poll_interval)
        async with anyio.create_task_group() as tasks:
            while True:
                self._round += 1
                for target in self._choose_polls():
                    tasks.start_soon(self._poll_target, target)
                await self._clock.sleep(self._settings.poll_interval)

    def _choose_polls(self) -> list[TargetId]:
        self._divide_polls(self._life.not_lost())
        now = self._clock.monotonic()
        chosen = []
        for target in self._own_targets:
            if target not in self._engines:
                continue
            if self._is_own_poll(target, now):
                chosen.append(target)
            else:
                self._polled_loads.pop(target, None)
        return chosen

    def _is_own_poll(self, target: TargetId, now: float) -> bool:
        pollers = self._pollers[target]
        if pollers[0] == self._own.vm:
            return True
        is_backup = self._own.vm in pollers[1:]
        return is_backup and self._is_backup_due(target, now)

    def _divide_polls(self, vms: list[VmId]) -> None:
        """Choose the first and second poller of each target."""
        if vms == self._pollers_of:
            return
        self._pollers_of = vms
        for target in self._own_targets:
            self._pollers[target] = rank_vms(target, vms)[:2]

    def _is_backup_due(self, target: TargetId, now: float) -> bool:
        if self._round % BACKUP_POLL_EVERY == 0:
            return True
        report = self._reports[target]
        if report.reporter == self._own.vm:
            # The first poller does not reach the target now.
            return True
        return now - report.reported_at > self._poll_patience_s

    async def _poll_target(self, target: TargetId) -> None:
        try:
            with anyio.fail_after(self._settings.poll_timeout.total_seconds()):
                inventory = await self._engines[target].fetch_inventory(
                    self._settings.poll_timeout
                )
        except (TargetError, TimeoutError):
            self._note_failed_poll(target)
            return
        self._note_inventory(target, inventory)

    def _note_inventory(self, target: TargetId, inventory: Inventory) -> None:
        load = LoadReport(
            hash_name(target), inventory.running, inventory.waiting
        )
        self._take_polled_load(target, load)
        ready = sorted(
            format_item_key(loaded.item.name, loaded.item.version)
            for loaded in inventory.items
            if loaded.state is LoadState.READY
        )
        body = TargetBody(
            state=MemberState.LIVE.value,
            leaving=inventory.leaving,
            incarnation=inventory.incarnation,
            items=tuple(ready),
        )
        self._publish_target(target, body)
        self._notify()

    def _take_polled_load(self, target: TargetId, load: LoadReport) -> None:
        report = self._reports[target]
        now = self._clock.monotonic()
        if report.reporter not in (None, self._own.vm):
            if now - report.reported_at <= self._poll_patience_s:
                return  # The other poller reports it.
            # The other poller may not reach the target any more.
            self._fresh_loads.append(load)
            self._wake.set()
        self._polled_loads[target] = load
        self._note_load(target, load, self._own.vm, now)

    def _note_failed_poll(self, target: TargetId) -> None:
        self._polled_loads.pop(target, None)
        last = max(self._reports[target].reported_at, self._started_at)
        silence_s = self._clock.monotonic() - last
        if silence_s >= self._lost_after_s:
            state = MemberState.LOST
        elif silence_s >= self._suspect_after_s:
            state = MemberState.SUSPECT
        else:
            return
        known = self._table.find_body(self._own.failure_domain, "t", target)
        body = TargetBody(
            state=state.value,
            leaving=known.leaving if known else False,
            incarnation=known.incarnation if known else "",
            items=known.items if known else (),
        )
        self._publish_target(target, body)

    def _publish_target(self, target: TargetId, body: TargetBody) -> None:
        domain = self._own.failure_domain
        known = self._table.find_body(domain, "t", target)
        self.publish(domain, target, body)
        if known is None or known.state != body.state:
            events.log(
                _log,
                MembershipEvent.TARGET_STATE_CHANGED,
                target=target,
                state=body.state,
            )

    # Platform list.

    async def _poll_platform(self) -> None:
        while True:
            # Two VMs of each domain read the list for all.
            if self._own.vm in self._life.not_lost()[:2]:
                await self._read_platform()
            await self._clock.sleep(self._settings.platform_interval)

    async def _read_platform(self) -> None:
        try:
            members = await self._platform.fetch(self._settings.poll_timeout)
        except PlatformListError as error:
            events.log(
                _log, MembershipEvent.PLATFORM_LIST_FAILED, error=str(error)
            )
            return
        for member in members:
            domain = self._own.failure_domain
            if member.failure_domain != domain:
                continue
            leaving = member.state is PlatformState.LEAVING
            if leaving or self._table.find(domain, "p", member.id):
                self.publish(domain, member.id, PlatformBody(leaving=leaving))

    # Helpers.

    async def _sleep_part_of(self, interval: timedelta) -> None:
        """Keep VMs that start together from acting in step."""
        await self._clock.sleep(interval * self._random.random())

    def _view_target(self, target: TargetId) -> TargetView:
        info = self._infos[target]
        domain = info.failure_domain
        report = self._reports[target]
        body = self._table.find_body(domain, "t", target)
        return TargetView(
            info=info,
            state=self._judge_target(info, body),
            ready_items=self._find_ready(domain, target, body),
            running=report.running,
            waiting=report.waiting,
            reported_at=report.reported_at,
        )

    def _find_ready(
        self, domain: FailureDomain, target: TargetId, body: TargetBody | None
    ) -> frozenset[ItemName]:
        draining = self._table.find_body(domain, "d", target)
        known = self._ready.get(target)
        if known and known.body is body and known.draining is draining:
            return known.items
        items = frozenset(map(sys.intern, body.items if body else ()))
        if draining:
            items -= frozenset(draining.items)
        self._ready[target] = ReadyItems(body, draining, items)
        return items

    def _judge_target(
        self, info: TargetInfo, body: TargetBody | None
    ) -> MemberState:
        domain = info.failure_domain
        if self._is_marked(domain, info.target) or (body and body.leaving):
            return MemberState.LEAVING
        if info.kind is TargetKind.SERVICE:
            return MemberState.LIVE
        if body is None:
            return MemberState.SUSPECT
        state = MemberState(body.state)
        if state is MemberState.LIVE and not self.is_domain_reachable(domain):
            return MemberState.SUSPECT
        return state

    def _is_marked(self, domain: FailureDomain, name: str) -> bool:
        mark = self._table.find_body(domain, "m", name)
        platform = self._table.find_body(domain, "p", name)
        return bool((mark and mark.leaving) or (platform and platform.leaving))

    def _find_domain(self, name: str) -> FailureDomain:
        info = self._infos.get(name) or self._vms.get(name)
        if info is None:
            raise PlacementError(
                f"no VM or target is named {name!r}",
                "list the names with 'dotterelbridge targets'",
            )
        return info.failure_domain

    def _group_vms_by_domain(self) -> dict[FailureDomain, list[VmId]]:
        groups: dict[FailureDomain, list[VmId]] = {}
        for vm in sorted(self._vms):
            domain = self._vms[vm].failure_domain
            groups.setdefault(domain, []).append(vm)
        return groups

    def _other_domains(self) -> list[FailureDomain]:
        own = self._own.failure_domain
        return [d for d in self._domain_vms if d != own]

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()


def format_item_key(name: str, version: str) -> str:
    """Return NAME@VERSION."""
    return f"{name}@{version}"


def rank_vms(target: TargetId, vms: Iterable[VmId]) -> list[VmId]:
    """Return the VMs in the order in which they poll a target."""
    return sorted(vms, key=lambda vm: hash_name(f"{target}/{vm}"))


def create_membership(
    settings: MembershipSettings,
    network: PeerNetwork,
    own: VmInfo,
    vms: Sequence[VmInfo],
    targets: Sequence[TargetInfo],
    engines: Mapping[TargetId, Engine],
    platform: PlatformList | None,
    clock: Clock,
    random: random_module.Random,
) -> Membership:
    """Return the membership part of one daemon.

    :param engines: the engines of the own failure domain at least.
    """
    return Membership(
        settings, network, own, vms, targets, engines, platform, clock, random
    )
