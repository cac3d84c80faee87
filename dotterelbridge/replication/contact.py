"""The VM to which a VM sends what is meant for the leader of the log."""

from collections.abc import Callable
from collections.abc import Sequence
import random as random_module

from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork


class LeaderContact:
    """The leader, or any voter, which passes messages on to the leader."""

    def __init__(
        self,
        network: PeerNetwork,
        get_leader: Callable[[], VmId | None],
        voters: Sequence[VmId],
        rng: random_module.Random,
    ) -> None:
        self._network = network
        self._get_leader = get_leader
        self._voters = voters
        self._random = rng

    def find(self) -> VmId | None:
        """Return a connected VM, or None if there is none."""
        leader = self._get_leader()
        if leader is not None and self._network.is_connected(leader):
            return leader
        connected = [v for v in self._voters if self._network.is_connected(v)]
        return self._random.choice(connected) if connected else None
