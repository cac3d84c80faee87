"""Sends records of streams to two control VMs in different failure domains."""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import timedelta
import itertools
from typing import NamedTuple

from dotterelbridge.clock import Clock
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.resumption.messages import BegunStream
from dotterelbridge.resumption.messages import StreamsBegun

_RESEND_WINDOW_S = 10.0
"""Age up to which records are sent again to a VM that replaces another: a
link may have been dead for its silence limit and a ping interval."""
_MAX_HELD = 5000
"""Records that wait for a link, or may have to be sent again."""
_MAX_BATCH = 500
"""Records in one message."""


class ControlLink(NamedTuple):
    """A control VM to which a link is up."""

    vm: VmId
    failure_domain: FailureDomain


class _HeldStream(NamedTuple):
    """A stream that was sent, or waits to be."""

    stream: BegunStream
    since: float
    """Monotonic time of the record."""


class CopySender:
    """Keeps one control VM informed; another one follows when it is lost.

    A message may be lost with its link, unnoticed. All records of the last
    seconds are therefore sent again to the VM that takes the other's place.
    """

    def __init__(self, network: PeerNetwork, clock: Clock) -> None:
        self._network = network
        self._clock = clock
        self._vm: VmId | None = None
        self._unsent: deque[_HeldStream] = deque(maxlen=_MAX_HELD)
        self._sent: deque[_HeldStream] = deque(maxlen=_MAX_HELD)

    @property
    def is_empty(self) -> bool:
        """Whether no record waits to be sent."""
        return not self._unsent

    def add(self, stream: BegunStream) -> None:
        """Send a record with the next batch."""
        self._unsent.append(_HeldStream(stream, self._clock.monotonic()))

    def flush(self, vm: VmId | None) -> None:
        """Send all records that wait.

        :param vm: the control VM to inform; None if none is linked.
        """
        self._drop_old()
        if vm is None:
            self._vm = None
            return
        if vm != self._vm:
            # New ones last, so that they are kept if there are too many.
            self._unsent = deque((*self._sent, *self._unsent), _MAX_HELD)
            self._sent.clear()
            self._vm = vm
        while self._unsent:
            batch = list(itertools.islice(self._unsent, _MAX_BATCH))
            message = StreamsBegun(streams=tuple(h.stream for h in batch))
            if not self._network.send(vm, message):
                return
            for _ in batch:
                self._sent.append(self._unsent.popleft())

    def _drop_old(self) -> None:
        now = self._clock.monotonic()
        while self._sent and self._sent[0].since < now - _RESEND_WINDOW_S:
            self._sent.popleft()
        while self._unsent and _is_expired(self._unsent[0], now):
            self._unsent.popleft()


class CopySenders:
    """Sends each record to the nearest control VM and to a distant one."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        list_links: Callable[[], Sequence[ControlLink]],
    ) -> None:
        """Create the senders.

        :param list_links: returns the linked control VMs, the nearest first.
        """
        self._senders = (
            CopySender(network, clock),
            CopySender(network, clock),
        )
        self._list_links = list_links

    @property
    def is_empty(self) -> bool:
        """Whether no record waits to be sent."""
        return all(sender.is_empty for sender in self._senders)

    def add(self, stream: BegunStream) -> None:
        """Send a record with the next batch."""
        for sender in self._senders:
            sender.add(stream)

    def flush(self) -> None:
        """Send all records that wait and that a link is up for."""
        chosen = choose_holders(self._list_links())
        for sender, vm in itertools.zip_longest(self._senders, chosen):
            sender.flush(vm)


def choose_holders(links: Iterable[ControlLink]) -> list[VmId]:
    """Return at most two control VMs, in different domains if possible.

    :param links: the nearest first.
    """
    links = list(links)
    if not links:
        return []
    nearest, *others = links
    others.sort(key=lambda x: x.failure_domain == nearest.failure_domain)
    return [nearest.vm, *(link.vm for link in others[:1])]


def _is_expired(held: _HeldStream, now: float) -> bool:
    keep = timedelta(milliseconds=held.stream.keep_ms)
    return held.since + keep.total_seconds() < now
