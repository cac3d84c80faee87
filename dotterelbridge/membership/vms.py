"""Liveness of the VMs of the own failure domain, by heartbeats."""

from collections.abc import Iterable

import structlog

from dotterelbridge import events
from dotterelbridge.ids import VmId
from dotterelbridge.membership.events import MembershipEvent
from dotterelbridge.membership.view import MemberState

FORMER_INCARNATIONS_KEPT = 16

_log = structlog.get_logger(__name__)


class VmLife:
    """What is known of one VM."""

    def __init__(self, heard_at: float) -> None:
        self.heard_at = heard_at
        self.incarnation = 0
        """0 until it was heard."""
        self.former: list[int] = []
        self.state = MemberState.SUSPECT

    def hear(self, incarnation: int, now: float) -> bool:
        """Take in a sign of life; False when an earlier life sent it."""
        if incarnation in self.former:
            return False
        if self.incarnation and incarnation != self.incarnation:
            self.former.append(self.incarnation)
            del self.former[:-FORMER_INCARNATIONS_KEPT]
        self.incarnation = incarnation
        self.heard_at = now
        return True


class VmTable:
    """The VMs of the own failure domain."""

    def __init__(
        self,
        own: VmId,
        vms: Iterable[VmId],
        suspect_after_s: float,
        lost_after_s: float,
        now: float,
    ) -> None:
        self._own = own
        self._suspect_after_s = suspect_after_s
        self._lost_after_s = lost_after_s
        self._lives = {vm: VmLife(now) for vm in vms if vm != own}

    def hear(self, vm: VmId, incarnation: int, now: float) -> bool:
        """Take in a heartbeat; False when it must be ignored."""
        life = self._lives.get(vm)
        if life is None:
            return False
        before = life.incarnation
        if not life.hear(incarnation, now):
            return False
        if before and before != incarnation:
            events.log(
                _log,
                MembershipEvent.VM_RESTARTED,
                vm=vm,
                incarnation=incarnation,
            )
        self._set_state(vm, life, MemberState.LIVE)
        return True

    def check_silence(self, now: float) -> bool:
        """Judge all VMs by their silence; True when a state changed."""
        changed = False
        for vm, life in self._lives.items():
            state = self._judge(life, now)
            changed |= self._set_state(vm, life, state)
        return changed

    def state(self, vm: VmId) -> MemberState:
        """Return a VM's state; this VM itself is live."""
        if vm == self._own:
            return MemberState.LIVE
        life = self._lives.get(vm)
        return life.state if life else MemberState.LOST

    def incarnation(self, vm: VmId) -> int:
        """Return the incarnation that a VM was last heard under."""
        return self._lives[vm].incarnation

    def not_lost(self) -> list[VmId]:
        """Return this VM and those that are not lost, sorted."""
        others = [
            vm
            for vm, life in self._lives.items()
            if life.state is not MemberState.LOST
        ]
        return sorted([self._own, *others])

    def others(self) -> list[VmId]:
        """Return the other VMs of the domain, sorted."""
        return sorted(self._lives)

    def _judge(self, life: VmLife, now: float) -> MemberState:
        silence_s = now - life.heard_at
        if silence_s >= self._lost_after_s:
            return MemberState.LOST
        if silence_s >= self._suspect_after_s:
            return MemberState.SUSPECT
        return life.state

    def _set_state(self, vm: VmId, life: VmLife, state: MemberState) -> bool:
        if life.state is state:
            return False
        life.state = state
        events.log(
            _log,
            MembershipEvent.VM_STATE_CHANGED,
            vm=vm,
            state=state.value,
        )
        return True
