"""A replicated log without replication, for tests of state machines.

All members share one list of commands. A test decides when answers are
lost, when there is no majority and which members lag behind.
"""

from collections.abc import Callable
from datetime import timedelta
import random

import anyio.lowlevel

from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import VmId
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.log import StateMachine

_RETRY = "ask again"


class SharedLog:
    """The commands that the members agree on."""

    def __init__(self, seed: int = 0) -> None:
        self.entries: list[tuple[str, bytes]] = []
        self.members: dict[VmId, LogMember] = {}
        self.has_majority = True
        self.lost_reply_share = 0.0
        """Share of committed commands whose answer is lost."""
        self.rejection_share = 0.0
        """Share of commands that are refused as not committed."""
        self.duplicate_share = 0.0
        """Share of commands that are committed once more, later."""
        self._random = random.Random(seed)
        self._delayed: list[tuple[str, bytes]] = []

    def add_member(self, vm: VmId) -> "LogMember":
        """Return a member that has applied nothing yet."""
        member = LogMember(self, vm)
        self.members[vm] = member
        return member

    def commit(self, machine: str, command: bytes) -> int:
        """Append a command and apply it where nothing lags."""
        self.entries.append((machine, command))
        if self._random.random() < self.duplicate_share:
            self._delayed.append((machine, command))
        self.apply_to_members()
        return len(self.entries)

    def commit_duplicates(self) -> None:
        """Commit the delayed repetitions in a random order."""
        self._random.shuffle(self._delayed)
        delayed, self._delayed = self._delayed, []
        for entry in delayed:
            self.entries.append(entry)
        self.apply_to_members()

    def apply_to_members(self) -> None:
        """Bring all members up to date that do not lag."""
        for member in self.members.values():
            if not member.is_lagging:
                member.apply_committed()

    def draw_fault(self, share: float) -> bool:
        """Return True for the given share of the calls."""
        return self._random.random() < share


class LogMember(ReplicatedLog):
    """One VM's view of the shared log."""

    def __init__(self, shared: SharedLog, vm: VmId) -> None:
        self._shared = shared
        self._vm = vm
        self._machines: dict[str, StateMachine] = {}
        self._results: dict[int, bytes] = {}
        self.applied = 0
        self.is_lagging = False
        self.before_reply: Callable[[], None] = lambda: None
        """Runs after a commit, before the proposer gets its answer."""

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        self._machines[name] = machine

    def get_leader(self) -> VmId | None:
        return self._vm if self._shared.has_majority else None

    async def propose(
        self, machine_name: str, command: bytes, timeout: timedelta
    ) -> bytes:
        await anyio.lowlevel.checkpoint()
        shared = self._shared
        if not shared.has_majority or shared.draw_fault(
            shared.rejection_share
        ):
            raise NotCommitted("there is no majority", _RETRY)
        index = shared.commit(machine_name, command)
        self.before_reply()
        if shared.draw_fault(shared.lost_reply_share):
            raise CommitUnknown("the answer was lost", _RETRY)
        self.apply_committed()
        return self._results[index]

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        await anyio.lowlevel.checkpoint()
        if not self._shared.has_majority:
            raise NotCommitted("there is no majority", _RETRY)
        self.apply_committed()
        return LogIndex(self.applied)

    def apply_committed(self) -> None:
        """Apply every committed command."""
        entries = self._shared.entries
        while self.applied < len(entries):
            name, command = entries[self.applied]
            self.applied += 1
            machine = self._machines.get(name)
            if machine is not None:
                self._results[self.applied] = machine.apply(
                    LogIndex(self.applied), command
                )

    def restore_snapshots_from(self, other: "LogMember") -> None:
        """Take the other member's snapshots, as after falling behind."""
        for name, machine in self._machines.items():
            machine.restore_snapshot(other._machines[name].take_snapshot())
        self.applied = other.applied
