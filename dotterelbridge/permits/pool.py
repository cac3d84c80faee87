"""The permits that a VM holds or has ordered."""

import abc
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta
import enum
import math
import random

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Incarnation
from dotterelbridge.permits import instruments
from dotterelbridge.permits.events import PermitEvent
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict
from dotterelbridge.permits.messages import RateLimitNotice

_log = structlog.get_logger(__name__)

PERMIT_LIFETIME_S = 1.0
"""Time for which a permit can be used."""
_RESERVED_S = PERMIT_LIFETIME_S / 2
"""Time for which it is reserved for interactive requests."""
_OWN_ISSUER_AFTER_S = 1.5
"""Time without a reply after which a VM issues its share by itself; in a
shorter time a new leader is elected."""
_RETRY_S = 0.1
"""Time until a permit is ordered again after an order without a reply."""
_DENIAL_PAUSE_S = 0.05
"""Time until a permit is ordered again after a denial."""
_MS_PER_S = 1000


class PermitChannel(abc.ABC):
    """Asks the issuer of the deployment for permits."""

    @property
    @abc.abstractmethod
    def is_cut_off(self) -> bool:
        """Whether no issuer can be reached, as far as is known."""

    @abc.abstractmethod
    async def request(self, request: PermitRequest) -> PermitReply:
        """Return the issuer's decision.

        :raises PeerError: no issuer can be reached.
        """

    @abc.abstractmethod
    def send_notice(self, notice: RateLimitNotice) -> None:
        """Send a notice to the leader of the log; it may get lost."""


class PermitState(enum.Enum):
    """What became of an order for a permit."""

    ORDERED = "ordered"
    GRANTED = "granted"
    DENIED = "denied"
    SPENT = "spent"


class Permit:
    """Permission to send one request to a target."""

    def __init__(self, request: PermitRequest, is_interactive: bool) -> None:
        self.request = request
        self.is_interactive = is_interactive
        """Whether an interactive request ordered it."""
        self.state = PermitState.ORDERED
        self.usable_at = math.inf
        """Monotonic time in seconds."""

    @property
    def incarnation(self) -> Incarnation:
        """The target that the permit is for."""
        return self.request.target, self.request.born

    def is_open(self, now: float) -> bool:
        """Whether it is, or may become, usable."""
        if self.state is PermitState.GRANTED:
            return now < self.usable_at + PERMIT_LIFETIME_S
        return self.state is PermitState.ORDERED

    def is_usable(self, now: float, is_interactive: bool) -> bool:
        """Whether a request may be sent with it now.

        Others get what interactive requests have ordered only if these leave
        it unused.
        """
        usable_at = self.usable_at
        if self.is_interactive and not is_interactive:
            usable_at += _RESERVED_S
        return (
            self.state is PermitState.GRANTED
            and usable_at <= now < self.usable_at + PERMIT_LIFETIME_S
        )


