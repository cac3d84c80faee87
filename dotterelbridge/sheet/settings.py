"""Settings of the sheet and its distribution."""

from typing import Annotated

import msgspec

from dotterelbridge.settings_schema import Section


class SheetSettings(Section):
    """The ``[sheet]`` section."""

    size_limit_mb: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    """Maximum size of a CSV, in mebibytes."""
    row_limit: Annotated[int, msgspec.Meta(ge=1)] = 20_000
    """Maximum number of rows in one sheet."""
    submit_timeout_ms: Annotated[int, msgspec.Meta(ge=100)] = 8000
    """Timeout of a submission."""
    try_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1500
    """Timeout of one proposal to the log; the next try uses another VM."""
    poll_hold_ms: Annotated[int, msgspec.Meta(ge=50)] = 1000
    """Maximum time that a source holds a poll without an update."""
    poll_grace_ms: Annotated[int, msgspec.Meta(ge=50)] = 500
    """Time after the hold time until an unresponsive source is replaced."""
    detached_limit_ms: Annotated[int, msgspec.Meta(ge=100)] = 6000
    """Time without contact to the log after which a source is replaced."""
    preferred_retry_ms: Annotated[int, msgspec.Meta(ge=100)] = 10_000
    """Interval at which a VM tries to return to a preferred source."""
    fan_out: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    """Number of VMs of its failure domain that one VM serves the sheet to."""
    delta_history: Annotated[int, msgspec.Meta(ge=1)] = 256
    """Deltas kept for VMs that are behind; older VMs get a full sheet."""
    status_timeout_ms: Annotated[int, msgspec.Meta(ge=50)] = 1500
    """Timeout of a status request to one VM."""
