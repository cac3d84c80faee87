"""Settings of quotas."""

from typing import Annotated

from msgspec import Meta

from dotterelbridge.settings_schema import Section


class QuotasSettings(Section, frozen=True, kw_only=True):
    """Section ``[quotas]``: how far teams may exceed their quotas."""

    window_s: Annotated[float, Meta(gt=0)] = 8
    """Sliding window over which the use of a team is counted."""
    excess_fraction: Annotated[float, Meta(ge=0)] = 0.1
    """Tolerated use in a window beyond the quota, as a fraction of it."""
    slack_units: Annotated[float, Meta(ge=0)] = 7400
    """Tolerated use in a window in addition, in tokens or requests."""