class PermitPool:
    """Orders permits and keeps them until they are spent or too old."""

    def __init__(
        self,
        channel: PermitChannel,
        own_issuer: PermitIssuer,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty pool.

        :param own_issuer: issues this VM's share of the limits while no
            other issuer can be reached.
        :param on_change: called when a permit becomes usable or was denied.
        """
        self._channel = channel
        self._own_issuer = own_issuer
        self._clock = clock
        self._random = rng
        self._on_change = on_change
        self._permits: dict[Incarnation, list[Permit]] = defaultdict(list)
        self._next_place_at: dict[Incarnation, float] = {}
        """Monotonic time of the next permit to be had, after a denial."""
        self._orders: list[Permit] = []
        self._has_orders = anyio.Event()
        self._failing_since: float | None = None
        """Monotonic time from which no order was answered."""
        self._retry_at = -math.inf
        """Monotonic time from which orders are sent again after a failure."""
        self._denied_at: dict[Incarnation, float] = {}
        """Monotonic time of the latest denial."""

    def can_order(self, incarnation: Incarnation) -> bool:
        """Whether an order may have another answer than the latest one."""
        denied_at = self._denied_at.get(incarnation, -math.inf)
        now = self._clock.monotonic()
        return now >= max(self._retry_at, denied_at + _DENIAL_PAUSE_S)

    def order(
        self,
        incarnation: Incarnation,
        requests_per_s: float,
        max_wait: timedelta,
        vm_count: int,
        is_interactive: bool,
    ) -> Permit:
        """Order a permit that is usable within ``max_wait``."""
        target, born = incarnation
        permit = Permit(
            PermitRequest(
                target=target,
                born=born,
                requests_per_s=requests_per_s,
                max_wait_ms=int(max_wait.total_seconds() * _MS_PER_S),
                vm_count=vm_count,
            ),
            is_interactive,
        )
        self._permits[incarnation].append(permit)
        self._orders.append(permit)
        self._has_orders.set()
        return permit

    def find_usable(
        self, incarnation: Incarnation, is_interactive: bool
    ) -> Permit | None:
        """Return the oldest permit that can be used now."""
        now = self._clock.monotonic()
        usable = [
            permit
            for permit in self._permits.get(incarnation, ())
            if permit.is_usable(now, is_interactive)
        ]
        return min(usable, key=lambda p: p.usable_at, default=None)

    def has_open(self, incarnation: Incarnation) -> bool:
        """Whether a permit is ordered or held."""
        now = self._clock.monotonic()
        return any(p.is_open(now) for p in self._permits.get(incarnation, ()))

    def find_next_place_s(self, incarnation: Incarnation) -> float:
        """Return the seconds until a permit may be had; 0 if unknown."""
        next_place_at = self._next_place_at.get(incarnation, -math.inf)
        return max(0.0, next_place_at - self._clock.monotonic())

    def spend(self, permit: Permit) -> None:
        """Record that a request was sent with a permit."""
        permit.state = PermitState.SPENT
        self._permits[permit.incarnation].remove(permit)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the permits for a target without a limit."""
        self._permits.pop(incarnation, None)
        self._next_place_at.pop(incarnation, None)
        self._denied_at.pop(incarnation, None)

    def count_open(self) -> int:
        """Return the number of permits that are ordered or held."""
        now = self._clock.monotonic()
        return sum(
            permit.is_open(now)
            for permits in self._permits.values()
            for permit in permits
        )

    async def run(self) -> None:
        """Send orders until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                while self._orders:
                    group.start_soon(self._carry_out, self._orders.pop(0))
                self._has_orders = anyio.Event()
                await self._has_orders.wait()

    async def _carry_out(self, permit: Permit) -> None:
        reply = await self._request(permit.request)
        instruments.permits.add(1, {"verdict": reply.verdict.value})
        now = self._clock.monotonic()
        self._remove_old(permit.incarnation, now)
        wait_s = reply.wait_ms / _MS_PER_S
        if reply.verdict is PermitVerdict.GRANTED:
            permit.state = PermitState.GRANTED
            permit.usable_at = now + wait_s
            self._next_place_at.pop(permit.incarnation, None)
            if wait_s:
                await self._clock.sleep(timedelta(seconds=wait_s))
                # A timer may end a little early.
                permit.usable_at = min(
                    permit.usable_at, self._clock.monotonic()
                )
        else:
            permit.state = PermitState.DENIED
            if reply.verdict is PermitVerdict.DENIED:
                self._next_place_at[permit.incarnation] = now + wait_s
                self._denied_at[permit.incarnation] = now
            else:
                delay_s = self._random.uniform(_RETRY_S / 2, _RETRY_S)
                self._retry_at = now + delay_s
        self._on_change()

    async def _request(self, request: PermitRequest) -> PermitReply:
        """Ask the issuer, or this VM's own one if there is no other."""
        if self._channel.is_cut_off:
            return self._own_issuer.decide(request)
        try:
            reply = await self._channel.request(request)
        except PeerError:
            reply = PermitReply(verdict=PermitVerdict.UNAVAILABLE)
        now = self._clock.monotonic()
        if reply.verdict is not PermitVerdict.UNAVAILABLE:
            if self._failing_since is not None:
                self._failing_since = None
                events.log(_log, PermitEvent.ISSUER_REACHED)
            return reply
        if self._failing_since is None:
            self._failing_since = now
            events.log(_log, PermitEvent.ISSUER_LOST, target=request.target)
        if now - self._failing_since < _OWN_ISSUER_AFTER_S:
            return reply
        return self._own_issuer.decide(request)

    def _remove_old(self, incarnation: Incarnation, now: float) -> None:
        open_permits = [
            permit
            for permit in self._permits.pop(incarnation, ())
            if permit.is_open(now)
        ]
        if open_permits:
            self._permits[incarnation] = open_permits
