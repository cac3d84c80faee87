"""Interface for messages between components of different daemons."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta

from dotterelbridge.ids import VmId
from dotterelbridge.peers.messages import Message

Handler = Callable[[VmId, Message], Awaitable[Message | None]]
"""Called with sender and message; returns the answer to a request."""


class PeerNetwork(abc.ABC):
    """Sends messages to, and receives them from, the other daemons."""

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
        """Register the only handler of a message type."""

    @abc.abstractmethod
    def send(self, peer: VmId, message: Message) -> bool:
        """Queue a message without waiting for an answer.

        Returns False when it was dropped: no link, or the queue is full.
        """

    @abc.abstractmethod
    async def request(
        self, peer: VmId, message: Message, timeout: timedelta
    ) -> Message:
        """Send a message and wait for its answer.

        :raises PeerUnreachable: no link, link lost, or timeout. Whether
            the peer handled the message is unknown, except for
            RequestNotSent.
        :raises PeerBusy: the peer did not handle the message.
        :raises PeerReturnedError: the peer has no handler, or it failed.
        """
