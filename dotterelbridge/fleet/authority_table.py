"""Replicated state machine that records which VM may send orders."""

import msgspec

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.log import StateMachine

STATE_MACHINE_NAME = "order_holder"


class AuthorityClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claims the authority for the VM that leads the log in a term."""

    vm: VmId
    term: Term
    is_exclusive: bool = False
    """Whether no other VM can still send orders."""


class AuthorityTable(StateMachine):
    """Records the latest claim and the VM that its holder must wait for.

    A VM that claims again, perhaps after a restart, does not wait if its
    previous claim was already exclusive.
    """

    def __init__(self) -> None:
        self._current_claim: AuthorityClaim | None = None
        self._previous_vm: VmId | None = None
        """The VM that may still send orders besides the latest claimant."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a claim; return the VM that may still send orders, if any."""
        claim = msgspec.msgpack.decode(command, type=AuthorityClaim)
        current = self._current_claim
        if current is not None and claim.term < current.term:
            # A late claim, proposed before another VM was elected.
            return msgspec.msgpack.encode(current.vm)
        if current is None or claim.is_exclusive:
            self._previous_vm = None
        elif claim.vm != current.vm:
            self._previous_vm = current.vm
        self._current_claim = claim
        return msgspec.msgpack.encode(self._previous_vm)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self._current_claim, self._previous_vm))

    def restore_snapshot(self, snapshot: bytes) -> None:
        self._current_claim, self._previous_vm = msgspec.msgpack.decode(
            snapshot, type=tuple[AuthorityClaim | None, VmId | None]
        )


def encode_claim(vm: VmId, term: Term, is_exclusive: bool = False) -> bytes:
    """Return the log command of a claim."""
    claim = AuthorityClaim(vm=vm, term=term, is_exclusive=is_exclusive)
    return msgspec.msgpack.encode(claim)


def decode_previous_holder(result: bytes) -> VmId | None:
    """Return the VM that may still send orders after a claim, if any."""
    return msgspec.msgpack.decode(result, type=VmId | None)
