"""Log entries and group configurations."""

from collections.abc import Iterable
import enum

import msgspec

from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId

NO_INDEX = LogIndex(0)
"""The index before the first entry."""

NO_TERM = Term(0)
"""The term before the first election."""


class EntryKind(enum.IntEnum):
    """What an entry carries."""

    COMMAND = 0
    NOOP = 1
    """First entry of each leader. Committing it also commits the entries
    of earlier terms. Its command is the leader's member id."""
    CONFIGURATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    machine_name: str = ""
    command: bytes = b""


ENTRY_OVERHEAD_BYTES = 32


def measure_entry_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry in bytes."""
    return len(entry.command) + ENTRY_OVERHEAD_BYTES


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A member of the group, identified by the contents of its data folder.

    A VM that lost its data folder comes back as a member with a new id.
    """

    member_id: MemberId
    vm: VmId
    voter: bool


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members of a group; each new configuration replaces the last."""

    group_id: str = ""
    """Distinguishes groups that were formed at different times."""
    members: tuple[Member, ...] = ()

    def list_voters(self) -> list[Member]:
        """Return the members that count towards a majority."""
        return [member for member in self.members if member.voter]

    def find_member(self, member_id: MemberId) -> Member | None:
        """Return a member by its id, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def find_by_vm(self, vm: VmId) -> Member | None:
        """Return the newest member on a VM, or None."""
        found = [member for member in self.members if member.vm == vm]
        return found[-1] if found else None

    def is_voter(self, member_id: MemberId) -> bool:
        """Return whether the member counts towards a majority."""
        member = self.find_member(member_id)
        return member is not None and member.voter

    def has_majority(self, member_ids: Iterable[MemberId]) -> bool:
        """Return whether the given members are a majority of the voters."""
        given = set(member_ids)
        voters = self.list_voters()
        count = sum(member.member_id in given for member in voters)
        return count > len(voters) // 2

    def with_learner(self, member_id: MemberId, vm: VmId) -> "Configuration":
        """Return the configuration with a learner added."""
        learner = Member(member_id=member_id, vm=vm, voter=False)
        return self._with_members(self.members + (learner,))

    def with_voter(self, member_id: MemberId) -> "Configuration":
        """Return the configuration with a learner promoted to voter."""
        return self._with_members(
            msgspec.structs.replace(member, voter=True)
            if member.member_id == member_id
            else member
            for member in self.members
        )

    def without_vote(self, member_id: MemberId) -> "Configuration":
        """Return the configuration with a voter made a learner."""
        return self._with_members(
            msgspec.structs.replace(member, voter=False)
            if member.member_id == member_id
            else member
            for member in self.members
        )

    def without_member(self, member_id: MemberId) -> "Configuration":
        """Return the configuration without a member."""
        return self._with_members(
            member for member in self.members if member.member_id != member_id
        )

    def list_promotable_learners(self, vms: Iterable[VmId]) -> list[Member]:
        """Return the learners to promote once they have caught up.

        These are the learners on one of the given VMs, or on a VM with an
        earlier member, which they replace.
        """
        promotable_vms = set(vms)
        learners = []
        for member in self.members:
            if not member.voter and member.vm in promotable_vms:
                learners.append(member)
            promotable_vms.add(member.vm)
        return learners

    def list_later_members(self, member: Member) -> list[Member]:
        """Return the members that joined from the same VM after a member."""
        position = self.members.index(member)
        return [m for m in self.members[position + 1 :] if m.vm == member.vm]

    def find_superseded_member(self) -> Member | None:
        """Return a member whose VM has a newer voter, or None.

        A newer learner supersedes no member: its join request may have
        been delayed and carry an older id.
        """
        for member in self.members:
            if any(m.voter for m in self.list_later_members(member)):
                return member
        return None

    def _with_members(self, members: Iterable[Member]) -> "Configuration":
        return msgspec.structs.replace(self, members=tuple(members))


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the command of a configuration entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(command: bytes) -> Configuration:
    """Return the configuration in an entry's command."""
    return msgspec.msgpack.decode(command, type=Configuration)


def changes_at_most_one_voter(old: Configuration, new: Configuration) -> bool:
    """Return whether at most one voter is added or removed.

    Any majority of the old configuration then overlaps with any majority
    of the new one.
    """
    before = {member.member_id for member in old.list_voters()}
    after = {member.member_id for member in new.list_voters()}
    return len(before ^ after) <= 1


def encode_leader(member_id: MemberId) -> bytes:
    """Return the command of a leader's first entry."""
    return member_id.encode()


def decode_leader(command: bytes) -> MemberId | None:
    """Return the leader; None if an older release wrote no leader id."""
    return MemberId(command.decode()) if command else None
