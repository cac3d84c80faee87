"""Handles each forwarded command once, however often it is delivered.

A command that was reported as "certainly not in the log" must not be
appended when a duplicate of its message arrives later.
"""

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from dotterelbridge.ids import VmId
from dotterelbridge.replication.messages import ProposeReply

_CACHED_REPLY_COUNT = 2048
"""Nine seconds of commands at the target deployment size."""


class _Reply:
    """The reply to one command, which may still be pending."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: ProposeReply | None = None


class ReplyCache:
    """The replies to the latest commands that other VMs forwarded."""

    def __init__(self, limit: int = _CACHED_REPLY_COUNT) -> None:
        self._limit = limit
        self._replies: OrderedDict[tuple[VmId, int], _Reply] = OrderedDict()

    async def get_reply(
        self,
        sender: VmId,
        attempt: int,
        handle: Callable[[], Awaitable[ProposeReply]],
    ) -> ProposeReply | None:
        """Handle an attempt, or return the reply to its first delivery.

        Returns None when the first handling of it was cancelled.
        """
        key = (sender, attempt)
        known = self._replies.get(key)
        if known is not None:
            await known.done.wait()
            return known.reply
        entry = self._replies[key] = _Reply()
        if len(self._replies) > self._limit:
            self._replies.popitem(last=False)
        try:
            entry.reply = await handle()
        finally:
            entry.done.set()
        return entry.reply
