"""Heartbeat-based liveness of the VMs of the same failure domain."""

from collections.abc import Iterable

import structlog

from dotterelbridge import events
from dotterelbridge.ids import VmId
from dotterelbridge.membership.events import MembershipEvent
from dotterelbridge.membership.view import MemberState

FORMER_INCARNATION_COUNT = 16
"""Earlier incarnations of a VM whose late heartbeats are recognized."""

_log = structlog.get_logger(__name__)


class VmLiveness:
    """Last heartbeat, incarnations and state of one VM."""

    def __init__(self, last_heartbeat_at: float) -> None:
        self.last_heartbeat_at = last_heartbeat_at
        self.incarnation = 0
        """0 until the first heartbeat."""
        self.former_incarnations: list[int] = []
        self.state = MemberState.SUSPECT

    def record_heartbeat(self, incarnation: int, now: float) -> bool:
        """Record a heartbeat; False when an earlier incarnation sent it."""
        if incarnation in self.former_incarnations:
            return False
        if self.incarnation and incarnation != self.incarnation:
            self.former_incarnations.append(self.incarnation)
            del self.former_incarnations[:-FORMER_INCARNATION_COUNT]
        self.incarnation = incarnation
        self.last_heartbeat_at = now
        return True


class VmTable:
    """Liveness of the VMs of this VM's failure domain."""

    def __init__(
        self,
        own_vm: VmId,
        vms: Iterable[VmId],
        suspect_after_s: float,
        lost_after_s: float,
        now: float,
    ) -> None:
        self._own_vm = own_vm
        self._suspect_after_s = suspect_after_s
        self._lost_after_s = lost_after_s
        self._liveness_by_vm = {
            vm: VmLiveness(now) for vm in vms if vm != own_vm
        }

    def record_heartbeat(self, vm: VmId, incarnation: int, now: float) -> bool:
        """Record a heartbeat; False when it must be ignored.

        Heartbeats of unknown VMs and of earlier incarnations are ignored.
        """
        liveness = self._liveness_by_vm.get(vm)
        if liveness is None:
            return False
        previous = liveness.incarnation
        if not liveness.record_heartbeat(incarnation, now):
            return False
        if previous and previous != incarnation:
            events.log(
                _log,
                MembershipEvent.VM_RESTARTED,
                vm=vm,
                incarnation=incarnation,
            )
        self._set_state(vm, liveness, MemberState.LIVE)
        return True

    def update_states(self, now: float) -> bool:
        """Update all states for missing heartbeats; True if one changed."""
        changed = False
        for vm, liveness in self._liveness_by_vm.items():
            state = self._determine_state(liveness, now)
            changed |= self._set_state(vm, liveness, state)
        return changed

    def get_state(self, vm: VmId) -> MemberState:
        """Return a VM's state; this VM itself is always live."""
        if vm == self._own_vm:
            return MemberState.LIVE
        liveness = self._liveness_by_vm.get(vm)
        return liveness.state if liveness else MemberState.LOST

    def get_incarnation(self, vm: VmId) -> int:
        """Return the incarnation in a VM's last heartbeat, or 0."""
        return self._liveness_by_vm[vm].incarnation

    def list_not_lost(self) -> list[VmId]:
        """Return this VM and those that are not lost, sorted."""
        others = [
            vm
            for vm, liveness in self._liveness_by_vm.items()
            if liveness.state is not MemberState.LOST
        ]
        return sorted([self._own_vm, *others])

    def list_others(self) -> list[VmId]:
        """Return the other VMs of the domain, sorted."""
        return sorted(self._liveness_by_vm)

    def _determine_state(
        self, liveness: VmLiveness, now: float
    ) -> MemberState:
        silence_s = now - liveness.last_heartbeat_at
        if silence_s >= self._lost_after_s:
            return MemberState.LOST
        if silence_s >= self._suspect_after_s:
            return MemberState.SUSPECT
        return liveness.state

    def _set_state(
        self, vm: VmId, liveness: VmLiveness, state: MemberState
    ) -> bool:
        if liveness.state is state:
            return False
        liveness.state = state
        events.log(
            _log,
            MembershipEvent.VM_STATE_CHANGED,
            vm=vm,
            state=state.value,
        )
        return True
