"""Lets several replicated logs of one VM share the peer network."""

from collections.abc import Awaitable
from collections.abc import Callable
import weakref

from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.messages import GroupMessage

GroupHandler = Callable[[VmId, GroupMessage], Awaitable[Message | None]]


class LogRouter:
    """Dispatches each message to the log that it names."""

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._handlers: dict[tuple[type[GroupMessage], str], GroupHandler] = {}

    def register_handler(
        self,
        log_name: str,
        message_type: type[GroupMessage],
        handler: GroupHandler,
    ) -> None:
        """Register the handler of a message type for one log."""
        self._handlers[(message_type, log_name)] = handler
        self._network.register_handler(message_type, self._dispatch)

    async def _dispatch(
        self, sender: VmId, message: GroupMessage
    ) -> Message | None:
        handler = self._handlers.get((type(message), message.log_name))
        if handler is None:
            return None
        return await handler(sender, message)


_routers: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()


def get_log_router(network: PeerNetwork) -> LogRouter:
    """Return the router of a network; all its logs share one."""
    if network not in _routers:
        _routers[network] = LogRouter(network)
    return _routers[network]
