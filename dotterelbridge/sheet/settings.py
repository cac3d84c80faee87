"""Settings of the sheet and its distribution."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section


class SheetSettings(Section):
    """The ``[sheet]`` section."""

    size_limit_mb: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    """Largest CSV that is read, in mebibytes."""
    row_limit: Annotated[int, msgspec.Meta(ge=1)] = 20_000
    """Most rows in one sheet."""
    submit_timeout_ms: Annotated[int, msgspec.Meta(ge=100)] = 8000
    """Time within which a submission is answered."""
    try_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1500
    """Time after which the log is asked again, by way of another VM."""
    poll_hold_ms: Annotated[int, msgspec.Meta(ge=50)] = 1000
    """Longest time that a source holds a poll without news."""
    poll_grace_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Time past the hold after which a silent source is replaced."""
    detached_limit_ms: Annotated[int, msgspec.Meta(ge=100)] = 6000
    """A source this long without contact to the log is left for another."""
    preferred_retry_ms: Annotated[int, msgspec.Meta(ge=100)] = 10_000
    """Time after which a VM returns to the sources that it prefers."""
    fan_out: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    """VMs that one VM of a failure domain feeds."""
    delta_history: Annotated[int, msgspec.Meta(ge=1)] = 256
    """Changes kept for VMs that fell behind; older ones get a snapshot."""
    status_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1500
    """Time that a VM has to tell its revision."""
