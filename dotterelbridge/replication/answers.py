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

_KEPT_ANSWERS = 2048
"""Nine seconds of commands at the target size."""


class _Answer:
    """The answer to one command, perhaps still awaited."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: ProposeReply | None = None


class AnswerCache:
    """The answers to the latest commands that other VMs forwarded."""

    def __init__(self, limit: int = _KEPT_ANSWERS) -> None:
        self._limit = limit
        self._answers: OrderedDict[tuple[VmId, int], _Answer] = OrderedDict()

    async def answer(
        self,
        sender: VmId,
        attempt: int,
        handle: Callable[[], Awaitable[ProposeReply]],
    ) -> ProposeReply | None:
        """Handle an attempt, or repeat the answer to it.

        Returns None when the first handling of it was cancelled.
        """
        key = (sender, attempt)
        known = self._answers.get(key)
        if known is not None:
            await known.done.wait()
            return known.reply
        answer = self._answers[key] = _Answer()
        if len(self._answers) > self._limit:
            self._answers.popitem(last=False)
        try:
            answer.reply = await handle()
        finally:
            answer.done.set()
        return answer.reply
