"""Distributes the fleet state and the routes from VM to VM by long polls.

Each VM polls one source, which answers when something has changed. The
active controller is the source of the other control VMs, and each of
these is the source of the entry VMs in its failure domain, so that only
one copy crosses each link between failure domains.
"""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.fleet.events import FleetEvent
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import FleetPoll
from dotterelbridge.fleet.messages import FleetUpdate
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.sheet.feed import LogContact
from dotterelbridge.teams.permission import UNCONFIRMED_MS
from dotterelbridge.teams.permission import KeyPermission

_log = structlog.get_logger(__name__)

_COUNT_RETENTION_S = 60.0
"""Time for which VMs that were cut off or stopped are still counted."""
_COUNT_INTERVAL_S = 5.0


class _RecentCounts:
    """How many entry VMs there were in each interval of the last minute.

    Of each interval the lowest count is kept: a VM that changes its source is
    counted at both for a moment.
    """

    def __init__(self) -> None:
        self._lowest_by_interval: dict[int, int] = {}

    def record(self, count: int, now: float) -> None:
        interval = int(now / _COUNT_INTERVAL_S)
        lowest = self._lowest_by_interval.get(interval, count)
        self._lowest_by_interval[interval] = min(lowest, count)

    def find_highest(self, now: float) -> int:
        """Return the highest count of an interval, or 0 if none is over."""
        current = int(now / _COUNT_INTERVAL_S)
        oldest = int((now - _COUNT_RETENTION_S) / _COUNT_INTERVAL_S)
        for interval in list(self._lowest_by_interval):
            if interval < oldest:
                del self._lowest_by_interval[interval]
        return max(
            (
                count
                for interval, count in self._lowest_by_interval.items()
                if interval != current
            ),
            default=0,
        )


