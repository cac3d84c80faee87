"""Settings of the records of streams that may be resumed."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section

_Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
_Seconds = Annotated[float, Meta(gt=0, le=86_400)]
_Count = Annotated[int, Meta(ge=1)]


class ResumptionSettings(Section, frozen=True, kw_only=True):
    """Section ``[resumption]``: which software version began a stream."""

    records_limit: _Count = 100_000
    """Records that a control VM keeps; the oldest are dropped first."""
    entry_records_limit: _Count = 20_000
    """Records that an entry VM keeps; the oldest are dropped first."""
    batch_ms: _Milliseconds = 20
    """Time for which a VM gathers records before it sends or writes them;
    the records of that time are lost if the process is killed."""
    sync_interval_ms: _Milliseconds = 1000
    """Time after which a control VM syncs the records that it has written;
    those of that time may be lost with its power."""
    keep_margin_s: _Seconds = 10.0
    """Time for which a record is kept after the caller's deadline."""
    keep_limit_s: _Seconds = 600.0
    """Longest time for which a record is kept, whatever the deadline."""
    file_limit_mb: Annotated[int, Meta(ge=1, le=1024)] = 16
    """Size at which one of the two files of a control VM replaces the
    other, so that they need twice this space at most."""
    file_age_s: _Seconds = 60.0
    """Age from which a file is replaced once all records of the other have
    expired."""
