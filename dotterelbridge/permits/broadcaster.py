"""Shares rate limits among VMs that are linked with the leader of the log."""

from collections.abc import Callable
from collections.abc import Mapping
from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.messages import RateLimit
from dotterelbridge.permits.messages import RateLimitList
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.registry import RateLimitRegistry

_INTERVAL = timedelta(seconds=1)
"""Time between two lists, from which VMs learn that missed the latest."""


class RateLimitBroadcaster:
    """On the leader, sends all VMs the limits that any of them reported."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
    ) -> None:
        """Create the broadcaster of a VM.

        :param get_led_term: returns the term that this VM leads, or None.
        """
        self._network = network
        self._clock = clock
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        self._registry = RateLimitRegistry(clock)
        self._limits: dict[Incarnation, float] = {}
        self._term: Term | None = None
        """The term of the latest list."""
        self._is_list_due = False
        self._subscribers: list[
            Callable[[Mapping[Incarnation, float]], None]
        ] = []
        network.register_handler(RateLimitNotice, self._handle_notice)
        network.register_handler(RateLimitList, self._handle_list)

    def subscribe(
        self, callback: Callable[[Mapping[Incarnation, float]], None]
    ) -> None:
        """Call ``callback`` with all limits in force after each list."""
        self._subscribers.append(callback)

    async def run(self) -> None:
        """Repeat the list while this VM leads, until cancelled."""
        while True:
            await self._clock.sleep(_INTERVAL)
            term = self._get_led_term()
            if term is not None and (self._limits or self._is_list_due):
                self._is_list_due = bool(self._limits)
                self._broadcast(term)

    def record(self, notice: RateLimitNotice) -> None:
        """Record a notice on the leader, or pass it on to the leader."""
        term = self._get_led_term()
        if term is not None:
            limits = self._registry.apply(notice, self._limits)
            if limits != self._limits:
                self._limits = limits
                self._is_list_due = True
                self._broadcast(term)
            return
        leader = self._get_leader()
        if leader is not None and leader != self._network.own_id:
            self._network.send(leader, notice)

    def _broadcast(self, term: Term) -> None:
        self._term = term
        message = RateLimitList(
            term=term,
            limits=tuple(
                RateLimit(target, born, requests_per_s)
                for (target, born), requests_per_s in self._limits.items()
            ),
        )
        for peer in self._network.list_peers():
            self._network.send(peer, message)
        self._notify()

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback(self._limits)

    async def _handle_notice(
        self, sender: VmId, notice: RateLimitNotice
    ) -> None:
        if sender != self._get_leader():
            self.record(notice)

    async def _handle_list(self, sender: VmId, message: RateLimitList) -> None:
        if self._term is not None and message.term < self._term:
            return
        self._term = message.term
        self._limits = {
            (limit.target, limit.born): limit.requests_per_s
            for limit in message.limits
        }
        self._notify()
