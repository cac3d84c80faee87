"""Settings of the replicated log."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]


class ReplicationSettings(Section, frozen=True, kw_only=True):
    """Section ``[replication]``."""

    heartbeat_ms: _Milliseconds = 150
    """Longest time between two messages of the leader to a member."""
    election_timeout_ms: _Milliseconds = 700
    """A voter starts an election after 1 to 1.7 of these of silence; a
    leader that reached no majority for so long stops leading."""
    drift_percent: Annotated[int, Meta(ge=1, le=50)] = 10
    """Bound of how much two VMs' clocks run apart; shortens the lease."""
    batch_limit_kb: _Count = 256
    """Most entries that one message or one write carries."""
    batch_interval_ms: Annotated[int, Meta(ge=0, le=1000)] = 10
    """Shortest time between two writes, or two messages with entries to
    one member; what arrives meanwhile goes together."""
    command_limit_kb: _Count = 1024
    """Largest command."""
    pending_limit: _Count = 4096
    """Commands that wait for their commit; more are refused at once."""
    pending_limit_mb: _Count = 16
    snapshot_entries: _Count = 20_000
    """Entries applied between two snapshots."""
    snapshot_log_mb: _Count = 8
    """Size of the log that calls for a snapshot earlier."""
    tail_entries: Annotated[int, Meta(ge=0)] = 2000
    """Entries kept after a snapshot for members that lag a little."""
    tail_mb: Annotated[int, Meta(ge=0)] = 2
    """Bound of the size of those entries."""
    snapshot_chunk_kb: Annotated[int, Meta(ge=1, le=4096)] = 256
    losses_tolerated: Annotated[int, Meta(ge=0)] = 0
    """Disks f that may be lost at once: the group grows to 2f + 1 voters
    by itself. 0 for the VMs that the settings list as voters."""
    silent_voter_ms: _Milliseconds = 3000
    """A voter that is silent for so long gives way to a learner that has
    caught up, where losses_tolerated is set."""
    join_interval_ms: _Milliseconds = 500
    """Time between two attempts of an empty VM to join its group."""
