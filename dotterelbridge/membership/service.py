"""Membership: state of all VMs and targets, kept equal on all VMs.

VMs of a failure domain exchange heartbeats and divide the polls of its
targets among them; domains exchange digests. All of them carry new records,
and a VM whose table hash differs fetches the records that it lacks.
"""

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

BACKUP_POLL_INTERVAL_ROUNDS = 5
"""Rounds between polls of a backup poller while the first one succeeds."""

MAX_HEARTBEATS_PER_S = 15.0
"""Heartbeats that a VM sends at most, over all peers; in a large failure
domain the interval is therefore longer."""

SUSPECT_AFTER_HEARTBEATS = 3.0
"""Missing heartbeats after which a VM is suspect, at the least."""

_log = structlog.get_logger(__name__)


class TargetLoad:
    """Last load report of one target, with its time and its reporter."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting = 0
        self.reported_at = float("-inf")
        self.reporter: VmId | None = None


class ReadyItems:
    """Cached ready items of a target and the records they derive from."""

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
    """State of the VMs and targets of the deployment, as known here."""

    def __init__(
        self,
        settings: MembershipSettings,
        network: PeerNetwork,
        own_info: VmInfo,
        vms: Sequence[VmInfo],
        targets: Sequence[TargetInfo],
        engines: Mapping[TargetId, Engine],
        platform: PlatformList | None,
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._settings = settings
        self._network = network
        self._own_info = own_info
        self._vms = {vm.vm: vm for vm in vms}
        self._target_infos = {info.target: info for info in targets}
        self._engines = engines
        self._platform_list = platform
        self._clock = clock
        self._random = random
        self.incarnation = random.randrange(1, 2**32)
        self._table = RecordTable(own_info.vm)
        self._target_loads = {t: TargetLoad() for t in self._target_infos}
        self._names_by_hash = {hash_name(t): t for t in self._target_infos}
        now = clock.monotonic()
        self._started_at = now
        peers = (
            sum(v.failure_domain == own_info.failure_domain for v in vms) - 1
        )
        self._heartbeat_interval = max(
            settings.heartbeat_interval,
            timedelta(seconds=peers / MAX_HEARTBEATS_PER_S),
        )
        heartbeat_s = self._heartbeat_interval.total_seconds()
        self._report_max_age_s = (
            max(heartbeat_s, settings.poll_interval.total_seconds()) * 1.5
        )
        self._suspect_after_s = max(
            settings.suspect_after_s, SUSPECT_AFTER_HEARTBEATS * heartbeat_s
        )
        self._lost_after_s = max(
            settings.lost_after_s, 2 * self._suspect_after_s
        )
        self._vm_table = VmTable(
            own_info.vm,
            [v.vm for v in vms if v.failure_domain == own_info.failure_domain],
            self._suspect_after_s,
            self._lost_after_s,
            now,
        )
        self._local_targets = sorted(
            t
            for t, info in self._target_infos.items()
            if info.failure_domain == own_info.failure_domain
        )
        self._domain_vms = self._group_vms_by_domain()
        self._domain_last_heard_at: dict[FailureDomain, float] = {}
        self._digest_received_at: dict[FailureDomain, float] = {}
        """Time of the last digest of a domain that this VM received itself."""
        self._unreachable_domains: set[FailureDomain] = set()
        self._local_updates: list[Record] = []
        self._remote_updates: list[Record] = []
        self._own_polled_loads: dict[TargetId, LoadReport] = {}
        self._unsent_loads: list[LoadReport] = []
        self._poll_round = 0
        self._updates_queued = anyio.Event()
        self._callbacks: list[Callable[[], None]] = []
        self._views: dict[TargetId, TargetView] = {}
        self._stale_targets: set[TargetId] = set(self._target_infos)
        """Targets whose cached view is out of date."""
        self._ready_items: dict[TargetId, ReadyItems] = {}
        self._pollers: dict[TargetId, list[VmId]] = {}
        self._assigned_vms: list[VmId] = []
        """The VMs that ``_pollers`` was computed for."""
        self._tasks: anyio.abc.TaskGroup | None = None
        self._running_syncs: set[FailureDomain | None] = set()
        network.register_handler(Heartbeat, self._handle_heartbeat)
        network.register_handler(Digest, self._handle_digest)
        network.register_handler(HashesRequest, self._handle_hashes_request)
        network.register_handler(SyncRequest, self._handle_sync_request)

    # MembershipView.

    def get_targets(self) -> dict[TargetId, TargetView]:
        if self._stale_targets:
            changed = {
                t: self._create_target_view(t) for t in self._stale_targets
            }
            self._views = self._views | changed
            self._stale_targets.clear()
        return self._views

    def get_vm_state(self, vm: VmId) -> MemberState:
        info = self._vms.get(vm)
        if info is None:
            return MemberState.LOST
        if self._is_marked_leaving(info.failure_domain, vm):
            return MemberState.LEAVING
        if info.failure_domain == self._own_info.failure_domain:
            return self._vm_table.get_state(vm)
        body = self._table.find_body(info.failure_domain, "v", vm)
        return MemberState(body.state) if body else MemberState.SUSPECT

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def is_domain_reachable(self, domain: FailureDomain) -> bool:
        """Return whether messages from a domain arrived lately.

        A digest that a VM of this failure domain received counts as well.
        """
        if domain == self._own_info.failure_domain:
            return True
        return domain not in self._unreachable_domains

    def list_domains(self) -> list[FailureDomain]:
        """Return all failure domains that have entry VMs, sorted."""
        return sorted(self._domain_vms)

    # Leaving marks, and records of other components.

    def mark_leaving(self, name: str) -> None:
        """Mark a VM or target as leaving; every VM knows within seconds.

        :raises PlacementError: no VM or target has the name.
        """
        if self.publish(self._find_domain(name), name, MarkBody(leaving=True)):
            events.log(_log, MembershipEvent.LEAVING_MARKED, name=name)

    def clear_leaving(self, name: str) -> None:
        """Remove the leaving mark that an operator set.

        :raises PlacementError: no VM or target has the name.
        """
        domain = self._find_domain(name)
        if self._table.find(domain, "m", name) is None:
            return
        if self.publish(domain, name, MarkBody(leaving=False)):
            events.log(_log, MembershipEvent.LEAVING_CLEARED, name=name)

    def is_marked_by_operator(self, name: str) -> bool:
        """Return whether an operator marked a VM or target as leaving.

        :raises PlacementError: no VM or target has the name.
        """
        body = self._table.find_body(self._find_domain(name), "m", name)
        return bool(body and body.leaving)

    def set_draining(self, target: TargetId, items: Iterable[str]) -> None:
        """Set the items of a target that get no new requests."""
        domain = self._target_infos[target].failure_domain
        body = DrainingBody(items=tuple(sorted(items)))
        if body.items or self._table.find(domain, "d", target):
            self.publish(domain, target, body)

    def publish(
        self, domain: FailureDomain, name: str, body: AnyBody
    ) -> Record | None:
        """Replicate a new record to all VMs; None if its body is unchanged."""
        record = self._table.put(domain, name, body)
        if record is not None:
            self._queue_updates([record], is_remote=False)
        return record

    def find_body(self, domain: FailureDomain, tag: str, name: str):
        """Return the body of a key's record, or None."""
        return self._table.find_body(domain, tag, name)

    # Background tasks.

    async def run(self) -> None:
        """Poll targets and exchange messages until cancelled."""
        self._publish_own_state()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._send_updates)
            tasks.start_soon(self._exchange_digests)
            tasks.start_soon(self._poll_targets)
            if self._platform_list is not None:
                tasks.start_soon(self._poll_platform_list)

    def dump(self) -> dict[str, Any]:
        return {
            "incarnation": self.incarnation,
            "vms": {vm: self.get_vm_state(vm).value for vm in self._vms},
            "silent_domains": sorted(self._unreachable_domains),
            "records": {
                domain: len(self._table.list_records(domain))
                for domain in self._table.list_domains()
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

    # Heartbeats and updates within the failure domain.

    async def _send_heartbeats(self) -> None:
        self._send_heartbeat()
        await self._sleep_random_fraction(self._heartbeat_interval)
        while True:
            self._send_heartbeat()
            await self._clock.sleep(self._heartbeat_interval)

    def _send_heartbeat(self) -> None:
        now = self._clock.monotonic()
        changed = self._vm_table.update_states(now)
        self._publish_vm_states()
        self._detect_unreachable_domains(now)
        heartbeat = self._create_heartbeat(
            tuple(self._own_polled_loads.values())
        )
        for vm in self._vm_table.list_others():
            self._network.send(vm, heartbeat)
        if changed:
            self._notify()

    def _create_heartbeat(
        self,
        loads: tuple[LoadReport, ...] = (),
        records: tuple[Record, ...] = (),
    ) -> Heartbeat:
        domain = self._own_info.failure_domain
        return Heartbeat(
            incarnation=self.incarnation,
            own_hash=self._table.get_domain_hash(domain),
            others_hash=self._table.compute_other_domains_hash(domain),
            reachable_domains=self._create_reachable_mask(),
            loads=loads,
            records=records,
        )

    async def _send_updates(self) -> None:
        while True:
            await self._updates_queued.wait()
            self._updates_queued = anyio.Event()
            updates, self._local_updates = self._local_updates, []
            remote_updates, self._remote_updates = self._remote_updates, []
            self._broadcast_updates(tuple(updates), tuple(remote_updates))

    def _broadcast_updates(
        self, updates: tuple[Record, ...], remote_updates: tuple[Record, ...]
    ) -> None:
        loads, self._unsent_loads = self._unsent_loads, []
        heartbeat = self._create_heartbeat(
            tuple(loads), updates + remote_updates
        )
        for vm in self._vm_table.list_others():
            self._network.send(vm, heartbeat)
        if not updates:
            return
        for domain in self._list_other_domains():
            self._send_digest(domain, updates)

    async def _handle_heartbeat(
        self, sender: VmId, message: Message
    ) -> Message | None:
        now = self._clock.monotonic()
        if not self._vm_table.record_heartbeat(
            sender, message.incarnation, now
        ):
            return None
        self._apply_loads(sender, message.loads, now)
        self._apply_reachable_mask(message.reachable_domains)
        self._merge_records(message.records)
        own_domain = self._own_info.failure_domain
        if message.own_hash != self._table.get_domain_hash(own_domain):
            self._start_sync(sender, own_domain)
        elif message.others_hash != self._table.compute_other_domains_hash(
            own_domain
        ):
            self._start_sync(sender, None)
        return None

    def _apply_loads(
        self, sender: VmId, loads: tuple[LoadReport, ...], now: float
    ) -> None:
        for load in loads:
            target = self._names_by_hash.get(load.target_hash)
            if target is not None:
                self._record_load(target, load, sender, now)
        if loads:
            self._notify()

    def _record_load(
        self, target: TargetId, load: LoadReport, reporter: VmId, now: float
    ) -> None:
        report = self._target_loads[target]
        report.running = load.running
        report.waiting = load.waiting
        report.reported_at = now
        report.reporter = reporter
        self._stale_targets.add(target)

    # Digests between failure domains.

    async def _exchange_digests(self) -> None:
        await self._sleep_random_fraction(self._settings.digest_interval)
        while True:
            for domain in self._list_other_domains():
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
        own_domain = self._own_info.failure_domain
        return Digest(
            domain=own_domain,
            hash=self._table.get_domain_hash(own_domain),
            records=records,
        )

    def _list_counterparts(self, domain: FailureDomain) -> list[VmId]:
        """Return a domain's VMs, starting at this VM's index in its own.

        Each VM uses one counterpart in each domain while it is connected,
        which keeps the number of links between domains small.
        """
        own_vms = self._domain_vms[self._own_info.failure_domain]
        others = self._domain_vms[domain]
        start = own_vms.index(self._own_info.vm) % len(others)
        return others[start:] + others[:start]

    async def _handle_digest(
        self, sender: VmId, message: Message
    ) -> Message | None:
        self._digest_received_at[message.domain] = self._clock.monotonic()
        self._record_domain_message(message.domain)
        newer = self._table.merge(message.records)
        if newer:
            self._queue_updates(newer, is_remote=True)
        if message.hash != self._table.get_domain_hash(message.domain):
            self._start_sync(sender, message.domain)
        return None

    def _create_reachable_mask(self) -> int:
        now = self._clock.monotonic()
        mask = 0
        for bit, domain in enumerate(self.list_domains()):
            last_heard_at = self._digest_received_at.get(domain, float("-inf"))
            if now - last_heard_at < self._suspect_after_s:
                mask |= 1 << bit
        return mask

    def _apply_reachable_mask(self, mask: int) -> None:
        for bit, domain in enumerate(self.list_domains()):
            if mask >> bit & 1 and domain != self._own_info.failure_domain:
                self._record_domain_message(domain)

    def _record_domain_message(self, domain: FailureDomain) -> None:
        self._domain_last_heard_at[domain] = self._clock.monotonic()
        if domain in self._unreachable_domains:
            self._unreachable_domains.discard(domain)
            events.log(_log, MembershipEvent.DOMAIN_HEARD, domain=domain)
            self._stale_targets.update(self._target_infos)
            self._notify()

    def _detect_unreachable_domains(self, now: float) -> None:
        limit_s = self._lost_after_s
        for domain in self._list_other_domains():
            last_heard_at = self._domain_last_heard_at.get(
                domain, self._started_at
            )
            is_silent = now - last_heard_at >= limit_s
            if is_silent and domain not in self._unreachable_domains:
                self._unreachable_domains.add(domain)
                events.log(_log, MembershipEvent.DOMAIN_SILENT, domain=domain)
                self._stale_targets.update(self._target_infos)
                self._notify()

    # Synchronization of tables that differ.

    def _start_sync(self, peer: VmId, domain: FailureDomain | None) -> None:
        """Fetch the peer's newer records, unless updates bring them first.

        :param domain: None for all domains except this VM's.
        """
        if self._tasks is None or domain in self._running_syncs:
            return
        self._running_syncs.add(domain)
        self._tasks.start_soon(self._sync, peer, domain)

    async def _sync(self, peer: VmId, domain: FailureDomain | None) -> None:
        hash_before = self._compute_scope_hash(domain)
        try:
            await self._clock.sleep(self._settings.sync_delay)
            if self._compute_scope_hash(domain) != hash_before:
                return  # Updates arrived; the next heartbeat compares again.
            domains = (
                [domain]
                if domain
                else await self._find_differing_domains(peer)
            )
            for name in domains:
                await self._fetch_newer_records(peer, name)
        except PeerError:
            return  # The next hash that differs starts another sync.
        finally:
            self._running_syncs.discard(domain)

    def _compute_scope_hash(self, domain: FailureDomain | None) -> int:
        if domain is None:
            return self._table.compute_other_domains_hash(
                self._own_info.failure_domain
            )
        return self._table.get_domain_hash(domain)

    async def _find_differing_domains(self, peer: VmId) -> list[FailureDomain]:
        answer = await self._network.request(
            peer, HashesRequest(), self._settings.sync_timeout
        )
        return [
            domain
            for domain, value in answer.hashes.items()
            if value != self._table.get_domain_hash(domain)
        ]

    async def _fetch_newer_records(
        self, peer: VmId, domain: FailureDomain
    ) -> None:
        request = SyncRequest(
            domain=domain, versions=tuple(self._table.list_versions(domain))
        )
        answer = await self._network.request(
            peer, request, self._settings.sync_timeout
        )
        newer = self._merge_records(answer.records)
        if self._vms[peer].failure_domain != self._own_info.failure_domain:
            self._queue_updates(newer, is_remote=True)
        if answer.missing_key_hashes:
            records = self._table.find_by_key_hashes(
                domain, answer.missing_key_hashes
            )
            self._network.send(peer, self._create_digest(tuple(records)))

    async def _handle_hashes_request(
        self, sender: VmId, message: Message
    ) -> Message | None:
        table = self._table
        return HashesAnswer(
            hashes={d: table.get_domain_hash(d) for d in table.list_domains()}
        )

    async def _handle_sync_request(
        self, sender: VmId, message: Message
    ) -> Message | None:
        newer = self._table.find_newer(message.domain, message.versions)
        missing = self._table.list_missing_key_hashes(
            message.domain, message.versions
        )
        return SyncAnswer(
            records=tuple(newer), missing_key_hashes=tuple(missing)
        )

    def _merge_records(self, records: Iterable[Record]) -> list[Record]:
        newer = self._table.merge(records)
        if newer:
            self._mark_stale(newer)
            self._publish_own_state()
            self._notify()
        return newer

    def _mark_stale(self, records: Iterable[Record]) -> None:
        self._stale_targets.update(
            r.name for r in records if r.name in self._target_infos
        )

    def _queue_updates(
        self, records: Sequence[Record], is_remote: bool
    ) -> None:
        if not records:
            return
        self._mark_stale(records)
        (self._remote_updates if is_remote else self._local_updates).extend(
            records
        )
        self._updates_queued.set()
        self._notify()

    # VM states for the other failure domains.

    def _publish_own_state(self) -> None:
        """Publish this incarnation as live.

        It overrides a record that says this VM is lost, or an earlier
        incarnation of it.
        """
        body = VmBody(
            state=MemberState.LIVE.value, incarnation=self.incarnation
        )
        self.publish(self._own_info.failure_domain, self._own_info.vm, body)

    def _publish_vm_states(self) -> None:
        """Publish lost VMs to the other domains.

        Only the first VM that is not lost does so.
        """
        if self._vm_table.list_not_lost()[0] != self._own_info.vm:
            return
        for vm in self._vm_table.list_others():
            if self._vm_table.get_state(vm) is MemberState.LOST:
                body = VmBody(
                    state=MemberState.LOST.value,
                    incarnation=self._vm_table.get_incarnation(vm),
                )
                self.publish(self._own_info.failure_domain, vm, body)

    # Polls of targets.

    async def _poll_targets(self) -> None:
        await self._sleep_random_fraction(self._settings.poll_interval)
        async with anyio.create_task_group() as tasks:
            while True:
                self._poll_round += 1
                for target in self._choose_poll_targets():
                    tasks.start_soon(self._poll_target, target)
                await self._clock.sleep(self._settings.poll_interval)

    def _choose_poll_targets(self) -> list[TargetId]:
        self._assign_pollers(self._vm_table.list_not_lost())
        now = self._clock.monotonic()
        chosen = []
        for target in self._local_targets:
            if target not in self._engines:
                continue
            if self._is_poll_due(target, now):
                chosen.append(target)
            else:
                self._own_polled_loads.pop(target, None)
        return chosen

    def _is_poll_due(self, target: TargetId, now: float) -> bool:
        pollers = self._pollers[target]
        if pollers[0] == self._own_info.vm:
            return True
        is_backup = self._own_info.vm in pollers[1:]
        return is_backup and self._is_backup_poll_due(target, now)

    def _assign_pollers(self, vms: list[VmId]) -> None:
        """Assign a first poller and a backup poller to each target."""
        if vms == self._assigned_vms:
            return
        self._assigned_vms = vms
        for target in self._local_targets:
            self._pollers[target] = rank_vms(target, vms)[:2]

    def _is_backup_poll_due(self, target: TargetId, now: float) -> bool:
        if self._poll_round % BACKUP_POLL_INTERVAL_ROUNDS == 0:
            return True
        report = self._target_loads[target]
        if report.reporter == self._own_info.vm:
            # No report of the first poller came after this VM's own one,
            # so it probably cannot reach the target.
            return True
        return now - report.reported_at > self._report_max_age_s

    async def _poll_target(self, target: TargetId) -> None:
        try:
            with anyio.fail_after(self._settings.poll_timeout.total_seconds()):
                inventory = await self._engines[target].fetch_inventory(
                    self._settings.poll_timeout
                )
        except (TargetError, TimeoutError):
            self._record_failed_poll(target)
            return
        self._record_inventory(target, inventory)

    def _record_inventory(
        self, target: TargetId, inventory: Inventory
    ) -> None:
        load = LoadReport(
            hash_name(target), inventory.running, inventory.waiting
        )
        self._record_polled_load(target, load)
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

    def _record_polled_load(self, target: TargetId, load: LoadReport) -> None:
        report = self._target_loads[target]
        now = self._clock.monotonic()
        if report.reporter not in (None, self._own_info.vm):
            if now - report.reported_at <= self._report_max_age_s:
                return  # The other poller reports the load.
            # The other poller may no longer reach the target, so this
            # report is sent without waiting for the next heartbeat.
            self._unsent_loads.append(load)
            self._updates_queued.set()
        self._own_polled_loads[target] = load
        self._record_load(target, load, self._own_info.vm, now)

    def _record_failed_poll(self, target: TargetId) -> None:
        self._own_polled_loads.pop(target, None)
        last = max(self._target_loads[target].reported_at, self._started_at)
        silence_s = self._clock.monotonic() - last
        if silence_s >= self._lost_after_s:
            state = MemberState.LOST
        elif silence_s >= self._suspect_after_s:
            state = MemberState.SUSPECT
        else:
            return
        known = self._table.find_body(
            self._own_info.failure_domain, "t", target
        )
        body = TargetBody(
            state=state.value,
            leaving=known.leaving if known else False,
            incarnation=known.incarnation if known else "",
            items=known.items if known else (),
        )
        self._publish_target(target, body)

    def _publish_target(self, target: TargetId, body: TargetBody) -> None:
        domain = self._own_info.failure_domain
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

    async def _poll_platform_list(self) -> None:
        while True:
            # Two VMs of each failure domain read the list for all others.
            if self._own_info.vm in self._vm_table.list_not_lost()[:2]:
                await self._read_platform_list()
            await self._clock.sleep(self._settings.platform_interval)

    async def _read_platform_list(self) -> None:
        try:
            members = await self._platform_list.fetch(
                self._settings.poll_timeout
            )
        except PlatformListError as error:
            events.log(
                _log, MembershipEvent.PLATFORM_LIST_FAILED, error=str(error)
            )
            return
        for member in members:
            domain = self._own_info.failure_domain
            if member.failure_domain != domain:
                continue
            leaving = member.state is PlatformState.LEAVING
            if leaving or self._table.find(domain, "p", member.id):
                self.publish(domain, member.id, PlatformBody(leaving=leaving))

    # Helpers.

    async def _sleep_random_fraction(self, interval: timedelta) -> None:
        """Sleep for a random part of the interval.

        It desynchronizes VMs that were started at the same time.
        """
        await self._clock.sleep(interval * self._random.random())

    def _create_target_view(self, target: TargetId) -> TargetView:
        info = self._target_infos[target]
        domain = info.failure_domain
        report = self._target_loads[target]
        body = self._table.find_body(domain, "t", target)
        return TargetView(
            info=info,
            state=self._determine_target_state(info, body),
            ready_items=self._find_ready_items(domain, target, body),
            running=report.running,
            waiting=report.waiting,
            reported_at=report.reported_at,
        )

    def _find_ready_items(
        self, domain: FailureDomain, target: TargetId, body: TargetBody | None
    ) -> frozenset[ItemName]:
        draining = self._table.find_body(domain, "d", target)
        known = self._ready_items.get(target)
        if known and known.body is body and known.draining is draining:
            return known.items
        items = frozenset(map(sys.intern, body.items if body else ()))
        if draining:
            items -= frozenset(draining.items)
        self._ready_items[target] = ReadyItems(body, draining, items)
        return items

    def _determine_target_state(
        self, info: TargetInfo, body: TargetBody | None
    ) -> MemberState:
        domain = info.failure_domain
        if self._is_marked_leaving(domain, info.target) or (
            body and body.leaving
        ):
            return MemberState.LEAVING
        if info.kind is TargetKind.SERVICE:
            return MemberState.LIVE
        if body is None:
            return MemberState.SUSPECT
        state = MemberState(body.state)
        if state is MemberState.LIVE and not self.is_domain_reachable(domain):
            return MemberState.SUSPECT
        return state

    def _is_marked_leaving(self, domain: FailureDomain, name: str) -> bool:
        mark = self._table.find_body(domain, "m", name)
        platform = self._table.find_body(domain, "p", name)
        return bool((mark and mark.leaving) or (platform and platform.leaving))

    def _find_domain(self, name: str) -> FailureDomain:
        info = self._target_infos.get(name) or self._vms.get(name)
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

    def _list_other_domains(self) -> list[FailureDomain]:
        own_domain = self._own_info.failure_domain
        return [d for d in self._domain_vms if d != own_domain]

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()


def format_item_key(name: str, version: str) -> str:
    """Return the key NAME@VERSION of an item."""
    return f"{name}@{version}"


def rank_vms(target: TargetId, vms: Iterable[VmId]) -> list[VmId]:
    """Return the VMs in their order as pollers of a target.

    Rendezvous hashing: few targets change pollers when a VM goes.
    """
    return sorted(vms, key=lambda vm: hash_name(f"{target}/{vm}"))


def create_membership(
    settings: MembershipSettings,
    network: PeerNetwork,
    own_info: VmInfo,
    vms: Sequence[VmInfo],
    targets: Sequence[TargetInfo],
    engines: Mapping[TargetId, Engine],
    platform: PlatformList | None,
    clock: Clock,
    random: random_module.Random,
) -> Membership:
    """Return the membership component of one daemon.

    :param engines: at least the engines of this VM's failure domain.
    """
    return Membership(
        settings,
        network,
        own_info,
        vms,
        targets,
        engines,
        platform,
        clock,
        random,
    )
