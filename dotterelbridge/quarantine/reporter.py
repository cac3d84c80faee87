"""Sends what one VM sees of crashes to the leader of the log."""

import abc
from collections.abc import Callable
from datetime import timedelta

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.crash_watch import Crash
from dotterelbridge.quarantine.crash_watch import CrashWatch

_ANSWERED_INTERVAL = timedelta(milliseconds=500)
"""Time between two reports of complete answers."""
_RETRY_DELAY = timedelta(milliseconds=200)
_CRASH_LIFETIME_S = 10.0
"""Time after which a crash that no leader took is reported no more."""


class LeaderLink(abc.ABC):
    """The way from a VM to the leader of the log."""

    @abc.abstractmethod
    async def send_crash(self, crash: Crash) -> bool:
        """Return whether the leader has recorded a crash."""

    @abc.abstractmethod
    def send_answered(self, traits: tuple[TraitId, ...]) -> None:
        """Report traits of complete answers; the report may get lost."""


class CrashReporter:
    """Reports each crash until the leader has it, and complete answers."""

    def __init__(
        self,
        watch: CrashWatch,
        link: LeaderLink,
        clock: Clock,
        on_unreported: Callable[[Crash], None],
    ) -> None:
        """Create a reporter.

        :param on_unreported: called once with a crash that no leader took at
            the first attempt.
        """
        self._watch = watch
        self._link = link
        self._clock = clock
        self._on_unreported = on_unreported

    async def run(self) -> None:
        """Report until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._report_answered)
            while True:
                crash = await self._watch.wait_for_crash()
                group.start_soon(self._report_crash, crash)

    async def _report_crash(self, crash: Crash) -> None:
        if await self._link.send_crash(crash):
            return
        self._on_unreported(crash)
        with anyio.move_on_after(_CRASH_LIFETIME_S):
            while True:
                await self._clock.sleep(_RETRY_DELAY)
                if await self._link.send_crash(crash):
                    return

    async def _report_answered(self) -> None:
        while True:
            await self._clock.sleep(_ANSWERED_INTERVAL)
            traits = self._watch.read_answered_traits()
            if traits:
                self._link.send_answered(traits)
