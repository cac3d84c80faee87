"""Handles each forwarded command once, however often it is delivered.

A command that was answered "certainly not in the log" must not be
appended when a second copy of its message arrives later.
"""

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from dotterelbridge.ids import VmId
from dotterelbridge.replication.messages import ProposeReply

_CACHED_REPLY_COUNT = 2048
"""Nine seconds of commands at the target size."""


class _CachedReply:
    """The answer to one command, perhaps still awaited."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: ProposeReply | None = None


class ReplyCache:
    """The answers to the latest commands that other VMs forwarded."""

    def __init__(self, limit: int = _CACHED_REPLY_COUNT) -> None:
        self._limit = limit
        self._answers: OrderedDict[tuple[VmId, int], _CachedReply] = (
            OrderedDict()
        )

    async def get_reply(
        self,
        sender: VmId,
        attempt: int,
        handle: Callable[[], Awaitable[ProposeReply]],
    ) -> ProposeReply | None:
        """Handle an attempt, or repeat the answer to it.

        Returns None when the first handling of it was cancelled.
        """
        key = (sender, attempt)
        cached = self._answers.get(key)
        if cached is not None:
            await cached.done.wait()
            return cached.reply
        entry = self._answers[key] = _CachedReply()
        if len(self._answers) > self._limit:
            self._answers.popitem(last=False)
        try:
            entry.reply = await handle()
        finally:
            entry.done.set()
        return entry.reply
