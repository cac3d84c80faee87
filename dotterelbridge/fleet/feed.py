"""Spreads the fleet's state and the routes from VM to VM.

Each VM polls one source, and a source answers when it has news. The VM
that gives orders feeds the other control VMs, and each of these the
entry VMs of its failure domain, so that one copy crosses each link
between failure domains.
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
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.sheet.feed import LogContact

_log = structlog.get_logger(__name__)


class FleetFeed:
    """Answers polls of other VMs."""

    def __init__(
        self,
        network: PeerNetwork,
        board: FleetState,
        routes: ActiveRoutes,
        settings: FleetSettings,
        clock: Clock,
        detached_ms: Callable[[], int],
        list_control_vms: Callable[[], tuple[VmId, ...]],
    ) -> None:
        self._board = board
        self._routes = routes
        self._settings = settings
        self._clock = clock
        self._detached_ms = detached_ms
        self._list_control_vms = list_control_vms
        self._followers: dict[VmId, tuple[float, int]] = {}
        self._changed = anyio.Event()
        self.deployment_entry_vm_count = 0
        """Entry VMs of the deployment, as the own source counts them."""
        board.subscribe(self._wake)
        routes.subscribe(self._wake)
        network.handle(FleetPoll, self._answer)

    def count_entry_vms(self) -> int:
        """Return the entry VMs that follow by way of this VM."""
        oldest = self._clock.monotonic() - self._settings.follower_kept_s
        for vm, (polled_at, _) in list(self._followers.items()):
            if polled_at < oldest:
                del self._followers[vm]
        return sum(count for _, count in self._followers.values())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _answer(self, sender: VmId, poll: FleetPoll) -> FleetUpdate:
        self._followers[sender] = (
            self._clock.monotonic(),
            poll.entry_vm_count,
        )
        hold_s = min(poll.hold_ms, self._settings.poll_hold_ms) / 1000
        with anyio.move_on_after(hold_s):
            await self._wait_for_news(poll)
        return self._create_news(poll)

    async def _wait_for_news(self, poll: FleetPoll) -> None:
        """Return when there is news, with what has come shortly after.

        Each answer costs every VM that follows the same, however much is
        in it; loads alone may come a little late.
        """
        with anyio.move_on_after(self._settings.load_gather_ms / 1000):
            while not self._has_urgent_news(poll):
                await self._changed.wait()
        while not self._has_urgent_news(poll) and not self._has_any_news(poll):
            await self._changed.wait()
        gather = timedelta(milliseconds=self._settings.news_gather_ms)
        await self._clock.sleep(gather)

    def _has_urgent_news(self, poll: FleetPoll) -> bool:
        return (
            poll.epoch != self._board.epoch
            or poll.revision < self._board.urgent_revision
            or poll.revision > self._board.revision
            or poll.routes_version < self._routes.version
            or poll.control_vms != self._list_control_vms()
        )

    def _has_any_news(self, poll: FleetPoll) -> bool:
        return poll.revision != self._board.revision

    def _create_news(self, poll: FleetPoll) -> FleetUpdate:
        is_snapshot, changed, removed = self._board.list_changes(
            poll.epoch, poll.revision
        )
        newer = self._routes.version > poll.routes_version
        control_vms = self._list_control_vms()
        return FleetUpdate(
            epoch=self._board.epoch,
            revision=self._board.revision,
            is_complete=self._board.is_complete,
            is_snapshot=is_snapshot,
            changed=tuple(changed),
            removed=tuple(removed),
            pending_loads=self._board.list_pending_loads(),
            routes=self._routes.packed if newer else None,
            control_vms=None
            if control_vms == poll.control_vms
            else control_vms,
            detached_ms=self._detached_ms(),
            entry_vm_count=max(
                self.deployment_entry_vm_count, self.count_entry_vms()
            ),
        )


class FleetFollower:
    """Keeps this VM's board and routes up to date from a source."""

    def __init__(
        self,
        network: PeerNetwork,
        board: FleetState,
        routes: ActiveRoutes,
        settings: FleetSettings,
        clock: Clock,
        random: random_module.Random,
        list_sources: Callable[[], Sequence[VmId]],
        count_entry_vms: Callable[[], int],
    ) -> None:
        self.entry_vm_count = 0
        """Entry VMs of the deployment, as the source counts them."""
        self.control_vms: tuple[VmId, ...] = ()
        """The control VMs, the preferred ones not first."""
        self.source: VmId | None = None
        self.contact = LogContact(clock)
        self._network = network
        self._board = board
        self._routes = routes
        self._settings = settings
        self._clock = clock
        self._random = random
        self._list_sources = list_sources
        self._count_entry_vms = count_entry_vms
        self._epoch = ""
        self._revision = 0
        self._started_at = clock.monotonic()
        self._tried: set[VmId] = set()
        self._since = clock.monotonic()
        """When the present source was chosen."""
        self._control_vms_callbacks: list[Callable[[], None]] = []

    def subscribe_control_vms(self, callback: Callable[[], None]) -> None:
        """Call back when the control VMs changed."""
        self._control_vms_callbacks.append(callback)

    async def run(self) -> None:
        """Poll one source after another until cancelled."""
        while True:
            source = self._choose_source()
            if source is None or not await self._poll(source):
                share = 0.5 + self._random.random()
                pause = timedelta(milliseconds=self._settings.retry_ms)
                await self._clock.sleep(pause * share)

    def _choose_source(self) -> VmId | None:
        """Return the best source that was not found wanting just now."""
        sources = list(self._list_sources())
        if not sources:
            return None
        age_ms = (self._clock.monotonic() - self._since) * 1000
        if self.source != sources[0] and age_ms > self._settings.return_ms:
            self._tried.clear()
            self.source = None
        if self.source in sources and self.source not in self._tried:
            return self.source
        reachable = [s for s in sources if self._network.connected(s)]
        fresh = [s for s in reachable if s not in self._tried]
        if not fresh:
            # Every one was tried; the first again, in order.
            self._tried.clear()
            fresh = reachable
        if not fresh:
            return None
        if fresh[0] != self.source:
            events.log(
                _log,
                FleetEvent.SOURCE_CHANGED,
                source=fresh[0],
                before=self.source,
                detached_ms=self.contact.detached_ms(),
            )
        self.source = fresh[0]
        self._since = self._clock.monotonic()
        return self.source

    async def _poll(self, source: VmId) -> bool:
        """Take one answer; False where another source should be asked."""
        poll = FleetPoll(
            epoch=self._epoch,
            revision=self._revision,
            routes_version=self._routes.version,
            control_vms=self.control_vms,
            hold_ms=self._settings.poll_hold_ms,
            entry_vm_count=self._count_entry_vms(),
        )
        patience = timedelta(
            milliseconds=self._settings.poll_hold_ms
            + self._settings.poll_grace_ms
        )
        try:
            news = await self._network.request(source, poll, patience)
        except PeerError as error:
            events.log(
                _log,
                FleetEvent.SOURCE_LOST,
                source=source,
                error=str(error),
            )
            self._tried.add(source)
            return False
        if not isinstance(news, FleetUpdate):
            self._tried.add(source)
            return False
        self._take(news)
        if news.detached_ms > self._settings.detached_limit_ms:
            self._tried.add(source)
            return len(self._list_sources()) > 1
        self._tried.discard(source)
        return True

    def _take(self, news: FleetUpdate) -> None:
        if news.is_complete:
            self._epoch = news.epoch
            self._revision = news.revision
        self.entry_vm_count = news.entry_vm_count
        self._board.apply(news)
        is_attached = news.detached_ms <= self._settings.detached_limit_ms
        if news.routes is not None and (is_attached or self._is_settled()):
            self._routes.activate(news.routes)
        if news.control_vms is not None:
            self.control_vms = news.control_vms
            for callback in self._control_vms_callbacks:
                callback()
        self.contact.record_contact(news.detached_ms)

    def _is_settled(self) -> bool:
        """Whether a detached source's routes are better than none.

        A VM that has just started waits for a source that is certainly
        up to date, so that it does not begin with older routes.
        """
        age_ms = (self._clock.monotonic() - self._started_at) * 1000
        return age_ms > self._settings.settle_ms
