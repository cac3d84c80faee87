"""How parts of one daemon reach the same parts of another."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta

from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message

Handler = Callable[[VmId, Message], Awaitable[Message | None]]
"""Takes the sender and the message; returns the answer to a request."""


class PeerNetwork(abc.ABC):
    """Messages to and from the other daemons of the deployment."""

    @property
    @abc.abstractmethod
    def own_id(self) -> VmId:
        """Name of this VM."""

    @abc.abstractmethod
    def list_peers(self) -> list[VmId]:
        """Return all configured peers, without this VM, sorted."""

    @abc.abstractmethod
    def is_connected(self, peer: VmId) -> bool:
        """Return whether a live link to the peer is up."""

    @abc.abstractmethod
    def register_handler(
        self, message_type: type[Message], handler: Handler
    ) -> None:
        """Register the one handler of a message type."""

    @abc.abstractmethod
    def send(self, peer: VmId, message: Message) -> bool:
        """Queue a message without waiting for an answer.

        Returns False when it was dropped: no link, or a full queue.
        """

    @abc.abstractmethod
    async def request(
        self, peer: VmId, message: Message, timeout: timedelta
    ) -> Message:
        """Send a message and wait for its answer.

        :raises PeerUnreachable: no link, link lost, or timeout; whether
            the peer handled the message is then unknown.
        """
