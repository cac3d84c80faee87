"""Settings of the replicated log."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Count = Annotated[int, Meta(ge=1)]


class ReplicationSettings(Section, frozen=True, kw_only=True):
    """Section ``[replication]``."""

    heartbeat_ms: _Milliseconds = 150
    """Longest time between two messages from the leader to a member."""
    election_timeout_ms: _Milliseconds = 700
    """A voter starts an election if it has not heard from a leader for 1
    to 1.7 times this period (chosen at random); a leader that has reached
    no majority for this period steps down."""
    drift_percent: Annotated[int, Meta(ge=1, le=50)] = 10
    """Largest difference between the clock rates of two VMs; shortens the
    leader lease."""
    batch_limit_kb: _Count = 256
    """Largest size of the entries in one message or one write."""
    batch_interval_ms: Annotated[int, Meta(ge=0, le=1000)] = 10
    """Shortest time between two writes, or between two messages with
    entries to one member; commands that arrive meanwhile are batched."""
    command_limit_kb: _Count = 1024
    """Largest size of one command."""
    pending_limit: _Count = 4096
    """Commands waiting to be committed; more are refused at once."""
    pending_limit_mb: _Count = 16
    snapshot_entries: _Count = 20_000
    """Entries applied between two snapshots."""
    snapshot_log_mb: _Count = 8
    """Size of the entries applied since the last snapshot that triggers
    the next one earlier."""
    tail_entries: Annotated[int, Meta(ge=0)] = 2000
    """Entries kept in memory before a snapshot's index, for members that
    lag only a little."""
    tail_mb: Annotated[int, Meta(ge=0)] = 2
    """Largest size of these entries."""
    snapshot_chunk_kb: Annotated[int, Meta(ge=1, le=4096)] = 256
    losses_tolerated: Annotated[int, Meta(ge=0)] = 0
    """Number f of disks that may be lost at the same time: the group grows
    to 2f + 1 voters by itself. With 0, the voters are the VMs that the
    settings list."""
    silent_voter_ms: _Milliseconds = 3000
    """With losses_tolerated set, a voter that the leader has not heard from
    for this period is replaced by a learner that has caught up. A learner
    that is silent for three times as long is removed."""
    join_interval_ms: _Milliseconds = 500
    """Time between two attempts of an empty VM to join its group."""
