"""Byte counters of the links, by peer and distance."""

import enum

from dotterelbridge import metrics
from dotterelbridge.membership.view import VmInfo

_sent_bytes = metrics.meter.create_counter(
    "dotterelbridge.peers.sent",
    unit="By",
    description="Frame bytes sent to peers, by peer and distance",
)
_received_bytes = metrics.meter.create_counter(
    "dotterelbridge.peers.received",
    unit="By",
    description="Frame bytes received from peers, by peer and distance",
)


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
        self._labels = {"peer": peer.vm, "distance": self.distance.value}

    def count_sent(self, size: int) -> None:
        """Add the size of a sent frame, in bytes."""
        self.sent_bytes += size
        _sent_bytes.add(size, self._labels)

    def count_received(self, size: int) -> None:
        """Add the size of a received frame, in bytes."""
        self.received_bytes += size
        _received_bytes.add(size, self._labels)


def _find_distance(own_info: VmInfo, peer: VmInfo) -> Distance:
    if own_info.failure_domain == peer.failure_domain:
        return Distance.FAILURE_DOMAIN
    if own_info.region == peer.region:
        return Distance.REGION
    return Distance.OTHER_REGION
