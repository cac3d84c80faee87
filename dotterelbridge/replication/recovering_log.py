"""A replicated log that reopens its storage after a failure.

After a write fails, for example on a full or stalled disk, the member
acknowledges nothing more. Once the storage can be opened again, a new
member object starts from the stored state, as after a process restart.
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

_REOPEN_INTERVAL = timedelta(seconds=1)


class RecoveringLog(ReplicatedLog, Dumpable):
    """Runs a member and replaces it after a failure of its storage."""

    def __init__(
        self, create_member: Callable[[], LogMember], clock: Clock
    ) -> None:
        self._create_member = create_member
        self._clock = clock
        self._state_machines: dict[str, StateMachine] = {}
        self._empty_snapshots: dict[str, bytes] = {}
        self._member = create_member()

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        self._state_machines[name] = machine
        self._empty_snapshots[name] = machine.take_snapshot()
        self._member.add_state_machine(name, machine)

    def get_leader(self) -> VmId | None:
        return self._member.get_leader()

    def has_leader_lease(self) -> bool:
        """Return whether this VM leads with a valid lease."""
        return self._member.has_leader_lease()

    def has_applied_all(self) -> bool:
        """Return whether the state machines hold all committed entries."""
        return self._member.has_applied_all()

    @property
    def term(self) -> Term:
        """The term that this VM knows of."""
        return self._member.term

    @property
    def configuration(self) -> Configuration:
        """The members that this VM knows of."""
        return self._member.configuration

    def get_leader_silence_s(self) -> float:
        """Return seconds since this VM last heard from the leader."""
        return self._member.get_leader_silence_s()

    async def propose(
        self, machine_name: str, command: bytes, timeout: timedelta
    ) -> bytes:
        return await self._member.propose(machine_name, command, timeout)

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        member = self._member
        index = await member.read_barrier(timeout)
        if member is not self._member:
            raise NotCommitted("the storage was reopened", "try again")
        return index

    async def transfer_leadership(self, timeout: timedelta) -> None:
        """Transfer leadership to another voter, as before this VM stops."""
        await self._member.transfer_leadership(timeout)

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        while True:
            try:
                await self._run_member()
            except* (StorageError, OSError) as group:
                events.log(
                    _log,
                    ReplicationEvent.MEMBER_FAILED,
                    error=str(_find_first(group)),
                )
            except* Exception:
                events.log(_log, ReplicationEvent.MEMBER_FAILED, exc_info=True)
            await self._reopen()

    async def _run_member(self) -> None:
        """Run the member until its storage fails."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._member.run)
            await self._member.wait_for_failure()
            group.cancel_scope.cancel()

    def dump(self) -> dict[str, Any]:
        return self._member.dump()

    async def _reopen(self) -> None:
        while True:
            await self._clock.sleep(_REOPEN_INTERVAL)
            try:
                member = self._create_member()
            except (StorageError, OSError) as error:
                events.log(
                    _log, ReplicationEvent.REOPEN_FAILED, error=str(error)
                )
                continue
            break
        try:
            self._reset_state_machines(member)
        except BaseException:
            member.close()
            raise
        self._member = member
        events.log(_log, ReplicationEvent.STORAGE_REOPENED)

    def _reset_state_machines(self, member: LogMember) -> None:
        for name, machine in self._state_machines.items():
            machine.restore_snapshot(self._empty_snapshots[name])
            member.add_state_machine(name, machine)


def _find_first(group: ExceptionGroup) -> Exception:
    """Return the first error of a group that is no group itself."""
    error: Exception = group
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def create_recovering_log(
    create_member: Callable[[], LogMember], clock: Clock
) -> RecoveringLog:
    """Return a log that recovers from failures of its storage.

    :param create_member: opens the storage and returns a member; may
        block.
    :raises StorageError: the storage cannot be opened the first time.
    """
    return RecoveringLog(create_member, clock)
