"""Which VM gives the orders, as a state machine on the replicated log."""

import msgspec

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.log import StateMachine

MACHINE_NAME = "order_holder"


class HolderClaim(msgspec.Struct, frozen=True, array_like=True):
    """A VM that leads the log in a term claims to give the orders."""

    vm: VmId
    term: Term


class HolderTable(StateMachine):
    """Remembers the newest claim and the VM that claimed before it."""

    def __init__(self) -> None:
        self._claim: HolderClaim | None = None
        self._before: VmId | None = None

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Take a claim; return who may have given orders before it."""
        claim = msgspec.msgpack.decode(command, type=HolderClaim)
        if claim != self._claim:
            self._before = self._claim.vm if self._claim else None
            self._claim = claim
        return msgspec.msgpack.encode(self._before)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self._claim, self._before))

    def restore_snapshot(self, snapshot: bytes) -> None:
        self._claim, self._before = msgspec.msgpack.decode(
            snapshot, type=tuple[HolderClaim | None, VmId | None]
        )


def encode_claim(vm: VmId, term: Term) -> bytes:
    """Return the command of a claim."""
    return msgspec.msgpack.encode(HolderClaim(vm=vm, term=term))


def decode_previous(result: bytes) -> VmId | None:
    """Return the holder before a claim; None where there was none."""
    return msgspec.msgpack.decode(result, type=VmId | None)
