"""The VMs that a member asks for its group and the leader."""

from collections.abc import Callable
from collections.abc import Sequence

from dotterelbridge.ids import VmId
from dotterelbridge.replication.state import MemberState


class Contacts:
    """The members that are known, the seeds, and VMs that sent messages.

    A VM whose disk was lost knows no members. The group does, and sends its
    messages to the former identity. Their senders are asked too, because the
    seeds may be gone, or empty as well.
    """

    def __init__(
        self, state: MemberState, list_seeds: Callable[[], Sequence[VmId]]
    ) -> None:
        self._state = state
        self._list_seeds = list_seeds
        self._senders: dict[VmId, None] = {}

    def list_vms(self) -> list[VmId]:
        """Return the VMs to ask."""
        members = [m.vm for m in self._state.configuration.members]
        return list(
            dict.fromkeys([*members, *self._list_seeds(), *self._senders])
        )

    def record_sender(self, vm: VmId) -> None:
        """Record that a VM sent a message of a member to another."""
        if self._state.configuration.members:
            self._senders.clear()
        else:
            self._senders[vm] = None