class FleetFeed:
    """Answers the polls of other VMs."""

    def __init__(
        self,
        network: PeerNetwork,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        quarantine: Quarantine,
        settings: FleetSettings,
        clock: Clock,
        detached_ms: Callable[[], int],
        list_control_vms: Callable[[], tuple[VmId, ...]],
        confirmed_ms: Callable[[], int] = lambda: UNCONFIRMED_MS,
    ) -> None:
        self._fleet_state = fleet_state
        self._routes = routes
        self._quarantine = quarantine
        self._settings = settings
        self._clock = clock
        self._detached_ms = detached_ms
        self._list_control_vms = list_control_vms
        self._confirmed_ms = confirmed_ms
        self._followers: dict[VmId, tuple[float, int]] = {}
        self._waiting_until: dict[VmId, float] = {}
        """Until when each follower is assumed to have waiting requests."""
        self._changed = anyio.Event()
        self._recent_counts = _RecentCounts()
        self.deployment_entry_vm_count = 0
        """Entry VMs of the deployment, as this VM's source counts them."""
        fleet_state.subscribe(self._notify)
        routes.subscribe(self._notify)
        quarantine.subscribe(self._notify)
        network.register_handler(FleetPoll, self._handle_poll)

    def count_entry_vms(self) -> int:
        """Return the number of entry VMs that follow through this VM."""
        oldest = self._clock.monotonic() - self._settings.follower_kept_s
        for vm, (polled_at, _) in list(self._followers.items()):
            if polled_at < oldest:
                del self._followers[vm]
        return sum(count for _, count in self._followers.values())

    def find_attached_share(self, known_count: int) -> float:
        """Return the part of the entry VMs that poll through this VM.

        From 0 to 1, of all entry VMs in the last minute, so that those that
        are cut off still count.

        :param known_count: entry VMs that another VM knows of.
        """
        now = self._clock.monotonic()
        total_count = max(
            known_count,
            self.deployment_entry_vm_count,
            self._recent_counts.find_highest(now),
        )
        attached_count = self._count_attached_vms(now)
        return min(1.0, attached_count / max(1, total_count))

    def _count_attached_vms(self, now: float) -> int:
        """Return the number of entry VMs that poll through this VM now."""
        oldest = now - self._settings.detached_limit_ms / 1000
        return sum(
            count
            for polled_at, count in self._followers.values()
            if polled_at >= oldest
        )

    def record_waiting(self, follower: VmId) -> None:
        """Record that requests wait at a follower, or further down, for items.

        It then gets changes of items at once. Other followers get them with
        the next loads: each update costs a VM as much as a request.
        """
        kept_s = self._settings.waiting_kept_ms / 1000
        was_waiting = self._is_waiting(follower)
        self._waiting_until[follower] = self._clock.monotonic() + kept_s
        if not was_waiting:
            self._notify()

    def _is_waiting(self, follower: VmId) -> bool:
        until = self._waiting_until.get(follower)
        if until is None:
            return False
        if self._clock.monotonic() < until:
            return True
        del self._waiting_until[follower]
        return False

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle_poll(self, sender: VmId, poll: FleetPoll) -> FleetUpdate:
        now = self._clock.monotonic()
        self._followers[sender] = (now, poll.entry_vm_count)
        self._recent_counts.record(self._count_attached_vms(now), now)
        hold_s = min(poll.hold_ms, self._settings.poll_hold_ms) / 1000
        with anyio.move_on_after(hold_s):
            await self._wait_for_changes(sender, poll)
        return self._create_update(poll)

    async def _wait_for_changes(self, follower: VmId, poll: FleetPoll) -> None:
        """Return when there are changes, after a short time to batch them.

        An answer costs each follower the same whatever its size, so
        changes are gathered, and those that are not urgent for longer.
        """
        with anyio.move_on_after(self._settings.load_gather_ms / 1000):
            while not self._has_urgent_changes(follower, poll):
                await self._changed.wait()
        while not self._has_urgent_changes(
            follower, poll
        ) and not self._has_changes(poll):
            await self._changed.wait()
        gather = timedelta(milliseconds=self._settings.news_gather_ms)
        await self._clock.sleep(gather)

    def _has_urgent_changes(self, follower: VmId, poll: FleetPoll) -> bool:
        return (
            poll.epoch != self._fleet_state.epoch
            or poll.revision < self._fleet_state.urgent_revision
            or (
                poll.revision < self._fleet_state.item_revision
                and self._is_waiting(follower)
            )
            or poll.revision > self._fleet_state.revision
            or poll.routes_version < self._routes.version
            or poll.quarantine_version < self._quarantine.version
            or self._find_newer_control_vms(poll) is not None
        )

    def _find_newer_control_vms(
        self, poll: FleetPoll
    ) -> tuple[VmId, ...] | None:
        """Return the control VMs if the follower should replace its list.

        A VM that has joined no group yet, or has lost contact with it, knows
        fewer or older ones than its followers may have learned elsewhere.
        """
        control_vms = self._list_control_vms()
        if not control_vms or control_vms == poll.control_vms:
            return None
        is_detached = self._detached_ms() > self._settings.detached_limit_ms
        if poll.control_vms and is_detached:
            return None
        return control_vms

    def _has_changes(self, poll: FleetPoll) -> bool:
        return poll.revision != self._fleet_state.revision

    def _create_update(self, poll: FleetPoll) -> FleetUpdate:
        is_snapshot, changed, removed = self._fleet_state.list_changes(
            poll.epoch, poll.revision
        )
        has_newer_routes = self._routes.version > poll.routes_version
        has_newer_quarantine = (
            self._quarantine.version > poll.quarantine_version
        )
        return FleetUpdate(
            epoch=self._fleet_state.epoch,
            revision=self._fleet_state.revision,
            is_complete=self._fleet_state.is_complete,
            is_snapshot=is_snapshot,
            changed=tuple(changed),
            removed=tuple(removed),
            pending_loads=self._fleet_state.list_pending_loads(),
            routes=self._routes.packed if has_newer_routes else None,
            control_vms=self._find_newer_control_vms(poll),
            detached_ms=self._detached_ms(),
            entry_vm_count=max(
                self.deployment_entry_vm_count, self.count_entry_vms()
            ),
            quarantine=self._quarantine.snapshot
            if has_newer_quarantine
            else None,
            rate_limits=self._fleet_state.list_rate_limits(),
            lifted_rate_limits=self._fleet_state.list_lifted_rate_limits(),
            watched_traits=tuple(self._fleet_state.watched_traits),
            confirmed_ms=self._confirmed_ms(),
        )


