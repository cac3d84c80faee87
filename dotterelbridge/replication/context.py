"""Settings, state and collaborators shared by the parts of a member."""

from datetime import timedelta
import random as random_module

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.contacts import Contacts
from dotterelbridge.replication.entry_applier import EntryApplier
from dotterelbridge.replication.event_limiter import EventLimiter
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.state import MemberState
from dotterelbridge.replication.storage_writer import StorageWriter


class MemberContext(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """The shared objects of one member."""

    log_name: str
    settings: ReplicationSettings
    network: PeerNetwork
    clock: Clock
    random: random_module.Random
    state: MemberState
    storage_writer: StorageWriter
    entry_applier: EntryApplier
    event_limiter: EventLimiter
    initial_voters: tuple[VmId, ...]
    """The VMs that form the group if none of them has a log yet."""
    contacts: Contacts
    """The VMs to ask for the group and its leader."""

    @property
    def heartbeat_interval(self) -> timedelta:
        """Longest time between two messages from the leader to a member."""
        return timedelta(milliseconds=self.settings.heartbeat_ms)

    @property
    def election_timeout(self) -> timedelta:
        """Time without a leader message before a vote may be granted."""
        return timedelta(milliseconds=self.settings.election_timeout_ms)

    @property
    def lease_duration(self) -> timedelta:
        """How long a leader may rely on the acks of a majority.

        Shorter than the election timeout by the bound on clock drift.
        """
        share = 1 - self.settings.drift_percent / 100
        return self.election_timeout * share
