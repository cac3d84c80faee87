"""Records the rate limits of targets in the fleet state of all VMs."""

from collections.abc import Callable

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.registry import RateLimitRegistry


class RateLimitRecorder:
    """Handles the notices of the VMs that follow through this VM.

    The leader of the log records limits for all VMs. A VM that is cut off
    from the leader records them for its own followers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet_state: FleetState,
        clock: Clock,
        get_led_term: Callable[[], Term | None],
        get_leader: Callable[[], VmId | None],
        is_detached: Callable[[], bool],
    ) -> None:
        """Create the recorder of a control VM.

        :param get_led_term: returns the term that this VM leads, or None.
        :param is_detached: whether this VM is cut off from the leader.
        """
        self._network = network
        self._fleet_state = fleet_state
        self._get_led_term = get_led_term
        self._get_leader = get_leader
        self._is_detached = is_detached
        self._registry = RateLimitRegistry(clock)
        network.register_handler(RateLimitNotice, self._handle_notice)

    async def _handle_notice(
        self, sender: VmId, notice: RateLimitNotice
    ) -> None:
        if self._get_led_term() is not None or self._is_detached():
            self._record(notice)
            return
        leader = self._get_leader()
        if leader is not None and sender != leader:
            self._network.send(leader, notice)

    def _record(self, notice: RateLimitNotice) -> None:
        """Apply a notice, unless its target is gone."""
        incarnations = {
            (target.target, target.born)
            for target in self._fleet_state.targets.values()
        }
        if (notice.target, notice.born) not in incarnations:
            return
        self._registry.retain(incarnations)
        limits = self._registry.apply(notice, self._fleet_state.rate_limits)
        known = self._fleet_state.rate_limits
        lifted = self._fleet_state.lifted_rate_limits | {
            incarnation: known[incarnation]
            for incarnation in known.keys() - limits.keys()
        }
        self._fleet_state.update(
            rate_limits={
                incarnation: limit
                for incarnation, limit in limits.items()
                if incarnation in incarnations
            },
            lifted_rate_limits={
                incarnation: limit
                for incarnation, limit in lifted.items()
                if incarnation in incarnations and incarnation not in limits
            },
        )
