"""The replicated state machine that holds the newest routes."""

from collections.abc import Callable

import msgspec

from dotterelbridge import invariants
from dotterelbridge.ids import LogIndex
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.routes.document import NO_ROUTES
from dotterelbridge.routes.document import PackedRoutes

STATE_MACHINE_NAME = "routes"

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(PackedRoutes).decode


class RouteTable(StateMachine):
    """Holds the highest version; ignores versions that are not higher."""

    def __init__(self) -> None:
        self.newest = NO_ROUTES
        self._subscribers: list[Callable[[PackedRoutes], None]] = []

    def subscribe(self, callback: Callable[[PackedRoutes], None]) -> None:
        """Register a callback that gets each version the table takes."""
        self._subscribers.append(callback)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Store a higher version; return the newest version afterwards."""
        submitted = _decode(command)
        if submitted.version > self.newest.version:
            self._store(submitted)
        return _encode(self.newest.version)

    def take_snapshot(self) -> bytes:
        return _encode(self.newest)

    def restore_snapshot(self, snapshot: bytes) -> None:
        restored = _decode(snapshot)
        if restored == self.newest:
            return
        # An empty snapshot resets the table before a reopened log is
        # replayed.
        invariants.check(
            restored == NO_ROUTES or restored.version > self.newest.version,
            "routes_never_revert",
            held=self.newest.version,
            restored=restored.version,
        )
        self._store(restored)

    def _store(self, routes: PackedRoutes) -> None:
        self.newest = routes
        for callback in self._subscribers:
            callback(routes)


def encode_command(routes: PackedRoutes) -> bytes:
    """Return the command that submits a version."""
    return _encode(routes)


def decode_result(result: bytes) -> int:
    """Return the newest version after a command, from its result."""
    return msgspec.msgpack.decode(result, type=int)
