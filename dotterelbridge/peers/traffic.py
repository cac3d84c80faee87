"""Byte counters of the links, by peer and distance."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import weakref

from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation

from dotterelbridge import metrics
from dotterelbridge.membership.view import VmInfo

_counters: "weakref.WeakSet[TrafficCounter]" = weakref.WeakSet()
"""All counters of this process. Their values are read at each collection:
updating an instrument costs as much as reading a small frame."""


class Distance(enum.Enum):
    """Distance of a peer; traffic between regions is billed by volume."""

    FAILURE_DOMAIN = "failure_domain"
    REGION = "region"
    OTHER_REGION = "other_region"


class TrafficCounter:
    """Bytes exchanged with one peer over all links since the start."""

    def __init__(self, own_info: VmInfo, peer: VmInfo) -> None:
        self.distance = _find_distance(own_info, peer)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.labels = {"peer": peer.vm, "distance": self.distance.value}
        _counters.add(self)

    def count_sent(self, size: int) -> None:
        """Add the size of a sent frame, in bytes."""
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Add the size of a received frame, in bytes."""
        self.received_bytes += size


def _observe(
    read_value: Callable[[TrafficCounter], int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return a callback that observes a value of every counter."""

    def observe(_: CallbackOptions) -> Iterable[Observation]:
        for counter in list(_counters):
            yield Observation(read_value(counter), counter.labels)

    return observe


metrics.meter.create_observable_counter(
    "dotterelbridge.peers.sent",
    callbacks=[_observe(lambda counter: counter.sent_bytes)],
    unit="By",
    description="Frame bytes sent to peers, by peer and distance",
)
metrics.meter.create_observable_counter(
    "dotterelbridge.peers.received",
    callbacks=[_observe(lambda counter: counter.received_bytes)],
    unit="By",
    description="Frame bytes received from peers, by peer and distance",
)


def _find_distance(own_info: VmInfo, peer: VmInfo) -> Distance:
    if own_info.failure_domain == peer.failure_domain:
        return Distance.FAILURE_DOMAIN
    if own_info.region == peer.region:
        return Distance.REGION
    return Distance.OTHER_REGION
