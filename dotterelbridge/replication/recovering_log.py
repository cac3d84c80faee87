"""A member of the log that opens its storage again after a failure.

A full or stalled disk ends one life of the member: it acknowledges
nothing more. Once the disk takes writes again, a new life begins with
what the storage holds, as after a restart of the process.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.events import ReplicationEvent
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.member import LogMember

_log = structlog.get_logger(__name__)

_REOPEN_PAUSE = timedelta(seconds=1)


class RecoveringLog(ReplicatedLog, Dumpable):
    """One member after another, on the same storage."""

    def __init__(
        self, create_member: Callable[[], LogMember], clock: Clock
    ) -> None:
        self._create_member = create_member
        self._clock = clock
        self._machines: dict[str, StateMachine] = {}
        self._empty: dict[str, bytes] = {}
        self._member = create_member()

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        self._machines[name] = machine
        self._empty[name] = machine.take_snapshot()
        self._member.add_state_machine(name, machine)

    def get_leader(self) -> VmId | None:
        return self._member.get_leader()

    def has_leader_lease(self) -> bool:
        """Return whether this VM leads with a valid lease."""
        return self._member.has_leader_lease()

    @property
    def term(self) -> Term:
        """The term that this VM knows of."""
        return self._member.term

    @property
    def configuration(self) -> Configuration:
        """The members that this VM knows of."""
        return self._member.configuration

    def silence_s(self) -> float:
        """Return seconds since this VM knew that it follows the group."""
        return self._member.silence_s()

    async def propose(
        self, machine: str, command: bytes, timeout: timedelta
    ) -> bytes:
        return await self._member.propose(machine, command, timeout)

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        member = self._member
        index = await member.read_barrier(timeout)
        if member is not self._member:
            raise NotCommitted("the storage was opened anew", "try again")
        return index

    async def transfer_leadership(self, timeout: timedelta) -> None:
        """Let another voter lead, as before this VM stops."""
        await self._member.transfer_leadership(timeout)

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._member.run)
                await self._member.wait_failed()
                group.cancel_scope.cancel()
            await self._open_again()

    def dump(self) -> dict[str, Any]:
        return self._member.dump()

    async def _open_again(self) -> None:
        while True:
            await self._clock.sleep(_REOPEN_PAUSE)
            try:
                member = self._create_member()
            except (StorageError, OSError) as error:
                events.log(
                    _log, ReplicationEvent.REOPEN_FAILED, error=str(error)
                )
                continue
            break
        for name, machine in self._machines.items():
            machine.restore_snapshot(self._empty[name])
            member.add_state_machine(name, machine)
        self._member = member
        events.log(_log, ReplicationEvent.STORAGE_REOPENED)


def create_recovering_log(
    create_member: Callable[[], LogMember], clock: Clock
) -> RecoveringLog:
    """Return a log that lives on after a failure of its storage.

    :param create_member: opens the storage; may block.
    :raises StorageError: the first opening fails.
    """
    return RecoveringLog(create_member, clock)
