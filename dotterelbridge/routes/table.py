"""The routes as a state machine on the replicated log."""

from collections.abc import Callable

import msgspec

from dotterelbridge import invariants
from dotterelbridge.ids import LogIndex
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.routes.document import NO_ROUTES
from dotterelbridge.routes.document import PackedRoutes

MACHINE_NAME = "routes"

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(PackedRoutes).decode


class RouteTable(StateMachine):
    """Holds the highest version; a known or lower one changes nothing."""

    def __init__(self) -> None:
        self.held = NO_ROUTES
        self._subscribers: list[Callable[[PackedRoutes], None]] = []

    def subscribe(self, callback: Callable[[PackedRoutes], None]) -> None:
        """Call back with each version that is taken."""
        self._subscribers.append(callback)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Take a higher version; return the version held afterwards."""
        offered = _decode(command)
        if offered.version > self.held.version:
            self._hold(offered)
        return _encode(self.held.version)

    def take_snapshot(self) -> bytes:
        return _encode(self.held)

    def restore_snapshot(self, snapshot: bytes) -> None:
        restored = _decode(snapshot)
        if restored == self.held:
            return
        # An empty state begins a life that replays the log anew.
        invariants.check(
            restored == NO_ROUTES or restored.version > self.held.version,
            "routes_never_revert",
            held=self.held.version,
            restored=restored.version,
        )
        self._hold(restored)

    def _hold(self, routes: PackedRoutes) -> None:
        self.held = routes
        for callback in self._subscribers:
            callback(routes)


def encode_command(routes: PackedRoutes) -> bytes:
    """Return the command that offers a version."""
    return _encode(routes)


def decode_result(result: bytes) -> int:
    """Return the version that is held after a command."""
    return msgspec.msgpack.decode(result, type=int)