class FleetFollower:
    """Keeps this VM's fleet state and routes up to date from a source."""

    def __init__(
        self,
        network: PeerNetwork,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        quarantine: Quarantine,
        settings: FleetSettings,
        clock: Clock,
        random: random_module.Random,
        list_sources: Callable[[], Sequence[VmId]],
        count_entry_vms: Callable[[], int],
        key_permission: KeyPermission | None = None,
    ) -> None:
        self.entry_vm_count = 0
        """Number of entry VMs in the deployment, from the source."""
        self.control_vms: tuple[VmId, ...] = ()
        """The control VMs, in no order of preference."""
        self.source: VmId | None = None
        self.contact = LogContact(clock)
        self._network = network
        self._fleet_state = fleet_state
        self._routes = routes
        self._quarantine = quarantine
        self._settings = settings
        self._clock = clock
        self._random = random
        self._list_sources = list_sources
        self._count_entry_vms = count_entry_vms
        self._key_permission = key_permission
        self._epoch = ""
        self._revision = 0
        self._started_at = clock.monotonic()
        self._rejected_sources: set[VmId] = set()
        self._source_chosen_at = clock.monotonic()
        """When the current source was chosen."""
        self._control_vms_callbacks: list[Callable[[], None]] = []

    def subscribe_control_vms(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the set of control VMs changes."""
        self._control_vms_callbacks.append(callback)

    async def run(self) -> None:
        """Poll one source after another until cancelled."""
        while True:
            source = self._choose_source()
            if source is None or not await self._poll_source(source):
                jitter = 0.5 + self._random.random()
                pause = timedelta(milliseconds=self._settings.retry_ms)
                await self._clock.sleep(pause * jitter)

    def _choose_source(self) -> VmId | None:
        """Return the preferred source among those not recently rejected."""
        sources = list(self._list_sources())
        if not sources:
            return None
        age_ms = (self._clock.monotonic() - self._source_chosen_at) * 1000
        if self.source != sources[0] and age_ms > self._settings.return_ms:
            self._rejected_sources.clear()
            self.source = None
        if (
            self.source in sources
            and self.source not in self._rejected_sources
        ):
            return self.source
        reachable = [s for s in sources if self._network.is_connected(s)]
        untried = [s for s in reachable if s not in self._rejected_sources]
        if not untried:
            # All reachable sources were rejected; start again in order.
            self._rejected_sources.clear()
            untried = reachable
        if not untried:
            return None
        if untried[0] != self.source:
            events.log(
                _log,
                FleetEvent.SOURCE_CHANGED,
                source=untried[0],
                before=self.source,
                detached_ms=self.contact.detached_ms(),
            )
        self.source = untried[0]
        self._source_chosen_at = self._clock.monotonic()
        return self.source

    async def _poll_source(self, source: VmId) -> bool:
        """Poll once; return False if another source should be polled."""
        poll = FleetPoll(
            epoch=self._epoch,
            revision=self._revision,
            routes_version=self._routes.version,
            control_vms=self.control_vms,
            hold_ms=self._settings.poll_hold_ms,
            entry_vm_count=self._count_entry_vms(),
            quarantine_version=self._quarantine.version,
        )
        timeout = timedelta(
            milliseconds=self._settings.poll_hold_ms
            + self._settings.poll_grace_ms
        )
        sent_at = self._clock.monotonic()
        try:
            update = await self._network.request(source, poll, timeout)
        except PeerError as error:
            events.log(
                _log,
                FleetEvent.SOURCE_LOST,
                source=source,
                error=str(error),
            )
            self._rejected_sources.add(source)
            return False
        if not isinstance(update, FleetUpdate):
            self._rejected_sources.add(source)
            return False
        self._apply_update(update)
        self._renew_key_permission(update, sent_at)
        if update.detached_ms > self._settings.detached_limit_ms:
            self._rejected_sources.add(source)
            return len(self._list_sources()) > 1
        self._rejected_sources.discard(source)
        return True

    def _apply_update(self, update: FleetUpdate) -> None:
        if update.is_complete:
            self._epoch = update.epoch
            self._revision = update.revision
        self.entry_vm_count = update.entry_vm_count
        is_attached = update.detached_ms <= self._settings.detached_limit_ms
        self._fleet_state.apply(update)
        if update.quarantine is not None:
            self._quarantine.activate(update.quarantine)
        if update.routes is not None and (
            is_attached or self._accepts_detached_routes()
        ):
            self._routes.activate(update.routes)
        if update.control_vms is not None:
            self.control_vms = update.control_vms
            for callback in self._control_vms_callbacks:
                callback()
        self.contact.record_contact(update.detached_ms)

    def _renew_key_permission(
        self, update: FleetUpdate, sent_at: float
    ) -> None:
        """Renew the permission unless this VM lacks the source's routes."""
        if self._key_permission is None:
            return
        if update.routes is None or (
            update.routes.version <= self._routes.version
        ):
            self._key_permission.record(sent_at, update.confirmed_ms)

    def _accepts_detached_routes(self) -> bool:
        """Whether routes from a source that may be outdated are accepted.

        A VM that has just started first waits for an up-to-date source,
        so that it does not begin with old routes.
        """
        age_ms = (self._clock.monotonic() - self._started_at) * 1000
        return age_ms > self._settings.settle_ms
