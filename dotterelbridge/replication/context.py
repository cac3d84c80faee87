"""What the parts of one member share."""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.entry_applier import EntryApplier
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.storage_writer import StorageWriter


class MemberContext(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """The collaborators of a member's parts."""

    log_name: str
    settings: ReplicationSettings
    network: PeerNetwork
    clock: Clock
    random: random_module.Random
    state: MemberState
    storage_writer: StorageWriter
    entry_applier: EntryApplier
    initial_voters: tuple[VmId, ...]
    """The VMs that form the group when all are empty."""
    list_contacts: Callable[[], Sequence[VmId]]
    """Returns the VMs that may know the group."""

    @property
    def heartbeat_interval(self) -> timedelta:
        """Longest time between two messages of the leader to a member."""
        return timedelta(milliseconds=self.settings.heartbeat_ms)

    @property
    def election_timeout(self) -> timedelta:
        """Shortest silence of the leader after which a vote is given."""
        return timedelta(milliseconds=self.settings.election_timeout_ms)

    @property
    def lease_duration(self) -> timedelta:
        """How long a leader may rely on a majority that it reached."""
        share = 1 - self.settings.drift_percent / 100
        return self.election_timeout * share
