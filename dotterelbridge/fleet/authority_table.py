"""Which VM gives the orders, as a state machine on the replicated log."""

import msgspec

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.log import StateMachine

MACHINE_NAME = "order_holder"


class AuthorityClaim(msgspec.Struct, frozen=True, array_like=True):
    """A VM that leads the log in a term claims to give the orders."""

    vm: VmId
    term: Term
    is_settled: bool = False
    """Whether no other VM can still give orders."""


class AuthorityTable(StateMachine):
    """Remembers who claimed last, and whom that VM has to wait for.

    A VM that claims again, perhaps after a restart, waits for nobody once
    a claim of its own was settled.
    """

    def __init__(self) -> None:
        self._claim: AuthorityClaim | None = None
        self._before: VmId | None = None
        """Who may still give orders beside the newest claim."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Take a claim; return who may still give orders, if any."""
        claim = msgspec.msgpack.decode(command, type=AuthorityClaim)
        held = self._claim
        if held is not None and claim.term < held.term:
            # On its way since before another VM was elected.
            return msgspec.msgpack.encode(held.vm)
        if held is None or claim.is_settled:
            self._before = None
        elif claim.vm != held.vm:
            self._before = held.vm
        self._claim = claim
        return msgspec.msgpack.encode(self._before)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self._claim, self._before))

    def restore_snapshot(self, snapshot: bytes) -> None:
        self._claim, self._before = msgspec.msgpack.decode(
            snapshot, type=tuple[AuthorityClaim | None, VmId | None]
        )


def encode_claim(vm: VmId, term: Term, is_settled: bool = False) -> bytes:
    """Return the command of a claim."""
    claim = AuthorityClaim(vm=vm, term=term, is_settled=is_settled)
    return msgspec.msgpack.encode(claim)


def decode_other(result: bytes) -> VmId | None:
    """Return the VM that may still give orders beside a claim, if any."""
    return msgspec.msgpack.decode(result, type=VmId | None)
